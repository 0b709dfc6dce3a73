package placement

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// Request is what a request needs.
type Request struct {
	RequestID string
	Workspace lists.WorkspaceID
	Adapter   lists.Adapter
	Tokens    lists.Tokens
	// Exclusive asks for an upstream on which nothing else runs.
	Exclusive bool
	// Avoid names an upstream that should be tried last.
	Avoid adapter.UpstreamID
}

const (
	maxCandidates = 4
	// ownerCheck is how often a waiting request looks at its owner.
	ownerCheck = 250 * time.Millisecond
)

// Acquire gets the use of an adapter on an upstream. It waits for a load or a
// free place until c ends. It fails with ErrNoUpstream, ErrLoadFailed or the
// error of c. The use must be released.
func (p *Placement) Acquire(c context.Context, w Request) (adapter.Use, error) {
	failures := 0
	for {
		candidates := p.candidates(w)
		if len(candidates) == 0 && failures == 0 {
			return adapter.Use{}, ErrNoUpstream
		}
		for _, id := range candidates {
			u, r, err := p.ask(c, w, id)
			switch {
			case err == nil && r == adapter.Granted:
				return u, nil
			case err == nil && r == adapter.LoadFailed:
				failures++
			}
			if failures >= loadTries {
				return adapter.Use{}, ErrLoadFailed
			}
		}
		if err := p.Timer.Wait(c, retryInterval); err != nil {
			return adapter.Use{}, err
		}
	}
}

func (p *Placement) candidates(w Request) []adapter.UpstreamID {
	all := p.choose(w.Adapter, p.views())
	if i := slices.Index(all, w.Avoid); i >= 0 && len(all) > 1 {
		all = append(slices.Delete(all, i, i+1), w.Avoid)
	}
	return all[:min(len(all), maxCandidates)]
}

// ask asks the owner of an upstream for a use.
func (p *Placement) ask(c context.Context, w Request, id adapter.UpstreamID) (adapter.Use, adapter.Result, error) {
	m, ok := p.answeringOwner(id)
	if !ok {
		return adapter.Use{}, adapter.NotOwner, nil
	}
	c, cancel := context.WithCancel(c)
	defer cancel()
	go p.watchOwner(c, cancel, id, m.Seat)
	use := adapter.Use{
		ID: adapter.UseID(fmt.Sprintf("%s/%d", w.RequestID, p.sequence.Add(1))), Upstream: id, Adapter: w.Adapter,
		Workspace: w.Workspace, Exclusive: w.Exclusive, Holder: adapter.Holder(p.Fleet.Self()),
	}
	p.hold(use)
	u, r, err := p.askOwner(c, m, use, w.Tokens)
	if err != nil || r != adapter.Granted {
		p.unhold(use.ID)
		if err != nil {
			p.tellOwner(m, use, false)
		}
		return adapter.Use{}, r, err
	}
	u.Holder = use.Holder
	p.hold(u)
	return u, r, nil
}

// answeringOwner returns the owner of an upstream, unless it is silent.
func (p *Placement) answeringOwner(id adapter.UpstreamID) (lease.Member, bool) {
	m, ok := p.Fleet.Owner(OwnershipName(id))
	return m, ok && !slices.Contains(p.Fleet.Silent(), m.Seat)
}

// watchOwner ends a wait at an owner that has fallen silent or was replaced,
// so that the request can try another upstream.
func (p *Placement) watchOwner(c context.Context, cancel context.CancelFunc, id adapter.UpstreamID, seat lease.SeatID) {
	p.Timer.Subscribe(c, ownerCheck, func(time.Time) {
		if m, ok := p.answeringOwner(id); !ok || m.Seat != seat {
			cancel()
		}
	})
}

func (p *Placement) askOwner(c context.Context, m lease.Member, use adapter.Use, tokens lists.Tokens) (adapter.Use, adapter.Result, error) {
	if m.Seat == p.Fleet.Self() {
		o, err := p.acquireLocal(c, use, tokens)
		return o.Use, o.Result, err
	}
	r, err := mesh.Call[acquireQuery, acquireReply](c, p.Mesh, m.Mesh, acquireMethod, &acquireQuery{Use: toMessage(use), Tokens: int64(tokens)})
	if err != nil {
		return adapter.Use{}, adapter.Busy, err
	}
	return fromMessage(r.Use), adapter.Result(r.Result), nil
}

// Release ends a use. Failed says that the upstream did not answer whole, so
// that its owner looks at it at once.
func (p *Placement) Release(u adapter.Use, failed bool) {
	p.unhold(u.ID)
	if failed {
		p.noteLost(u.Upstream)
	}
	if m, ok := p.Fleet.Owner(OwnershipName(u.Upstream)); ok {
		p.tellOwner(m, u, failed)
	}
	p.record(timeline.UseEnded, u, "")
}

func (p *Placement) tellOwner(m lease.Member, u adapter.Use, failed bool) {
	go func() {
		x, cancel := context.WithTimeout(p.life, callTimeout)
		defer cancel()
		if m.Seat == p.Fleet.Self() {
			_ = p.releaseLocal(x, u.Upstream, u.ID, failed)
			return
		}
		q := &releaseQuery{Upstream: string(u.Upstream), ID: string(u.ID), Failed: failed}
		_, _ = mesh.Call[releaseQuery, releaseReply](x, p.Mesh, m.Mesh, releaseMethod, q)
	}()
}

func (p *Placement) hold(u adapter.Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uses[u.ID] = u
	p.began[u.ID] = p.Timer.Now()
}

func (p *Placement) unhold(id adapter.UseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.uses, id)
	delete(p.began, id)
}

func (p *Placement) noteLost(id adapter.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost[id] = p.Timer.Now()
}

func (p *Placement) heldUses(id adapter.UpstreamID) []adapter.Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []adapter.Use
	for _, u := range p.uses {
		if u.Upstream == id {
			all = append(all, u)
		}
	}
	return all
}

func (p *Placement) checkHeld(q *checkQuery) *checkReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &checkReply{}
	for _, id := range q.IDs {
		if _, ok := p.uses[adapter.UseID(id)]; ok {
			r.Held = append(r.Held, id)
		}
	}
	return r
}

func (p *Placement) registerHolder() {
	mesh.Handle(p.Mesh, checkMethod, func(_ context.Context, _ string, q *checkQuery) (*checkReply, error) {
		return p.checkHeld(q), nil
	})
	mesh.Handle(p.Mesh, reportMethod, func(_ context.Context, _ string, q *reportQuery) (*reportReply, error) {
		r := &reportReply{}
		for _, u := range p.heldUses(adapter.UpstreamID(q.Upstream)) {
			r.Uses = append(r.Uses, toMessage(u))
		}
		return r, nil
	})
}

// views returns what is known of every engine that takes new work.
func (p *Placement) views() []adapter.View {
	engines := p.engines()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timer.Now()
	views := make([]adapter.View, 0, len(engines))
	for _, l := range engines {
		v := p.viewOf(l)
		if v.Down || now.Sub(p.lost[v.ID]) < lostTime {
			continue
		}
		views = append(views, v)
	}
	return views
}

func (p *Placement) viewOf(l provider.Instance) adapter.View {
	id := adapter.UpstreamID(l.ID)
	h := p.heard[id]
	v := h.view
	v.ID = id
	for use, u := range p.uses {
		if u.Upstream == id && p.began[use].After(h.at) {
			v.SentSinceReport++
		}
	}
	return v
}

// ReportViews returns what this instance tells its peers about its upstreams.
func (p *Placement) ReportViews() []byte {
	m := &gossipMessage{}
	_ = p.owner.Do(p.life, func(s *ownerState) {
		for id, u := range s.upstreams {
			if p.owned(s, id) != nil {
				m.Views = append(m.Views, describe(u))
			}
		}
	})
	p.ApplyViews(p.Fleet.Self(), mustMarshal(m))
	return mustMarshal(m)
}

func mustMarshal(m *gossipMessage) []byte {
	b, err := mesh.Marshal(m)
	if err != nil {
		return nil
	}
	return b
}

func describe(u *upstream) *viewMessage {
	m := &viewMessage{
		Upstream: string(u.id), Running: int64(u.slots.Running()), Queued: int64(u.queue.Len()), Down: u.down, Room: int64(u.slots.FreeSlots()),
	}
	for a, uses := range u.slots.UsesByAdapter() {
		m.Adapters = append(m.Adapters, string(a))
		m.Counts = append(m.Counts, int64(uses))
	}
	return m
}

// ApplyViews takes in what a peer told about its upstreams.
func (p *Placement) ApplyViews(from lease.SeatID, gossip []byte) {
	m := &gossipMessage{}
	if len(gossip) == 0 || mesh.Unmarshal(gossip, m) != nil {
		return
	}
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range m.Views {
		v := adapter.View{Running: int(x.Running), Queued: int(x.Queued), FreeSlots: int(x.Room), Down: x.Down, Adapters: map[lists.Adapter]int{}}
		for i, a := range x.Adapters {
			if i < len(x.Counts) {
				v.Adapters[lists.Adapter(a)] = int(x.Counts[i])
			}
		}
		p.heard[adapter.UpstreamID(x.Upstream)] = heardView{view: v, from: from, at: now}
	}
}
