// Package memory is a stand-in of the platform's transactional store in the
// memory of a process, with the faults that the platform states.
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

// Store keeps rows. The function fields are seams for faults; each is asked
// at the call that it names, and nil means that nothing goes wrong.
type Store struct {
	// InjectFault returns an error instead of the answer. Done says whether the
	// call takes effect all the same.
	InjectFault func(call string) (done bool, err error)

	mu      sync.Mutex
	version mirror.Version
	rows    map[store.Key]mirror.Row
	// forgotten is the version up to which the history was discarded.
	forgotten mirror.Version
	changed   chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[store.Key]mirror.Row{}, changed: make(chan struct{})}
}

// Client returns the calls of the store.
func (s *Store) Client() *store.Store {
	return &store.Store{Transact: s.transact, Read: s.read, Watch: s.watch}
}

func (s *Store) inject(call string) (bool, error) {
	if s.InjectFault == nil {
		return true, nil
	}
	return s.InjectFault(call)
}

func (s *Store) transact(_ context.Context, t store.Transaction) (store.Result, error) {
	done, err := s.inject("transact")
	if !done {
		return store.Result{}, err
	}
	o := s.Apply(t)
	return o, err
}

// Apply does a transaction without a fault.
func (s *Store) Apply(t store.Transaction) store.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	maps.DeleteFunc(s.rows, func(_ store.Key, r mirror.Row) bool { return r.Removed })
}

func (s *Store) read(_ context.Context, table string) ([]mirror.Row, mirror.Version, error) {
	if done, err := s.inject("read"); !done || err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(table, -1, false), s.version, nil
}

func (s *Store) since(table string, after mirror.Version, removed bool) []mirror.Row {
	var out []mirror.Row
	for k, r := range s.rows {
		if k.Table == table && r.Version > after && (removed || !r.Removed) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b mirror.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (s *Store) watch(c context.Context, table string, after mirror.Version) ([]mirror.Row, mirror.Version, error) {
	for {
		if done, err := s.inject("watch"); !done || err != nil {
			return nil, 0, err
		}
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			return nil, 0, store.ErrCompacted
		}
		rows, v, changed := s.since(table, after, true), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return rows, v, nil
		}
		select {
		case <-changed:
		case <-c.Done():
			return nil, 0, store.ErrUnavailable
		}
	}
}
