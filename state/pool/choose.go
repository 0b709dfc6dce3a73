package pool

import (
	"time"

	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
)

// Capacity describes the engines of a service.
type Capacity struct {
	// CacheTokens is the size of an engine's KV cache.
	CacheTokens int
	// AdapterSlots is the number of adapters that an engine can hold.
	AdapterSlots int
	// TokensPerSecond is the rate at which an engine processes prompts.
	TokensPerSecond float64
	// StepTime is the time that an engine needs to generate one token for a batch.
	StepTime time.Duration
	// LoadTime is the time to load an adapter from the weight store, ReloadTime the time
	// to load one that the engine had loaded recently.
	LoadTime, ReloadTime time.Duration
}

// Request describes a request that needs an upstream.
type Request struct {
	Service route.ServiceName
	Adapter Adapter
	// Version is the newest version of the adapter, MinVersion the oldest one that may
	// still serve requests.
	Version, MinVersion route.Version
	// OldUntil is the instant by which the response must begin if it comes from an older
	// version than Version.
	OldUntil time.Duration
	// PromptTokens and OutputTokens are 0 for plain services.
	PromptTokens, OutputTokens int
	Zone                       string
	// Spread differs between requests. Of several equal upstreams, each request gets another one.
	//
	// Load pattern: a whole fleet starts, or finds a service idle; instances that know of no
	// requests there must not all choose the same upstream.
	Spread Tag
	// Software is the version of the software that the upstream must run, or empty for any.
	Software software.Version
	// Leave is a software version whose upstreams are left to other requests, or empty. Those of others need
	// slots that are not kept for such requests.
	Leave software.Version
	// Exclude holds the upstreams that have already failed this request.
	Exclude map[ID]bool
	// CanLoad reports whether the engine has an owner that can order loads on it. Nil
	// allows all engines.
	CanLoad func(id ID) bool
	// Engine is nil for plain services, which run no models.
	Engine *Capacity
}

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream
	// NeedsLoad is set when the adapter has to be loaded first.
	NeedsLoad bool
	// ReadyIn is the time until a load that is already in flight ends.
	ReadyIn time.Duration
	// Version is the adapter version that the request will run on.
	Version route.Version
	// FirstEvent is the predicted time to the first event of the response.
	FirstEvent time.Duration
	// Usage is the work of all instances that was known on the upstream.
	Usage Usage
	// HasRoom is set when less than half of the upstream's request slots are taken.
	HasRoom bool
}

// StartsIn returns the predicted time to the first event, with that until the adapter is ready if it
// is being loaded.
func (c Choice) StartsIn() time.Duration { return c.FirstEvent + c.ReadyIn }

const (
	// rankStep is added for each place in the rendezvous order of an adapter, so that
	// instances that choose at the same time choose the same engine.
	rankStep = 12 * time.Millisecond
	// zonePenalty keeps requests in their availability zone when the load is equal.
	zonePenalty = 60 * time.Millisecond
	// failurePenalty is the cost of an upstream that fails every request; it scales with
	// the failure rate.
	failurePenalty = 4 * time.Second
	// fullPenalty is the cost of an engine whose KV cache or request slots are full.
	fullPenalty = 3 * time.Second
	// evictPenalty is the cost of a load that has to evict an adapter.
	evictPenalty = 40 * time.Millisecond
	// fetchPenalty is the cost of loading an adapter from the weight store, in addition
	// to the load time.
	fetchPenalty = 300 * time.Millisecond
	// limitedLoadPenalty is the cost of a load on an engine with a rate limit, whose order
	// needs a permit too. It is small enough for a busy fleet to load adapters there: an
	// engine whose adapters nobody asks for sends no response that ends its limit.
	limitedLoadPenalty = 300 * time.Millisecond
	// plainRequestTime is the assumed duration of a request to a plain service.
	plainRequestTime = 60 * time.Millisecond
)

// Choose returns the upstream with the lowest predicted time to a response plus
// penalties. It returns false if no upstream can take the request. An upstream with a rate
// limit is chosen like any other as long as permits are available: only the responses to
// such requests can state that the limit has ended.
func (p *Pool) Choose(r Request, now time.Duration) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best Choice
	var chosen *entry
	var cost time.Duration
	for id, e := range p.entries {
		if e.Service != r.Service || r.Exclude[id] || !e.usable(r, now) {
			continue
		}
		c, x := e.evaluate(r, now)
		if chosen != nil && (x > cost || x == cost && mix(e.tag, r.Spread) > mix(chosen.tag, r.Spread)) {
			continue
		}
		if c.NeedsLoad && (now < e.loadsDeferredUntil || r.CanLoad != nil && !r.CanLoad(id)) {
			continue
		}
		best, chosen, cost = c, e, x
	}
	if chosen == nil {
		return best, false
	}
	best.Upstream = chosen.Upstream
	return best, true
}

// Predict returns the predicted time to the first event on one upstream, or 0 for an
// unknown upstream or a plain service.
func (p *Pool) Predict(id ID, r Request, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok || r.Engine == nil {
		return 0
	}
	return e.firstEvent(r, e.totalUsage(now))
}

// usable reports whether the upstream runs the software of a request, admits requests, has neither
// ended nor is backing off, and has the base model.
func (e *entry) usable(r Request, now time.Duration) bool {
	if r.Software != "" && e.Software != r.Software {
		return false
	}
	if r.Leave != "" && (e.Software == r.Leave || !e.slotsLeft(now).spare()) {
		return false
	}
	if !e.verdict(now).Available() || now < max(e.health.backoffUntil, e.health.endedUntil) {
		return false
	}
	if r.Engine == nil {
		return true
	}
	_, ok := e.Models[r.Adapter.Model]
	return ok
}

// evaluate returns the choice for this upstream, without its Upstream field, and its cost
// expressed as a time.
func (e *entry) evaluate(r Request, now time.Duration) (Choice, time.Duration) {
	c := Choice{Usage: e.totalUsage(now)}
	c.HasRoom = c.Usage.Running < e.Slots/2
	cost := time.Duration(float64(failurePenalty) * e.health.failureRate)
	if e.Zone != r.Zone {
		cost += zonePenalty
	}
	if r.Engine == nil && e.health.silent(now) {
		cost += silencePenalty
	}
	if r.Engine == nil {
		c.FirstEvent = plainRequestTime * time.Duration(1+c.Usage.Running) / time.Duration(max(e.Slots, 1))
		if c.Usage.Running >= e.Slots {
			cost += plainRequestTime
		}
		return c, cost + c.FirstEvent
	}
	c.FirstEvent = e.firstEvent(r, c.Usage)
	if c.Usage.Tokens+r.PromptTokens+r.OutputTokens > r.Engine.CacheTokens || c.Usage.Running >= e.Slots {
		cost += fullPenalty
	}
	if r.Adapter.Name != "" {
		cost += e.adapterCost(r, &c, now)
	}
	return c, cost + c.FirstEvent
}

// firstEvent predicts the time until the engine has processed the prompts queued before
// this request and its own.
func (e *entry) firstEvent(r Request, b Usage) time.Duration {
	s := float64(b.PrefillTokens+r.PromptTokens) / r.Engine.TokensPerSecond * e.latencyRatio
	steps := time.Duration(1 + b.Running/8)
	return time.Duration(s*float64(time.Second)) + steps*r.Engine.StepTime
}

// adapterCost returns the cost of having the adapter ready and fills in the adapter
// fields of c.
//
// Load pattern: a new version is announced while long queues stand at the engines that hold the
// previous one, so that what is sent there would begin too late.
func (e *entry) adapterCost(r Request, c *Choice, now time.Duration) time.Duration {
	t := r.Adapter.Tag()
	h, ok := e.loaded[t]
	ready := max(0, h.ReadyAt-now)
	inTime := h.Version >= r.Version || now+ready+c.FirstEvent <= r.OldUntil
	if ok && h.Version >= r.MinVersion && inTime {
		c.Version, c.ReadyIn = h.Version, ready
		if h.Version < r.Version {
			return c.ReadyIn + rankStep
		}
		return c.ReadyIn
	}
	c.NeedsLoad, c.Version = true, r.Version
	cost := r.Engine.ReloadTime
	if !e.recent[t] {
		cost = r.Engine.LoadTime + fetchPenalty + e.rankPenalty(t)
	}
	if e.reported.limit.Rate > 0 {
		cost += limitedLoadPenalty
	}
	idle := r.Engine.AdapterSlots - len(e.loaded)
	if idle > 0 && !ok {
		return cost
	}
	cost += evictPenalty
	if ok && e.runningRequests(t, now) > 0 || !ok && e.idleAdapters(now) == 0 {
		cost += fullPenalty / 2
	}
	return cost
}

// idleAdapters counts the loaded adapters that no request uses. They can be evicted.
func (e *entry) idleAdapters(now time.Duration) int {
	n := 0
	for a, h := range e.loaded {
		if h.ReadyAt <= now && e.runningRequests(a, now) == 0 {
			n++
		}
	}
	return n
}

// rankPenalty is the penalty for the upstream's place in the rendezvous order of an
// adapter. It spreads adapters over engines identically on all instances.
func (e *entry) rankPenalty(a Tag) time.Duration {
	const places = 8
	return rankStep * time.Duration(mix(e.tag, a)%places)
}

// mix returns a hash of two tags. The constants and the shift are those of the MurmurHash3
// finalizer.
func mix(a, b Tag) uint32 {
	const first, second = 0x85ebca6b, 0xc2b2ae35
	h := (uint32(a)*first ^ uint32(b)) * second
	return h ^ h>>16
}
