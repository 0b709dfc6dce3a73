package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/freshness"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
)

// behindLog is the time for which newer rows are known from which on it is
// logged that they are missing. They usually come within a tenth of it.
const behindLog = 500 * time.Millisecond

// maxBehind is the time for which an instance waits for rows that others are known
// to have before it reads them from the store: a sixth of the shortest time in which
// a leaving upstream must get no more requests, of which the readers use up to a half.
const maxBehind = 350 * time.Millisecond

// currency is how current the copy of one table is.
type currency struct {
	freshness.Table
	// logged is set while the log says that newer rows are missing. It belongs to
	// the house keeping.
	logged bool
}

// noteVersions takes over the versions of tables that another instance tells, and
// has the tables followed of which it knows newer rows.
func (e *Entry) noteVersions(b gossip.Heartbeat, now time.Duration) {
	for t, x := range e.currency {
		theirs := b.Versions[pool.NewTag(t)]
		if t == e.Tables.Upstreams && theirs > e.version(t) && e.listings.AdvanceIfEqual(theirs, b.ListingsDigest) {
			e.learned(t)
		}
		own, s := e.version(t), newSource(b)
		if theirs > own && !s.EligibleFor(now-e.began) {
			continue
		}
		x.ObservePeer(own, theirs, b.Name, s.ReadsStore && s.StoreReachable, now)
		if theirs <= own {
			continue
		}
		select {
		case e.wakes[t] <- struct{}{}:
		default:
		}
	}
}

// readFromStore notes that the store has just told all rows of a table. What others
// know of the upstreams is compared by the version that was read: an instance that
// starts may have read a row as it was between two reads of the others.
func (e *Entry) readFromStore(table string) {
	if table == e.Tables.Upstreams {
		e.listings.AdvanceTo(e.feeds[table].Mirror.Version())
	}
	e.caughtUp(table, e.currency[table].MarkRead(e.version(table), "store", e.timer.Boot()))
}

// learned notes that rows of a table were taken over from another instance.
func (e *Entry) learned(table string) {
	e.caughtUp(table, e.currency[table].Advance(e.version(table), e.timer.Boot()))
}

func (e *Entry) caughtUp(table string, behind time.Duration) {
	if behind >= behindLog {
		e.log.Info("rows are current again", zap.String("table", table), zap.Int64("has", int64(e.version(table))), zap.Duration("behind", behind))
	}
}

// readsTable reports whether this instance reads a table from the store: it reads
// for its availability zone, or others know rows that it cannot get from them in
// time.
//
// Load pattern: the links of some instances are busy or lose packets, so that calls
// between instances do not end while beats still arrive.
func (e *Entry) readsTable(table string) bool {
	return e.reads.Load() || e.currency[table].State(e.timer.Boot()).Behind >= maxBehind
}

// logCurrency logs once for each table that newer rows are known and missing, with
// what is needed to tell why: who told of them, and whether this instance reads the
// store itself.
func (e *Entry) logCurrency(now time.Duration) {
	for t, x := range e.currency {
		s := x.State(now)
		if s.Behind < behindLog {
			x.logged = false
			continue
		}
		if x.logged {
			continue
		}
		x.logged = true
		e.log.Warn("newer rows are missing", zap.String("table", t), zap.Int64("has", int64(e.version(t))), zap.Int64("newest", int64(s.Newest)),
			zap.String("told-by", s.ReportedBy), zap.Duration("behind", s.Behind), zap.Duration("confirmed-before", s.Age), zap.String("confirmed-by", s.ConfirmedBy),
			zap.Bool("reads", e.reads.Load()), zap.Bool("store-fails", e.feeds[t].Failing()))
	}
}

// rowAges returns the times since the configuration and the list of upstreams were
// last known to be the newest.
func (e *Entry) rowAges() (configuration, upstreams time.Duration) {
	now := e.timer.Boot()
	return e.currency[e.Tables.Configuration].State(now).Age, e.currency[e.Tables.Upstreams].State(now).Age
}

// registerCurrency shows how current the copies of the tables are.
func (e *Entry) registerCurrency(r prometheus.Registerer) {
	for t, x := range e.currency {
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

// loaded reports whether the first rows of a table have been taken over.
func (e *Entry) loaded(table string) bool {
	return e.feeds[table].Mirror.Loaded() && (table != e.Tables.Upstreams || e.listings.Version() > 0)
}

// version is the version of a table that this instance knows, to be compared
// with those of others. Rows of upstreams change at each of their heartbeats, so
// that only those count that matter to requests.
func (e *Entry) version(table string) mirror.Version {
	if table == e.Tables.Upstreams {
		return e.listings.Version()
	}
	return e.feeds[table].Mirror.Newest()
}
