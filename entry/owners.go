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
	loadMethod    = "orders/load"
	missingMethod = "orders/lost"
	// loadCallTimeout limits a call to the owner of an engine that may need a report, an unload
	// and a load.
	loadCallTimeout = 900 * time.Millisecond
	// reserveCallTimeout limits a call that reserves a loaded adapter. If it fails, the request is
	// sent without a reservation.
	reserveCallTimeout = 150 * time.Millisecond
	// After a failed call, an owner is not called again for minBackoff. The time doubles with each
	// further failure, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// missingQueueLength limits the queued notifications of owners about missing adapters.
	missingQueueLength = 64
)

// ownerCalls tracks the outcome of calls to the owners of engines.
type ownerCalls struct {
	mu     sync.Mutex
	failed map[string]failure
	// notifier notifies owners of adapters that are missing on their engines.
	notifier *worker.Worker[struct{}]
}

// failure is the number of consecutive failed calls to an instance, and the time until which it is
// not called.
type failure struct {
	calls int
	until time.Duration
}

func newOwnerCalls(c context.Context) *ownerCalls {
	return &ownerCalls{failed: map[string]failure{}, notifier: worker.Start(c, missingQueueLength, &struct{}{})}
}

// backingOff reports whether an instance is not to be called because of recent failures.
func (o *ownerCalls) backingOff(name string, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now < o.failed[name].until
}

// recordCall records the outcome of a call, and reports whether at least two calls in a row
// failed.
func (o *ownerCalls) recordCall(name string, ok bool, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ok {
		delete(o.failed, name)
		return false
	}
	f := o.failed[name]
	f.until = now + min(maxBackoff, minBackoff<<min(f.calls, 6))
	f.calls++
	o.failed[name] = f
	return f.calls > 1
}

// callOwner requests an adapter from the owner of an engine on another instance, and applies the
// usage of the engine in the reply. If the adapter is known to be loaded, it is reserved
// instead of loaded.
func (e *Entry) callOwner(c context.Context, owner string, loaded bool, q *loadRequest) (time.Duration, error) {
	m, ok := e.members.get(owner)
	if !ok {
		return 0, ownership.ErrNotOwner
	}
	limit := loadCallTimeout
	if loaded {
		q.Held, limit = true, reserveCallTimeout
	}
	x, cancel := context.WithTimeout(c, limit)
	defer cancel()
	r, err := mesh.Call[loadRequest, loadReply](x, e.mesh, m.peer.String(), loadMethod, q)
	if c.Err() == nil {
		unreachable := errors.Is(err, mesh.ErrUnreachable)
		if e.ownerCalls.recordCall(owner, !unreachable, e.timer.Boot()) || unreachable && !loaded {
			// The connection may be dead.
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
	case r.LimitedMs > 0:
		e.pool.DeferPermit(pool.ID(q.Upstream), e.timer.Boot()+time.Duration(r.LimitedMs)*time.Millisecond)
		return 0, orders.ErrNotAdmitted
	}
	e.usageReports.MarkRequested(owner)
	id := pool.ID(q.Upstream)
	e.pool.SetRemoteUsage(id, r.busy(), e.pool.LocalUsage(id), nil, e.timer.Boot())
	return time.Duration(r.ReadyInMs) * time.Millisecond, nil
}

func (e *Entry) newLoadRequest(id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) *loadRequest {
	return &loadRequest{
		Upstream: string(id), Model: string(a.Model), Adapter: string(a.Name), Version: int64(v),
		From: e.Name, Unread: int64(u.PrefillTokens), Tokens: int64(u.Tokens),
	}
}

// load requests the owner of an engine to load an adapter.
func (e *Entry) load(c context.Context, id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) (time.Duration, error) {
	return e.requestAdapter(c, id, false, e.newLoadRequest(id, a, v, u))
}

// reserve requests the owner of an engine to keep an adapter loaded for a request. Owners in
// backoff are not called.
func (e *Entry) reserve(c context.Context, id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) (time.Duration, error) {
	return e.requestAdapter(c, id, true, e.newLoadRequest(id, a, v, u))
}

// requestAdapter passes a request for an adapter to the owner of the engine, which may be this
// instance.
func (e *Entry) requestAdapter(c context.Context, id pool.ID, loaded bool, q *loadRequest) (time.Duration, error) {
	owner, ok := e.ownership.Owner(id)
	switch {
	case !ok:
		return 0, ownership.ErrNotOwner
	case owner == e.Name:
		return e.answerAsOwner(c, loaded, q)
	case loaded && e.ownerCalls.backingOff(owner, e.timer.Boot()):
		return 0, orders.ErrStateUnknown
	default:
		return e.callOwner(c, owner, loaded, q)
	}
}

// answerAsOwner handles a request for an adapter as the owner of the engine.
func (e *Entry) answerAsOwner(c context.Context, loaded bool, q *loadRequest) (time.Duration, error) {
	call := e.orders.Load
	if loaded {
		call = e.orders.Reserve
	}
	return call(c, pool.ID(q.Upstream), q.adapter(), route.Version(q.Version))
}

// replacedCheckTimeout bounds the question whether an engine's process is the known one. The stream that
// waits for it has paused already.
const replacedCheckTimeout = 100 * time.Millisecond

// isReplaced reports whether an engine says that it has another start time than the known one. Without
// an answer the send decides. An engine that this instance does not reach directly is not asked.
func (e *Entry) isReplaced(c context.Context, u pool.Upstream) bool {
	if e.paths.Indirect(u.Address) {
		return false
	}
	x, cancel := context.WithTimeout(c, replacedCheckTimeout)
	defer cancel()
	r, err := e.Engines.Report(x, u)
	if err != nil {
		e.log.Info("engine did not say which process it is", zap.String("upstream", string(u.ID)), zap.Error(err))
		return false
	}
	return r.StartedAt != 0 && r.StartedAt != u.StartedAt
}

// reportMissing notifies the owner of an engine that the engine lacks an adapter which was
// expected to be loaded.
func (e *Entry) reportMissing(id pool.ID, a pool.Adapter) {
	owner, ok := e.ownership.Owner(id)
	if !ok {
		return
	}
	if owner == e.Name {
		e.orders.MarkMissing(id, a)
		return
	}
	m, ok := e.members.get(owner)
	if !ok || e.ownerCalls.backingOff(owner, e.timer.Boot()) {
		return
	}
	queued := e.ownerCalls.notifier.Post(func(*struct{}) {
		x, cancel := context.WithTimeout(e.ctx, reserveCallTimeout)
		defer cancel()
		if _, err := mesh.Call[loadRequest, loadReply](x, e.mesh, m.peer.String(), missingMethod, e.newLoadRequest(id, a, 0, pool.Usage{})); err != nil {
			e.log.Info("could not notify owner of missing adapter", zap.String("upstream", string(id)), zap.String("owner", owner), zap.Error(err))
		}
	})
	if !queued {
		e.log.Info("dropped notification of missing adapter: queue is full", zap.String("upstream", string(id)), zap.String("owner", owner))
	}
}

// loadRequest requests an adapter on an engine. Held is set if the adapter is known to be loaded
// and must not be loaded again.
type loadRequest struct {
	mesh.Message
	Upstream string `protobuf:"bytes,1,opt,name=upstream,proto3"`
	Model    string `protobuf:"bytes,2,opt,name=model,proto3"`
	Adapter  string `protobuf:"bytes,3,opt,name=adapter,proto3"`
	Version  int64  `protobuf:"varint,4,opt,name=version,proto3"`
	Held     bool   `protobuf:"varint,5,opt,name=held,proto3"`
	// From is the requesting instance. Unread are the prompt tokens of its request that have not
	// been processed, Tokens are all tokens of it.
	From   string `protobuf:"bytes,6,opt,name=from,proto3"`
	Unread int64  `protobuf:"varint,7,opt,name=unread,proto3"`
	Tokens int64  `protobuf:"varint,8,opt,name=tokens,proto3"`
}

func (q *loadRequest) adapter() pool.Adapter {
	return pool.Adapter{Model: route.ModelName(q.Model), Name: route.AdapterName(q.Adapter)}
}

type loadReply struct {
	mesh.Message
	ReadyInMs int64 `protobuf:"varint,1,opt,name=ready_in_ms,proto3"`
	StoreBusy bool  `protobuf:"varint,2,opt,name=store_busy,proto3"`
	Full      bool  `protobuf:"varint,3,opt,name=full,proto3"`
	Absent    bool  `protobuf:"varint,4,opt,name=absent,proto3"`
	// Running, Unread and Tokens are the usage of the engine by all instances, without this
	// request.
	Running int64 `protobuf:"varint,5,opt,name=running,proto3"`
	Unread  int64 `protobuf:"varint,6,opt,name=unread,proto3"`
	Tokens  int64 `protobuf:"varint,7,opt,name=tokens,proto3"`
	// LimitedMs is set if the rate limit of the engine allows no order now: the time until the
	// owner grants the next permit.
	LimitedMs int64 `protobuf:"varint,8,opt,name=limited_ms,proto3"`
}

func (r *loadReply) busy() pool.Usage {
	return pool.Usage{Running: int(r.Running), PrefillTokens: int(r.Unread), Tokens: int(r.Tokens)}
}

// newLoadReply encodes the answer of an owner. The parameter limited is the time for which the
// engine takes no order because of its rate limit.
func newLoadReply(ready, limited time.Duration, err error) (*loadReply, error) {
	switch {
	case errors.Is(err, orders.ErrNotAdmitted) && limited > 0:
		return &loadReply{LimitedMs: limited.Milliseconds() + 1}, nil
	case errors.Is(err, orders.ErrStoreBusy):
		return &loadReply{StoreBusy: true}, nil
	case errors.Is(err, orders.ErrFull):
		return &loadReply{Full: true}, nil
	case errors.Is(err, orders.ErrNotLoaded):
		return &loadReply{Absent: true}, nil
	}
	return &loadReply{ReadyInMs: ready.Milliseconds()}, err
}

// registerOrderHandlers registers the handlers for calls to the owner of an engine.
func (e *Entry) registerOrderHandlers() {
	mesh.Handle(e.mesh, loadMethod, func(c context.Context, _ string, q *loadRequest) (*loadReply, error) {
		ready, err := e.answerAsOwner(c, q.Held, q)
		r, err := newLoadReply(ready, e.pool.PermitWait(pool.ID(q.Upstream), e.timer.Boot()), err)
		if err != nil || r.StoreBusy || r.Full || r.Absent || r.LimitedMs > 0 {
			return r, err
		}
		u, _ := e.pool.TotalUsage(pool.ID(q.Upstream), e.timer.Boot())
		r.Running, r.Unread, r.Tokens = int64(u.Running), int64(u.PrefillTokens), int64(u.Tokens)
		e.expectRequest(q)
		return r, nil
	})
	mesh.Handle(e.mesh, missingMethod, func(_ context.Context, _ string, q *loadRequest) (*loadReply, error) {
		e.orders.MarkMissing(pool.ID(q.Upstream), q.adapter())
		return &loadReply{}, nil
	})
}
