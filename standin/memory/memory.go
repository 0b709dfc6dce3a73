// Package memory is an in-memory test double of the platform's transactional store. Tests can
// inject the faults that the platform documents.
package memory

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/transport/store"
)

// Store is an in-memory table store that keeps one current version of each row.
type Store struct {
	// InjectFault is called with the name of each call: transact, read or watch. The
	// call returns err if it is not nil; done reports whether a transaction takes effect
	// all the same. If InjectFault is nil, no call fails.
	InjectFault func(call string) (done bool, err error)

	mu      sync.Mutex
	version mirror.Version
	era     mirror.Era
	rows    map[store.Key]mirror.Row
	// compacted is the version up to which deletions have been discarded.
	compacted mirror.Version
	// changed is closed and replaced at every commit.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, rows: map[store.Key]mirror.Row{}, changed: make(chan struct{})}
}

// Raw returns the calls of the store, to which InjectFault applies.
func (s *Store) Raw() store.Raw {
	return store.Raw{Transact: s.transact, ReadPage: s.readPage, Watch: s.watch}
}

// Client returns a client of the store, to which InjectFault applies.
func (s *Store) Client() *store.Store {
	return store.New(&store.Eras{}, s.Raw())
}

// Copy is a copy of a store at one moment.
type Copy struct {
	version, compacted mirror.Version
	rows               map[store.Key]mirror.Row
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{version: s.version, compacted: s.compacted, rows: maps.Clone(s.rows)}
}

// Restore replaces the store by an earlier copy. What was written since is gone, its versions are
// given out again, and the era rises.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.compacted, s.rows = c.version, c.compacted, maps.Clone(c.rows)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the era of the store.
func (s *Store) Era() mirror.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) inject(call string) (bool, error) {
	if s.InjectFault == nil {
		return true, nil
	}
	return s.InjectFault(call)
}

func (s *Store) transact(_ context.Context, t store.Transaction) (store.Result, mirror.Era, error) {
	done, err := s.inject("transact")
	if !done {
		return store.Result{}, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.apply(t)
	if err != nil {
		// The answer is lost.
		return o, 0, err
	}
	return o, s.era, nil
}

// Apply executes a transaction without calling InjectFault. Every commit increments the
// version of the store. Result.Current contains the rows of
// t.Expected as they were before the transaction.
func (s *Store) Apply(t store.Transaction) store.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(t)
}

func (s *Store) apply(t store.Transaction) store.Result {
	o := store.Result{Committed: true, Current: map[store.Key]mirror.Row{}}
	for k, want := range t.Expected {
		r := s.rows[k]
		if r.Removed {
			r = mirror.Row{}
		}
		r.Key = k.Key
		o.Current[k] = r
		if r.Version != want {
			o.Committed = false
		}
	}
	if !o.Committed {
		return o
	}
	s.version++
	for _, w := range t.Writes {
		s.rows[w.Key] = mirror.Row{Key: w.Key.Key, Value: slices.Clone(w.Value), Version: s.version}
	}
	for _, k := range t.Deletes {
		s.rows[k] = mirror.Row{Key: k.Key, Version: s.version, Removed: true}
	}
	o.Version = s.version
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// Compact discards the deleted rows. A later watch from an older version, or from one that the store
// does not have, fails with store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version
	maps.DeleteFunc(s.rows, func(_ store.Key, r mirror.Row) bool { return r.Removed })
}

// readPage returns all rows, as one page.
func (s *Store) readPage(_ context.Context, table, _ string) (store.Page, mirror.Era, error) {
	if done, err := s.inject("read"); !done || err != nil {
		return store.Page{}, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.Page{Rows: s.rowsSince(table, -1, false), Version: s.version}, s.era, nil
}

// rowsSince returns the rows of a table that changed after a version, ordered by key, with the
// deleted rows if removed is true.
func (s *Store) rowsSince(table string, after mirror.Version, removed bool) []mirror.Row {
	var out []mirror.Row
	for k, r := range s.rows {
		if k.Table == table && r.Version > after && (removed || !r.Removed) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b mirror.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// watch blocks until rows of the table have changed after the given version. It breaks off as the
// store is replaced by a copy.
func (s *Store) watch(c context.Context, table string, after mirror.Version) (store.Page, mirror.Era, error) {
	era := s.Era()
	for {
		if done, err := s.inject("watch"); !done || err != nil {
			return store.Page{}, 0, err
		}
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			return store.Page{}, 0, store.ErrUnavailable
		}
		if after < s.compacted || after > s.version {
			s.mu.Unlock()
			return store.Page{}, era, store.ErrCompacted
		}
		rows, v, changed := s.rowsSince(table, after, true), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return store.Page{Rows: rows, Version: v}, era, nil
		}
		select {
		case <-changed:
		case <-c.Done():
			return store.Page{}, 0, store.ErrUnavailable
		}
	}
}
