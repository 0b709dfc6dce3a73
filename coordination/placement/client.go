package placement

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// Request describes what a request needs from placement.
type Request struct {
	RequestID string
	Workspace lists.WorkspaceID
	Adapter   lists.Adapter
	Tokens    lists.Tokens
	// Exclusive requests an upstream that runs no other request at the same time.
	Exclusive bool
	// Avoid names an upstream that is tried only after all others.
	Avoid adapter.UpstreamID
}

const (
	// maxCandidates is the number of upstreams that are tried in one round.
	maxCandidates = 4
	// ownerCheckInterval is how often a waiting request checks that the owner is alive and
	// unchanged.
	ownerCheckInterval = 250 * time.Millisecond
)

// Acquire reserves an adapter on an upstream for a request. It waits for a load or for
// free capacity until c ends. The caller must end the use with Release.
//
// It returns ErrNoUpstream, ErrLoadFailed after maxLoadAttempts requests that ended with a
// failed load, or the error of c.
func (p *Placement) Acquire(c context.Context, q Request) (adapter.Use, error) {
	failures := 0
	for {
		candidates := p.candidates(q)
		if len(candidates) == 0 && failures == 0 {
			return adapter.Use{}, ErrNoUpstream
		}
		for _, id := range candidates {
			u, r, err := p.acquireFrom(c, q, id)
			switch {
			case err == nil && r == adapter.Granted:
				return u, nil
			case err == nil && r == adapter.LoadFailed:
				failures++
			}
			if failures >= maxLoadAttempts {
				return adapter.Use{}, ErrLoadFailed
			}
		}
		if err := p.Timer.Wait(c, retryInterval); err != nil {
			return adapter.Use{}, err
		}
	}
}

// candidates returns the upstreams to try, best first.
func (p *Placement) candidates(q Request) []adapter.UpstreamID {
	all := p.choose(q.Adapter, p.views())
	if i := slices.Index(all, q.Avoid); i >= 0 && len(all) > 1 {
		all = append(slices.Delete(all, i, i+1), q.Avoid)
	}
	return all[:min(len(all), maxCandidates)]
}

// acquireFrom requests a use from the owner of an upstream. If the outcome of the call is
// unknown, it releases the use at the owner, which may have granted it.
func (p *Placement) acquireFrom(c context.Context, q Request, id adapter.UpstreamID) (adapter.Use, adapter.Result, error) {
	m, ok := p.liveOwner(id)
	if !ok {
		return adapter.Use{}, adapter.NotOwner, nil
	}
	c, cancel := context.WithCancel(c)
	defer cancel()
	go p.cancelOnOwnerChange(c, cancel, id, m.Seat)
	for x := range p.Fleet.Paths(m) {
		u, r, err := p.acquireOver(c, q, id, x)
		if err == nil || c.Err() != nil {
			return u, r, err
		}
	}
	return adapter.Use{}, adapter.Busy, mesh.ErrUnreachable
}

// acquireOver requests a use from the owner of an upstream over one path. Each path has a use of its
// own, since the owner may get more than one of the calls.
func (p *Placement) acquireOver(c context.Context, q Request, id adapter.UpstreamID, x fleet.Path) (adapter.Use, adapter.Result, error) {
	use := adapter.Use{
		ID: adapter.UseID(fmt.Sprintf("%s/%d", q.RequestID, p.sequence.Add(1))), Upstream: id, Adapter: q.Adapter,
		Workspace: q.Workspace, Exclusive: q.Exclusive, Holder: adapter.Holder(p.Fleet.Self()),
	}
	p.addUse(use)
	u, r, err := p.callOwner(c, x, use, q.Tokens)
	if err != nil || r != adapter.Granted {
		p.removeUse(use.ID)
		if err != nil {
			p.releaseAtOwner(x.To, use, false)
		}
		return adapter.Use{}, r, err
	}
	u.Holder = use.Holder
	p.addUse(u)
	return u, r, nil
}

// liveOwner returns the owner of an upstream. It returns false if there is none, or if neither
// this instance nor one that it hears has had an answer of the owner within one lease.
func (p *Placement) liveOwner(id adapter.UpstreamID) (lease.Member, bool) {
	m, ok := p.Fleet.Owner(OwnershipName(id))
	return m, ok && p.Fleet.Reachable(m.Seat)
}

// cancelOnOwnerChange cancels a call to an owner that no longer answers or was replaced,
// so that the request can try another upstream.
func (p *Placement) cancelOnOwnerChange(c context.Context, cancel context.CancelFunc, id adapter.UpstreamID, seat lease.SeatID) {
	p.Timer.Subscribe(c, ownerCheckInterval, func(time.Time) {
		if m, ok := p.liveOwner(id); !ok || m.Seat != seat {
			cancel()
		}
	})
}

func (p *Placement) callOwner(c context.Context, x fleet.Path, use adapter.Use, tokens lists.Tokens) (adapter.Use, adapter.Result, error) {
	if x.To.Seat == p.Fleet.Self() {
		o, err := p.acquireLocal(c, use, tokens)
		return o.Use, o.Result, err
	}
	r, err := fleet.CallOver[acquireQuery, acquireReply](c, p.Fleet, x, acquireMethod, &acquireQuery{Use: toMessage(use), Tokens: int64(tokens)})
	if err != nil {
		return adapter.Use{}, adapter.Busy, err
	}
	return fromMessage(r.Use), adapter.Result(r.Result), nil
}

// Release ends a use. Failed reports that the response of the upstream was missing or
// incomplete; its owner then polls the engine at once.
func (p *Placement) Release(u adapter.Use, failed bool) {
	p.removeUse(u.ID)
	if failed {
		p.markFailed(u.Upstream)
	}
	if m, ok := p.Fleet.Owner(OwnershipName(u.Upstream)); ok {
		p.releaseAtOwner(m, u, failed)
	}
	p.record(timeline.UseEnded, u, "")
}

// releaseAtOwner releases a use at the owner of its upstream in the background. If the
// release is lost, checkUses of the owner ends the use later.
func (p *Placement) releaseAtOwner(m lease.Member, u adapter.Use, failed bool) {
	go func() {
		x, cancel := context.WithTimeout(p.lifetime, callTimeout)
		defer cancel()
		if m.Seat == p.Fleet.Self() {
			_ = p.releaseLocal(x, u.Upstream, u.ID, failed)
			return
		}
		q := &releaseQuery{Upstream: string(u.Upstream), ID: string(u.ID), Failed: failed}
		_, _ = fleet.Call[releaseQuery, releaseReply](x, p.Fleet, m, releaseMethod, q)
	}()
}

func (p *Placement) addUse(u adapter.Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uses[u.ID] = u
	p.useStarted[u.ID] = p.Timer.Now()
}

func (p *Placement) removeUse(id adapter.UseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.uses, id)
	delete(p.useStarted, id)
}

// markFailed keeps an upstream out of placement for failureBackoff.
func (p *Placement) markFailed(id adapter.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt[id] = p.Timer.Now()
}

// usesOn returns the uses of an upstream that this instance holds.
func (p *Placement) usesOn(id adapter.UpstreamID) []adapter.Use {
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

// checkHeld returns which of the queried uses this instance still holds.
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

func (p *Placement) registerHolderHandlers() {
	mesh.Handle(p.Mesh, checkMethod, func(_ context.Context, _ string, q *checkQuery) (*checkReply, error) {
		return p.checkHeld(q), nil
	})
	mesh.Handle(p.Mesh, reportMethod, func(_ context.Context, _ string, q *reportQuery) (*reportReply, error) {
		r := &reportReply{}
		for _, u := range p.usesOn(adapter.UpstreamID(q.Upstream)) {
			r.Uses = append(r.Uses, toMessage(u))
		}
		return r, nil
	})
}

// views returns the last known state of every engine that accepts new requests, without
// those that are down or have just failed.
func (p *Placement) views() []adapter.View {
	engines := p.activeEngines()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timer.Now()
	views := make([]adapter.View, 0, len(engines))
	for _, l := range engines {
		v := p.viewOf(l)
		if v.Down || now.Sub(p.failedAt[v.ID]) < failureBackoff {
			continue
		}
		views = append(views, v)
	}
	return views
}

// viewOf requires p.mu.
func (p *Placement) viewOf(l provider.Instance) adapter.View {
	id := adapter.UpstreamID(l.ID)
	h := p.reports[id]
	v := h.view
	v.ID = id
	for use, u := range p.uses {
		if u.Upstream == id && p.useStarted[use].After(h.at) {
			v.SentSinceReport++
		}
	}
	return v
}

// ReportViews returns the encoded state of the upstreams that this instance owns, to be
// gossiped to its peers. It also applies that state locally.
func (p *Placement) ReportViews() []byte {
	m := &gossipMessage{}
	_ = p.owner.Do(p.lifetime, func(s *ownerState) {
		for id, u := range s.upstreams {
			if p.owned(s, id) != nil {
				m.Views = append(m.Views, toViewMessage(u))
			}
		}
	})
	p.ApplyViews(p.Fleet.Self(), marshalViews(m))
	return marshalViews(m)
}

func marshalViews(m *gossipMessage) []byte {
	b, err := mesh.Marshal(m)
	if err != nil {
		return nil
	}
	return b
}

func toViewMessage(u *upstream) *viewMessage {
	m := &viewMessage{
		Upstream: string(u.id), Running: int64(u.slots.Running()), Queued: int64(u.queue.Len()), Down: u.down, Room: int64(u.slots.FreeSlots()),
	}
	for a, uses := range u.slots.UsesByAdapter() {
		m.Adapters = append(m.Adapters, string(a))
		m.Counts = append(m.Counts, int64(uses))
	}
	return m
}

// ApplyViews records the state of the upstreams that a member has gossiped. A payload that
// cannot be decoded is ignored.
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
		p.reports[adapter.UpstreamID(x.Upstream)] = upstreamReport{view: v, from: from, at: now}
	}
}
