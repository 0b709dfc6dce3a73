package streams

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
)

// Find returns the version at which a stream began, and false if that is not known: others may have begun it by
// a newer split than this instance knows and can read. If the split does not decide, Find reads the records of
// all instances, or asks these if the store cannot be reached or may have lost records: a stream without a known
// record may have one.
func (r *Registry) Find(c context.Context, s route.ServiceName, x software.Slot, id software.StreamID) (software.Version, bool) {
	v, from := r.find(c, s, x, id)
	r.mu.Lock()
	now, a := r.Timer.Boot(), r.split(s).Split[x]
	f := []zap.Field{
		zap.String("stream", id.String()), zap.String("software", string(v)), zap.Stringer("told-by", from), zap.String("assigned", string(a.Version)),
		zap.Duration("assigned-at", a.Since), zap.Duration("store-time", r.storeTime(now)), zap.Duration("settles-after", r.settleTime(s, now)),
		zap.Duration("split-age", r.splitAge()), zap.Int64("era", int64(r.era.current)),
	}
	r.mu.Unlock()
	r.Log.Info("version of a stream looked up", f...)
	return v, from != fromNothing
}

func (r *Registry) find(c context.Context, s route.ServiceName, x software.Slot, id software.StreamID) (software.Version, origin) {
	r.mu.Lock()
	own, ok := r.version(id)
	r.mu.Unlock()
	if ok {
		return own, fromItself
	}
	k := r.knowledge(s)
	if k == software.Stale && r.confirmSplits(c) {
		k = r.knowledge(s)
	}
	if k == software.Stale {
		return "", fromNothing
	}
	if k == software.Known && !r.splitsWhole() {
		// The split may have been replaced by one that is lost, too.
		k = software.NeedsRecords
	}
	if k == software.NeedsRecords {
		if v, from, decided := r.findBegun(c, id); decided {
			return v, from
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Boot()
	if v, ok := r.split(s).Begun(x, r.storeTime(now), r.settleTime(s, now)); ok {
		return v, fromSplit
	}
	return "", fromNothing
}

// findBegun looks for a stream in the records of all instances, and asks the instances if records may be missing. The
// result decided is false if the stream has no record for certain, so that the split tells its version.
func (r *Registry) findBegun(c context.Context, id software.StreamID) (v software.Version, from origin, decided bool) {
	from = fromRecord
	v, found, complete := r.findRecord(c, id)
	if !found && !(complete && r.recordsWhole()) {
		from = fromInstances
		v, found, complete = r.inquire(c, id)
		complete = complete && r.answersSuffice()
	}
	if !found {
		from = fromNothing
	}
	return v, from, found || !complete
}

// knowledge returns what the split of a service tells of its streams now.
func (r *Registry) knowledge(s route.ServiceName) software.Knowledge {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Boot()
	return r.split(s).Knowledge(r.splitAge(), r.storeTime(now), r.settleTime(s, now))
}

// splitAge returns how long ago the splits were last known to be the newest, by what the instances tell each
// other or by a read of this one.
func (r *Registry) splitAge() time.Duration {
	age := r.SplitAge()
	if r.confirmedAt > 0 {
		age = min(age, r.Timer.Boot()-r.confirmedAt)
	}
	return age
}

// confirmSplits reads the splits from the store, and reports whether they are known to be the newest. Calls at
// the same time share one read.
//
// Load pattern: an instance that has stood still, or is the only one left, gets requests that take streams up.
func (r *Registry) confirmSplits(c context.Context) bool {
	r.confirmMu.Lock()
	defer r.confirmMu.Unlock()
	now := r.Timer.Boot()
	r.mu.Lock()
	age := r.splitAge()
	r.mu.Unlock()
	if age <= software.MaxAge {
		return true
	}
	if r.confirmFailedAt > 0 && now-r.confirmFailedAt < failedReadInterval {
		return false
	}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	rows, _, err := r.Store.Read(x, r.FleetTable)
	if err != nil {
		r.confirmFailedAt = r.Timer.Boot()
		r.Log.Warn("could not read the splits, which may have been replaced", zap.Duration("age", age), zap.Error(err))
		return false
	}
	r.ApplyRows(rows)
	r.mu.Lock()
	r.confirmedAt, r.confirmFailedAt = now, 0
	r.mu.Unlock()
	r.Log.Info("splits read, as they may have been replaced", zap.Duration("age", age))
	return true
}
