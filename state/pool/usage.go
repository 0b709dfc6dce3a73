package pool

import (
	"maps"
	"slices"
	"time"
)

// Usage is the work that an instance has on an upstream for one adapter.
type Usage struct {
	Running int
	// PrefillTokens are the prompt tokens of requests without a first event.
	PrefillTokens int
	// Tokens are the prompt and output tokens of all running requests.
	Tokens int
}

// Work is the use of an adapter on an upstream by one instance.
type Work struct {
	Upstream Tag
	Adapter  Tag
	Usage
}

// others is work that the owner of an engine tells of, in all and by adapter.
type others struct {
	Usage
	running map[Tag]int
}

// othersTime is how long what an owner told is believed: an owner that ends is
// replaced after seconds, and its engines work on meanwhile.
const othersTime = 4 * time.Second

func (u *Usage) add(o Usage, sign int) {
	u.Running += sign * o.Running
	u.PrefillTokens += sign * o.PrefillTokens
	u.Tokens += sign * o.Tokens
}

// countPeers adds what the peers told of an upstream before it was known.
func (p *Pool) countPeers(e *entry) {
	for _, l := range p.peers {
		for _, w := range l {
			if w.Upstream == e.tag {
				e.count(w.Adapter, w.Usage, 1)
			}
		}
	}
}

// count adds work of any instance to the totals.
func (e *entry) count(t Tag, u Usage, sign int) {
	e.total.add(u, sign)
	if e.running[t] += sign * u.Running; e.running[t] <= 0 {
		delete(e.running, t)
	}
}

// Begin counts a request on an upstream until End.
func (p *Pool) Begin(id ID, a Adapter, u Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return
	}
	o, ok := e.own[a.Tag()]
	if !ok {
		o = &Usage{}
		e.own[a.Tag()] = o
	}
	o.add(u, 1)
	e.count(a.Tag(), u, 1)
}

// End takes a request, or the read part of one, off an upstream.
func (p *Pool) End(id ID, a Adapter, u Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	t := a.Tag()
	if !ok || e.own[t] == nil {
		return
	}
	o := e.own[t]
	o.add(u, -1)
	e.count(t, u, -1)
	if o.Running <= 0 {
		delete(e.own, t)
	}
}

// LocalWork returns the work of this instance by a key of the upstream. Those that
// have none are left out.
func (p *Pool) LocalWork(key func(u Upstream) (string, bool)) map[string][]Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]Work{}
	for _, e := range p.entries {
		if len(e.own) == 0 {
			continue
		}
		k, ok := key(e.Upstream)
		if !ok {
			continue
		}
		for a, u := range e.own {
			out[k] = append(out[k], Work{Upstream: e.tag, Adapter: a, Usage: *u})
		}
	}
	return out
}

// SetPeer replaces the work of a peer. A nil list forgets the peer.
func (p *Pool) SetPeer(name string, work []Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countWork(p.peers[name], -1)
	p.countWork(work, 1)
	if len(work) == 0 {
		delete(p.peers, name)
		return
	}
	p.peers[name] = work
}

func (p *Pool) countWork(work []Work, sign int) {
	for _, w := range work {
		if e, ok := p.tags[w.Upstream]; ok {
			e.count(w.Adapter, w.Usage, sign)
		}
	}
}

// AddPeer adds to the work of a peer, until SetPeer replaces it.
func (p *Pool) AddPeer(name string, w Work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countWork([]Work{w}, 1)
	p.peers[name] = append(slices.Clone(p.peers[name]), w)
}

// SetRemoteUsage notes all work on an engine as its owner tells, with that of this
// instance that the owner knew of. Running is by adapter; nil leaves what was
// told before.
func (p *Pool) SetRemoteUsage(id ID, all, own Usage, running map[Tag]int, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return
	}
	all.add(own, -1)
	e.others.Usage = Usage{Running: max(0, all.Running), PrefillTokens: max(0, all.PrefillTokens), Tokens: max(0, all.Tokens)}
	if running != nil {
		e.others.running = running
	}
	e.othersUntil = now + othersTime
}

// ClearRemoteUsage drops what another instance told of an engine, when this one has
// become its owner.
func (p *Pool) ClearRemoteUsage(id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.others = others{}
	}
}

// LocalUsage returns the work of this instance on an upstream.
func (p *Pool) LocalUsage(id ID) Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum Usage
	if e, ok := p.entries[id]; ok {
		for _, u := range e.own {
			sum.add(*u, 1)
		}
	}
	return sum
}

// TotalUsage returns the work on an upstream by all instances, and the running
// requests by adapter.
func (p *Pool) TotalUsage(id ID, now time.Duration) (Usage, map[Tag]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return Usage{}, nil
	}
	return e.busy(now), maps.Clone(e.running)
}

// busy is the work of all instances.
func (e *entry) busy(now time.Duration) Usage {
	u := e.total
	if now < e.othersUntil {
		u.add(e.others.Usage, 1)
	}
	return u
}

// inUse returns the running requests for an adapter of all instances.
func (e *entry) inUse(t Tag, now time.Duration) int {
	n := e.running[t]
	if now < e.othersUntil {
		n += e.others.running[t]
	}
	return n
}

// RunningRequests returns the requests that run on an upstream for an adapter.
func (p *Pool) RunningRequests(id ID, a Adapter) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return 0
	}
	return e.running[a.Tag()]
}
