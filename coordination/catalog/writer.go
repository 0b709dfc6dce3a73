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

// ErrNoChange says that the lists already are as wanted.
var ErrNoChange = eris.New("there is nothing to change")

// ErrOutcomeUnknown says that the table gave no answer, so that the change
// may or may not have been accepted.
var ErrOutcomeUnknown = eris.New("it is not known whether the change was accepted")

// ConflictError says that another operator's changes came between.
type ConflictError struct {
	Base    lists.Version
	Current lists.Version
	Steps   []lists.Step
}

// Error lists the other operator's steps line by line.
func (r *ConflictError) Error() string {
	lines := []string{"the lists changed since they were read:"}
	for _, s := range r.Steps {
		lines = append(lines, "  "+s.String())
	}
	return strings.Join(lines, "\n")
}

const (
	snapshotEvery = 64
	keptRows      = 2 * keptChanges
	writeTries    = 4
)

// Writer accepts operators' changes into the table.
type Writer struct {
	table   *provider.Table
	objects *provider.Objects
	// NewID returns a new change id. It is a seam for tests.
	NewID func() string
}

// NewWriter returns a writer.
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

// Commit accepts the steps that build returns for the newest lists. Build is
// called again when another operator's change came first. It returns the
// accepted version, ErrNoChange, ErrOutcomeUnknown, or the error of build.
func (w *Writer) Commit(x context.Context, build func(*lists.State) ([]lists.Step, error)) (lists.Version, error) {
	id := w.NewID()
	failure := eris.Wrap(provider.ErrConflict, "other operators change the lists at the same time")
	for range writeTries {
		v, err := w.try(x, id, build)
		switch {
		case errors.Is(err, ErrOutcomeUnknown):
			failure = err
		case !errors.Is(err, provider.ErrConflict):
			return v, err
		}
	}
	return 0, failure
}

// try keeps the id of the change, so that a late write of an earlier try is
// recognized.
func (w *Writer) try(x context.Context, id string, build func(*lists.State) ([]lists.Step, error)) (lists.Version, error) {
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
		return change.Version, w.settle(x, change, provider.ErrConflict)
	default:
		return change.Version, w.settle(x, change, ErrOutcomeUnknown)
	}
}

// settle finds out whether a change with a lost answer was accepted. It
// returns nil when it was, ErrConflict when another one took its place, and
// otherwise the error unknown: a late write may still take effect.
func (w *Writer) settle(x context.Context, change lists.Change, unknown error) error {
	for range writeTries {
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
	if change.Version%snapshotEvery == 0 {
		w.snapshot(x, after, &h)
	}
	if old := change.Version - keptRows; old > 0 && old < h.SnapshotVersion {
		t.Deletes = append(t.Deletes, changeRow(old))
	}
	t.Puts = append(t.Puts, provider.Put{Key: HeadRow, Value: encodeHead(h)})
	return t
}

// snapshot names the new snapshot in the head only when it was stored.
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
	rows, err := w.table.List(x, changePrefix, changeRow(after), readChanges)
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

var discard = timeline.New("", 1, time.Now)
