package store_test

import (
	"context"
	"errors"
	"testing"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/transport/store"
)

// fake answers all calls with versions of counter 5, in an era of the test's choice.
type fake struct {
	era   mirror.Era
	calls int
	// after is called after each answer.
	after func()
	err   error
}

func (f *fake) store() *store.Store {
	answer := func() mirror.Era {
		f.calls++
		e := f.era
		if f.after != nil {
			f.after()
		}
		return e
	}
	return store.New(&store.Eras{}, store.Raw{
		Transact: func(context.Context, store.Transaction) (store.Result, mirror.Era, error) {
			return store.Result{Committed: true, Version: 5}, answer(), f.err
		},
		ReadPage: func(_ context.Context, _, after string) (store.Page, mirror.Era, error) {
			key := "a"
			if after != "" {
				key = "b"
			}
			return store.Page{Rows: []mirror.Row{{Key: key, Version: 5}}, Version: 5, More: after == ""}, answer(), f.err
		},
		Watch: func(context.Context, string, mirror.Version) (store.Page, mirror.Era, error) {
			return store.Page{Rows: []mirror.Row{{Key: "a", Version: 5}}, Version: 5}, answer(), f.err
		},
	})
}

func condition(v mirror.Version) store.Transaction {
	return store.Transaction{Expected: map[store.Key]mirror.Version{{Table: "t", Key: "a"}: v}}
}

func TestPagesOfTwoErasAreNotJoined(t *testing.T) {
	f := &fake{era: 1}
	s := f.store()
	if rows, v, err := s.Read(t.Context(), "t"); err != nil || len(rows) != 2 || v != mirror.NewVersion(1, 5) {
		t.Fatalf("%d rows of version %d, error %v", len(rows), v, err)
	}
	f.after = func() { f.era = 2 }
	if _, _, err := s.Read(t.Context(), "t"); !errors.Is(err, store.ErrRestored) {
		t.Errorf("error %v, want ErrRestored", err)
	}
	if rows, v, err := s.Read(t.Context(), "t"); err != nil || v != mirror.NewVersion(2, 5) || rows[1].Version != v {
		t.Errorf("version %d, rows %v, error %v after the change", v, rows, err)
	}
}

// A conditional write meets a version that has been given out again, so that its condition may hold
// by chance.
func TestConditionsOfAnotherEraAreNotSent(t *testing.T) {
	f := &fake{era: 1}
	s := f.store()
	if r, err := s.Transact(t.Context(), condition(0)); err != nil || r.Version != mirror.NewVersion(1, 5) {
		t.Fatalf("version %d, error %v", r.Version, err)
	}
	f.era = 2
	if _, err := s.Transact(t.Context(), condition(5)); !errors.Is(err, store.ErrRestored) || f.calls != 2 {
		t.Errorf("error %v after %d calls for the write that learns of the era", err, f.calls)
	}
	if _, err := s.Transact(t.Context(), condition(5)); !errors.Is(err, store.ErrRestored) || f.calls != 2 {
		t.Errorf("error %v, %d calls: the condition was sent", err, f.calls)
	}
	if r, err := s.Transact(t.Context(), condition(mirror.NewVersion(2, 4))); err != nil || r.Version != mirror.NewVersion(2, 5) {
		t.Errorf("version %d, error %v in the new era", r.Version, err)
	}
	if _, _, err := s.Watch(t.Context(), "t", 5); !errors.Is(err, store.ErrRestored) || f.calls != 3 {
		t.Errorf("error %v, %d calls: the watch after a version of the former era was sent", err, f.calls)
	}
}

// A store states its era only now and then, and rejects calls with it.
func TestAnswersWithoutAnEraAreOfTheKnownOne(t *testing.T) {
	f := &fake{era: 3, err: store.ErrRejected}
	s := f.store()
	if _, _, err := s.Watch(t.Context(), "t", mirror.NewVersion(3, 4)); !errors.Is(err, store.ErrRejected) || s.Eras.Current() != 3 {
		t.Errorf("error %v, era %d after a rejected call", err, s.Eras.Current())
	}
	f.era, f.err = 0, nil
	if _, v, err := s.Watch(t.Context(), "t", mirror.NewVersion(3, 4)); err != nil || v != mirror.NewVersion(3, 5) {
		t.Errorf("version %d, error %v without an era", v, err)
	}
	f.err = store.ErrUnavailable
	s = f.store()
	if _, err := s.Transact(t.Context(), condition(0)); !errors.Is(err, store.ErrUnavailable) || s.Eras.Known() {
		t.Errorf("error %v, an era is known: %v, though no answer came", err, s.Eras.Known())
	}
}
