package orders

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/admission"
	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/worker"
)

// Errors of Load and Reserve.
var (
	// ErrFull means that the engine has no slot for the adapter at present.
	ErrFull = eris.New("engine has no available adapter slot")
	// ErrStoreBusy means that the weight store already serves as many loads as it can at
	// full speed.
	ErrStoreBusy = eris.New("weight store serves its maximum number of parallel loads")
	// ErrNotLoaded means that the adapter is not loaded on the engine.
	ErrNotLoaded = eris.New("adapter is not loaded on the engine")
	// ErrStateUnknown means that the current state of the engine is not known.
	ErrStateUnknown = eris.New("state of the engine is unknown")
	// ErrNotAdmitted means that the engine accepts no order now.
	ErrNotAdmitted = eris.New("engine accepts no order now")
)

const (
	orderTimeout  = 300 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// queueLength limits the calls queued for the worker of an engine.
	queueLength       = 64
	reconcileInterval = 300 * time.Millisecond
	// loadUpdateInterval is the interval at which estimates of running loads are updated.
	loadUpdateInterval = 50 * time.Millisecond
	// modelRetryInterval is the time between two orders of a base model.
	modelRetryInterval = 6 * time.Second
)

// Services are the dependencies of Orders.
type Services struct {
	Engines *Engines
	// Admission is checked before each order.
	Admission *admission.Admission
	Timer     *timer.Service
	Pool      *pool.Pool
	Ownership *ownership.Ownership
	Log       *zap.Logger
	// EngineConfig returns the configuration of the engines of a service.
	EngineConfig func(s route.ServiceName) (*route.Engine, bool)
	// PeerLoads returns the number of adapter loads that other owners have in flight.
	PeerLoads func() int
	// MaxUsageAge returns the maximum age of the usage reports of other instances.
	MaxUsageAge func() time.Duration
}

// Orders sends orders to the engines that this instance owns.
type Orders struct {
	Services
	ctx     context.Context
	timing  atomic.Pointer[LoadTiming]
	mu      sync.Mutex
	workers map[pool.ID]*worker.Worker[engine]
	loading map[pool.ID]int
}

// New returns the Orders of an instance. Its workers stop when c ends.
func New(c context.Context, t LoadTiming, s Services) *Orders {
	s.Log = s.Log.Named("orders")
	o := &Orders{Services: s, ctx: c, workers: map[pool.ID]*worker.Worker[engine]{}, loading: map[pool.ID]int{}}
	o.SetLoadTiming(t)
	s.Engines.OnNotice = func(u pool.Upstream, n pool.Notice) { s.Admission.ApplyNotice(u, n, "report or order") }
	return o
}

// SetLoadTiming changes the expected load times and the limits on parallel loads.
func (o *Orders) SetLoadTiming(t LoadTiming) {
	o.timing.Store(&t)
}

func newEngine() *engine {
	return &engine{slots: map[pool.Adapter]*slot{}, warm: map[pool.Tag]time.Duration{}, unloadedAt: map[pool.Adapter]time.Duration{}}
}

func (o *Orders) worker(id pool.ID) *worker.Worker[engine] {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.workers[id]
	if !ok {
		w = worker.Start(o.ctx, queueLength, newEngine())
		o.workers[id] = w
	}
	return w
}

// Load loads an adapter on an engine and returns the time until it is ready. If the adapter is
// loaded or loading already, Load reserves it. It fails with ownership.ErrNotOwner, ErrFull,
// ErrStoreBusy, ErrNotAdmitted or ErrStateUnknown.
func (o *Orders) Load(c context.Context, id pool.ID, a pool.Adapter, v route.Version) (time.Duration, error) {
	var ready time.Duration
	var err error
	if x := o.worker(id).Do(c, func(e *engine) { ready, err = o.load(c, e, id, a, v) }); x != nil {
		return 0, eris.Wrap(ErrStateUnknown, x.Error())
	}
	return ready, err
}

// Reserve returns the time until a loaded or loading adapter is ready, and keeps it from being
// evicted until the request has arrived. It does not wait for orders to the engine. It fails
// with ownership.ErrNotOwner or ErrNotLoaded.
//
// Load pattern: many adapters stay loaded for a shorter time than the other instances need
// to learn of a change, so that the owner has to confirm that an adapter is still loaded.
func (o *Orders) Reserve(_ context.Context, id pool.ID, a pool.Adapter, v route.Version) (time.Duration, error) {
	now := o.Timer.Boot()
	if _, err := o.Ownership.Token(id, now); err != nil {
		return 0, err
	}
	h, ok := o.Pool.LoadedAdapter(id, a)
	if u, known := o.Pool.Get(id, now); !ok || h.Version < v || !known || !o.Pool.Admits(u, now).InService() {
		return 0, ErrNotLoaded
	}
	o.worker(id).Post(func(e *engine) {
		if s, ok := e.slots[a]; ok {
			s.reserve(now)
		}
	})
	return max(0, h.ReadyAt-now), nil
}

func (o *Orders) load(c context.Context, e *engine, id pool.ID, a pool.Adapter, v route.Version) (time.Duration, error) {
	if err := o.sync(c, e, id); err != nil {
		return 0, err
	}
	n, ok := o.EngineConfig(e.upstream.Service)
	if !ok {
		return 0, ownership.ErrNotOwner
	}
	now := o.Timer.Boot()
	loading := o.PeerLoads() + o.OwnLoads()
	parallel := o.timing.Load().parallel(n)
	e.advance(now, slowdown(loading, parallel))
	u := usage{running: func(x pool.Adapter) int { return o.Pool.RunningRequests(id, x) }, maxAge: o.MaxUsageAge()}
	d, x := e.plan(a, v, n.AdapterSlots, u, now)
	switch d {
	case evict, load:
		if !e.mayFetch(a, loading, parallel) {
			return 0, ErrStoreBusy
		}
	case full:
		return 0, eris.Wrap(ErrFull, e.slotSummary(u, now))
	case present:
		s := e.slots[a]
		s.reserve(now)
		return max(0, s.readyAt-now), nil
	}
	if d == evict {
		if err := o.unload(c, e, x); err != nil {
			return 0, err
		}
	}
	return o.orderLoad(c, e, a, v, parallel)
}

// advance updates the progress of the loads of an engine up to now.
func (o *Orders) advance(e *engine, now time.Duration) {
	if n, ok := o.EngineConfig(e.upstream.Service); ok {
		e.advance(now, slowdown(o.PeerLoads()+o.OwnLoads(), o.timing.Load().parallel(n)))
	}
}

// sync reads the state of an engine if this instance has just become its owner, the engine
// has restarted, or the outcome of an order is unknown. It fails with ownership.ErrNotOwner
// or ErrStateUnknown.
func (o *Orders) sync(c context.Context, e *engine, id pool.ID) error {
	now := o.Timer.Boot()
	t, err := o.Ownership.Token(id, now)
	if err != nil {
		e.synced = false
		return err
	}
	u, ok := o.Pool.Get(id, now)
	if !ok || !o.Pool.Admits(u, now).InService() {
		return ErrStateUnknown
	}
	if u.StartedAt != e.upstream.StartedAt {
		*e = *newEngine()
	}
	e.upstream = u
	if e.synced && e.token == t {
		return nil
	}
	if e.orderedAt != 0 && now-e.orderedAt < reportLag {
		// The report may not include the last order yet.
		return ErrStateUnknown
	}
	x, cancel := context.WithTimeout(c, reportTimeout)
	defer cancel()
	if err := o.Admission.CheckOrder(x, u, "report"); err != nil {
		return eris.Wrap(ErrStateUnknown, err.Error())
	}
	r, err := o.Engines.Report(x, u)
	if err != nil {
		return eris.Wrap(ErrStateUnknown, err.Error())
	}
	if r.Sequence != e.sequence {
		// The engine executed an order whose answer was lost, or an order of another
		// owner. The adapters in the report may be older than its sequence number, so it
		// is read again after reportLag.
		e.sequence, e.orderedAt = r.Sequence, now
		return ErrStateUnknown
	}
	if e.token == 0 {
		// The previous owner advertised these adapters as still in memory.
		_, warm := o.Pool.LoadedAdapters(id)
		for a := range warm {
			e.warm[a] = now
		}
	}
	e.token, e.synced = t, true
	e.merge(r, now, o.timing.Load().ColdLoad)
	o.publish(e, id)
	return nil
}

// send sends an order with the fencing token that is valid at this moment. It fails with
// ownership.ErrNotOwner, ErrStateUnknown, or ErrNotAdmitted if nothing was sent.
func (o *Orders) send(c context.Context, e *engine, q Order) (Answer, error) {
	t, err := o.Ownership.Token(e.upstream.ID, o.Timer.Boot())
	if err != nil || t != e.token {
		e.synced = false
		return 0, ownership.ErrNotOwner
	}
	q.Upstream, q.Sequence, q.Token = e.upstream, e.sequence, t
	x, cancel := context.WithTimeout(context.WithoutCancel(c), orderTimeout)
	defer cancel()
	if err := o.Admission.CheckOrder(x, q.Upstream, "order"); err != nil {
		return 0, eris.Wrap(ErrNotAdmitted, err.Error())
	}
	a, err := o.Engines.Order(x, q)
	if err != nil {
		e.synced = false
		o.logOrder(q, "no answer", err)
		return 0, eris.Wrap(ErrStateUnknown, err.Error())
	}
	o.logOrder(q, a.String(), nil)
	switch a {
	case Accepted:
		e.sequence++
		e.orderedAt = o.Timer.Boot()
	case InEffect:
	case Fenced:
		o.Ownership.MarkFenced(e.upstream.ID)
		e.synced = false
		return a, ownership.ErrNotOwner
	case Conflict:
		// The engine is executing another order, or it executed one whose answer was
		// lost. An immediate retry would fail again.
		e.synced, e.orderedAt = false, o.Timer.Boot()
		return a, ErrStateUnknown
	default:
		e.synced = false
		return a, ErrStateUnknown
	}
	return a, nil
}

func (o *Orders) logOrder(q Order, outcome string, err error) {
	o.Log.Info("order", zap.String("upstream", string(q.Upstream.ID)), zap.Bool("unload", q.Unload),
		zap.String("model", string(q.Adapter.Model)), zap.String("adapter", string(q.Adapter.Name)), zap.Int64("version", int64(q.Version)),
		zap.Int64("sequence", q.Sequence), zap.Int64("token", int64(q.Token)), zap.String("outcome", outcome), zap.Error(err))
}

// unload evicts an adapter. It fails with ErrFull if a request started to use the adapter.
func (o *Orders) unload(c context.Context, e *engine, a pool.Adapter) error {
	s := e.slots[a]
	delete(e.slots, a)
	o.publish(e, e.upstream.ID)
	r, err := o.send(c, e, Order{Unload: true, Adapter: a})
	if errors.Is(err, ErrNotAdmitted) {
		e.slots[a] = s
		o.publish(e, e.upstream.ID)
	}
	if err != nil {
		return err
	}
	if r == Accepted {
		// A request started to use the adapter in the meantime. The slot stays occupied
		// until the engine reports that the adapter is unloaded.
		s.reservedUntil = o.Timer.Boot() + inUseBackoff
		e.slots[a] = s
		e.synced = false
		return ErrFull
	}
	e.sequence++
	e.orderedAt = o.Timer.Boot()
	e.addWarm(a, o.Timer.Boot())
	e.unloadedAt[a] = o.Timer.Boot()
	return nil
}

// orderLoad orders a load into a free slot and returns the time until the adapter is ready.
func (o *Orders) orderLoad(c context.Context, e *engine, a pool.Adapter, v route.Version, parallel int) (time.Duration, error) {
	r, err := o.send(c, e, Order{Adapter: a, Version: v})
	if err != nil {
		return 0, err
	}
	now := o.Timer.Boot()
	s := &slot{version: v, orderedAt: now, readyAt: now, scoreAt: now}
	if r == Accepted {
		_, warm := e.warm[a.Tag()]
		s.remaining, s.fetched = o.timing.Load().ColdLoad, !warm
		if warm {
			s.remaining = o.timing.Load().WarmLoad
		}
	} else {
		e.synced = false
	}
	if old, ok := e.slots[a]; ok {
		s.score = old.score
	}
	e.slots[a] = s
	delete(e.warm, a.Tag())
	delete(e.unloadedAt, a)
	e.advance(now, slowdown(o.PeerLoads()+o.OwnLoads()+1, parallel))
	s.recordUse(now, 1)
	s.reservedUntil = s.readyAt + reserveTime
	o.publish(e, e.upstream.ID)
	return s.readyAt - now, nil
}

// publish updates the pool with the loaded adapters, from which upstreams are chosen.
func (o *Orders) publish(e *engine, id pool.ID) {
	loaded := make(map[pool.Tag]pool.LoadedAdapter, len(e.slots))
	warm := make(map[pool.Tag]bool, len(e.warm))
	for a := range e.warm {
		warm[a] = true
	}
	now, n := o.Timer.Boot(), 0
	for a, s := range e.slots {
		loaded[a.Tag()] = pool.LoadedAdapter{Version: s.version, ReadyAt: s.readyAt}
		if s.fetched && s.readyAt > now {
			n++
		}
	}
	o.Pool.SetLoadedAdapters(id, loaded, warm)
	o.mu.Lock()
	o.loading[id] = n
	o.mu.Unlock()
}

// OwnLoads returns the number of loads from the weight store that this instance has in flight.
func (o *Orders) OwnLoads() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, x := range o.loading {
		n += x
	}
	return n
}

// MarkMissing records that an engine lacks an adapter that was expected to be loaded. If its
// load was expected to end less than pool.LoadOverrun ago, the load is taken to be late and its
// estimate is extended; otherwise the state of the engine is read again.
func (o *Orders) MarkMissing(id pool.ID, a pool.Adapter) {
	o.worker(id).Post(func(e *engine) {
		now := o.Timer.Boot()
		s, ok := e.slots[a]
		if ok && now-s.readyAt < pool.LoadOverrun && s.readyAt > s.orderedAt {
			o.advance(e, now)
			s.markOverdue(now)
			o.publish(e, id)
			return
		}
		e.synced = false
	})
}
