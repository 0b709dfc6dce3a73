package mirror_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/state/mirror"
)

// listed is an instance that knows a table of which only the parity of the
// values matters: 1 for odd ones, 2 for even ones.
type listed struct {
	rows  *mirror.Mirror
	marks *mirror.ChangeTracker[int]
}

func newListed() *listed {
	return &listed{rows: mirror.New(), marks: mirror.NewChangeTracker[int]()}
}

// note marks rows that were taken over, with the versions that others told.
func (l *listed) note(rows []mirror.Row, since map[string]mirror.Version) {
	var marks []mirror.Change[int]
	for _, r := range rows {
		m := mirror.Change[int]{Key: r.Key, Since: r.Version}
		if v, ok := since[r.Key]; ok {
			m.Since = v
		}
		if !r.Removed {
			m.Value = 2 - int(r.Value[0])%2
		}
		marks = append(marks, m)
	}
	l.marks.Record(marks)
}

// read takes over the rows of the table that changed since the last time.
func (l *listed) read(rows []mirror.Row, upTo mirror.Version) {
	l.note(l.rows.Apply(rows, upTo), nil)
	l.marks.AdvanceTo(upTo)
}

// readAll takes over the whole table, as an instance that starts does.
func (l *listed) readAll(rows []mirror.Row, asOf mirror.Version) {
	l.note(l.rows.Replace(rows, asOf), nil)
	l.marks.AdvanceTo(asOf)
}

// ask takes over what another instance has that is newer, and everything if
// they do not agree then.
func (l *listed) ask(o *listed) {
	for _, after := range []mirror.Version{l.marks.Version(), 0} {
		changed, upTo, digest := o.marks.ChangedSince(after, func() []mirror.Row { return o.rows.Since(after) })
		since := map[string]mirror.Version{}
		var rows []mirror.Row
		for _, x := range changed {
			since[x.Key] = x.Since
			rows = append(rows, x.Row)
		}
		take := l.rows.Apply
		if after == 0 {
			// What is missing from all rows was removed.
			take = l.rows.Replace
		}
		l.note(take(rows, upTo), since)
		if l.marks.AdvanceIfEqual(upTo, digest) {
			return
		}
		if after == 0 {
			l.marks.AdvanceTo(upTo)
		}
	}
}

// hear takes over the version of an instance that knows the same.
func (l *listed) hear(o *listed) {
	l.marks.AdvanceIfEqual(o.marks.Summary())
}

func TestRowsThatChangeInNothingThatMattersAreNotAskedFor(t *testing.T) {
	a, b := newListed(), newListed()
	a.read([]mirror.Row{{Key: "k", Value: []byte{1}, Version: 1}}, 1)
	b.ask(a)
	a.read([]mirror.Row{{Key: "k", Value: []byte{3}, Version: 2}}, 2)
	b.hear(a)
	if a.marks.Version() != 2 || b.marks.Version() != 2 {
		t.Errorf("versions %d and %d, want 2 by hearing alone", a.marks.Version(), b.marks.Version())
	}
	a.read([]mirror.Row{{Key: "k", Value: []byte{4}, Version: 3}}, 3)
	b.hear(a)
	if b.marks.Version() != 2 {
		t.Error("a change that matters was taken over by hearing alone")
	}
}

// TestNoChangeThatMattersIsLost lets two readers read a changing table at
// different times, and others ask any instance that is ahead: whoever knows
// the newest version knows what matters of every row.
func TestNoChangeThatMattersIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, version := map[string]mirror.Row{}, mirror.Version(0)
		all := []*listed{newListed(), newListed(), newListed(), newListed()}
		readers := all[:2]
		read := func(l *listed) {
			var rows []mirror.Row
			for _, r := range table {
				if r.Version > l.rows.Version() {
					rows = append(rows, r)
				}
			}
			l.read(rows, version)
		}
		for range 60 {
			switch rapid.IntRange(0, 6).Draw(t, "act") {
			case 0, 1:
				version++
				k := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				table[k] = mirror.Row{Key: k, Value: []byte{byte(rapid.IntRange(0, 9).Draw(t, "value"))}, Version: version}
			case 2:
				read(readers[rapid.IntRange(0, 1).Draw(t, "reader")])
			case 3:
				a, b := all[rapid.IntRange(0, 3).Draw(t, "asks")], all[rapid.IntRange(0, 3).Draw(t, "asked")]
				if b.marks.Version() > a.marks.Version() {
					a.ask(b)
				}
			case 4:
				all[rapid.IntRange(0, 3).Draw(t, "hears")].hear(all[rapid.IntRange(0, 3).Draw(t, "heard")])
			case 5:
				version++
				k := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				table[k] = mirror.Row{Key: k, Version: version, Removed: true}
			case 6:
				// An instance starts anew and reads the whole table, without what was removed.
				i := rapid.IntRange(0, 3).Draw(t, "starts")
				*all[i] = *newListed()
				var rows []mirror.Row
				for _, r := range table {
					if !r.Removed {
						rows = append(rows, r)
					}
				}
				all[i].readAll(rows, version)
			}
		}
		for _, l := range readers {
			read(l)
		}
		best := all[0]
		for _, l := range all {
			if l.marks.Version() > best.marks.Version() {
				best = l
			}
		}
		for i, l := range all {
			if l.marks.Version() < best.marks.Version() {
				l.ask(best)
			}
			for k, r := range table {
				var got mirror.Row
				for _, x := range l.rows.Since(0) {
					if x.Key == k {
						got = x
					}
				}
				if there := got.Version != 0 && !got.Removed; there == r.Removed || there && got.Value[0]%2 != r.Value[0]%2 {
					t.Fatalf("instance %d has %v for %s, the table %v", i, got, k, r)
				}
			}
		}
	})
}

// TestWhatIsReadTogetherIsToldTogether reads a table anew of which a row is gone, while
// others ask what is known: nobody is told of the newer rows without that removal.
func TestWhatIsReadTogetherIsToldTogether(t *testing.T) {
	const rows = 2000
	m := mirror.NewChangeTracker[int]()
	m.Record([]mirror.Change[int]{{Key: "gone", Value: 1, Since: 1}})
	var marks []mirror.Change[int]
	for i := range rows {
		marks = append(marks, mirror.Change[int]{Key: fmt.Sprint(i), Value: 1, Since: mirror.Version(i + 2)})
	}
	marks = append(marks, mirror.Change[int]{Key: "gone", Since: rows + 2})
	done := make(chan struct{})
	go func() {
		m.Record(marks)
		close(done)
	}()
	for {
		if v, _ := m.Summary(); v != 1 && v != rows+2 {
			t.Fatalf("told up to %d of %d", v, rows+2)
		}
		select {
		case <-done:
			return
		default:
		}
	}
}
