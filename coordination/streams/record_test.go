package streams_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/state/software"
	"gentiangauge.example/gentiangauge/transport/store"
)

// loseFirstRecord has the store give no answer to the first write of records of a registry, and returns a channel
// that receives the write, which the store may perform later.
func loseFirstRecord(r *streams.Registry) <-chan store.Transaction {
	lost := make(chan store.Transaction, 1)
	transact := r.Store.Transact
	r.Store.Transact = func(c context.Context, t store.Transaction) (store.Result, error) {
		if len(t.Writes) == 1 && t.Writes[0].Table == "streams" && cap(lost) > len(lost) {
			lost <- t
			r.Store.Transact = transact
			return store.Result{}, store.ErrUnavailable
		}
		return transact(c, t)
	}
	return lost
}

// restarted returns a registry that knows only what the store has.
func (f *fleet) restarted(t *testing.T, name string) *streams.Registry {
	r := f.add(t, name)
	r.ObserveStoreTime(2 * time.Hour)
	return r
}

// awaitRecord waits until the store has records of at least n streams of an instance.
func (f *fleet) awaitRecord(t *testing.T, key string, n int) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		rows, _, err := f.store.Client().Read(t.Context(), "streams")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range rows {
			if r.Key == key && len(decodeRecord(t, r.Value).Streams) >= n {
				return
			}
		}
	}
	t.Fatalf("the store has not got the records of %d streams of %s", n, key)
}

// The store gives no answer to a write of records and performs it after a newer one. The newer records must
// remain: their streams would be taken to have begun at the planned version.
func TestLateWriteDoesNotReplaceNewerRecords(t *testing.T) {
	f, a, _ := newMixedFleet(t)
	lost := loseFirstRecord(a)
	x, y := deviating(a, "first"), deviating(a, "second")
	a.Begin(x)
	late := <-lost
	a.Begin(y)
	f.awaitRecord(t, "a", 2)
	f.store.Apply(late)
	delete(f.registries, "a")
	c := f.restarted(t, "c")
	for _, s := range []software.Stream{x, y} {
		if v, ok := find(t, c, s); !ok || v != s.Version {
			t.Errorf("found at %q, %v; it began at %q", v, ok, s.Version)
		}
	}
}

// recordRow is the stored form of the records of an instance.
type recordRow struct {
	Streams map[string]uint16 `json:"streams"`
}

func decodeRecord(t *testing.T, value []byte) recordRow {
	t.Helper()
	var m recordRow
	if err := json.Unmarshal(value, &m); err != nil {
		t.Fatal(err)
	}
	return m
}
