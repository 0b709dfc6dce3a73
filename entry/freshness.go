package entry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/freshness"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/transport/store"
)

// behindLogThreshold is how long newer rows may be missing before that is logged. They usually
// arrive within a tenth of this time.
const behindLogThreshold = 500 * time.Millisecond

// maxBehind is how long an instance waits for rows that other instances are known to have before
// it reads the table from the store. It is a sixth of the shortest time within which a leaving
// upstream must stop receiving requests; the reading instances use up to half of that time.
const maxBehind = 350 * time.Millisecond

// tableFreshness tracks whether the local copy of a table is up to date.
type tableFreshness struct {
	freshness.Table
	// logged is set once missing rows have been logged. Only housekeeping uses it.
	logged bool
}

// applyVersions records the table versions in a heartbeat, and triggers the synchronization of
// the tables for which the sender has newer rows.
func (e *Entry) applyVersions(b gossip.Heartbeat, now time.Duration) {
	for t, x := range e.freshness {
		theirs := b.Versions[pool.NewTag(t)]
		e.Store.Eras.Observe(theirs.Era())
		if t == e.Tables.Upstreams && theirs > e.tableVersion(t) && e.listings.AdvanceIfEqual(theirs, b.ListingsDigest) {
			e.onPeerRows(t)
		}
		own, s := e.tableVersion(t), newSource(b)
		if theirs > own && !s.EligibleFor(now-e.startedAt) {
			continue
		}
		// A copy that has not been read yet is not confirmed by another that has not either.
		x.ObservePeer(own, theirs, b.Name, s.ReadsStore && s.StoreReachable && e.loaded(t), now)
		if theirs <= own {
			continue
		}
		select {
		case e.wakeups[t] <- struct{}{}:
		default:
		}
	}
}

// onStoreRead records that a table was read completely from the store. The list of upstreams is
// then known up to the version that was read, whatever the version of its last relevant change
// here: an instance that has just started may have read a row in a state that the others never
// saw, between two of their reads.
func (e *Entry) onStoreRead(table string) {
	if table == e.Tables.Upstreams {
		e.listings.AdvanceTo(e.feeds[table].Mirror.Version())
	}
	e.logCaughtUp(table, e.freshness[table].MarkRead(e.tableVersion(table), "store", e.timer.Boot()))
}

// onPeerRows records that rows of a table were received from another instance.
func (e *Entry) onPeerRows(table string) {
	e.logCaughtUp(table, e.freshness[table].Advance(e.tableVersion(table), e.timer.Boot()))
}

// logCaughtUp logs that a table is up to date again, if it was behind for long enough to be
// logged.
func (e *Entry) logCaughtUp(table string, behind time.Duration) {
	if behind >= behindLogThreshold {
		e.log.Info("rows are current again", zap.String("table", table), zap.Int64("has", int64(e.tableVersion(table))), zap.Duration("behind", behind))
	}
}

// readsTable reports whether this instance reads a table from the store: it does so for its
// availability zone, or if it did not receive rows that other instances have within maxBehind.
//
// Load pattern: on overloaded or lossy links, calls between instances do not complete while
// heartbeats still arrive.
func (e *Entry) readsTable(table string) bool {
	return e.readsStore.Load() || e.freshness[table].State(e.timer.Boot()).Behind >= maxBehind
}

const (
	// probeInterval is the time between two checks whether the store has been silent.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds the call by which an instance finds out whether it answers again.
	probeTimeout = 800 * time.Millisecond
	// probeTable is a table without rows.
	probeTable = "probe"
)

// probeStore calls the store if it has not answered for long while feeds wait for changes. Its answer has them
// ask again.
func (e *Entry) probeStore(c context.Context) {
	silence := e.Store.Outages.Silence()
	if silence < store.MaxSilence || !e.readsTable(e.Tables.Upstreams) && !e.readsTable(e.Tables.Configuration) {
		return
	}
	x, cancel := context.WithTimeout(c, probeTimeout)
	defer cancel()
	_, _, err := e.Store.Read(x, probeTable)
	e.log.Info("store probed after a silence", zap.Duration("silence", silence), zap.Error(err))
}

// logMissingRows logs once per table that newer rows exist but are missing here, with the data to
// find the cause: which instance reported them, and whether this instance reads the store itself.
func (e *Entry) logMissingRows(now time.Duration) {
	for t, x := range e.freshness {
		s := x.State(now)
		if s.Behind < behindLogThreshold {
			x.logged = false
			continue
		}
		if x.logged {
			continue
		}
		x.logged = true
		e.log.Warn("newer rows are missing", zap.String("table", t), zap.Int64("has", int64(e.tableVersion(t))), zap.Int64("newest", int64(s.Newest)),
			zap.String("told-by", s.ReportedBy), zap.Duration("behind", s.Behind), zap.Duration("confirmed-before", s.Age), zap.String("confirmed-by", s.ConfirmedBy),
			zap.Bool("reads", e.readsStore.Load()), zap.Bool("store-fails", e.feeds[t].Failing()))
	}
}

// rowAges returns the times since the configuration and the list of upstreams were last confirmed
// to be up to date.
func (e *Entry) rowAges() (configuration, upstreams time.Duration) {
	now := e.timer.Boot()
	return e.freshness[e.Tables.Configuration].State(now).Age, e.freshness[e.Tables.Upstreams].State(now).Age
}

// registerFreshness registers metrics for the freshness of the local copies of the tables, and for
// the era of the store.
func (e *Entry) registerFreshness(r prometheus.Registerer) {
	e.Store.Eras.OnChange = func(old, current mirror.Era) {
		e.log.Warn("era of the store", zap.Int64("before", int64(old)), zap.Int64("now", int64(current)))
	}
	e.Store.Eras.OnInvalid = func(text string) {
		e.log.Error("era of the store cannot be read; the one known so far holds", zap.String("text", text), zap.Int64("era", int64(e.Store.Eras.Current())))
	}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gentiangauge_store_era", Help: "Newest known era of the store, which rises as it comes back from a copy.",
	}, func() float64 { return float64(e.Store.Eras.Current()) }))
	for t, x := range e.freshness {
		labels := prometheus.Labels{"table": t}
		r.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "gentiangauge_rows_age_seconds", Help: "Time since the copy of a table was known to be the newest.", ConstLabels: labels,
			}, func() float64 { return x.State(e.timer.Boot()).Age.Seconds() }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "gentiangauge_rows_behind_seconds", Help: "Time since which newer rows of a table are known and missing.", ConstLabels: labels,
			}, func() float64 { return x.State(e.timer.Boot()).Behind.Seconds() }),
		)
	}
}

// loaded reports whether a table has been read for the first time.
func (e *Entry) loaded(table string) bool {
	return e.feeds[table].Mirror.Loaded() && (table != e.Tables.Upstreams || e.listings.Version() > 0)
}

// tableVersion returns the local version of a table, for comparison with other instances. Rows of
// upstreams change at each of their heartbeats, so that only changes relevant to requests count
// there.
func (e *Entry) tableVersion(table string) mirror.Version {
	if table == e.Tables.Upstreams {
		return e.listings.Version()
	}
	return e.feeds[table].Mirror.Newest()
}
