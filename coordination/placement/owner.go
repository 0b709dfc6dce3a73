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

// upstream is the state that the owner of an engine keeps.
type upstream struct {
	id      adapter.UpstreamID
	address string
	term    lease.Term
	fencing engine.FencingToken
	slots   *adapter.Slots
	queue   *adapter.Queue
	down    bool
	// reportedAt is the time of the engine's last successful report.
	reportedAt time.Time
	// unreported are the members whose uses of the upstream are still unknown.
	unreported []lease.SeatID
	// noOrdersBefore is the time before which no loads are started: until then, a
	// command of an earlier owner may still reach an engine that ignores fencing tokens.
	noOrdersBefore time.Time
}

// orderTarget identifies the upstream of a load or an eviction together with the term and
// the engine incarnation for which it was decided.
type orderTarget struct {
	id          adapter.UpstreamID
	address     string
	term        lease.Term
	fencing     engine.FencingToken
	incarnation adapter.Incarnation
}

func (u *upstream) orderTarget() orderTarget {
	return orderTarget{id: u.id, address: u.address, term: u.term, fencing: u.fencing, incarnation: u.slots.Incarnation()}
}

type ownerState struct {
	upstreams  map[adapter.UpstreamID]*upstream
	recovering map[adapter.UpstreamID]time.Time
}

const (
	// queueFactor limits the queue of an upstream to this multiple of its concurrency.
	queueFactor = 4
	// recoveryTimeout is the time after which another recovery of an upstream may start.
	recoveryTimeout = 5 * time.Second
)

// OwnershipName returns the name under which the ownership of an upstream is assigned.
func OwnershipName(id adapter.UpstreamID) string {
	return "upstream/" + string(id)
}

// owned returns the state of an upstream if it belongs to the current term, or nil.
func (p *Placement) owned(s *ownerState, id adapter.UpstreamID) *upstream {
	t, ok := p.Fleet.Owns(OwnershipName(id))
	u := s.upstreams[id]
	if !ok || u == nil || u.term != t {
		return nil
	}
	return u
}

// acquireLocal requests a use from this instance as the owner. The request waits in the
// queue of the upstream until c ends.
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
		p.owner.Post(func(s *ownerState) { p.cancelWaiter(s, w) })
		return adapter.Outcome{}, c.Err()
	}
}

func (p *Placement) enqueue(c context.Context, s *ownerState, w *adapter.Waiter) {
	u := p.owned(s, w.Use.Upstream)
	switch {
	case u == nil:
		p.startRecovery(c, s, w.Use.Upstream)
		w.Answer <- adapter.Outcome{Result: adapter.NotOwner}
	case u.down || u.queue.Len() >= queueFactor*u.slots.Concurrency():
		w.Answer <- adapter.Outcome{Result: adapter.Busy}
	default:
		w.NeedsLoad = u.slots.State(w.Use.Adapter) != adapter.Ready
		u.queue.Push(w)
		p.schedule(u)
	}
}

// cancelWaiter removes a request that has ended from the queue. It also ends its use, which
// may have been granted at the same time.
func (p *Placement) cancelWaiter(s *ownerState, w *adapter.Waiter) {
	u := s.upstreams[w.Use.Upstream]
	if u == nil {
		return
	}
	u.queue.Pop(func(x *adapter.Waiter) bool { return x == w })
	u.slots.End(w.Use.ID)
	p.schedule(u)
}

// schedule grants queued uses as far as capacity allows and starts the loads that queued
// requests need. An exclusive request that has to wait holds back those behind it.
func (p *Placement) schedule(u *upstream) {
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

// startLoads starts a load for each missing adapter that queued requests need. Nothing is
// evicted before the load has its permit.
func (p *Placement) startLoads(u *upstream, now time.Time) {
	if now.Before(u.noOrdersBefore) {
		return
	}
	present := func(a lists.Adapter) bool { return u.slots.State(a) != adapter.Absent }
	for _, w := range u.queue.FirstPerAdapter(present) {
		if !u.slots.CanLoad(u.queue.Needs, now) {
			p.answerWaiters(u, w.Use.Adapter, adapter.Busy)
			continue
		}
		u.slots.AwaitPermit(w.Use.Adapter)
		go p.load(p.lifetime, u.orderTarget(), w.Use)
	}
}

// answerWaiters answers every queued request for an adapter with the same result.
func (p *Placement) answerWaiters(u *upstream, a lists.Adapter, r adapter.Result) {
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

func (p *Placement) registerOwnerHandlers() {
	mesh.Handle(p.Mesh, acquireMethod, func(c context.Context, _ string, q *acquireQuery) (*acquireReply, error) {
		if q.Use == nil {
			return nil, eris.New("acquire call has no use")
		}
		o, err := p.acquireLocal(c, fromMessage(q.Use), lists.Tokens(q.Tokens))
		return &acquireReply{Result: int32(o.Result), Use: toMessage(o.Use)}, err
	})
	mesh.Handle(p.Mesh, releaseMethod, func(c context.Context, _ string, q *releaseQuery) (*releaseReply, error) {
		return &releaseReply{}, p.releaseLocal(c, adapter.UpstreamID(q.Upstream), adapter.UseID(q.ID), q.Failed)
	})
}

// releaseLocal ends a use. After a failed request, nothing is granted on the upstream until
// the engine has answered a poll, because it may have crashed.
func (p *Placement) releaseLocal(c context.Context, id adapter.UpstreamID, use adapter.UseID, failed bool) error {
	err := p.owner.Do(c, func(s *ownerState) {
		u := s.upstreams[id]
		if u == nil {
			return
		}
		u.down = u.down || failed
		u.slots.End(use)
		p.schedule(u)
	})
	if failed {
		p.poll(p.lifetime, id)
		p.syncAdapters(p.lifetime, id)
	}
	return err
}
