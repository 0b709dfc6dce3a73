package catalog

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// ErrNoChange is returned if the lists already have the requested content.
var ErrNoChange = eris.New("there is nothing to change")

// ErrOutcomeUnknown is returned if the table did not answer, so that the change may or may
// not have been accepted.
var ErrOutcomeUnknown = eris.New("it is not known whether the change was accepted")

// ConflictError is returned if other operators changed the lists since they were read.
type ConflictError struct {
	Base    lists.Version
	Current lists.Version
	Steps   []lists.Step
}

// Error lists the other operators' steps, one in each line.
func (r *ConflictError) Error() string {
	lines := []string{"the lists changed since they were read:"}
	for _, s := range r.Steps {
		lines = append(lines, "  "+s.String())
	}
	return strings.Join(lines, "\n")
}

const (
	// snapshotInterval is the number of changes between two snapshots.
	snapshotInterval = 64
	// maxChangeRows is the number of change rows that the table keeps.
	maxChangeRows = 2 * maxRecentChanges
	writeAttempts = 4
)

// Writer writes operators' changes to the table.
type Writer struct {
	table   *provider.Table
	objects *provider.Objects
	// NewID returns a new change ID. Tests can replace it.
	NewID func() string
}

// NewWriter returns a Writer on a table and its object store.
func NewWriter(t *provider.Table, o *provider.Objects) *Writer {
	return &Writer{table: t, objects: o, NewID: newID}
}

const idBytes = 16

func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Read returns the newest accepted lists and the version of the head row.
func (w *Writer) Read(x context.Context) (*lists.State, provider.RowVersion, error) {
	row, err := w.table.Get(x, HeadRow)
	if err != nil {
		return nil, 0, err
	}
	h, err := DecodeHead(row.Value)
	if err != nil {
		return nil, 0, err
	}
	c := New(w.table, w.objects, discard)
	if err := c.CatchUp(x, h); err != nil {
		return nil, 0, err
	}
	return c.State(), row.Version, nil
}

// Commit writes a change with the steps that build returns for the newest lists. Build is
// called again if another operator's change was accepted first. Commit returns the
// accepted version, and fails with ErrNoChange, ErrOutcomeUnknown, provider.ErrConflict
// after several attempts, or the error of build.
func (w *Writer) Commit(x context.Context, build func(*lists.State) ([]lists.Step, error)) (lists.Version, error) {
	id := w.NewID()
	failure := eris.Wrapf(provider.ErrConflict, "change not accepted in %d attempts: other operators are changing the lists", writeAttempts)
	for range writeAttempts {
		v, err := w.attempt(x, id, build)
		switch {
		case errors.Is(err, ErrOutcomeUnknown):
			failure = err
		case !errors.Is(err, provider.ErrConflict):
			return v, err
		}
	}
	return 0, failure
}

// attempt tries once to write a change. All attempts use the same change ID, so that a late
// write of an earlier attempt is recognized.
func (w *Writer) attempt(x context.Context, id string, build func(*lists.State) ([]lists.Step, error)) (lists.Version, error) {
	s, head, err := w.Read(x)
	if err != nil {
		return 0, err
	}
	steps, err := build(s)
	if err != nil {
		return 0, err
	}
	if len(steps) == 0 {
		return s.Version, ErrNoChange
	}
	change := lists.Change{Version: s.Version + 1, ID: id, Steps: steps}
	after, err := s.Apply(change)
	if err != nil {
		return 0, err
	}
	err = w.table.Transact(x, w.transaction(x, change, after, head))
	switch {
	case err == nil:
		return change.Version, nil
	case errors.Is(err, provider.ErrConflict):
		return change.Version, w.resolveOutcome(x, change, provider.ErrConflict)
	default:
		return change.Version, w.resolveOutcome(x, change, ErrOutcomeUnknown)
	}
}

// resolveOutcome finds out whether a change was accepted whose write was not confirmed. It
// returns nil if it was, provider.ErrConflict if another change has its version, and
// otherwise the error unknown: a late write may still take effect.
func (w *Writer) resolveOutcome(x context.Context, change lists.Change, unknown error) error {
	for range writeAttempts {
		row, err := w.table.Get(x, changeRow(change.Version))
		if err != nil {
			continue
		}
		if row.Version == 0 {
			return unknown
		}
		stored, err := lists.DecodeChange([]byte(row.Value))
		if err == nil && stored.ID == change.ID {
			return nil
		}
		return provider.ErrConflict
	}
	return unknown
}

// transaction returns the transaction that accepts a change: it writes the change and the
// head, and deletes the oldest change row if a snapshot covers it.
func (w *Writer) transaction(x context.Context, change lists.Change, after *lists.State, head provider.RowVersion) provider.Transaction {
	h := Head{Version: change.Version}
	if old, err := w.table.Get(x, HeadRow); err == nil {
		previous, _ := DecodeHead(old.Value)
		h.Snapshot, h.SnapshotVersion = previous.Snapshot, previous.SnapshotVersion
	}
	t := provider.Transaction{
		Conditions: []provider.Condition{{Key: HeadRow, Version: head}, {Key: changeRow(change.Version)}},
		Puts:       []provider.Put{{Key: changeRow(change.Version), Value: string(lists.EncodeChange(change))}},
	}
	if change.Version%snapshotInterval == 0 {
		w.snapshot(x, after, &h)
	}
	if old := change.Version - maxChangeRows; old > 0 && old < h.SnapshotVersion {
		t.Deletes = append(t.Deletes, changeRow(old))
	}
	t.Puts = append(t.Puts, provider.Put{Key: HeadRow, Value: encodeHead(h)})
	return t
}

// snapshot stores a snapshot and names it in the head. If that fails, the head keeps the
// previous snapshot.
func (w *Writer) snapshot(x context.Context, s *lists.State, h *Head) {
	data := lists.EncodeState(s)
	sum := sha256.Sum256(data)
	name := "lists-" + hex.EncodeToString(sum[:])
	if err := w.objects.Put(x, name, data); err != nil {
		return
	}
	h.Snapshot, h.SnapshotVersion = name, s.Version
}

// StepsSince returns the steps accepted after a version.
func (w *Writer) StepsSince(x context.Context, after lists.Version) ([]lists.Step, error) {
	var steps []lists.Step
	rows, err := w.table.List(x, changePrefix, changeRow(after), changesPerRead)
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		change, err := lists.DecodeChange([]byte(r.Value))
		if err != nil {
			return nil, err
		}
		steps = append(steps, change.Steps...)
	}
	return steps, nil
}

// discard is a recorder for catalogs that only read the lists.
var discard = timeline.New("", 1, time.Now)
