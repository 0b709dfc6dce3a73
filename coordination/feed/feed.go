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
	// dueLook is the time between two looks at whether a table is due.
	dueLook = 100 * time.Millisecond
)

// Feed keeps the mirror of one table.
type Feed struct {
	Table  string
	Mirror *mirror.Mirror
	// Changed is called with the rows that changed, in no order.
	Changed func(rows []mirror.Row)
	// Gap returns the least time between two calls, for tables whose rows change
	// all the time.
	Gap func() time.Duration
	// Due reports whether the table is to be read again, after the time given
	// since the last call. A nil function means that it always is.
	Due func(idle time.Duration) bool

	store *store.Store
	timer *timer.Service
	log   *zap.Logger

	mu sync.Mutex
	// failing is set from the first failed call to the next good one.
	failing bool
	// restored is the instant of the good call after the last failure.
	restored time.Duration
	began    bool
}

// New returns a feed of a table.
func New(table string, s *store.Store, t *timer.Service, log *zap.Logger, changed func([]mirror.Row)) *Feed {
	return &Feed{Table: table, Mirror: mirror.New(), Changed: changed, Gap: func() time.Duration { return 0 }, store: s, timer: t, log: log.Named("feed").With(zap.String("table", table))}
}

// Run follows the table until c ends.
func (f *Feed) Run(c context.Context) {
	pause := minRetry
	complete := false
	for c.Err() == nil {
		err := f.step(c, complete)
		switch {
		case err == nil:
			complete = true
			pause = minRetry
			f.contact(true, nil)
			f.rest(c)
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

// rest waits until the table is to be read again.
func (f *Feed) rest(c context.Context) {
	gap := f.Gap()
	if gap <= 0 {
		return
	}
	last := f.timer.Boot()
	_ = f.timer.Wait(c, gap)
	for c.Err() == nil && f.Due != nil && !f.Due(f.timer.Boot()-last) {
		_ = f.timer.Wait(c, dueLook)
	}
}

func (f *Feed) step(c context.Context, complete bool) error {
	if !complete {
		rows, v, err := f.store.Read(c, f.Table)
		if err != nil {
			return err
		}
		f.deliver(f.Mirror.Replace(rows, v))
		return nil
	}
	rows, v, err := f.store.Watch(c, f.Table, f.Mirror.Version())
	if err != nil {
		return err
	}
	f.deliver(f.Mirror.Apply(rows, v))
	return nil
}

// Learn takes over rows that another instance has read.
func (f *Feed) Learn(rows []mirror.Row) {
	f.deliver(f.Mirror.Apply(rows, 0))
}

func (f *Feed) deliver(rows []mirror.Row) {
	if len(rows) > 0 {
		f.Changed(rows)
	}
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

// Steady reports whether the store has answered without a failure for d, or
// since the start: what lapsed before was not in the table that was read then.
func (f *Feed) Steady(now, d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.began && !f.failing && (f.restored == 0 || now-f.restored >= d)
}
