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
	// Step is the time of one token of a batch.
	Step time.Duration
	// Load is the time that an adapter takes from the weight store, Reload
	// the time of one that the engine held recently.
	Load, Reload time.Duration
}

// Ask is a request that looks for an upstream.
type Ask struct {
	Service route.ServiceName
	Adapter Adapter
	// Version is the newest version of the adapter, and Oldest the oldest one
	// that may still run.
	Version, Oldest route.Version
	// Prompt and Output are in tokens. Plain services have none.
	Prompt, Output int
	Zone           string
	// Avoid are the upstreams that failed this request.
	Avoid map[ID]bool
	// Orderable reports whether an engine has an owner that gives orders.
	Orderable func(id ID) bool
	// Engine is set for services that run models.
	Engine *Capacity
}

// Choice is the chosen upstream.
type Choice struct {
	Upstream
	// Load is set when the adapter has to be loaded first.
	Load bool
	// ReadyIn is the time until a load under way ends.
	ReadyIn time.Duration
	// Version is the version that the request will run on.
	Version route.Version
	// First is the predicted time to the first event.
	First time.Duration
	// Busy is the work that was known there.
	Busy Use
	// Room is set when under half of the upstream's slots are taken.
	Room bool
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
func (p *Pool) Choose(a Ask, now time.Duration) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best Choice
	var chosen *entry
	var cost time.Duration
	for id, e := range p.entries {
		if e.Service != a.Service || a.Avoid[id] || !e.usable(a, now) {
			continue
		}
		c, x := e.price(a, now)
		if chosen != nil && (x > cost || x == cost && id > chosen.ID) {
			continue
		}
		if c.Load && (now < e.loadsFrom || a.Orderable != nil && !a.Orderable(id)) {
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
func (p *Pool) Predict(id ID, a Ask, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok || a.Engine == nil {
		return 0
	}
	return e.firstEvent(a, e.busy(now))
}

func (e *entry) usable(a Ask, now time.Duration) bool {
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
func (e *entry) price(a Ask, now time.Duration) (Choice, time.Duration) {
	c := Choice{Busy: e.busy(now)}
	c.Room = c.Busy.Running < e.Slots/2
	cost := time.Duration(float64(failurePenalty) * e.health.failing)
	if e.Zone != a.Zone {
		cost += zonePenalty
	}
	if a.Engine == nil {
		c.First = plainService * time.Duration(1+c.Busy.Running) / time.Duration(max(e.Slots, 1))
		if c.Busy.Running >= e.Slots {
			cost += plainService
		}
		return c, cost + c.First
	}
	c.First = e.firstEvent(a, c.Busy)
	if c.Busy.Tokens+a.Prompt+a.Output > a.Engine.CacheTokens || c.Busy.Running >= e.Slots {
		cost += fullPenalty
	}
	if a.Adapter.Name != "" {
		cost += e.adapterCost(a, &c, now)
	}
	return c, cost + c.First
}

// firstEvent predicts the time until the engine has read the prompts before
// this one and this one.
func (e *entry) firstEvent(a Ask, b Use) time.Duration {
	s := float64(b.Unread+a.Prompt) / a.Engine.TokensPerSecond * e.pace
	steps := time.Duration(1 + b.Running/8)
	return time.Duration(s*float64(time.Second)) + steps*a.Engine.Step
}

// adapterCost adds the time until the adapter is in place.
func (e *entry) adapterCost(a Ask, c *Choice, now time.Duration) time.Duration {
	t := a.Adapter.Tag()
	h, ok := e.held[t]
	if ok && h.Version >= a.Oldest {
		c.Version = h.Version
		c.ReadyIn = max(0, h.ReadyAt-now)
		if h.Version < a.Version {
			return c.ReadyIn + rankStep
		}
		return c.ReadyIn
	}
	c.Load, c.Version = true, a.Version
	cost := a.Engine.Reload
	if !e.recent[t] {
		cost = a.Engine.Load + fetchPenalty + e.rank(t)
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
