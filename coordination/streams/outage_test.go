package streams_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/state/software"
	"gentiangauge.example/gentiangauge/transport/store"
)

// fail has all calls of some kinds to the store fail.
func (f *fleet) fail(calls ...string) { f.failing.Store(&calls) }

func (f *fleet) injectFault(call string) (bool, error) {
	if call == "transact" {
		f.transactions.Add(1)
	}
	if f.hanging.Load() {
		<-f.hang
		return false, errors.New("away")
	}
	if l := f.failing.Load(); l != nil && slices.Contains(*l, call) {
		return false, errors.New("away")
	}
	return true, nil
}

// newMixedFleet returns two instances that know a settled split of two versions.
func newMixedFleet(t *testing.T) (f *fleet, a, b *streams.Registry) {
	f = newFleet()
	f.store.InjectFault = f.injectFault
	f.serving = map[software.Version]int{v1: 9, v2: 9}
	a = f.add(t, "a")
	a.Step(t.Context())
	b = f.add(t, "b")
	a.ObserveStoreTime(2 * time.Hour)
	b.ObserveStoreTime(2 * time.Hour)
	a.Step(t.Context())
	return f, a, b
}

// deviating returns a stream that begins at another version than the planned one.
func deviating(r *streams.Registry, name string) software.Stream {
	x := stream(name, v1)
	if p, _ := r.Planned(service, x.Slot); p == v1 {
		x.Version = v2
	}
	return x
}

// The store takes no records any more, while its feeds do not fail. No further stream may deviate: callers
// could not take it up.
func TestStreamsDoNotDeviateWhileRecordsCannotBeWritten(t *testing.T) {
	f, a, _ := newMixedFleet(t)
	if !a.MayDeviate(service) {
		t.Fatal("no stream may deviate at first")
	}
	f.fail("transact")
	a.Begin(deviating(a, "s"))
	for end := time.Now().Add(timeout); a.MayDeviate(service); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("streams may deviate though records cannot be written")
		}
	}
	f.fail()
	for end := time.Now().Add(timeout); !a.MayDeviate(service); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no stream may deviate though records are written again")
		}
	}
}

// The store does not answer at all, so that the writes of records take long to fail.
func TestStreamsDoNotDeviateWhileARecordIsBeingWritten(t *testing.T) {
	f, a, _ := newMixedFleet(t)
	t.Cleanup(func() { close(f.hang) })
	f.hanging.Store(true)
	a.Begin(deviating(a, "s"))
	for end := time.Now().Add(timeout); a.MayDeviate(service); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("streams may deviate though no record has been written")
		}
	}
}

// The records cannot be read as a stream is taken up that has deviated. It is not taken to have begun as
// planned: the instance that began it is asked, and if it or another one does not answer, the version is
// unknown.
func TestUnreadableRecordsAreNotTakenForNone(t *testing.T) {
	f, a, b := newMixedFleet(t)
	f.add(t, "c")
	x := deviating(a, "s")
	planned := stream("planned", v1)
	planned.Version, _ = a.Planned(service, planned.Slot)
	f.fail("transact", "read")
	a.Begin(x)
	if v, ok := find(t, b, x); !ok || v != x.Version {
		t.Errorf("found at %q, %v; it began at %q", v, ok, x.Version)
	}
	if v, ok := find(t, b, planned); !ok || v != planned.Version {
		t.Errorf("a stream that nobody has seen to deviate is found at %q, %v", v, ok)
	}
	f.unreachable["a"] = true
	if v, ok := find(t, b, x); ok {
		t.Errorf("found at %q, though the instance that began it does not answer", v)
	}
	f.unreachable = map[string]bool{"c": true}
	if v, ok := find(t, b, x); !ok || v != x.Version {
		t.Errorf("found at %q, %v, though the instance that began it answers", v, ok)
	}
	if v, ok := find(t, b, planned); ok {
		t.Errorf("a stream is found at %q, though one instance does not answer", v)
	}
	f.unreachable, f.uptime = map[string]bool{}, time.Second
	if v, ok := find(t, b, planned); ok {
		t.Errorf("a stream is found at %q, though an instance has just started", v)
	}
}

// The store comes back after an outage. Records are read again.
func TestRecordsAreReadAfterAnOutage(t *testing.T) {
	f, a, b := newMixedFleet(t)
	x := deviating(a, "s")
	f.fail("read")
	a.Begin(x)
	f.unreachable["a"] = true
	if v, ok := find(t, b, x); ok {
		t.Errorf("found at %q", v)
	}
	f.fail()
	eventuallyFound(t, b, x)
}

// Many streams are taken up at once while the store is away. Each instance is asked a few times for all of
// them.
func TestInquiriesAreShared(t *testing.T) {
	f, a, b := newMixedFleet(t)
	f.fail("transact", "read")
	asked := 0
	b.Ask = func(_ context.Context, ids []software.StreamID) streams.Answer {
		asked++
		time.Sleep(20 * time.Millisecond)
		return f.ask("b", ids)
	}
	find(t, b, deviating(a, "first"))
	var w sync.WaitGroup
	for i := range 200 {
		x := deviating(a, fmt.Sprint("s", i))
		a.Begin(x)
		w.Go(func() {
			if v, ok := find(t, b, x); !ok || v != x.Version {
				t.Errorf("%d: found at %q, %v; it began at %q", i, v, ok, x.Version)
			}
		})
	}
	w.Wait()
	if asked > 10 {
		t.Errorf("the other instances were asked %d times", asked)
	}
}

// newFleetInRelease returns two instances that know of one version. Another one has joined, and the first
// instance has written the split for both.
func newFleetInRelease(t *testing.T) (f *fleet, a, b *streams.Registry) {
	f = newFleet()
	f.store.InjectFault = f.injectFault
	f.serving = map[software.Version]int{v1: 9}
	a = f.add(t, "a")
	a.Step(t.Context())
	b = f.add(t, "b")
	f.serving = map[software.Version]int{v1: 1, v2: 9}
	time.Sleep(1100 * time.Millisecond)
	a.Step(t.Context())
	if len(f.splits(t)) == 0 {
		t.Fatal("no split was written")
	}
	return f, a, b
}

// An instance has stood still or has been cut off, while others have begun streams by a split that it does
// not know. It takes no stream to have begun by the one that it knows: it reads the splits, or does not know.
func TestInstanceOutOfStepDoesNotAnswerByItsOldSplit(t *testing.T) {
	for name, reachable := range map[string]bool{"stood still": true, "cut off": false} {
		t.Run(name, func(t *testing.T) {
			f, a, b := newFleetInRelease(t)
			f.configure(100 * time.Millisecond)
			a.ObserveStoreTime(2 * time.Hour)
			b.ObserveStoreTime(2 * time.Hour)
			f.age = 5 * time.Second
			if !reachable {
				f.fail("read")
			}
			for i := range software.Slot(64) {
				x := software.Stream{ID: software.StreamID(i), Service: string(service), Slot: i}
				x.Version, _ = a.Planned(service, i)
				v, ok := b.Find(t.Context(), service, i, x.ID)
				if ok && v != x.Version || ok != reachable {
					t.Fatalf("slot %d: found at %q, %v; it began at %q", i, v, ok, x.Version)
				}
			}
		})
	}
}

// Another version joins, and one instance knows of the new split before another one does, which is at most
// as late as instances in step are.
func TestNewSplitIsUsedOnceAllInstancesKnowIt(t *testing.T) {
	_, a, b := newFleetInRelease(t)
	for i := range software.Slot(64) {
		x := software.Stream{ID: software.StreamID(i), Service: string(service), Slot: i}
		x.Version, _ = a.Planned(service, i)
		if v, ok := b.Find(t.Context(), service, i, x.ID); ok && v != x.Version {
			t.Fatalf("slot %d: found at %q, planned at %q", i, v, x.Version)
		}
	}
	if a.MayDeviate(service) {
		t.Error("streams may deviate before all instances know that several versions serve")
	}
}

// splits returns the stored splits.
func (f *fleet) splits(t *testing.T) (out []store.Key) {
	rows, _, err := f.store.Client().Read(t.Context(), "fleet")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		out = append(out, store.Key{Table: "fleet", Key: r.Key})
	}
	return out
}
