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
	marks *mirror.Marks[int]
}

func newListed() *listed {
	return &listed{rows: mirror.New(), marks: mirror.NewMarks[int]()}
}

// read takes over the rows of the table that changed since the last time.
func (l *listed) read(rows []mirror.Row, upTo mirror.Version) {
	for _, r := range l.rows.Apply(rows, upTo) {
		l.marks.Note(r.Key, 2-int(r.Value[0])%2, r.Version)
	}
}

func (l *listed) learn(changed []mirror.Changed, upTo mirror.Version) {
	since := map[string]mirror.Version{}
	var rows []mirror.Row
	for _, x := range changed {
		since[x.Key] = x.Since
		rows = append(rows, x.Row)
	}
	for _, r := range l.rows.Apply(rows, upTo) {
		l.marks.Note(r.Key, 2-int(r.Value[0])%2, since[r.Key])
	}
	l.marks.Reach(upTo)
}

// ask takes over what another instance has that is newer, and everything if
// they do not agree then.
func (l *listed) ask(o *listed) {
	after, upTo := l.marks.Version(), o.marks.Version()
	l.learn(o.marks.Changed(o.rows.Since(after), after), upTo)
	if l.marks.Digest() != o.marks.Digest() {
		l.learn(o.marks.Changed(o.rows.Since(0), 0), upTo)
	}
}

func TestRowsThatChangeInNothingThatMattersAreNotTold(t *testing.T) {
	a, b := newListed(), newListed()
	a.read([]mirror.Row{{Key: "k", Value: []byte{1}, Version: 1}}, 1)
	b.ask(a)
	a.read([]mirror.Row{{Key: "k", Value: []byte{3}, Version: 2}}, 2)
	if a.marks.Version() != b.marks.Version() {
		t.Error("a row that did not change in what matters is news")
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
			switch rapid.IntRange(0, 3).Draw(t, "act") {
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
				got := 0
				for _, x := range l.rows.Since(0) {
					if x.Key == k {
						got = int(x.Value[0])
					}
				}
				if got%2 != int(r.Value[0])%2 {
					t.Fatalf("instance %d has %d for %s, the table %d", i, got, k, r.Value[0])
				}
			}
		}
	})
}
