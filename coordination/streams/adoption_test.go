package streams_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/state/software"
)

// restart ends a run of an instance and starts the next one, which has read what the store has.
func (f *fleet) restart(t *testing.T, from, to string) *streams.Registry {
	t.Helper()
	f.leave(from)
	r := f.restarted(t, to)
	learnEra(t, r)
	return r
}

// An instance begins streams that need records, starts again, and the store comes back from a copy that is older than
// the records. The new run took its own row for all that the instance has, so that streams of the run before were
// taken to have begun as planned (review/15).
func TestRecordsOfEarlierRunsAreWrittenAgainAfterARestore(t *testing.T) {
	for _, runs := range []int{2, 3} {
		t.Run(fmt.Sprint(runs, " runs"), func(t *testing.T) {
			f, _, b := newMixedFleet(t)
			a := f.restarted(t, "c.1")
			old := f.store.Copy()
			var begun []software.Stream
			for i := range runs {
				x := deviating(a, fmt.Sprint("s", i))
				a.Begin(x)
				begun = append(begun, x)
				f.awaitRecord(t, fmt.Sprint("c.", i+1), i+1)
				if i+1 < runs {
					a = f.restart(t, fmt.Sprint("c.", i+1), fmt.Sprint("c.", i+2))
					f.awaitRecord(t, fmt.Sprint("c.", i+2), i+1)
				}
			}
			f.store.Restore(old)
			for _, r := range f.all() {
				learnEra(t, r)
			}
			f.awaitRecord(t, fmt.Sprint("c.", runs), runs)
			// The instances cannot be asked: what the rows have must do.
			f.unreachable["c."+fmt.Sprint(runs)] = true
			for _, x := range begun {
				if v, ok := find(t, b, x); !ok || v != x.Version {
					t.Errorf("found at %q, %v; it began at %q", v, ok, x.Version)
				}
			}
		})
	}
}

// An instance starts after the store has come back, and the store comes back once more. The records of the run before
// are lost: that its new run has all of its own says nothing of them.
func TestRunThatStartsAfterARestoreDoesNotAnswerForTheRunBefore(t *testing.T) {
	f, a, b := newMixedFleet(t)
	old, first := f.store.Copy(), f.restarted(t, "c.1")
	first.Begin(deviating(a, "s"))
	f.awaitRecord(t, "c.1", 1)
	f.leave("c.1")
	f.store.Restore(old)
	learnEra(t, a)
	learnEra(t, b)
	c := f.restarted(t, "c.2")
	c.Begin(deviating(a, "other"))
	f.awaitRecord(t, "c.2", 1)
	f.uptime = time.Second
	for range 2 {
		// Records that were read before count no more.
		f.advance(time.Second)
		x := deviating(a, "s")
		if v, ok := find(t, b, x); ok {
			t.Errorf("found at %q, began at %q", v, x.Version)
		}
		f.store.Restore(f.store.Copy())
		for _, r := range []*streams.Registry{a, b, c} {
			learnEra(t, r)
		}
		f.awaitRows(t, 3, int64(f.store.Era()))
	}
}
