package orders

import (
	"fmt"
	"time"

	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

// slot is the place of an adapter on an engine, as known by the owner of the engine.
type slot struct {
	version route.Version
	// remaining is the time that the load still needs at full speed, readyAt the time at
	// which it is expected to end.
	remaining time.Duration
	readyAt   time.Duration
	// orderedAt is the time of the order to load.
	orderedAt time.Duration
	// fetched is set for a load from the weight store.
	fetched bool
	// lastUse is the last time at which a request used or asked for the adapter. Until
	// reservedUntil, a request that asked for it may still be on its way.
	lastUse       time.Duration
	reservedUntil time.Duration
	// score counts recent uses; it is halved every scoreHalf, last at scoreAt.
	score   float64
	scoreAt time.Duration
}

const (
	scoreHalf = 4 * time.Second
	// reserveTime is how long an adapter is kept from eviction after its load has ended or
	// a request has asked for it. The instance of the request reports it to the owner within
	// two heartbeats.
	reserveTime = 350 * time.Millisecond
	// inUseBackoff is how long an adapter is kept from eviction after the engine refused to
	// unload it because it was in use.
	inUseBackoff = time.Second
	// maxLoading is the maximum number of parallel loads of an engine.
	maxLoading = 4
	// maxWarm is the number of unloaded adapters that an engine keeps in memory.
	maxWarm = 30
)

func (s *slot) recordUse(now time.Duration, n float64) {
	s.lastUse = now
	s.decay(now)
	s.score += n
}

// reserve keeps the adapter from eviction until the request that asked for it has arrived.
func (s *slot) reserve(now time.Duration) {
	s.recordUse(now, 1)
	s.reservedUntil = max(s.reservedUntil, max(now, s.readyAt)+reserveTime)
}

func (s *slot) decay(now time.Duration) {
	for now-s.scoreAt >= scoreHalf {
		s.score /= 2
		s.scoreAt += scoreHalf
		if s.score < 0.01 {
			s.scoreAt = now
		}
	}
}

// engine is the state of one engine, as known by its owner.
type engine struct {
	upstream pool.Upstream
	token    ownership.Token
	// synced is set when sequence and slots were read with the current token and the
	// outcome of every order since is known.
	synced   bool
	sequence int64
	// orderedAt is the time of the last change of sequence.
	orderedAt time.Duration
	slots     map[pool.Adapter]*slot
	// warm are the unloaded adapters that are still in the memory of the engine and load
	// faster, with the times at which they were unloaded.
	warm map[pool.Tag]time.Duration
	// advancedAt is the time up to which the progress of loads was computed.
	advancedAt time.Duration
	// unloadedAt has the times of recent unloads, which the report may not show yet.
	unloadedAt map[pool.Adapter]time.Duration
	// modelOrderedAt is the time of the last order of the base model.
	modelOrderedAt time.Duration
}

// decision is the action that makes an adapter available.
type decision int

const (
	present decision = iota // none: it is loaded or loading
	load                    // load it
	evict                   // unload the victim and load it
	full                    // none: no slot is available
)

// usage is what the instances report of the requests on an engine.
type usage struct {
	// running returns the number of requests that use an adapter.
	running func(a pool.Adapter) int
	// maxAge is the maximum age of the reports, which is twice their mean age.
	maxAge time.Duration
}

// minIdle is the time without use after which an adapter may be evicted: half of maxAge, since
// a newer use may not have been reported yet, less reserveTime, which covers two heartbeats of
// a small fleet.
func (u usage) minIdle() time.Duration {
	return max(0, u.maxAge/2-reserveTime)
}

// plan decides how to make an adapter available. For evict it also returns the victim.
//
// Load pattern: more adapters are requested than fit on the engine, while requests for the
// loaded ones are on their way.
func (e *engine) plan(a pool.Adapter, v route.Version, capacity int, u usage, now time.Duration) (decision, pool.Adapter) {
	loading := 0
	for _, s := range e.slots {
		if s.readyAt > now {
			loading++
		}
	}
	if s, ok := e.slots[a]; ok {
		switch {
		case s.version >= v:
			return present, a
		case u.running(a) > 0 || loading >= maxLoading:
			return full, a
		default:
			return load, a
		}
	}
	if loading >= maxLoading {
		return full, a
	}
	if len(e.slots) < capacity {
		return load, a
	}
	if x, ok := e.victim(u, now); ok {
		return evict, x
	}
	return full, a
}

// mayFetch reports whether an adapter may be loaded now. Adapters that are still in the memory
// of the engine always may. Loads from the weight store may run up to the number that runs at
// full speed over the fleet; above that, each engine may have one in flight, up to twice the
// number. Further loads would slow down all of them and occupy slots in the meantime.
//
// Load pattern: most requests ask for adapters that no engine has loaded, such as when traffic
// starts.
func (e *engine) mayFetch(a pool.Adapter, loading, parallel int) bool {
	if _, ok := e.warm[a.Tag()]; ok || loading < parallel {
		return true
	}
	for _, s := range e.slots {
		if s.fetched && s.remaining > 0 {
			return false
		}
	}
	return loading < 2*parallel
}

// slotSummary describes for error messages what occupies the slots of the engine.
func (e *engine) slotSummary(u usage, now time.Duration) string {
	loading, inUse, reserved, idle := 0, 0, 0, 0
	for a, s := range e.slots {
		switch {
		case s.readyAt > now:
			loading++
		case u.running(a) > 0:
			inUse++
		case now < s.reservedUntil || now-s.lastUse < u.minIdle():
			reserved++
		default:
			idle++
		}
	}
	return fmt.Sprintf("%d loading, %d in use, %d reserved, %d idle", loading, inUse, reserved, idle)
}

// victim returns the adapter to evict: the idle one with the lowest recent use.
//
// Load pattern: in a large fleet the owner learns of a use only seconds later, and unloading
// an adapter in use blocks the orders of the engine until the requests have ended.
func (e *engine) victim(u usage, now time.Duration) (pool.Adapter, bool) {
	var worst pool.Adapter
	found := false
	for a, s := range e.slots {
		if s.readyAt > now || now < s.reservedUntil || now-s.lastUse < u.minIdle() || u.running(a) > 0 {
			continue
		}
		s.decay(now)
		if w := e.slots[worst]; !found || s.score < w.score || s.score == w.score && s.lastUse < w.lastUse {
			worst, found = a, true
		}
	}
	return worst, found
}

// slowdown returns the factor by which loads take longer than at full speed. When more loads
// are in flight over the fleet than run at full speed, all slow down in proportion.
func slowdown(loading, parallel int) float64 {
	return max(1, float64(loading)/float64(parallel))
}

// advance updates the progress and the expected end of all loads up to now, where loads take
// factor times as long as at full speed.
//
// Load pattern: many adapters are requested at the same time.
func (e *engine) advance(now time.Duration, factor float64) {
	elapsed := now - e.advancedAt
	e.advancedAt = now
	for _, s := range e.slots {
		if s.remaining <= 0 {
			continue
		}
		s.remaining -= time.Duration(float64(min(elapsed, now-s.orderedAt)) / factor)
		if s.remaining <= 0 {
			s.remaining, s.readyAt = 0, now
			continue
		}
		s.readyAt = now + time.Duration(float64(s.remaining)*factor)
	}
}

// overdueFactor is the fraction of the elapsed load time by which the expected end of an overdue
// load is extended.
const overdueFactor = 0.5

// markOverdue extends the expected end of a load that has not ended in time.
//
// Load pattern: more adapters are requested than the weight store serves at full speed, such as
// when traffic starts, and the loads of other owners become known one heartbeat later.
func (s *slot) markOverdue(now time.Duration) {
	s.remaining = max(s.remaining, loadUpdateInterval, time.Duration(overdueFactor*float64(now-s.orderedAt)))
	s.readyAt = now + s.remaining
}

// addWarm records an unloaded adapter that stays in the memory of the engine.
func (e *engine) addWarm(a pool.Adapter, now time.Duration) {
	e.warm[a.Tag()] = now
	if len(e.warm) <= maxWarm {
		return
	}
	oldest := a.Tag()
	for x, t := range e.warm {
		if t < e.warm[oldest] {
			oldest = x
		}
	}
	delete(e.warm, oldest)
}

// reportLag is the maximum lag of a report behind the orders of the engine: twice the lag that
// the platform documents.
const reportLag = 250 * time.Millisecond

// merge updates the slots from a report of the engine, except for adapters that were ordered or
// unloaded within reportLag, which the report may not reflect yet.
func (e *engine) merge(r Report, now, cold time.Duration) {
	slots := map[pool.Adapter]*slot{}
	add := func(a pool.Adapter, v route.Version, readyAt time.Duration) {
		s, ok := e.slots[a]
		if !ok {
			s = &slot{lastUse: now, scoreAt: now}
		}
		if ok && now-s.orderedAt < reportLag || now-e.unloadedAt[a] < reportLag && e.unloadedAt[a] != 0 {
			return
		}
		if !ok || s.remaining <= 0 || readyAt == 0 {
			s.remaining, s.readyAt = max(0, readyAt-now), readyAt
		}
		s.version = v
		slots[a] = s
	}
	for a, s := range e.slots {
		if now-s.orderedAt < reportLag {
			slots[a] = s
		}
	}
	for a, v := range r.Adapters {
		add(a, v, 0)
	}
	for a, v := range r.Loading {
		add(a, v, now+cold)
	}
	e.slots = slots
}
