// Package feed keeps mirrors of the store's tables up to date: from the store or, if this
// instance does not read the store or cannot reach it, from other instances.
package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/contact"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/store"
)

// The backoff after a failed call starts at minBackoff and doubles with each failure, up to
// maxBackoff.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// readerCheckInterval is the time between two checks whether this instance must read.
	readerCheckInterval = 100 * time.Millisecond
)

// Feed keeps the mirror of one table up to date.
type Feed struct {
	Table  string
	Mirror *mirror.Mirror
	// OnChange is called with the rows that changed, in no particular order. Removed
	// rows may reappear within settlesIn if the store was unavailable.
	OnChange func(rows []mirror.Row, settlesIn time.Duration)
	// OnAnswer is called after each answer of the store, if it is not nil.
	OnAnswer func()
	// MinInterval is the minimum time between two calls, for tables whose rows change
	// often.
	MinInterval time.Duration
	// ReadsStore reports whether this instance reads the table from the store. If not,
	// other instances provide the rows. If it is nil, the instance always reads.
	ReadsStore func() bool
	// Peers counts the other readers by how they found the store. It may be nil if there
	// are none.
	Peers func() contact.Peers

	store *store.Store
	timer *timer.Service
	log   *zap.Logger

	// applyMu is held while rows are applied and reported as changed.
	applyMu      sync.Mutex
	mu           sync.Mutex
	contactState contact.Contact
}

// New returns a feed of the named table. Changed becomes its OnChange.
func New(table string, s *store.Store, t *timer.Service, log *zap.Logger, changed func(rows []mirror.Row, settlesIn time.Duration)) *Feed {
	return &Feed{Table: table, Mirror: mirror.New(), OnChange: changed, store: s, timer: t, log: log.Named("feed").With(zap.String("table", table))}
}

// Run follows the table until c ends. Each instance reads the whole table from the store
// once, also if other instances provide the changes afterwards.
func (f *Feed) Run(c context.Context) {
	backoff := minBackoff
	complete := false
	// rereads counts the whole reads since the last answer with changes.
	rereads := 0
	for c.Err() == nil {
		if complete {
			f.waitForTurn(c)
		}
		err := f.step(c, complete)
		switch {
		case err == nil:
			if complete {
				rereads, backoff = 0, minBackoff
			}
			complete = true
			f.recordCall(true, nil)
			if f.OnAnswer != nil {
				f.OnAnswer()
			}
			if f.MinInterval > 0 {
				_ = f.timer.Wait(c, f.MinInterval)
			}
			continue
		case c.Err() != nil:
			return
		case errors.Is(err, errAskAgain):
			continue
		case errors.Is(err, store.ErrCompacted), errors.Is(err, store.ErrRestored):
			f.log.Warn("changes since the version of the copy are not to be had; reading the whole table again", zap.Int64("has", int64(f.Mirror.Version())), zap.Error(err))
			if rereads++; rereads > 1 {
				// The whole read has not helped, so the next one will hardly do so at once.
				_ = f.timer.Wait(c, backoff)
				backoff = min(maxBackoff, 2*backoff)
			}
			complete = false
			continue
		}
		f.recordCall(false, err)
		_ = f.timer.Wait(c, backoff)
		backoff = min(maxBackoff, 2*backoff)
	}
}

// waitForTurn waits while other instances read the table for this one.
func (f *Feed) waitForTurn(c context.Context) {
	if f.ReadsStore == nil || f.ReadsStore() {
		return
	}
	f.log.Info("others read the table")
	f.mu.Lock()
	f.contactState.Failing = false
	f.mu.Unlock()
	for c.Err() == nil && !f.ReadsStore() {
		_ = f.timer.Wait(c, readerCheckInterval)
	}
	f.mu.Lock()
	f.contactState.Since, f.contactState.Cause = f.timer.Boot(), contact.Resumed
	f.mu.Unlock()
	f.log.Info("reading the table", zap.Int64("from", int64(f.Mirror.Version())))
}

// step reads the whole table or, if the mirror is complete, waits for changes.
func (f *Feed) step(c context.Context, complete bool) error {
	if !complete {
		rows, v, err := f.store.Read(c, f.Table)
		if err != nil {
			return err
		}
		if has := f.Mirror.Version(); v < has {
			f.log.Warn("the store has a lower version than before", zap.Int64("has", int64(has)), zap.Int64("store", int64(v)))
		}
		f.Replace(rows, v, f.notify)
		return nil
	}
	rows, v, err := f.watch(c, f.Mirror.Version())
	if err != nil {
		return err
	}
	f.Apply(rows, v, f.notify)
	return nil
}

// errAskAgain means that a wait for changes was ended because its call is lost, or may be.
var errAskAgain = eris.New("the store answers other calls")

// minWait is the time after which a wait for changes that fails has lost its connection if the store has answered
// other calls lately. One that fails sooner may be refused at once again.
const minWait = time.Second

// watch waits for changes after a version, until a newer era is known or the store answers after a silence: it may
// have passed that version again, or have lost the call, and would then answer only at the next change or never.
func (f *Feed) watch(c context.Context, after mirror.Version) ([]mirror.Row, mirror.Version, error) {
	x, cancel := context.WithCancel(c)
	defer cancel()
	changed, outage := f.store.Eras.Changed(after.Era()), f.store.Outages.End()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-outage.Done:
			cancel()
		case <-x.Done():
		}
	}()
	began := f.timer.Boot()
	rows, v, err := f.store.Watch(x, f.Table, after)
	if err == nil || c.Err() != nil {
		return rows, v, err
	}
	if x.Err() == nil {
		if errors.Is(err, store.ErrUnavailable) && f.timer.Boot()-began >= minWait && f.store.Outages.Silence() < store.MaxSilence {
			f.log.Info("wait for changes has lost its connection", zap.Int64("after", int64(after)), zap.Error(err))
			return nil, 0, errAskAgain
		}
		return rows, v, err
	}
	select {
	case <-changed:
		return nil, 0, eris.Wrapf(store.ErrRestored, "the wait for changes after a version of era %d was ended", after.Era())
	default:
	}
	if outage.Failed {
		return nil, 0, eris.Wrap(store.ErrUnavailable, "calls have failed during the wait for changes")
	}
	return nil, 0, errAskAgain
}

// PeerSettlesIn returns the time during which a row that is missing from the rows of another
// instance may still reappear. SettlesIn is the value of that instance, which may not have waited
// since the store came back from a copy.
func (f *Feed) PeerSettlesIn(settlesIn time.Duration) time.Duration {
	return max(settlesIn, f.Contact().RestoreSettlesIn(f.timer.Boot()))
}

// Apply applies rows that are complete up to a version, and calls changed with those that
// are newer than the mirror's. Rows that come from the store and from an instance at the
// same time are applied one after the other; otherwise the older of two versions of a row
// could be passed to changed last.
func (f *Feed) Apply(rows []mirror.Row, upTo mirror.Version, changed func(rows []mirror.Row)) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if l := f.Mirror.Apply(rows, upTo); len(l) > 0 {
		changed(l)
	}
}

// Replace replaces the mirror with the whole table as of a version, and calls changed as
// Apply does. A version of a newer era means that the store has come back from a copy.
func (f *Feed) Replace(rows []mirror.Row, asOf mirror.Version, changed func(rows []mirror.Row)) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if has := f.Mirror.Version(); has != 0 && asOf.Era() > has.Era() {
		f.recordRestored()
	}
	if l := f.Mirror.Replace(rows, asOf); len(l) > 0 {
		changed(l)
	}
}

// notify calls OnChange with the changed rows.
func (f *Feed) notify(rows []mirror.Row) {
	f.OnChange(rows, f.SettlesIn())
}

// recordCall records whether a call to the store succeeded.
func (f *Feed) recordCall(ok bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k, now := &f.contactState, f.timer.Boot()
	switch {
	case ok && !k.Reached:
		*k = contact.Contact{Reached: true, Since: now, Cause: contact.Started, RestoredAt: k.RestoredAt}
	case ok && k.Failing:
		*k = contact.Contact{Reached: true, Since: now, Cause: contact.Regained, RestoredAt: k.RestoredAt}
		f.log.Info("store regained")
	case !ok && !k.Failing:
		k.Failing = true
		f.log.Warn("store lost", zap.Error(err))
	}
}

// recordRestored records that the store has come back from a copy: rows that were written since
// are missing, and their writers write them again.
func (f *Feed) recordRestored() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactState.RestoredAt = f.timer.Boot()
}

// Failing reports whether the last call to the store failed, or none has succeeded yet.
func (f *Feed) Failing() bool {
	k := f.Contact()
	return k.Failing || !k.Reached
}

// Contact returns the record of this instance's calls to the store.
func (f *Feed) Contact() contact.Contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contactState
}

// SettlesIn returns the time during which a row that is missing now may still reappear.
func (f *Feed) SettlesIn() time.Duration {
	var p contact.Peers
	if f.Peers != nil {
		p = f.Peers()
	}
	return f.Contact().SettlesIn(p, f.timer.Boot())
}
