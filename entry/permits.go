package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

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
}

// permitReply is the answer to a permitRequest, with the limit that the owner knows.
type permitReply struct {
	mesh.Message
	Granted  bool    `protobuf:"varint,1,opt,name=granted,proto3"`
	WaitMs   int64   `protobuf:"varint,2,opt,name=wait_ms,proto3"`
	Rate     float64 `protobuf:"fixed64,3,opt,name=rate,proto3"`
	Revision int64   `protobuf:"varint,4,opt,name=revision,proto3"`
}

func newUpstreamLimit(id string, startedAt int64, rate float64, revision int64) pool.UpstreamLimit {
	return pool.UpstreamLimit{
		Upstream: pool.NewTag(id), StartedAt: startedAt, Limit: pool.Limit{Rate: pool.RequestsPerSecond(rate), Revision: revision},
	}
}

func (e *Entry) newPermitRequest(u pool.Upstream) *permitRequest {
	l := e.pool.Limit(u.ID)
	return &permitRequest{Upstream: string(u.ID), StartedAt: u.StartedAt, Rate: float64(l.Rate), Revision: l.Revision}
}

// takePermit requests a permit for one request to a limited upstream from its owner, which may be
// this instance.
func (e *Entry) takePermit(c context.Context, u pool.Upstream) (pool.PermitAnswer, error) {
	owner, ok := e.ownership.Owner(u.ID)
	switch {
	case !ok:
		return pool.PermitAnswer{}, ownership.ErrNotOwner
	case owner == e.Name:
		return e.pool.TakePermit(u.ID, e.timer.Boot()), nil
	case e.ownerCalls.backingOff(owner, e.timer.Boot()):
		return pool.PermitAnswer{}, errOwnerSilent
	}
	m, ok := e.members.get(owner)
	if !ok {
		return pool.PermitAnswer{}, ownership.ErrNotOwner
	}
	x, cancel := context.WithTimeout(c, permitCallTimeout)
	defer cancel()
	r, err := mesh.Call[permitRequest, permitReply](x, e.mesh, m.peer.String(), permitMethod, e.newPermitRequest(u))
	if c.Err() == nil {
		e.ownerCalls.recordCall(owner, !errors.Is(err, mesh.ErrUnreachable), e.timer.Boot())
	}
	if err != nil {
		return pool.PermitAnswer{}, err
	}
	e.mergeLimit(newUpstreamLimit(string(u.ID), u.StartedAt, r.Rate, r.Revision), owner)
	return pool.PermitAnswer{Granted: r.Granted, Wait: time.Duration(r.WaitMs) * time.Millisecond}, nil
}

// returnPermit gives back a permit to the owner of the upstream.
func (e *Entry) returnPermit(u pool.Upstream) {
	owner, ok := e.ownership.Owner(u.ID)
	if ok && owner == e.Name {
		e.pool.ReturnPermit(u.ID)
		return
	}
	m, known := e.members.get(owner)
	if !known {
		e.log.Info("permit not returned: owner is unknown", zap.String("upstream", string(u.ID)), zap.String("owner", owner))
		return
	}
	q := e.newPermitRequest(u)
	q.Return = true
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
	e.mergeLimit(newUpstreamLimit(q.Upstream, q.StartedAt, q.Rate, q.Revision), from)
	u, ok := e.pool.Get(id, now)
	if !ok || u.StartedAt != q.StartedAt {
		return nil, eris.Wrapf(ownership.ErrNotOwner, "process %d of upstream %s is not known", q.StartedAt, q.Upstream)
	}
	if q.Return {
		e.pool.ReturnPermit(id)
		return &permitReply{}, nil
	}
	a, l := e.pool.TakePermit(id, now), e.pool.Limit(id)
	return &permitReply{Granted: a.Granted, WaitMs: a.Wait.Milliseconds() + 1, Rate: float64(l.Rate), Revision: l.Revision}, nil
}

// mergeLimit applies the limit of an upstream that another instance knows.
func (e *Entry) mergeLimit(l pool.UpstreamLimit, from string) {
	if e.pool.MergeLimit(l, e.timer.Boot()) {
		id, _ := e.pool.ByTag(l.Upstream)
		e.log.Info("limit learned", zap.String("upstream", string(id)), zap.String("from", from), zap.Float64("limit", float64(l.Rate)), zap.Int64("limit-revision", l.Revision))
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
