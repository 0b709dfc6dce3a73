package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/admission"
	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

const (
	permitMethod = "pool/permit"
	// permitCallTimeout limits the time that a request waits for a permit before another upstream
	// is chosen.
	permitCallTimeout = 150 * time.Millisecond
)

// errOwnerSilent means that recent calls to the owner of an upstream have failed.
var errOwnerSilent = eris.New("owner of the upstream did not answer lately")

// permitRequest requests a permit for one request to an upstream, or gives it back. It carries the
// limit that the requesting instance knows.
type permitRequest struct {
	mesh.Message
	Upstream  string  `protobuf:"bytes,1,opt,name=upstream,proto3"`
	StartedAt int64   `protobuf:"varint,2,opt,name=started_at,proto3"`
	Rate      float64 `protobuf:"fixed64,3,opt,name=rate,proto3"`
	Revision  int64   `protobuf:"varint,4,opt,name=revision,proto3"`
	Return    bool    `protobuf:"varint,5,opt,name=return,proto3"`
	// Work, LifetimeMs and Tokens are those of pool.Need. Outcome is how a request has ended whose permit is given back.
	Work       bool  `protobuf:"varint,6,opt,name=work,proto3"`
	LifetimeMs int64 `protobuf:"varint,7,opt,name=lifetime_ms,proto3"`
	Outcome    int64 `protobuf:"varint,8,opt,name=outcome,proto3"`
	Brittle    bool  `protobuf:"varint,9,opt,name=brittle,proto3"`
	// From is the requesting instance.
	From   string `protobuf:"bytes,10,opt,name=from,proto3"`
	Tokens int64  `protobuf:"varint,11,opt,name=tokens,proto3"`
}

// permitReply is the answer to a permitRequest, with the limit that the owner knows.
type permitReply struct {
	mesh.Message
	Granted  bool    `protobuf:"varint,1,opt,name=granted,proto3"`
	WaitMs   int64   `protobuf:"varint,2,opt,name=wait_ms,proto3"`
	Rate     float64 `protobuf:"fixed64,3,opt,name=rate,proto3"`
	Revision int64   `protobuf:"varint,4,opt,name=revision,proto3"`
	Brittle  bool    `protobuf:"varint,5,opt,name=brittle,proto3"`
}

func (q *permitRequest) limit() pool.UpstreamLimit {
	return pool.UpstreamLimit{
		Upstream: pool.NewTag(q.Upstream), StartedAt: q.StartedAt, Limit: pool.Limit{Rate: pool.RequestsPerSecond(q.Rate), Brittle: q.Brittle, Revision: q.Revision},
	}
}

func (r *permitReply) limit(u pool.Upstream) pool.UpstreamLimit {
	return pool.UpstreamLimit{
		Upstream: u.ID.Tag(), StartedAt: u.StartedAt, Limit: pool.Limit{Rate: pool.RequestsPerSecond(r.Rate), Brittle: r.Brittle, Revision: r.Revision},
	}
}

func (e *Entry) newPermitRequest(u pool.Upstream) *permitRequest {
	l := e.pool.Limit(u.ID)
	return &permitRequest{Upstream: string(u.ID), StartedAt: u.StartedAt, Rate: float64(l.Rate), Revision: l.Revision, Brittle: l.Brittle, From: e.Name}
}

// takePermit requests a permit for one request to a limited upstream from its owner, which may be
// this instance.
func (e *Entry) takePermit(c context.Context, u pool.Upstream, n pool.Need) (pool.PermitAnswer, error) {
	owner, ok := e.ownership.Owner(u.ID)
	switch {
	case !ok:
		return pool.PermitAnswer{}, ownership.ErrNotOwner
	case owner == e.Name:
		return e.pool.TakePermit(u.ID, e.completeNeed(n, u, e.Name), e.timer.Boot()), nil
	case e.ownerCalls.backingOff(owner, e.timer.Boot()):
		return pool.PermitAnswer{}, errOwnerSilent
	}
	m, ok := e.members.get(owner)
	if !ok {
		return pool.PermitAnswer{}, ownership.ErrNotOwner
	}
	x, cancel := context.WithTimeout(c, permitCallTimeout)
	defer cancel()
	q := e.newPermitRequest(u)
	q.Work, q.LifetimeMs, q.Tokens = n.Work, n.Lifetime.Milliseconds(), int64(n.Tokens)
	r, err := mesh.Call[permitRequest, permitReply](x, e.mesh, m.peer.String(), permitMethod, q)
	if c.Err() == nil {
		e.ownerCalls.recordCall(owner, !errors.Is(err, mesh.ErrUnreachable), e.timer.Boot())
	}
	if err != nil {
		return pool.PermitAnswer{}, err
	}
	e.mergeLimit(r.limit(u), owner)
	return pool.PermitAnswer{Granted: r.Granted, Wait: time.Duration(r.WaitMs) * time.Millisecond}, nil
}

// completeNeed adds what the owner of an upstream knows to the need of a request of an instance.
func (e *Entry) completeNeed(n pool.Need, u pool.Upstream, from string) pool.Need {
	n.From, n.Peers = from, int(e.peers.Load())
	if k, ok := e.engineConfig(u.Service); ok {
		n.CacheTokens = k.CacheTokens
	}
	return n
}

// endPermit ends the use of a permit of an instance as the owner of the upstream.
func (e *Entry) endPermit(id pool.ID, from string, o admission.Outcome) {
	if o == admission.NotSent {
		e.pool.ReturnPermit(id)
	}
	e.pool.FinishRoom(id, from, o == admission.Rejected, e.timer.Boot())
}

// returnPermit tells the owner of the upstream how a request with a permit has ended. A rate limit does not
// depend on that, unless nothing was sent.
func (e *Entry) returnPermit(u pool.Upstream, o admission.Outcome) {
	if !e.pool.Limit(u.ID).Brittle && o != admission.NotSent {
		return
	}
	owner, ok := e.ownership.Owner(u.ID)
	if ok && owner == e.Name {
		e.endPermit(u.ID, e.Name, o)
		return
	}
	m, known := e.members.get(owner)
	if !known {
		e.log.Info("permit not returned: owner is unknown", zap.String("upstream", string(u.ID)), zap.String("owner", owner))
		return
	}
	q := e.newPermitRequest(u)
	q.Return, q.Outcome = true, int64(o)
	queued := e.ownerCalls.notifier.Post(func(*struct{}) {
		x, cancel := context.WithTimeout(e.ctx, permitCallTimeout)
		defer cancel()
		if _, err := mesh.Call[permitRequest, permitReply](x, e.mesh, m.peer.String(), permitMethod, q); err != nil {
			e.log.Info("permit not returned", zap.String("upstream", string(u.ID)), zap.String("owner", owner), zap.Error(err))
		}
	})
	if !queued {
		e.log.Info("permit not returned: queue is full", zap.String("upstream", string(u.ID)), zap.String("owner", owner))
	}
}

// answerPermit grants or takes back a permit as the owner of an upstream.
func (e *Entry) answerPermit(from string, q *permitRequest) (*permitReply, error) {
	id, now := pool.ID(q.Upstream), e.timer.Boot()
	if owner, ok := e.ownership.Owner(id); !ok || owner != e.Name {
		return nil, ownership.ErrNotOwner
	}
	e.mergeLimit(q.limit(), from)
	u, ok := e.pool.Get(id, now)
	if !ok || u.StartedAt != q.StartedAt {
		return nil, eris.Wrapf(ownership.ErrNotOwner, "process %d of upstream %s is not known", q.StartedAt, q.Upstream)
	}
	if q.Return {
		e.endPermit(id, q.From, admission.Outcome(q.Outcome))
		return &permitReply{}, nil
	}
	n := pool.Need{Work: q.Work, Lifetime: time.Duration(q.LifetimeMs) * time.Millisecond, Tokens: int(q.Tokens)}
	a, l := e.pool.TakePermit(id, e.completeNeed(n, u, q.From), now), e.pool.Limit(id)
	return &permitReply{Granted: a.Granted, WaitMs: a.Wait.Milliseconds() + 1, Rate: float64(l.Rate), Revision: l.Revision, Brittle: l.Brittle}, nil
}

// mergeLimit applies the limit of an upstream that another instance knows.
func (e *Entry) mergeLimit(l pool.UpstreamLimit, from string) {
	if e.pool.MergeLimit(l, e.timer.Boot()) {
		id, _ := e.pool.ByTag(l.Upstream)
		e.log.Info("limit learned", zap.String("upstream", string(id)), zap.String("from", from), zap.Float64("limit", float64(l.Rate)), zap.Bool("brittle", l.Brittle), zap.Int64("limit-revision", l.Revision))
	}
}

// announceLimit sends the new limit of an upstream to all instances at once. Heartbeats repeat it,
// since the datagrams may be lost.
func (e *Entry) announceLimit(u pool.Upstream) {
	l := pool.UpstreamLimit{Upstream: u.ID.Tag(), StartedAt: u.StartedAt, Limit: e.pool.Limit(u.ID)}
	e.gossip.SendLimits([]pool.UpstreamLimit{l})
}

// onLimits applies limits that another instance has announced or sent in a heartbeat.
func (e *Entry) onLimits(from string, limits []pool.UpstreamLimit) {
	for _, l := range limits {
		e.mergeLimit(l, from)
	}
}

// needsOwner reports whether an upstream needs an owner: engines get orders, and any upstream may
// limit its rate.
func (e *Entry) needsOwner(u pool.Upstream) bool {
	t := e.table.Load()
	if t == nil || u.Draining {
		return false
	}
	_, ok := t.Service(u.Service)
	return ok
}

// ownedEngines returns the engines that this instance owns, with the versions of their claims.
func (e *Entry) ownedEngines(now time.Duration) map[pool.ID]mirror.Version {
	out := map[pool.ID]mirror.Version{}
	for id, k := range e.ownership.Owned(now) {
		if u, ok := e.pool.Get(id, now); !ok || e.isEngine(u) {
			out[id] = mirror.Version(k)
		}
	}
	return out
}

func (e *Entry) isEngine(u pool.Upstream) bool {
	_, ok := e.engineConfig(u.Service)
	return ok
}

// registerPermitHandler registers the handler for permit requests of other instances.
func (e *Entry) registerPermitHandler() {
	mesh.Handle(e.mesh, permitMethod, func(_ context.Context, from string, q *permitRequest) (*permitReply, error) {
		return e.answerPermit(from, q)
	})
	e.gossip.OnLimits = func(l gossip.Limits) { e.onLimits(l.Name, l.Limits) }
}
