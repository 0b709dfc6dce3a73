// Package ownrow writes rows of the store that belong to one instance.
package ownrow

import (
	"bytes"
	"context"
	"errors"
	"sync"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/transport/store"
)

// ErrContended means that the row has changed again and again between the attempts to write it.
var ErrContended = eris.New("row changes between the attempts to write it")

// maxAttempts bounds the transactions of one call of Write. The first may have the wrong condition, and the
// second meet a write that the store performs late.
const maxAttempts = 4

// Row is a row of the store that one instance writes. It holds what the store is known to have, and writes the
// wanted value where that differs.
//
// All writes have a condition. One that the store performs late, after it gave no answer, thus cannot replace a
// newer one, and what was acknowledged counts as stored only in the era of the acknowledgement. A Row is safe for
// concurrent use.
type Row struct {
	store *store.Store
	key   store.Key

	// writing is held during Write.
	writing sync.Mutex
	mu      sync.Mutex
	// wanted is the value that the store should have, or nil for no row.
	wanted []byte
	// stored is the row that the store had in an era, or one of version 0 if it had none. It is not known if the
	// era is 0.
	stored mirror.Row
	era    mirror.Era
}

// New returns a row of which it is not known whether the store has it. None is wanted.
func New(s *store.Store, k store.Key) *Row {
	return &Row{store: s, key: k}
}

// Want sets the value that the store should have. Nil stands for no row.
func (r *Row) Want(value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = value
}

// Observe records the row of a copy of its table that is complete as of a version. A row of version 0 means that
// the copy lacks it. A copy that is older than what is known is ignored.
func (r *Row) Observe(x mirror.Row, asOf mirror.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if asOf.Era() < r.era || asOf.Era() == r.era && asOf < r.stored.Version {
		return
	}
	r.set(x, asOf.Era())
}

func (r *Row) set(x mirror.Row, e mirror.Era) {
	if x.Removed {
		x = mirror.Row{}
	}
	r.stored, r.era = x, e
}

// Differs reports whether the store lacks the wanted value, or may lack it.
func (r *Row) Differs() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.differs()
}

func (r *Row) known() bool { return r.era != 0 && r.era == r.store.Eras.Current() }

func (r *Row) differs() bool {
	return !r.known() || (r.wanted == nil) != (r.stored.Version == 0) || !bytes.Equal(r.wanted, r.stored.Value)
}

// Write writes the wanted value unless the store has it. It fails with ErrContended, store.ErrUnavailable or
// store.ErrRejected.
func (r *Row) Write(c context.Context) error {
	r.writing.Lock()
	defer r.writing.Unlock()
	for range maxAttempts {
		t, due := r.transaction()
		if !due {
			return nil
		}
		o, err := r.store.Transact(c, t)
		switch {
		case errors.Is(err, store.ErrRestored):
			// Whether it was performed shows at the next attempt.
		case err != nil:
			return err
		case o.Committed:
			r.recordCommit(t, o.Version)
		default:
			r.mu.Lock()
			r.set(o.Current[r.key], r.store.Eras.Current())
			r.mu.Unlock()
		}
	}
	if r.Differs() {
		return eris.Wrapf(ErrContended, "%s/%s", r.key.Table, r.key.Key)
	}
	return nil
}

// transaction returns the transaction that stores the wanted value, and false if none is needed. If it is not
// known what the store has, the condition is that it has no row: the answer tells which one it has.
func (r *Row) transaction() (store.Transaction, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.differs() {
		return store.Transaction{}, false
	}
	var v mirror.Version
	if r.known() {
		v = r.stored.Version
	}
	t := store.Transaction{Expected: map[store.Key]mirror.Version{r.key: v}}
	if r.wanted == nil {
		t.Deletes = []store.Key{r.key}
	} else {
		t.Writes = []store.Write{{Key: r.key, Value: r.wanted}}
	}
	return t, true
}

func (r *Row) recordCommit(t store.Transaction, v mirror.Version) {
	x := mirror.Row{}
	if len(t.Writes) > 0 {
		x = mirror.Row{Key: r.key.Key, Value: t.Writes[0].Value, Version: v}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored, r.era = x, v.Era()
}
