package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/worker"
)

const (
	loadMethod = "orders/load"
	lostMethod = "orders/lost"
	// loadCallTime bounds the wait for the owner of an engine: a report, an
	// unload and a load.
	loadCallTime = 900 * time.Millisecond
	// grantCallTime bounds the question for an adapter that is known to be there:
	// without an answer the request goes on.
	grantCallTime = 150 * time.Millisecond
	// minAvoid and maxAvoid bound the time for which an owner is not asked that
	// did not answer; it doubles with each failure.
	minAvoid = 250 * time.Millisecond
	maxAvoid = 4 * time.Second
	// lostQueue bounds the missing adapters that owners are still to be told of.
	lostQueue = 64
)

// owners are the instances that own engines, as calls to them went.
type owners struct {
	mu     sync.Mutex
	failed map[string]failure
	// teller tells owners what their engines lack.
	teller *worker.Worker[struct{}]
}

// failure is how many calls to an instance failed in a row, and until when it
// is left alone.
type failure struct {
	calls int
	until time.Duration
}

func newOwners(c context.Context) *owners {
	return &owners{failed: map[string]failure{}, teller: worker.Start(c, lostQueue, &struct{}{})}
}

// avoids reports whether an instance did not answer lately.
func (o *owners) avoids(name string, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now < o.failed[name].until
}

// note notes how a call went, and reports whether calls failed repeatedly.
func (o *owners) note(name string, good bool, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if good {
		delete(o.failed, name)
		return false
	}
	f := o.failed[name]
	f.until = now + min(maxAvoid, minAvoid<<min(f.calls, 6))
	f.calls++
	o.failed[name] = f
	return f.calls > 1
}

// callOwner asks the owner of an engine about an adapter, and takes over what it
// tells of the work there. Held is set for one that is known to be there.
func (e *Entry) callOwner(c context.Context, owner string, held bool, q *loadQuery) (time.Duration, error) {
	m, ok := e.members.get(owner)
	if !ok {
		return 0, ownership.ErrNotOwner
	}
	limit := loadCallTime
	if held {
		q.Held, limit = true, grantCallTime
	}
	x, cancel := context.WithTimeout(c, limit)
	defer cancel()
	r, err := mesh.Call[loadQuery, loadReply](x, e.mesh, m.peer.String(), loadMethod, q)
	if c.Err() == nil {
		lost := errors.Is(err, mesh.ErrUnreachable)
		if e.owners.note(owner, !lost, e.timer.Boot()) || lost && !held {
			// The session may be silent for good.
			e.mesh.Disconnect(m.peer.String())
		}
	}
	switch {
	case err != nil:
		return 0, err
	case r.StoreBusy:
		return 0, orders.ErrStoreBusy
	case r.Full:
		return 0, orders.ErrFull
	case r.Absent:
		return 0, orders.ErrNotLoaded
	}
	e.reporter.MarkRequested(owner)
	id := pool.ID(q.Upstream)
	e.pool.SetRemoteUsage(id, r.busy(), e.pool.LocalUsage(id), nil, e.timer.Boot())
	return time.Duration(r.ReadyInMs) * time.Millisecond, nil
}

func (e *Entry) newLoadQuery(id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) *loadQuery {
	return &loadQuery{
		Upstream: string(id), Model: string(a.Model), Adapter: string(a.Name), Version: int64(v),
		From: e.Name, Unread: int64(u.PrefillTokens), Tokens: int64(u.Tokens),
	}
}

// load has the owner of an engine load an adapter.
func (e *Entry) load(c context.Context, id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) (time.Duration, error) {
	return e.askOwner(c, id, false, e.newLoadQuery(id, a, v, u))
}

// grant has the owner of an engine keep an adapter for a request. An owner that did
// not answer lately is not asked.
func (e *Entry) grant(c context.Context, id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) (time.Duration, error) {
	return e.askOwner(c, id, true, e.newLoadQuery(id, a, v, u))
}

// askOwner asks the owner of an engine, which may be this instance.
func (e *Entry) askOwner(c context.Context, id pool.ID, held bool, q *loadQuery) (time.Duration, error) {
	owner, ok := e.ownership.Owner(id)
	switch {
	case !ok:
		return 0, ownership.ErrNotOwner
	case owner == e.Name:
		return e.order(c, held, q)
	case held && e.owners.avoids(owner, e.timer.Boot()):
		return 0, orders.ErrStateUnknown
	default:
		return e.callOwner(c, owner, held, q)
	}
}

// order answers as the owner of an engine.
func (e *Entry) order(c context.Context, held bool, q *loadQuery) (time.Duration, error) {
	ask := e.orders.Load
	if held {
		ask = e.orders.Reserve
	}
	return ask(c, pool.ID(q.Upstream), q.adapter(), route.Version(q.Version))
}

// lost notes that an engine lacks an adapter that it was said to hold, and tells
// its owner.
func (e *Entry) lost(id pool.ID, a pool.Adapter) {
	owner, ok := e.ownership.Owner(id)
	if !ok {
		return
	}
	if owner == e.Name {
		e.orders.MarkMissing(id, a)
		return
	}
	m, ok := e.members.get(owner)
	if !ok || e.owners.avoids(owner, e.timer.Boot()) {
		return
	}
	told := e.owners.teller.Post(func(*struct{}) {
		x, cancel := context.WithTimeout(e.life, grantCallTime)
		defer cancel()
		if _, err := mesh.Call[loadQuery, loadReply](x, e.mesh, m.peer.String(), lostMethod, e.newLoadQuery(id, a, 0, pool.Usage{})); err != nil {
			e.log.Info("owner is not told of a missing adapter", zap.String("upstream", string(id)), zap.String("owner", owner), zap.Error(err))
		}
	})
	if !told {
		e.log.Info("owner is not told of a missing adapter: too many", zap.String("upstream", string(id)), zap.String("owner", owner))
	}
}

// loadQuery asks for an adapter on an engine. Held is set if it is known to be
// there and must not be loaded.
type loadQuery struct {
	mesh.Message
	Upstream string `protobuf:"bytes,1,opt,name=upstream,proto3"`
	Model    string `protobuf:"bytes,2,opt,name=model,proto3"`
	Adapter  string `protobuf:"bytes,3,opt,name=adapter,proto3"`
	Version  int64  `protobuf:"varint,4,opt,name=version,proto3"`
	Held     bool   `protobuf:"varint,5,opt,name=held,proto3"`
	// From is the instance that asks, Unread and Tokens are those of its request.
	From   string `protobuf:"bytes,6,opt,name=from,proto3"`
	Unread int64  `protobuf:"varint,7,opt,name=unread,proto3"`
	Tokens int64  `protobuf:"varint,8,opt,name=tokens,proto3"`
}

func (q *loadQuery) adapter() pool.Adapter {
	return pool.Adapter{Model: route.ModelName(q.Model), Name: route.AdapterName(q.Adapter)}
}

type loadReply struct {
	mesh.Message
	ReadyInMs int64 `protobuf:"varint,1,opt,name=ready_in_ms,proto3"`
	StoreBusy bool  `protobuf:"varint,2,opt,name=store_busy,proto3"`
	Full      bool  `protobuf:"varint,3,opt,name=full,proto3"`
	Absent    bool  `protobuf:"varint,4,opt,name=absent,proto3"`
	// The work on the engine of all instances, before the request.
	Running int64 `protobuf:"varint,5,opt,name=running,proto3"`
	Unread  int64 `protobuf:"varint,6,opt,name=unread,proto3"`
	Tokens  int64 `protobuf:"varint,7,opt,name=tokens,proto3"`
}

func (r *loadReply) busy() pool.Usage {
	return pool.Usage{Running: int(r.Running), PrefillTokens: int(r.Unread), Tokens: int(r.Tokens)}
}

func newLoadReply(ready time.Duration, err error) (*loadReply, error) {
	switch {
	case errors.Is(err, orders.ErrStoreBusy):
		return &loadReply{StoreBusy: true}, nil
	case errors.Is(err, orders.ErrFull):
		return &loadReply{Full: true}, nil
	case errors.Is(err, orders.ErrNotLoaded):
		return &loadReply{Absent: true}, nil
	}
	return &loadReply{ReadyInMs: ready.Milliseconds()}, err
}

// serveOrders registers what other instances may ask the owner of an engine.
func (e *Entry) serveOrders() {
	mesh.Handle(e.mesh, loadMethod, func(c context.Context, _ string, q *loadQuery) (*loadReply, error) {
		r, err := newLoadReply(e.order(c, q.Held, q))
		if err != nil || r.StoreBusy || r.Full || r.Absent {
			return r, err
		}
		u, _ := e.pool.TotalUsage(pool.ID(q.Upstream), e.timer.Boot())
		r.Running, r.Unread, r.Tokens = int64(u.Running), int64(u.PrefillTokens), int64(u.Tokens)
		e.expect(q)
		return r, nil
	})
	mesh.Handle(e.mesh, lostMethod, func(_ context.Context, _ string, q *loadQuery) (*loadReply, error) {
		e.orders.MarkMissing(pool.ID(q.Upstream), q.adapter())
		return &loadReply{}, nil
	})
}
