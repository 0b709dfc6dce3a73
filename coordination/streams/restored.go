package streams

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
)

// eraState tells whether the store has all records of streams that may still be taken up. After it has come back
// from a copy it lacks those of the last seconds, until each instance has written its own again.
type eraState struct {
	// current is the era, since when this instance learned of it, and startedIn the era in which it started. All
	// are 0 as long as no era is known.
	current, startedIn mirror.Era
	since              time.Duration
	// expected are the instances that may have written records before the era, confirmed those whose row is of
	// this era.
	expected, confirmed map[string]bool
}

// instanceName returns the name of the instance in the key of a row of records, which ends with its run.
func instanceName(key string) string {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i]
	}
	return key
}

// observeEra begins a new era if the store has one, and returns its number. The caller holds the lock.
func (r *Registry) observeEra() mirror.Era {
	x, e := &r.era, r.Store.Eras.Current()
	if e == x.current || !r.Store.Eras.Known() {
		return x.current
	}
	if x.startedIn == 0 {
		x.startedIn = e
	}
	x.current, x.since, x.expected, x.confirmed = e, r.Timer.Boot(), map[string]bool{}, map[string]bool{}
	r.expectInstances()
	if e > 1 {
		r.Log.Info("records of streams may be lost with the era before", zap.Int64("era", int64(e)), zap.Int("instances", len(x.expected)))
	}
	return e
}

func (r *Registry) expectInstances() {
	for _, n := range r.Instances() {
		r.era.expected[n] = true
	}
}

// mayLack reports whether streams that began before the era may still be taken up. The caller holds the lock.
func (r *Registry) mayLack() bool {
	now := r.Timer.Boot()
	return r.observeEra() > 1 && now-r.era.since <= r.retention(now)
}

// confirm records that a row has all records of the instance that wrote it, if it says so in this era.
func (r *Registry) confirm(key string, m recordRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.confirms(r.observeEra()) {
		r.era.confirmed[instanceName(key)] = true
	}
}

// splitsWhole reports whether splits cannot have been lost together with records of streams that may be taken up.
func (r *Registry) splitsWhole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unconfirmed()) == 0
}

// recordsWhole reports whether the rows that were read have the records of all streams that may be taken up.
func (r *Registry) recordsWhole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unconfirmed()) == 0 && len(r.partial) == 0
}

// unconfirmed returns the instances whose records may have been lost with the era before. The caller holds the lock.
func (r *Registry) unconfirmed() []string {
	if !r.mayLack() {
		return nil
	}
	if r.era.startedIn == r.era.current {
		// The instances of the era before are not known at the start.
		r.expectInstances()
	}
	var out []string
	for n := range r.era.expected {
		if !r.era.confirmed[n] {
			out = append(out, n)
		}
	}
	return out
}

// answersSuffice reports whether the answers of all present instances tell of each stream whose record may be
// missing: this one holds its own, and none has left that has not written all its records.
func (r *Registry) answersSuffice() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Boot()
	if r.begun.LacksSince(now - r.retention(now)) {
		return false
	}
	present := map[string]bool{}
	for _, n := range r.Instances() {
		present[n] = true
	}
	for _, n := range append(r.unconfirmed(), r.partial...) {
		if !present[n] {
			return false
		}
	}
	return true
}
