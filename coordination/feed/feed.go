// Package feed keeps mirrors of the store's tables up to date, from the store
// and, while the store cannot be reached, from other instances.
package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/store"
)

// retry bounds the pause after a failed call; it doubles with each failure.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// dueLook is the time between two looks at whether this instance reads.
	dueLook = 100 * time.Millisecond
)

// Feed keeps the mirror of one table.
type Feed struct {
	Table  string
	Mirror *mirror.Mirror
	// Changed is called with the rows that changed, in no order. Steady is not
	// set while rows that are missing may come back, since the store was away.
	Changed func(rows []mirror.Row, steady bool)
	// Answered is called after each answer of the store, if it is not nil.
	Answered func()
	// Gap is the least time between two calls, for tables whose rows change
	// often.
	Gap time.Duration
	// Reads reports whether this instance reads the table. Otherwise others
	// tell it the rows. A nil function means that it does.
	Reads func() bool
	// PeersUnsteady reports whether the store was away lately by what others
	// tell. A nil function means that it was not.
	PeersUnsteady func() bool

	store *store.Store
	timer *timer.Service
	log   *zap.Logger

	// taking is held while rows are taken over.
	taking sync.Mutex
	mu     sync.Mutex
	// failing is set from the first failed call to the next good one.
	failing bool
	// restored is the instant of the good call after the last failure, and
	// resumed that of the last time that this instance took up reading.
	restored, resumed time.Duration
	began             bool
}

// SettleTime is how long the store has to be reachable before a missing row is
// believed at once: the two seconds in which rows of living upstreams return, and
// the delay of a call.
const SettleTime = 2300 * time.Millisecond

// New returns a feed of a table.
func New(table string, s *store.Store, t *timer.Service, log *zap.Logger, changed func(rows []mirror.Row, steady bool)) *Feed {
	return &Feed{Table: table, Mirror: mirror.New(), Changed: changed, store: s, timer: t, log: log.Named("feed").With(zap.String("table", table))}
}

// Run follows the table until c ends. The first rows are read by each instance
// itself.
func (f *Feed) Run(c context.Context) {
	pause := minRetry
	complete := false
	for c.Err() == nil {
		if complete {
			f.leave(c)
		}
		err := f.step(c, complete)
		switch {
		case err == nil:
			complete = true
			pause = minRetry
			f.contact(true, nil)
			if f.Answered != nil {
				f.Answered()
			}
			if f.Gap > 0 {
				_ = f.timer.Wait(c, f.Gap)
			}
			continue
		case c.Err() != nil:
			return
		case errors.Is(err, store.ErrForgotten):
			f.log.Info("history is gone; reading the table anew")
			complete = false
			continue
		}
		f.contact(false, err)
		_ = f.timer.Wait(c, pause)
		pause = min(maxRetry, 2*pause)
	}
}

// leave waits while others read the table.
func (f *Feed) leave(c context.Context) {
	if f.Reads == nil || f.Reads() {
		return
	}
	f.log.Info("others read the table")
	f.mu.Lock()
	f.failing = false
	f.mu.Unlock()
	for c.Err() == nil && !f.Reads() {
		_ = f.timer.Wait(c, dueLook)
	}
	f.mu.Lock()
	f.resumed = f.timer.Boot()
	f.mu.Unlock()
	f.log.Info("reading the table", zap.Int64("from", int64(f.Mirror.Version())))
}

func (f *Feed) step(c context.Context, complete bool) error {
	if !complete {
		rows, v, err := f.store.Read(c, f.Table)
		if err != nil {
			return err
		}
		f.ReplaceAll(rows, v, f.deliver)
		return nil
	}
	rows, v, err := f.store.Watch(c, f.Table, f.Mirror.Version())
	if err != nil {
		return err
	}
	f.Take(rows, v, f.deliver)
	return nil
}

// Learn takes over rows that another instance has read, complete up to a
// version. Steady is as that instance found it.
func (f *Feed) Learn(rows []mirror.Row, upTo mirror.Version, steady bool) {
	f.Take(rows, upTo, func(l []mirror.Row) { f.Changed(l, steady) })
}

// Take takes over rows that are complete up to a version, and calls changed with
// those that are newer than the copy's. Rows that come at the same time from the
// store and from an instance are taken over one after the other, or changed could
// end with the older of two versions of a row.
func (f *Feed) Take(rows []mirror.Row, upTo mirror.Version, changed func(rows []mirror.Row)) {
	f.taking.Lock()
	defer f.taking.Unlock()
	if l := f.Mirror.Apply(rows, upTo); len(l) > 0 {
		changed(l)
	}
}

// ReplaceAll takes over a whole table as of a version, as Take does.
func (f *Feed) ReplaceAll(rows []mirror.Row, asOf mirror.Version, changed func(rows []mirror.Row)) {
	f.taking.Lock()
	defer f.taking.Unlock()
	if l := f.Mirror.Replace(rows, asOf); len(l) > 0 {
		changed(l)
	}
}

func (f *Feed) deliver(rows []mirror.Row) {
	f.Changed(rows, f.Steady())
}

func (f *Feed) contact(good bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case good && f.failing:
		f.failing = false
		f.restored = f.timer.Boot()
		f.log.Info("store regained")
	case !good && !f.failing:
		f.failing = true
		f.log.Warn("store lost", zap.Error(err))
	}
	f.began = f.began || good
}

// Failing reports whether the last call failed.
func (f *Feed) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing || !f.began
}

// Steady reports whether the store has answered without a failure for
// SettleTime, or since the start: what lapsed before was not in the table that
// was read then. An instance that has just taken up reading goes by what others
// found.
func (f *Feed) Steady() bool {
	f.mu.Lock()
	began, failing, restored, resumed := f.began, f.failing, f.restored, f.resumed
	f.mu.Unlock()
	now := f.timer.Boot()
	switch {
	case !began || failing || restored != 0 && now-restored < SettleTime:
		return false
	case resumed != 0 && now-resumed < SettleTime && f.PeersUnsteady != nil:
		return !f.PeersUnsteady()
	default:
		return true
	}
}
