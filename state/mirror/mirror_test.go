package mirror_test

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/standin/memory"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/transport/store"
)

func row(key, value string, v mirror.Version) mirror.Row {
	return mirror.Row{Key: key, Value: []byte(value), Version: v}
}

// find returns a row of a mirror, and false if it is missing or removed.
func find(m *mirror.Mirror, key string) (mirror.Row, bool) {
	for _, r := range m.Since(0) {
		if r.Key == key {
			return r, !r.Removed
		}
	}
	return mirror.Row{}, false
}

func TestOlderRowNeverReplacesNewer(t *testing.T) {
	m := mirror.New()
	m.Apply([]mirror.Row{row("a", "new", 9)}, 9)
	if c := m.Apply([]mirror.Row{row("a", "old", 4), {Key: "a", Version: 9, Removed: true}}, 4); len(c) != 0 {
		t.Errorf("changed rows %v, want none", c)
	}
	if r, ok := find(m, "a"); !ok || string(r.Value) != "new" {
		t.Errorf("row %v, found %v, want value new", r, ok)
	}
}

func TestReplaceRemovesMissingRowsUnlessNewer(t *testing.T) {
	m := mirror.New()
	m.Apply([]mirror.Row{row("gone", "x", 2), row("newer", "x", 8)}, 8)
	m.Replace([]mirror.Row{row("kept", "x", 3)}, 5)
	for key, want := range map[string]bool{"gone": false, "newer": true, "kept": true} {
		if _, ok := find(m, key); ok != want {
			t.Errorf("row %s found: %v, want %v", key, ok, want)
		}
	}
	if !m.Loaded() {
		t.Error("the mirror is not loaded after Replace")
	}
}

// TestReplaceRevertsARowThatChangedBack replaces a copy by the table of an instance that
// missed both a change of a row and its reversal.
func TestReplaceRevertsARowThatChangedBack(t *testing.T) {
	m := mirror.New()
	m.Apply([]mirror.Row{row("back", "between", 5), row("newer", "x", 9), row("again", "between", 5)}, 9)
	m.Replace([]mirror.Row{row("back", "before and after", 3), row("newer", "old", 3), {Key: "again", Version: 3, Removed: true}}, 8)
	for key, want := range map[string]string{"back": "before and after", "newer": "x"} {
		if r, _ := find(m, key); string(r.Value) != want {
			t.Errorf("row %s is %q, want %q", key, r.Value, want)
		}
	}
	if _, ok := find(m, "again"); ok {
		t.Error("found a row that was removed again")
	}
}

// TestMirrorsThatExchangeRowsConverge splits a history between two mirrors in any order,
// and then lets them exchange their rows.
func TestMirrorsThatExchangeRowsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []mirror.Row
		for v := range rapid.IntRange(1, 30).Draw(t, "rows") {
			k := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			history = append(history, mirror.Row{Key: k, Version: mirror.Version(v + 1), Removed: rapid.Bool().Draw(t, "removed")})
		}
		x, y := mirror.New(), mirror.New()
		for _, r := range rapid.Permutation(history).Draw(t, "order") {
			if rapid.Bool().Draw(t, "first") {
				x.Apply([]mirror.Row{r}, 0)
			} else {
				y.Apply([]mirror.Row{r}, 0)
			}
		}
		x.Apply(y.Since(0), 0)
		y.Apply(x.Since(0), 0)
		newest := map[string]mirror.Row{}
		for _, r := range history {
			newest[r.Key] = r
		}
		for k, want := range newest {
			a, okA := find(x, k)
			b, okB := find(y, k)
			if okA == want.Removed || okB == want.Removed || okA && (a.Version != want.Version || b.Version != want.Version) {
				t.Fatalf("row %s: %v %v and %v %v, want %v", k, a, okA, b, okB, want)
			}
		}
	})
}

// Versions are ordered by the era first. Those of the first era, and of a store without eras, equal
// the counter.
func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	if v := mirror.NewVersion(2, 5); v <= mirror.NewVersion(1, 900) || v.Era() != 2 || v.Counter() != 5 {
		t.Errorf("version %d is of era %d with counter %d", v, v.Era(), v.Counter())
	}
	if a, b := mirror.NewVersion(0, 7), mirror.NewVersion(1, 7); a != 7 || b != 7 || a.Era() != 1 {
		t.Errorf("the versions without an era and of the first are %d and %d", a, b)
	}
	// Fencing tokens go out as JSON numbers, which are exact up to 2^53.
	if v := mirror.NewVersion(8000, 1<<40-1); mirror.Version(float64(v)) != v {
		t.Errorf("version %d is not exact as a JSON number", v)
	}
}

// A mirror follows a store that comes back from copies now and then: by whole reads after that, and
// by changes otherwise. It must end up with the rows of the store, whatever it held before.
func TestMirrorFollowsARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := memory.New()
		c := s.Client()
		m, copies := mirror.New(), []memory.Copy{s.Copy()}
		read := func() {
			rows, v, err := c.Read(t.Context(), "t")
			if err != nil {
				t.Fatal(err)
			}
			m.Replace(rows, v)
		}
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			k := store.Key{Table: "t", Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")}
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0, 1:
				s.Apply(store.Transaction{Writes: []store.Write{{Key: k, Value: []byte(rapid.StringN(1, 2, -1).Draw(t, "value"))}}})
			case 2:
				s.Apply(store.Transaction{Deletes: []store.Key{k}})
			case 3:
				copies = append(copies, s.Copy())
			case 4:
				s.Restore(rapid.SampledFrom(copies).Draw(t, "copy"))
			case 5:
				// A watch that would wait for changes ends at once.
				ended, cancel := context.WithCancel(t.Context())
				cancel()
				rows, v, err := c.Watch(ended, "t", m.Version())
				switch {
				case err == nil:
					m.Apply(rows, v)
				case !errors.Is(err, store.ErrUnavailable):
					read()
				}
			}
		}
		read()
		rows, _, err := c.Read(t.Context(), "t")
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for _, r := range m.Since(-1) {
			if !r.Removed {
				n++
			}
		}
		for _, r := range rows {
			if x, ok := m.Get(r.Key); !ok || x.Removed || string(x.Value) != string(r.Value) {
				t.Fatalf("row %s is %q, the mirror has %q, %v", r.Key, r.Value, x.Value, ok)
			}
		}
		if n != len(rows) {
			t.Fatalf("the mirror has %d rows, the store %d", n, len(rows))
		}
	})
}
