package entry

import (
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

// versionState is what is known of an adapter's versions.
type versionState struct {
	newest, previous route.Version
	seen             time.Duration
}

type versions struct {
	mu    sync.Mutex
	known map[pool.Adapter]versionState
}

// configurationChanged takes over rows of the operators.
func (e *Entry) configurationChanged(rows []mirror.Row, _ time.Duration) {
	for _, r := range rows {
		switch {
		case r.Removed:
			e.log.Warn("row of the operators is gone; it stays in force", zap.String("key", r.Key))
		case r.Key == e.Tables.ConfigurationKey:
			e.install(r)
		case strings.HasPrefix(r.Key, e.Tables.VersionPrefix):
			e.nameVersion(r)
		}
	}
}

func (e *Entry) install(r mirror.Row) {
	k, err := e.DecodeConfiguration(r.Value)
	if err != nil {
		e.log.Error("configuration cannot be read; the last one stays in force", zap.String("row", r.Key), zap.Int64("row-version", int64(r.Version)), zap.Error(err))
		return
	}
	if old := e.table.Load(); old != nil && old.Version >= k.Version {
		return
	}
	t := route.New(k)
	e.table.Store(t)
	e.quota.setPlans(t, e.timer.Boot())
	e.log.Info("configuration installed", zap.Int64("version", int64(k.Version)), zap.Int("routes", len(k.Routes)),
		zap.Int("services", len(k.Services)), zap.Int("workspaces", len(k.Workspaces)))
}

func (e *Entry) nameVersion(r mirror.Row) {
	x, err := e.DecodeAdapterVersion(r.Value)
	if err != nil {
		e.log.Error("adapter version cannot be read", zap.String("row", r.Key), zap.Error(err))
		return
	}
	e.versions.mu.Lock()
	defer e.versions.mu.Unlock()
	s := e.versions.known[x.Adapter]
	if x.Version <= s.newest {
		return
	}
	e.versions.known[x.Adapter] = versionState{newest: x.Version, previous: s.newest, seen: e.timer.Boot()}
	e.log.Info("adapter version named", zap.String("adapter", string(x.Adapter.Name)), zap.Int64("version", int64(x.Version)))
}

// adapterVersions returns the newest version of an adapter and the oldest one
// that may still run. Both are 0 while no version was named.
func (e *Entry) adapterVersions(a pool.Adapter, now time.Duration) (newest, oldest route.Version) {
	e.versions.mu.Lock()
	defer e.versions.mu.Unlock()
	s := e.versions.known[a]
	if now-s.seen < time.Duration(e.versionGrace.Load()) {
		return s.newest, s.previous
	}
	return s.newest, s.newest
}

// upstreamsChanged takes over the platform's list of upstreams as it was read
// from the store. The others are told at once of what matters to requests.
func (e *Entry) upstreamsChanged(rows []mirror.Row, settlesIn time.Duration) {
	if e.takeUpstreams(rows, nil, settlesIn) {
		e.gossip.Send()
	}
}

// takeUpstreams takes over rows of the list of upstreams, and reports whether
// they changed in what matters. Since are the versions of these changes, if
// they are not those of the rows.
func (e *Entry) takeUpstreams(rows []mirror.Row, since map[string]mirror.Version, settlesIn time.Duration) (news bool) {
	now, log := e.timer.Boot(), e.rowLog("upstreams", rows)
	marks := make([]mirror.Change[listing], 0, len(rows))
	note := func(r mirror.Row, x listing) bool {
		v, told := since[r.Key]
		if !told {
			v = r.Version
		}
		marks = append(marks, mirror.Change[listing]{Key: r.Key, Value: x, Since: v})
		changed := e.listings.Differs(r.Key, x)
		news = news || changed
		return changed
	}
	for _, r := range rows {
		id := pool.ID(r.Key)
		if r.Removed {
			note(r, listing{})
			e.removeUpstream(id, now, settlesIn)
			continue
		}
		u, err := e.DecodeUpstream(r.Key, r.Value)
		if err != nil {
			e.log.Warn("upstream cannot be read", zap.String("row", r.Key), zap.Error(err))
			continue
		}
		u.RowVersion = r.Version
		if note(r, newListing(u)) {
			log("upstream", zap.String("id", r.Key), zap.String("service", string(u.Service)), zap.String("address", u.Address),
				zap.Bool("draining", u.Draining), zap.Int64("born", u.StartedAt), zap.Int64("row-version", int64(r.Version)))
		}
		e.pool.Put(u)
	}
	e.listings.Record(marks)
	return news
}

// manyRows is the number of rows from which on they are told of in one line of
// the log, as when an instance starts, and each at the level debug.
const manyRows = 20

// rowLog returns the function that logs each of some rows.
func (e *Entry) rowLog(what string, rows []mirror.Row) func(text string, f ...zap.Field) {
	if len(rows) < manyRows {
		return e.log.Info
	}
	e.log.Info("rows read", zap.String("of", what), zap.Int("rows", len(rows)))
	return e.log.Debug
}

// removeUpstream drops an upstream, at once unless its row may come back.
func (e *Entry) removeUpstream(id pool.ID, now, settlesIn time.Duration) {
	e.pool.Remove(id, now+settlesIn)
	e.log.Info("upstream gone", zap.String("id", string(id)), zap.Duration("in", settlesIn))
}
