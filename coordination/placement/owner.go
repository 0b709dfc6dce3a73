package placement

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/protocol/engine"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// upstream is the owner's side of one engine.
type upstream struct {
	id      adapter.UpstreamID
	address string
	tenure  lease.Term
	fencing engine.FencingToken
	slots   *adapter.Slots
	queue   *adapter.Queue
	down    bool
	// reported is the instant of the last report.
	reported time.Time
	// silent are the members that did not report their uses.
	silent []lease.SeatID
	// ordersAfter is the instant before which an earlier owner's order may
	// still arrive at an engine that ignores fencing numbers.
	ordersAfter time.Time
}

// order names an upstream, and the tenure and run for which orders are given.
type order struct {
	id          adapter.UpstreamID
	address     string
	tenure      lease.Term
	fencing     engine.FencingToken
	incarnation adapter.Incarnation
}

func (u *upstream) order() order {
	return order{id: u.id, address: u.address, tenure: u.tenure, fencing: u.fencing, incarnation: u.slots.Incarnation()}
}

type ownerState struct {
	upstreams map[adapter.UpstreamID]*upstream
	opening   map[adapter.UpstreamID]time.Time
}

const (
	queueFactor = 4
	openTimeout = 5 * time.Second
)

// OwnershipName returns the name under which an upstream is owned.
func OwnershipName(id adapter.UpstreamID) string {
	return "upstream/" + string(id)
}

// owned returns the upstream of the present tenure, or nil.
func (p *Placement) owned(s *ownerState, id adapter.UpstreamID) *upstream {
	t, ok := p.Fleet.Owns(OwnershipName(id))
	u := s.upstreams[id]
	if !ok || u == nil || u.tenure != t {
		return nil
	}
	return u
}

// acquireLocal asks this instance, as the owner, for a use. It waits in the
// upstream's queue until c ends.
func (p *Placement) acquireLocal(c context.Context, use adapter.Use, tokens lists.Tokens) (adapter.Outcome, error) {
	w := &adapter.Waiter{Use: use, Tokens: tokens, Since: p.Timer.Now(), Answer: make(chan adapter.Outcome, 1)}
	err := p.owner.Do(c, func(s *ownerState) { p.enqueue(c, s, w) })
	if err != nil {
		return adapter.Outcome{}, err
	}
	select {
	case o := <-w.Answer:
		return o, nil
	case <-c.Done():
		p.owner.Post(func(s *ownerState) { p.abandon(s, w) })
		return adapter.Outcome{}, c.Err()
	}
}

func (p *Placement) enqueue(c context.Context, s *ownerState, w *adapter.Waiter) {
	u := p.owned(s, w.Use.Upstream)
	switch {
	case u == nil:
		p.startOpen(c, s, w.Use.Upstream)
		w.Answer <- adapter.Outcome{Result: adapter.NotOwner}
	case u.down || u.queue.Len() >= queueFactor*u.slots.Concurrency():
		w.Answer <- adapter.Outcome{Result: adapter.Busy}
	default:
		w.NeedsLoad = u.slots.State(w.Use.Adapter) != adapter.Ready
		u.queue.Push(w)
		p.advance(u)
	}
}

// abandon takes back a waiter whose request has ended, and its use if it was
// granted at the same time.
func (p *Placement) abandon(s *ownerState, w *adapter.Waiter) {
	u := s.upstreams[w.Use.Upstream]
	if u == nil {
		return
	}
	u.queue.Pop(func(x *adapter.Waiter) bool { return x == w })
	u.slots.End(w.Use.ID)
	p.advance(u)
}

// advance grants every use that can begin and starts the loads that waiters
// need.
func (p *Placement) advance(u *upstream) {
	if u.down {
		return
	}
	now := p.Timer.Now()
	blocked := false
	for {
		w := u.queue.Pop(func(w *adapter.Waiter) bool {
			if blocked {
				return false
			}
			use := w.Use
			use.Incarnation, use.Address = u.slots.Incarnation(), u.address
			if u.slots.Begin(use, now) {
				w.Use = use
				return true
			}
			blocked = w.Use.Exclusive
			return false
		})
		if w == nil {
			break
		}
		if w.NeedsLoad {
			w.Use.LoadWait = now.Sub(w.Since)
		}
		p.record(timeline.UseGranted, w.Use, "")
		w.Answer <- adapter.Outcome{Result: adapter.Granted, Use: w.Use}
	}
	p.startLoads(u, now)
}

// startLoads asks for a permit for each adapter that waiters need. Nothing is
// evicted before the permit is there.
func (p *Placement) startLoads(u *upstream, now time.Time) {
	if now.Before(u.ordersAfter) {
		return
	}
	known := func(a lists.Adapter) bool { return u.slots.State(a) != adapter.Absent }
	for _, w := range u.queue.FirstPerAdapter(known) {
		if !u.slots.CanLoad(u.queue.Needs, now) {
			p.answerAll(u, w.Use.Adapter, adapter.Busy)
			continue
		}
		u.slots.AwaitPermit(w.Use.Adapter)
		go p.load(p.life, u.order(), w.Use)
	}
}

// answerAll gives every waiter for an adapter the same outcome.
func (p *Placement) answerAll(u *upstream, a lists.Adapter, r adapter.Result) {
	for {
		w := u.queue.Pop(func(w *adapter.Waiter) bool { return w.Use.Adapter == a })
		if w == nil {
			return
		}
		w.Answer <- adapter.Outcome{Result: r}
	}
}

func (p *Placement) record(k timeline.Kind, u adapter.Use, detail string) {
	p.Recorder.Record(timeline.Event{
		Part: timeline.Placement, Kind: k, Request: string(u.ID), Workspace: string(u.Workspace),
		Adapter: string(u.Adapter), Upstream: string(u.Upstream), Detail: detail,
	})
}

func (p *Placement) registerOwner() {
	mesh.Handle(p.Mesh, acquireMethod, func(c context.Context, _ string, q *acquireQuery) (*acquireReply, error) {
		if q.Use == nil {
			return nil, eris.New("use is missing")
		}
		o, err := p.acquireLocal(c, fromMessage(q.Use), lists.Tokens(q.Tokens))
		return &acquireReply{Result: int32(o.Result), Use: toMessage(o.Use)}, err
	})
	mesh.Handle(p.Mesh, releaseMethod, func(c context.Context, _ string, q *releaseQuery) (*releaseReply, error) {
		return &releaseReply{}, p.releaseLocal(c, adapter.UpstreamID(q.Upstream), adapter.UseID(q.ID), q.Failed)
	})
}

// releaseLocal ends a use. After a failed one nothing is granted until the
// engine has reported, because it may have crashed.
func (p *Placement) releaseLocal(c context.Context, id adapter.UpstreamID, use adapter.UseID, failed bool) error {
	err := p.owner.Do(c, func(s *ownerState) {
		u := s.upstreams[id]
		if u == nil {
			return
		}
		u.down = u.down || failed
		u.slots.End(use)
		p.advance(u)
	})
	if failed {
		p.pollOne(p.life, id)
		p.resync(p.life, id)
	}
	return err
}
