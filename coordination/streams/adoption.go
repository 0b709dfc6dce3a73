package streams

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/software"
)

// adoption has the records of the earlier runs of this instance. Only the present run can write them again after the
// store has come back from a copy that lacks them.
type adoption struct {
	versions map[software.StreamID]software.Version
	// at is when they were read, and since the era from which on this run has all of them. Both are 0 before.
	at    time.Duration
	since mirror.Era
	// partial is set if some may have been lost before they were read.
	partial bool
}

// adoptRecords reads the records of the earlier runs of this instance, until that succeeds or c ends.
func (r *Registry) adoptRecords(c context.Context) {
	for c.Err() == nil {
		rows, _, err := r.readRecords(c)
		if err == nil {
			r.adopt(rows)
			return
		}
		r.Log.Warn("could not read the records of earlier runs", zap.Error(err))
		_ = r.Timer.Wait(c, failedReadInterval)
	}
}

// adopt takes over the records of earlier runs. They are partial if a row is, or if records may have been lost with the
// era before and no earlier run has stated in this era that it has all.
func (r *Registry) adopt(rows []mirror.Row) {
	k := newRecords()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.observeEra()
	x := adoption{versions: k.versions, at: r.Timer.Boot(), since: e}
	confirmed := e <= 1
	for _, row := range rows {
		if row.Key == r.key || instanceName(row.Key) != instanceName(r.key) {
			continue
		}
		m, err := k.add(row.Value)
		if err != nil {
			r.Log.Error("cannot decode records of an earlier run", zap.String("key", row.Key), zap.Error(err))
			x.partial = true
			continue
		}
		x.partial = x.partial || m.Partial
		if m.confirms(e) {
			x.since, confirmed = mirror.Era(m.StartedIn), true
		}
	}
	x.partial = x.partial || !confirmed
	r.adopted = x
	r.Log.Info("records of earlier runs read", zap.Int("streams", len(x.versions)), zap.Int64("era", int64(e)), zap.Bool("partial", x.partial))
	notify(r.changed)
}

// completeSince returns the era from which on this run has all records of its instance that may still be needed. It is
// the present era if some may have been lost before. The caller holds the lock.
func (r *Registry) completeSince() mirror.Era {
	x := &r.adopted
	now := r.Timer.Boot()
	if (x.at == 0 || x.partial) && now-r.startedAt <= r.retention(now) {
		return r.era.current
	}
	return x.since
}

// version returns the version at which a stream of this instance began, and false if this run does not know it. The
// caller holds the lock.
func (r *Registry) version(id software.StreamID) (software.Version, bool) {
	if x, ok := r.begun.Get(id); ok {
		return x.Version, true
	}
	v, ok := r.adopted.versions[id]
	return v, ok
}
