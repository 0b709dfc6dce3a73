package pool

import (
	"time"

	"gentiangauge.example/gentiangauge/state/route"
)

// Capacity is what the engines of a service can do.
type Capacity struct {
	// CacheTokens is the memory of an engine.
	CacheTokens int
	// AdapterSlots is the number of adapters that an engine holds.
	AdapterSlots int
	// TokensPerSecond is the speed at which an engine reads prompts.
	TokensPerSecond float64
	// StepTime is the time of one token of a batch.
	StepTime time.Duration
	// LoadTime is the time that an adapter takes from the weight store, ReloadTime
	// the time of one that the engine held recently.
	LoadTime, ReloadTime time.Duration
}

// Request is a request that looks for an upstream.
type Request struct {
	Service route.ServiceName
	Adapter Adapter
	// Version is the newest version of the adapter, and MinVersion the oldest one
	// that may still run.
	Version, MinVersion route.Version
	// PromptTokens and OutputTokens are in tokens. Plain services have none.
	PromptTokens, OutputTokens int
	Zone                       string
	// Exclude are the upstreams that failed this request.
	Exclude map[ID]bool
	// CanLoad reports whether an engine has an owner that gives orders.
	CanLoad func(id ID) bool
	// Engine is set for services that run models.
	Engine *Capacity
}

// Choice is the chosen upstream.
type Choice struct {
	Upstream
	// NeedsLoad is set when the adapter has to be loaded first.
	NeedsLoad bool
	// ReadyIn is the time until a load under way ends.
	ReadyIn time.Duration
	// Version is the version that the request will run on.
	Version route.Version
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// Usage is the work that was known there.
	Usage Usage
	// HasRoom is set when under half of the upstream's slots are taken.
	HasRoom bool
}

const (
	// rankStep is added for each place in the rendezvous order of an adapter,
	// so that instances that choose at the same time choose the same engine.
	rankStep = 12 * time.Millisecond
	// zonePenalty keeps requests in their availability zone when the load is
	// equal.
	zonePenalty = 60 * time.Millisecond
	// failurePenalty is the cost of an upstream that fails every request.
	failurePenalty = 4 * time.Second
	// fullPenalty is the cost of an engine whose memory or slots are taken.
	fullPenalty = 3 * time.Second
	// evictPenalty is the cost of a load that has to evict an adapter.
	evictPenalty = 40 * time.Millisecond
	// fetchPenalty is the price of an adapter from the weight store beside the
	// time that it takes.
	fetchPenalty = 300 * time.Millisecond
	// plainService is the assumed time of a request of a plain service.
	plainService = 60 * time.Millisecond
)

// Choose returns the upstream with the least predicted time to an answer,
// and false if there is none.
func (p *Pool) Choose(a Request, now time.Duration) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best Choice
	var chosen *entry
	var cost time.Duration
	for id, e := range p.entries {
		if e.Service != a.Service || a.Exclude[id] || !e.usable(a, now) {
			continue
		}
		c, x := e.price(a, now)
		if chosen != nil && (x > cost || x == cost && id > chosen.ID) {
			continue
		}
		if c.NeedsLoad && (now < e.loadsFrom || a.CanLoad != nil && !a.CanLoad(id)) {
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

// Predict returns the predicted time to the first event on one upstream.
func (p *Pool) Predict(id ID, a Request, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok || a.Engine == nil {
		return 0
	}
	return e.firstEvent(a, e.busy(now))
}

func (e *entry) usable(a Request, now time.Duration) bool {
	if e.verdict(now) != Admitted || now < e.health.downUntil {
		return false
	}
	if a.Engine == nil {
		return true
	}
	_, ok := e.Models[a.Adapter.Model]
	return ok
}

// price returns the choice of the upstream, but for what the list says of it,
// and its cost as a time.
func (e *entry) price(a Request, now time.Duration) (Choice, time.Duration) {
	c := Choice{Usage: e.busy(now)}
	c.HasRoom = c.Usage.Running < e.Slots/2
	cost := time.Duration(float64(failurePenalty) * e.health.failing)
	if e.Zone != a.Zone {
		cost += zonePenalty
	}
	if a.Engine == nil {
		c.FirstEvent = plainService * time.Duration(1+c.Usage.Running) / time.Duration(max(e.Slots, 1))
		if c.Usage.Running >= e.Slots {
			cost += plainService
		}
		return c, cost + c.FirstEvent
	}
	c.FirstEvent = e.firstEvent(a, c.Usage)
	if c.Usage.Tokens+a.PromptTokens+a.OutputTokens > a.Engine.CacheTokens || c.Usage.Running >= e.Slots {
		cost += fullPenalty
	}
	if a.Adapter.Name != "" {
		cost += e.adapterCost(a, &c, now)
	}
	return c, cost + c.FirstEvent
}

// firstEvent predicts the time until the engine has read the prompts before
// this one and this one.
func (e *entry) firstEvent(a Request, b Usage) time.Duration {
	s := float64(b.PrefillTokens+a.PromptTokens) / a.Engine.TokensPerSecond * e.pace
	steps := time.Duration(1 + b.Running/8)
	return time.Duration(s*float64(time.Second)) + steps*a.Engine.StepTime
}

// adapterCost adds the time until the adapter is in place.
func (e *entry) adapterCost(a Request, c *Choice, now time.Duration) time.Duration {
	t := a.Adapter.Tag()
	h, ok := e.held[t]
	if ok && h.Version >= a.MinVersion {
		c.Version = h.Version
		c.ReadyIn = max(0, h.ReadyAt-now)
		if h.Version < a.Version {
			return c.ReadyIn + rankStep
		}
		return c.ReadyIn
	}
	c.NeedsLoad, c.Version = true, a.Version
	cost := a.Engine.ReloadTime
	if !e.recent[t] {
		cost = a.Engine.LoadTime + fetchPenalty + e.rank(t)
	}
	idle := a.Engine.AdapterSlots - len(e.held)
	if idle > 0 && !ok {
		return cost
	}
	cost += evictPenalty
	if ok && e.inUse(t, now) > 0 || !ok && e.idleHeld(now) == 0 {
		cost += fullPenalty / 2
	}
	return cost
}

// idleHeld counts the adapters that no request uses.
func (e *entry) idleHeld(now time.Duration) int {
	n := 0
	for a, h := range e.held {
		if h.ReadyAt <= now && e.inUse(a, now) == 0 {
			n++
		}
	}
	return n
}

// rank spreads adapters over engines in the same way at all instances.
func (e *entry) rank(a Tag) time.Duration {
	// Constants and shift of the finalizer of MurmurHash3.
	const places, first, second = 8, 0x85ebca6b, 0xc2b2ae35
	h := (uint32(e.tag)*first ^ uint32(a)) * second
	return rankStep * time.Duration((h^h>>16)%places)
}
