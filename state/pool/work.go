package pool

// Use is the work that an instance has on an upstream for one adapter.
type Use struct {
	Running int
	// Unread are the prompt tokens of requests without a first event.
	Unread int
	// Tokens are the prompt and output tokens of all running requests.
	Tokens int
}

// Work is the use of an adapter on an upstream by one instance.
type Work struct {
	Upstream Tag
	Adapter  Tag
	Use
}

func (u *Use) add(o Use, sign int) {
	u.Running += sign * o.Running
	u.Unread += sign * o.Unread
	u.Tokens += sign * o.Tokens
}

// countPeers adds what the peers told of an upstream before it was known.
func (p *Pool) countPeers(e *entry) {
	for _, l := range p.peers {
		for _, w := range l {
			if w.Upstream == e.tag {
				e.count(w.Adapter, w.Use, 1)
			}
		}
	}
}

// count adds work of any instance to the totals.
func (e *entry) count(t Tag, u Use, sign int) {
	e.total.add(u, sign)
	if e.running[t] += sign * u.Running; e.running[t] <= 0 {
		delete(e.running, t)
	}
}

// Begin counts a request on an upstream until End.
func (p *Pool) Begin(id ID, a Adapter, u Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return
	}
	o, ok := e.own[a.Tag()]
	if !ok {
		o = &Use{}
		e.own[a.Tag()] = o
	}
	o.add(u, 1)
	e.count(a.Tag(), u, 1)
}

// End takes a request, or the read part of one, off an upstream.
func (p *Pool) End(id ID, a Adapter, u Use) {
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

// OwnWork returns the work of this instance.
func (p *Pool) OwnWork() []Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Work
	for _, e := range p.entries {
		for a, u := range e.own {
			out = append(out, Work{Upstream: e.tag, Adapter: a, Use: *u})
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
			e.count(w.Adapter, w.Use, sign)
		}
	}
}

// InUse returns the requests that run on an upstream for an adapter.
func (p *Pool) InUse(id ID, a Adapter) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return 0
	}
	return e.running[a.Tag()]
}
