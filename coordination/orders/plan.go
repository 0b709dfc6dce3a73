package orders

import (
	"fmt"
	"time"

	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

// place is an adapter on an engine, as its owner knows it.
type place struct {
	version route.Version
	// left is the time that the load still takes at full speed, readyAt the
	// instant at which it ends if nothing changes.
	left    time.Duration
	readyAt time.Duration
	// orderedAt is the instant of the order, which the engine's report lags.
	orderedAt time.Duration
	// fetched is set when the load is from the weight store.
	fetched bool
	// lastUse is the last instant at which a request used or asked for it,
	// grantedUntil the instant until which one that asked may be on its way.
	lastUse      time.Duration
	grantedUntil time.Duration
	// score counts recent uses; it halves every scoreHalf.
	score   float64
	scoreAt time.Duration
}

const (
	scoreHalf = 4 * time.Second
	// grantTime is the time after the end of a load, or a question for it, in
	// which an adapter is not evicted: the request that asked is told of by its
	// instance within two beats.
	grantTime = 350 * time.Millisecond
	// inUseTime is the time for which an adapter is left alone that the engine
	// did not unload since a request used it.
	inUseTime = time.Second
	// maxComing is the number of adapters that an engine loads at once.
	maxComing = 4
	// maxRecent is the number of adapters that an engine keeps in memory after
	// they were unloaded.
	maxRecent = 30
)

func (p *place) used(now time.Duration, n float64) {
	p.lastUse = now
	p.decay(now)
	p.score += n
}

// grant keeps the adapter for a request that is on its way.
func (p *place) grant(now time.Duration) {
	p.used(now, 1)
	p.grantedUntil = max(p.grantedUntil, max(now, p.readyAt)+grantTime)
}

func (p *place) decay(now time.Duration) {
	for now-p.scoreAt >= scoreHalf {
		p.score /= 2
		p.scoreAt += scoreHalf
		if p.score < 0.01 {
			p.scoreAt = now
		}
	}
}

// engine is what the owner knows of one engine.
type engine struct {
	upstream pool.Upstream
	token    ownership.Token
	// synced is set when sequence and places were read under the token and no
	// order was left without an answer since.
	synced   bool
	sequence int64
	// orderedAt is the instant of the last order that changed the sequence.
	orderedAt time.Duration
	places    map[pool.Adapter]*place
	// recent are the adapters that the engine loads faster, with the instant at
	// which they were unloaded.
	recent map[pool.Tag]time.Duration
	// advanced is the instant up to which loads were advanced.
	advanced time.Duration
	// dropped are the adapters unloaded lately, which the report may still name.
	dropped map[pool.Adapter]time.Duration
	// modelAt is when the base model was ordered last.
	modelAt time.Duration
}

// verdict is what has to be done for an adapter.
type verdict int

const (
	present verdict = iota // nothing; it is there or coming
	load                   // load it
	evict                  // unload the victim and load it
	full                   // nothing can be done now
)

// uses is what the instances tell of the requests on an engine.
type uses struct {
	// running returns the requests that use an adapter.
	running func(a pool.Adapter) int
	// age is how old it may be, twice its mean.
	age time.Duration
}

// idle is the time for which an adapter must not have been used before it is
// evicted: it may be in use again. The time of a grant covers two beats of a
// small fleet.
func (u uses) idle() time.Duration {
	return max(0, u.age/2-grantTime)
}

// plan decides what to do for an adapter.
//
// Load pattern: more adapters are asked for than fit, and requests for those
// in place are on their way.
func (e *engine) plan(a pool.Adapter, v route.Version, slots int, u uses, now time.Duration) (verdict, pool.Adapter) {
	coming := 0
	for _, p := range e.places {
		if p.readyAt > now {
			coming++
		}
	}
	if p, ok := e.places[a]; ok {
		switch {
		case p.version >= v:
			return present, a
		case u.running(a) > 0 || coming >= maxComing:
			return full, a
		default:
			return load, a
		}
	}
	if coming >= maxComing {
		return full, a
	}
	if len(e.places) < slots {
		return load, a
	}
	if x, ok := e.victim(u, now); ok {
		return evict, x
	}
	return full, a
}

// mayFetch reports whether an adapter may be loaded now. Each engine may have
// one load from the weight store under way, and more while the fleet has fewer
// than run at full speed: further ones would only make all of them slower, and
// hold slots meanwhile.
//
// Load pattern: most requests ask for adapters that no engine has, such as
// when traffic starts.
func (e *engine) mayFetch(a pool.Adapter, loading, parallel int) bool {
	if _, ok := e.recent[a.Tag()]; ok || loading < parallel {
		return true
	}
	for _, p := range e.places {
		if p.fetched && p.left > 0 {
			return false
		}
	}
	return loading < 2*parallel
}

// occupation says what the slots of the engine are taken by, for the log.
func (e *engine) occupation(u uses, now time.Duration) string {
	coming, used, granted, idle := 0, 0, 0, 0
	for a, p := range e.places {
		switch {
		case p.readyAt > now:
			coming++
		case u.running(a) > 0:
			used++
		case now < p.grantedUntil || now-p.lastUse < u.idle():
			granted++
		default:
			idle++
		}
	}
	return fmt.Sprintf("%d loading, %d in use, %d granted, %d idle", coming, used, granted, idle)
}

// victim returns the adapter to evict: idle, and least asked for lately.
//
// Load pattern: in a large fleet the owner hears of a use after seconds; an
// adapter that is unloaded while in use holds up the orders of its engine until
// its requests end.
func (e *engine) victim(u uses, now time.Duration) (pool.Adapter, bool) {
	var worst pool.Adapter
	found := false
	for a, p := range e.places {
		if p.readyAt > now || now < p.grantedUntil || now-p.lastUse < u.idle() || u.running(a) > 0 {
			continue
		}
		p.decay(now)
		if w := e.places[worst]; !found || p.score < w.score || p.score == w.score && p.lastUse < w.lastUse {
			worst, found = a, true
		}
	}
	return worst, found
}

// slower returns how many times longer than at full speed loads take: above the
// number over the fleet that run at full speed, all become slower in proportion.
func slower(loading, parallel int) float64 {
	return max(1, float64(loading)/float64(parallel))
}

// advance moves the loads on to now.
//
// Load pattern: many adapters are asked for at once.
func (e *engine) advance(now time.Duration, slower float64) {
	passed := now - e.advanced
	e.advanced = now
	for _, p := range e.places {
		if p.left <= 0 {
			continue
		}
		p.left -= time.Duration(float64(min(passed, now-p.orderedAt)) / slower)
		if p.left <= 0 {
			p.left, p.readyAt = 0, now
			continue
		}
		p.readyAt = now + time.Duration(float64(p.left)*slower)
	}
}

// overdueShare is the part of the time that a load took so far for which it is
// expected to go on when it has not ended as expected.
const overdueShare = 0.5

// overdue notes that a load has not ended yet.
//
// Load pattern: more adapters are asked for than the weight store hands out at
// full speed, such as when traffic starts; what the other owners have under way
// is known a beat later.
func (p *place) overdue(now time.Duration) {
	p.left = max(p.left, loadStep, time.Duration(overdueShare*float64(now-p.orderedAt)))
	p.readyAt = now + p.left
}

func (e *engine) remember(a pool.Adapter, now time.Duration) {
	e.recent[a.Tag()] = now
	if len(e.recent) <= maxRecent {
		return
	}
	oldest := a.Tag()
	for x, t := range e.recent {
		if t < e.recent[oldest] {
			oldest = x
		}
	}
	delete(e.recent, oldest)
}

// reportLag is how far a report may be behind, twice what the platform states.
const reportLag = 250 * time.Millisecond

// merge takes over what an engine reports, but for what was ordered so lately
// that the report cannot know.
func (e *engine) merge(r Report, now, cold time.Duration) {
	places := map[pool.Adapter]*place{}
	add := func(a pool.Adapter, v route.Version, readyAt time.Duration) {
		p, ok := e.places[a]
		if !ok {
			p = &place{lastUse: now, scoreAt: now}
		}
		if ok && now-p.orderedAt < reportLag || now-e.dropped[a] < reportLag && e.dropped[a] != 0 {
			return
		}
		if !ok || p.left <= 0 || readyAt == 0 {
			p.left, p.readyAt = max(0, readyAt-now), readyAt
		}
		p.version = v
		places[a] = p
	}
	for a, p := range e.places {
		if now-p.orderedAt < reportLag {
			places[a] = p
		}
	}
	for a, v := range r.Adapters {
		add(a, v, 0)
	}
	for a, v := range r.Loading {
		add(a, v, now+cold)
	}
	e.places = places
}
