// Package feed keeps mirrors of the store's tables up to date, from the store
// and, while the store cannot be reached, from other instances.
package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/contact"
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
	// OnChange is called with the rows that changed, in no order. Those that are
	// missing may come back within settlesIn, since the store was away.
	OnChange func(rows []mirror.Row, settlesIn time.Duration)
	// OnAnswer is called after each answer of the store, if it is not nil.
	OnAnswer func()
	// MinInterval is the least time between two calls, for tables whose rows change
	// often.
	MinInterval time.Duration
	// ReadsStore reports whether this instance reads the table. Otherwise others
	// tell it the rows. A nil function means that it does.
	ReadsStore func() bool
	// Peers counts the other readers by how they found the store. A nil function
	// means that there are none.
	Peers func() contact.Peers

	store *store.Store
	timer *timer.Service
	log   *zap.Logger

	// taking is held while rows are taken over.
	taking  sync.Mutex
	mu      sync.Mutex
	reached contact.Contact
}

// New returns a feed of a table.
func New(table string, s *store.Store, t *timer.Service, log *zap.Logger, changed func(rows []mirror.Row, settlesIn time.Duration)) *Feed {
	return &Feed{Table: table, Mirror: mirror.New(), OnChange: changed, store: s, timer: t, log: log.Named("feed").With(zap.String("table", table))}
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
			if f.OnAnswer != nil {
				f.OnAnswer()
			}
			if f.MinInterval > 0 {
				_ = f.timer.Wait(c, f.MinInterval)
			}
			continue
		case c.Err() != nil:
			return
		case errors.Is(err, store.ErrCompacted):
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
	if f.ReadsStore == nil || f.ReadsStore() {
		return
	}
	f.log.Info("others read the table")
	f.mu.Lock()
	f.reached.Failing = false
	f.mu.Unlock()
	for c.Err() == nil && !f.ReadsStore() {
		_ = f.timer.Wait(c, dueLook)
	}
	f.mu.Lock()
	f.reached.Since, f.reached.Cause = f.timer.Boot(), contact.Resumed
	f.mu.Unlock()
	f.log.Info("reading the table", zap.Int64("from", int64(f.Mirror.Version())))
}

func (f *Feed) step(c context.Context, complete bool) error {
	if !complete {
		rows, v, err := f.store.Read(c, f.Table)
		if err != nil {
			return err
		}
		f.Replace(rows, v, f.deliver)
		return nil
	}
	rows, v, err := f.store.Watch(c, f.Table, f.Mirror.Version())
	if err != nil {
		return err
	}
	f.Apply(rows, v, f.deliver)
	return nil
}

// ApplyFromPeer takes over rows that another instance has read, complete up to a
// version. SettlesIn is as that instance found it.
func (f *Feed) ApplyFromPeer(rows []mirror.Row, upTo mirror.Version, settlesIn time.Duration) {
	f.Apply(rows, upTo, func(l []mirror.Row) { f.OnChange(l, settlesIn) })
}

// Apply takes over rows that are complete up to a version, and calls changed with
// those that are newer than the copy's. Rows that come at the same time from the
// store and from an instance are taken over one after the other, or changed could
// end with the older of two versions of a row.
func (f *Feed) Apply(rows []mirror.Row, upTo mirror.Version, changed func(rows []mirror.Row)) {
	f.taking.Lock()
	defer f.taking.Unlock()
	if l := f.Mirror.Apply(rows, upTo); len(l) > 0 {
		changed(l)
	}
}

// Replace takes over a whole table as of a version, as Take does.
func (f *Feed) Replace(rows []mirror.Row, asOf mirror.Version, changed func(rows []mirror.Row)) {
	f.taking.Lock()
	defer f.taking.Unlock()
	if l := f.Mirror.Replace(rows, asOf); len(l) > 0 {
		changed(l)
	}
}

func (f *Feed) deliver(rows []mirror.Row) {
	f.OnChange(rows, f.SettlesIn())
}

func (f *Feed) contact(good bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k, now := &f.reached, f.timer.Boot()
	switch {
	case good && !k.Reached:
		*k = contact.Contact{Reached: true, Since: now, Cause: contact.Started}
	case good && k.Failing:
		*k = contact.Contact{Reached: true, Since: now, Cause: contact.Regained}
		f.log.Info("store regained")
	case !good && !k.Failing:
		k.Failing = true
		f.log.Warn("store lost", zap.Error(err))
	}
}

// Failing reports whether the last call failed.
func (f *Feed) Failing() bool {
	k := f.Contact()
	return k.Failing || !k.Reached
}

// Contact returns how this instance has reached the store.
func (f *Feed) Contact() contact.Contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached
}

// SettlesIn returns the time for which a row that is missing now may come back.
func (f *Feed) SettlesIn() time.Duration {
	var p contact.Peers
	if f.Peers != nil {
		p = f.Peers()
	}
	return f.Contact().SettlesIn(p, f.timer.Boot())
}
