package ownrow_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/coordination/ownrow"
	"gentiangauge.example/gentiangauge/standin/memory"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/transport/store"
)

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261205")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var key = store.Key{Table: "t", Key: "own"}

// lossyStore is a store that may give no answer to a transaction, and perform it later or never.
type lossyStore struct {
	*memory.Store
	// next are the next transactions: answered, lost before or lost after they are performed.
	loseBefore, loseAfter bool
	late                  []store.Transaction
}

func (s *lossyStore) client() *store.Store {
	raw := s.Raw()
	transact := raw.Transact
	raw.Transact = func(c context.Context, t store.Transaction) (store.Result, mirror.Era, error) {
		if s.loseBefore {
			s.late = append(s.late, t)
			return store.Result{}, 0, store.ErrUnavailable
		}
		r, e, err := transact(c, t)
		if s.loseAfter {
			return store.Result{}, 0, store.ErrUnavailable
		}
		return r, e, err
	}
	return store.New(&store.Eras{}, raw)
}

// value returns the value that the store has, or an empty one.
func (s *lossyStore) value(t *rapid.T, k *store.Store) (mirror.Row, mirror.Version) {
	rows, v, err := k.Read(context.Background(), key.Table)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if r.Key == key.Key {
			return r, v
		}
	}
	return mirror.Row{}, v
}

// Answers are lost, writes are performed late, and the store comes back from copies. A row that was acknowledged in
// the present era is not replaced by an earlier one of the same instance, and once the table has been read, the
// wanted value is written.
func TestRowHoldsTheWantedValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &lossyStore{Store: memory.New()}
		k := s.client()
		r, copies, wanted := ownrow.New(k, key), []memory.Copy{s.Copy()}, ""
		acknowledged := mirror.Era(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				wanted = fmt.Sprint("value ", i)
				r.Want([]byte(wanted))
				s.loseBefore, s.loseAfter = rapid.Bool().Draw(t, "lost before"), rapid.Bool().Draw(t, "lost after")
				err := r.Write(context.Background())
				s.loseBefore, s.loseAfter = false, false
				acknowledged = 0
				if err == nil {
					acknowledged = s.Era()
				}
			case 3:
				if len(s.late) > 0 {
					s.Apply(s.late[0])
					s.late = s.late[1:]
				}
			case 4:
				copies = append(copies, s.Copy())
			case 5:
				s.Restore(rapid.SampledFrom(copies).Draw(t, "copy"))
				// The counters of the conditions are given out again.
				s.late = nil
			case 6:
				r.Observe(s.value(t, k))
			}
			if x, _ := s.value(t, s.Client()); acknowledged == s.Era() && string(x.Value) != wanted {
				t.Fatalf("the store has %q, %q was acknowledged in this era", x.Value, wanted)
			}
		}
		if wanted == "" {
			return
		}
		r.Observe(s.value(t, k))
		if err := r.Write(context.Background()); err != nil {
			t.Fatal(err)
		}
		if x, _ := s.value(t, k); string(x.Value) != wanted || r.Differs() {
			t.Fatalf("the store has %q, wanted %q", x.Value, wanted)
		}
	})
}

// The store performs the removal of the row by the run of an instance that has ended after the next run has written
// it. The row must remain.
func TestLateRemovalDoesNotRemoveTheRowOfTheNextRun(t *testing.T) {
	s := &lossyStore{Store: memory.New()}
	before := ownrow.New(s.client(), key)
	before.Want([]byte("run 1"))
	if err := before.Write(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.loseBefore = true
	before.Want(nil)
	if err := before.Write(t.Context()); err == nil {
		t.Fatal("the answer was not lost")
	}
	s.loseBefore = false
	next := ownrow.New(s.client(), key)
	next.Want([]byte("run 2"))
	if err := next.Write(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.Apply(s.late[0])
	rows, _, err := s.Client().Read(t.Context(), key.Table)
	if err != nil || len(rows) != 1 || string(rows[0].Value) != "run 2" {
		t.Fatalf("rows %v, %v", rows, err)
	}
}
