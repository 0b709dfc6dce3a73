// Package store is what the program asks of the platform's transactional
// store: rows under conditions, whole tables, and their changes.
package store

import (
	"context"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/mirror"
)

// Errors of the store.
var (
	// ErrUnavailable says that the store gave no answer. A write may have
	// taken effect, or may take effect later while its conditions hold.
	ErrUnavailable = eris.New("the store gave no answer")
	// ErrRejected says that the store did nothing and may do so later.
	ErrRejected = eris.New("the store rejected the call")
	// ErrCompacted says that the changes after a version are not kept.
	ErrCompacted = eris.New("the store has discarded the history")
)

// Key names a row of a table.
type Key struct {
	Table string
	Key   string
}

// Write is a row to write.
type Write struct {
	Key
	Value []byte
}

// Transaction is done whole if each expected row has the version given. A
// version of 0 means that the row does not exist.
type Transaction struct {
	Expected map[Key]mirror.Version
	Writes   []Write
	Deletes  []Key
}

// Result is the answer to a transaction.
type Result struct {
	// Committed is false when a condition did not hold.
	Committed bool
	// Version is that of the transaction.
	Version mirror.Version
	// Current are the expected rows as they are when a condition did not hold.
	Current map[Key]mirror.Row
}

// Store is the platform's store. The function fields are filled by the
// adapter of the platform, and are seams for tests.
type Store struct {
	// Transact does a transaction. It fails with ErrUnavailable or
	// ErrRejected.
	Transact func(c context.Context, t Transaction) (Result, error)
	// Read returns the rows of a table and the version they are of.
	Read func(c context.Context, table string) ([]mirror.Row, mirror.Version, error)
	// Watch waits until rows of a table change after a version, and returns
	// them with the version up to which they are complete. No rows mean that
	// nothing changed for a while. It fails with ErrForgotten too.
	Watch func(c context.Context, table string, after mirror.Version) ([]mirror.Row, mirror.Version, error)
}
