package entry

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

// onConfigurationRows applies new rows of the operators.
func (e *Entry) onConfigurationRows(rows []mirror.Row, _ time.Duration) {
	// The rows of the first reading were written at any time before.
	after := time.Duration(0)
	if e.table.Load() != nil {
		after = e.freshness[e.Tables.Configuration].ConfirmedAt()
	}
	for _, r := range rows {
		switch {
		case r.Removed:
			e.log.Warn("operator row was removed; its last value stays in force", zap.String("key", r.Key))
		case r.Key == e.Tables.ConfigurationKey:
			e.installConfiguration(r.Value, "the store", r.Version)
		case strings.HasPrefix(r.Key, e.Tables.VersionPrefix):
			e.addVersion(r, after)
		}
	}
}

// installConfiguration puts a configuration into force unless a newer one is. From is the store or
// the instance that it comes from, and row the version of its row there.
func (e *Entry) installConfiguration(value []byte, from string, row mirror.Version) {
	k, err := e.DecodeConfiguration(value)
	if err != nil {
		e.log.Error("cannot decode configuration; the previous one stays in force", zap.String("from", from), zap.Int64("row-version", int64(row)), zap.Error(err))
		return
	}
	e.installMu.Lock()
	defer e.installMu.Unlock()
	if old := e.table.Load(); old != nil && old.Version >= k.Version {
		return
	}
	t := route.New(k)
	// A stream that begins by the new configuration may last as long as that says.
	e.streams.Configure(t.StreamTimeouts())
	e.table.Store(t)
	e.installed = value
	e.quota.setPlans(t, e.timer.Boot())
	e.log.Info("configuration installed", zap.Int64("version", int64(k.Version)), zap.String("from", from), zap.Int64("row-version", int64(row)), zap.Int("routes", len(k.Routes)),
		zap.Int("services", len(k.Services)), zap.Int("workspaces", len(k.Workspaces)))
}

// addVersion applies the row of an adapter version that was announced after an instant, or at any time if that is 0.
func (e *Entry) addVersion(r mirror.Row, after time.Duration) {
	x, err := e.DecodeAdapterVersion(r.Value)
	if err != nil {
		e.log.Error("cannot decode adapter version", zap.String("row", r.Key), zap.Error(err))
		return
	}
	if e.versions.Announce(x.Adapter, x.Version, after) {
		e.log.Info("adapter version announced", zap.String("adapter", string(x.Adapter.Name)), zap.Int64("version", int64(x.Version)), zap.Int64("row-version", int64(r.Version)),
			zap.Bool("first-reading", after == 0), zap.Duration("confirmed-before", e.timer.Boot()-after))
	}
}

// adapterVersions returns what Versions.Usable does, within Config.VersionTime.
func (e *Entry) adapterVersions(a pool.Adapter, now time.Duration) (newest, oldest route.Version, oldUntil time.Duration) {
	return e.versions.Usable(a, time.Duration(e.versionTime.Load()), now)
}

// onUpstreamRows applies rows of the list of upstreams that were read from the store. If they
// changed in a way that is relevant to requests, it sends a heartbeat to the other instances at
// once.
func (e *Entry) onUpstreamRows(rows []mirror.Row, settlesIn time.Duration) {
	if e.applyUpstreams(rows, nil, settlesIn) {
		e.gossip.Send()
	}
}

// applyUpstreams applies rows of the list of upstreams, and reports whether they changed in a way
// that is relevant to requests. Since has the versions of these changes where they differ from the
// versions of the rows.
func (e *Entry) applyUpstreams(rows []mirror.Row, since map[string]mirror.Version, settlesIn time.Duration) (relevant bool) {
	now, log := e.timer.Boot(), e.rowLogger("upstreams", rows)
	changes := make([]mirror.Change[listing], 0, len(rows))
	record := func(r mirror.Row, x listing) bool {
		v, ok := since[r.Key]
		if !ok {
			v = r.Version
		}
		changes = append(changes, mirror.Change[listing]{Key: r.Key, Value: x, Since: v})
		changed := e.listings.Differs(r.Key, x)
		relevant = relevant || changed
		return changed
	}
	for _, r := range rows {
		id := pool.ID(r.Key)
		if r.Removed {
			record(r, listing{})
			e.removeUpstream(id, now, settlesIn)
			continue
		}
		u, err := e.DecodeUpstream(r.Key, r.Value)
		if err != nil {
			// The row names no upstream. Its former value is not in force any more.
			e.log.Warn("cannot decode upstream row", zap.String("row", r.Key), zap.Int("bytes", len(r.Value)), zap.Error(err))
			record(r, listing{})
			if _, known := e.pool.Get(id, now); known {
				e.removeUpstream(id, now, settlesIn)
			}
			continue
		}
		u.RowVersion = r.Version
		if record(r, newListing(u)) {
			log("upstream", zap.String("id", r.Key), zap.String("service", string(u.Service)), zap.String("address", u.Address),
				zap.Bool("draining", u.Draining), zap.Int("slots", u.Slots), zap.Int64("born", u.StartedAt), zap.String("software", string(u.Software)), zap.Int64("row-version", int64(r.Version)))
		}
		if old, known := e.pool.Get(u.ID, now); known && old.StartedAt != u.StartedAt {
			e.recordEnded(old)
			if old.Software != u.Software {
				e.streams.Doubt(r.Key, old.Software)
			}
		}
		if settlesIn > 0 {
			e.pool.PutUnconfirmed(u, now, now+settlesIn+expiryTime)
		} else {
			e.pool.Put(u)
		}
	}
	e.listings.Record(changes)
	return relevant
}

// expiryTime is how much longer than the rows of live upstreams are missing the rows of ended ones
// may exist after the store has come back from a copy: they expire after three heartbeats.
const expiryTime = 2 * time.Second

// bulkRows is the number of rows from which on they are logged in one line, as when an instance
// starts, and individually only at the level debug.
const bulkRows = 20

// rowLogger returns the function that logs individual rows.
func (e *Entry) rowLogger(what string, rows []mirror.Row) func(text string, f ...zap.Field) {
	if len(rows) < bulkRows {
		return e.log.Info
	}
	e.log.Info("rows read", zap.String("of", what), zap.Int("rows", len(rows)))
	return e.log.Debug
}

// recordEnded has the dispatcher know that the process of an upstream has ended, unless that was planned.
func (e *Entry) recordEnded(u pool.Upstream) {
	if v := e.pool.Admits(u, e.timer.Boot()); v != pool.Leaving {
		e.Dispatcher.RecordEnded(e.ctx, u)
	}
}

// removeUpstream removes an upstream from the pool after settlesIn, within which its row may
// reappear.
func (e *Entry) removeUpstream(id pool.ID, now, settlesIn time.Duration) {
	if u, known := e.pool.Get(id, now); known && settlesIn == 0 {
		e.recordEnded(u)
	}
	e.pool.Remove(id, now+settlesIn)
	e.log.Info("upstream gone", zap.String("id", string(id)), zap.Duration("in", settlesIn))
}
