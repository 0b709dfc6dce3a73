// Package store declares the interface to the platform's transactional store:
// conditional writes of rows, reads of whole tables, and watches for changes.
package store

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/mirror"
)

// Errors returned by Store.
var (
	// ErrUnavailable means that the store did not answer. A write may have taken effect,
	// or may still take effect while its conditions hold.
	ErrUnavailable = eris.New("store did not answer")
	// ErrRejected means that the store did not execute the call. A later attempt may
	// succeed.
	ErrRejected = eris.New("store rejected the call")
	// ErrCompacted means that the store no longer keeps the changes after the requested
	// version.
	ErrCompacted = eris.New("store no longer keeps the changes after this version")
	// ErrRestored means that the store has come back from a copy since a version of the call was
	// read. A conditional write may have taken effect.
	ErrRestored = eris.New("store has come back from a copy since this version")
)

// Key identifies a row of a table.
type Key struct {
	Table string
	Key   string
}

// Write is a row to be written.
type Write struct {
	Key
	Value []byte
}

// CheckEra fails with ErrRestored if a transaction has a condition on a version of another era.
func (t Transaction) CheckEra(current mirror.Era) error {
	for k, v := range t.Expected {
		if v != 0 && v.Era() != current {
			return eris.Wrapf(ErrRestored, "row %s/%s of era %d", k.Table, k.Key, v.Era())
		}
	}
	return nil
}

// Transaction is applied completely if every expected row has the given version, and
// not at all otherwise. Version 0 means that the row does not exist.
type Transaction struct {
	Expected map[Key]mirror.Version
	Writes   []Write
	Deletes  []Key
}

// Result is the result of a transaction.
type Result struct {
	// Committed is false if a condition did not hold.
	Committed bool
	// Version is the version of the transaction.
	Version mirror.Version
	// Current holds the current expected rows if a condition did not hold.
	Current map[Key]mirror.Row
}

// Store is the client of the platform's store. The implementation sets the function
// fields; tests may replace them.
type Store struct {
	// Eras holds the newest era that an answer has stated.
	Eras *Eras
	// Outages tells when the store answers again.
	Outages *Outages
	// OnTime is called with the time of the store, a steady clock, in each answer that states it. Nil
	// ignores it.
	OnTime func(t time.Duration)
	// Transact executes a transaction. It fails with ErrUnavailable, ErrRejected or ErrRestored.
	Transact func(c context.Context, t Transaction) (Result, error)
	// Read returns the rows of a table and the version at which they were read.
	Read func(c context.Context, table string) ([]mirror.Row, mirror.Version, error)
	// Watch waits until rows of a table change after a version, and returns the changed
	// rows with the version up to which they are complete. No rows mean that nothing
	// changed within the store's waiting time. It can also fail with ErrCompacted and ErrRestored.
	Watch func(c context.Context, table string, after mirror.Version) ([]mirror.Row, mirror.Version, error)
}

// Eras holds the newest known era of the store. It is safe for concurrent use.
type Eras struct {
	// OnChange is called with each newer era. Nil ignores it.
	OnChange func(old, current mirror.Era)
	// OnInvalid is called with the quoted text of an era that cannot be read. Nil ignores it.
	OnInvalid func(text string)

	mu      sync.Mutex
	current mirror.Era
	// changed is closed at the next change, if it is not nil.
	changed chan struct{}
}

// Changed returns a channel that is closed as soon as an era newer than e is known.
func (x *Eras) Changed(e mirror.Era) <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.changed == nil {
		x.changed = make(chan struct{})
	}
	c := x.changed
	if x.current > e {
		c = make(chan struct{})
		close(c)
	}
	return c
}

// Current returns the newest known era, or the first one if none is known.
func (x *Eras) Current() mirror.Era {
	x.mu.Lock()
	defer x.mu.Unlock()
	return max(x.current, 1)
}

// Known reports whether any era is known.
func (x *Eras) Known() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.current != 0
}

// Observe records an era that the store or another instance has stated. It returns the newest
// known one.
func (x *Eras) Observe(e mirror.Era) mirror.Era {
	x.mu.Lock()
	old := x.current
	x.current = max(old, e)
	current := x.current
	if current > old && x.changed != nil {
		close(x.changed)
		x.changed = nil
	}
	x.mu.Unlock()
	if current > old && x.OnChange != nil {
		x.OnChange(old, current)
	}
	return current
}
