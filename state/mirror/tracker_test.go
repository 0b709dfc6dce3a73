package mirror_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/state/mirror"
)

// replica is an instance's copy of a table. Only the parity of its values is
// relevant: 1 for odd values, 2 for even ones.
type replica struct {
	rows    *mirror.Mirror
	tracker *mirror.ChangeTracker[int]
}

func newReplica() *replica {
	return &replica{rows: mirror.New(), tracker: mirror.NewChangeTracker[int]()}
}

// record records applied rows, with the versions of their changes if a peer sent them.
func (l *replica) record(rows []mirror.Row, since map[string]mirror.Version) {
	var changes []mirror.Change[int]
	for _, r := range rows {
		m := mirror.Change[int]{Key: r.Key, Since: r.Version}
		if v, ok := since[r.Key]; ok {
			m.Since = v
		}
		if !r.Removed {
			m.Value = 2 - int(r.Value[0])%2
		}
		changes = append(changes, m)
	}
	l.tracker.Record(changes)
}

// read applies the rows of the table that changed since the last read.
func (l *replica) read(rows []mirror.Row, upTo mirror.Version) {
	l.record(l.rows.Apply(rows, upTo), nil)
	l.tracker.AdvanceTo(upTo)
}

// readAll applies the whole table, as an instance does at its start.
func (l *replica) readAll(rows []mirror.Row, asOf mirror.Version) {
	l.record(l.rows.Replace(rows, asOf), nil)
	l.tracker.AdvanceTo(asOf)
}

// pullFrom applies the newer rows of another instance, and all of its rows if the digests
// still differ.
func (l *replica) pullFrom(o *replica) {
	for _, after := range []mirror.Version{l.tracker.Version(), 0} {
		changed, upTo, digest := o.tracker.ChangedSince(after, func() []mirror.Row { return o.rows.Since(after) })
		since := map[string]mirror.Version{}
		var rows []mirror.Row
		for _, x := range changed {
			since[x.Key] = x.Since
			rows = append(rows, x.Row)
		}
		apply := l.rows.Apply
		if after == 0 {
			// Rows that are missing from the whole table were removed.
			apply = l.rows.Replace
		}
		l.record(apply(rows, upTo), since)
		if l.tracker.AdvanceIfEqual(upTo, digest) {
			return
		}
		if after == 0 {
			l.tracker.AdvanceTo(upTo)
		}
	}
}

// observe advances to the version of another instance if the digests are equal.
func (l *replica) observe(o *replica) {
	l.tracker.AdvanceIfEqual(o.tracker.Summary())
}

func TestIrrelevantChangesAreNotPulled(t *testing.T) {
	a, b := newReplica(), newReplica()
	a.read([]mirror.Row{{Key: "k", Value: []byte{1}, Version: 1}}, 1)
	b.pullFrom(a)
	a.read([]mirror.Row{{Key: "k", Value: []byte{3}, Version: 2}}, 2)
	b.observe(a)
	if a.tracker.Version() != 2 || b.tracker.Version() != 2 {
		t.Errorf("versions %d and %d, want 2 without a pull", a.tracker.Version(), b.tracker.Version())
	}
	a.read([]mirror.Row{{Key: "k", Value: []byte{4}, Version: 3}}, 3)
	b.observe(a)
	if b.tracker.Version() != 2 {
		t.Error("advanced over a relevant change without a pull")
	}
}

// TestNoChangeThatMattersIsLost lets two readers read a changing table at different times,
// and other instances pull from any that is ahead. An instance at the newest version must
// have the relevant part of every row.
func TestNoChangeThatMattersIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, version := map[string]mirror.Row{}, mirror.Version(0)
		all := []*replica{newReplica(), newReplica(), newReplica(), newReplica()}
		readers := all[:2]
		read := func(l *replica) {
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
				if b.tracker.Version() > a.tracker.Version() {
					a.pullFrom(b)
				}
			case 4:
				all[rapid.IntRange(0, 3).Draw(t, "observer")].observe(all[rapid.IntRange(0, 3).Draw(t, "observed")])
			case 5:
				version++
				k := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				table[k] = mirror.Row{Key: k, Version: version, Removed: true}
			case 6:
				// An instance restarts and reads the whole table, which has no removed rows.
				i := rapid.IntRange(0, 3).Draw(t, "starts")
				*all[i] = *newReplica()
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
			if l.tracker.Version() > best.tracker.Version() {
				best = l
			}
		}
		for i, l := range all {
			if l.tracker.Version() < best.tracker.Version() {
				l.pullFrom(best)
			}
			for k, r := range table {
				var got mirror.Row
				for _, x := range l.rows.Since(0) {
					if x.Key == k {
						got = x
					}
				}
				if found := got.Version != 0 && !got.Removed; found == r.Removed || found && got.Value[0]%2 != r.Value[0]%2 {
					t.Fatalf("instance %d has %v for %s, the table has %v", i, got, k, r)
				}
			}
		}
	})
}

// TestRecordIsAtomic records a table that lacks a row, while another goroutine reads the
// version. It must never see the newer rows without that removal.
func TestRecordIsAtomic(t *testing.T) {
	const rows = 2000
	m := mirror.NewChangeTracker[int]()
	m.Record([]mirror.Change[int]{{Key: "gone", Value: 1, Since: 1}})
	var changes []mirror.Change[int]
	for i := range rows {
		changes = append(changes, mirror.Change[int]{Key: fmt.Sprint(i), Value: 1, Since: mirror.Version(i + 2)})
	}
	changes = append(changes, mirror.Change[int]{Key: "gone", Since: rows + 2})
	done := make(chan struct{})
	go func() {
		m.Record(changes)
		close(done)
	}()
	for {
		if v, _ := m.Summary(); v != 1 && v != rows+2 {
			t.Fatalf("version %d while the rows up to %d are recorded", v, rows+2)
		}
		select {
		case <-done:
			return
		default:
		}
	}
}
