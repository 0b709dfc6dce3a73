package pool

import (
	"maps"
	"slices"
	"time"
)

// Usage is the work of an instance on an upstream for one adapter.
type Usage struct {
	Running int
	// PrefillTokens are the prompt tokens of requests that have no first event yet.
	PrefillTokens int
	// Tokens are the prompt and output tokens of all running requests.
	Tokens int
}

// Work is the usage of one adapter on one upstream by one instance.
type Work struct {
	Upstream Tag
	Adapter  Tag
	Usage
}

// remoteUsage is the work that the owner of an engine reports, in total and by adapter.
type remoteUsage struct {
	Usage
	running map[Tag]int
}

// remoteUsageTTL is how long an owner's report is used. An owner that stops is replaced
// within seconds, and its engines keep working during that time.
const remoteUsageTTL = 4 * time.Second

func (u *Usage) add(o Usage, sign int) {
	u.Running += sign * o.Running
	u.PrefillTokens += sign * o.PrefillTokens
	u.Tokens += sign * o.Tokens
}

// addPeerWork adds the work that peers reported before the upstream was known.
func (p *Pool) addPeerWork(e *entry) {
	for _, l := range p.peers {
		for _, w := range l {
			if w.Upstream == e.tag {
				e.addUsage(w.Adapter, w.Usage, 1)
			}
		}
	}
}

// addUsage adds the usage of any instance to the totals, or subtracts it if sign is -1.
func (e *entry) addUsage(t Tag, u Usage, sign int) {
	e.total.add(u, sign)
	if e.running[t] += sign * u.Running; e.running[t] <= 0 {
		delete(e.running, t)
	}
}

// Begin counts a request of this instance on an upstream until End.
func (p *Pool) Begin(id ID, a Adapter, u Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return
	}
	o, ok := e.local[a.Tag()]
	if !ok {
		o = &Usage{}
		e.local[a.Tag()] = o
	}
	o.add(u, 1)
	e.addUsage(a.Tag(), u, 1)
}

// End subtracts the usage of a request, or the prefill tokens of one whose prompt has
// been processed.
func (p *Pool) End(id ID, a Adapter, u Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	t := a.Tag()
	if !ok || e.local[t] == nil {
		return
	}
	o := e.local[t]
	o.add(u, -1)
	e.addUsage(t, u, -1)
	if o.Running <= 0 {
		delete(e.local, t)
	}
}

// LocalWork returns the work of this instance, grouped by a key of the upstream.
// Upstreams for which key returns false are skipped.
func (p *Pool) LocalWork(key func(u Upstream) (string, bool)) map[string][]Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]Work{}
	for _, e := range p.entries {
		if len(e.local) == 0 {
			continue
		}
		k, ok := key(e.Upstream)
		if !ok {
			continue
		}
		for a, u := range e.local {
			out[k] = append(out[k], Work{Upstream: e.tag, Adapter: a, Usage: *u})
		}
	}
	return out
}

// SetPeer replaces the work of a peer. An empty list removes the peer.
func (p *Pool) SetPeer(name string, work []Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyWork(p.peers[name], -1)
	p.applyWork(work, 1)
	if len(work) == 0 {
		delete(p.peers, name)
		return
	}
	p.peers[name] = work
}

// applyWork adds work to the known upstreams, or subtracts it if sign is -1.
func (p *Pool) applyWork(work []Work, sign int) {
	for _, w := range work {
		if e, ok := p.tags[w.Upstream]; ok {
			e.addUsage(w.Adapter, w.Usage, sign)
		}
	}
}

// AddPeer adds to the work of a peer, until SetPeer replaces it.
func (p *Pool) AddPeer(name string, w Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyWork([]Work{w}, 1)
	p.peers[name] = append(slices.Clone(p.peers[name]), w)
}

// SetRemoteUsage records all work on an engine as its owner reports it, less the part of
// this instance that the owner has counted. Running is by adapter; nil keeps the previous
// values.
func (p *Pool) SetRemoteUsage(id ID, all, own Usage, running map[Tag]int, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return
	}
	all.add(own, -1)
	e.remote.Usage = Usage{Running: max(0, all.Running), PrefillTokens: max(0, all.PrefillTokens), Tokens: max(0, all.Tokens)}
	if running != nil {
		e.remote.running = running
	}
	e.remoteUntil = now + remoteUsageTTL
}

// ClearRemoteUsage discards the previous owner's report on an engine when this instance
// has become its owner.
func (p *Pool) ClearRemoteUsage(id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.remote = remoteUsage{}
	}
}

// LocalUsage returns the work of this instance on an upstream.
func (p *Pool) LocalUsage(id ID) Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum Usage
	if e, ok := p.entries[id]; ok {
		for _, u := range e.local {
			sum.add(*u, 1)
		}
	}
	return sum
}

// TotalUsage returns the work of all instances on an upstream, and the running requests
// by adapter without those that only the owner reports.
func (p *Pool) TotalUsage(id ID, now time.Duration) (Usage, map[Tag]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return Usage{}, nil
	}
	return e.totalUsage(now), maps.Clone(e.running)
}

// totalUsage returns the work of all instances.
func (e *entry) totalUsage(now time.Duration) Usage {
	u := e.total
	if now < e.remoteUntil {
		u.add(e.remote.Usage, 1)
	}
	return u
}

// runningRequests returns the running requests of all instances for an adapter.
func (e *entry) runningRequests(t Tag, now time.Duration) int {
	n := e.running[t]
	if now < e.remoteUntil {
		n += e.remote.running[t]
	}
	return n
}

// RunningRequests returns the requests that run on an upstream for an adapter, without
// those that only the engine's owner reports.
func (p *Pool) RunningRequests(id ID, a Adapter) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return 0
	}
	return e.running[a.Tag()]
}
