package orders

import (
	"context"
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

// Errors of Load.
var (
	// ErrFull says that every adapter on the engine is in use.
	ErrFull = eris.New("every adapter on the engine is in use")
	// ErrStoreBusy says that the weight store has as many loads under way as it
	// serves at full speed.
	ErrStoreBusy = eris.New("the weight store is busy")
	// ErrNotLoaded says that the engine does not hold the adapter.
	ErrNotLoaded = eris.New("the engine does not hold the adapter")
	// ErrStateUnknown says that the state of the engine is not known at the moment.
	ErrStateUnknown = eris.New("the state of the engine is not known")
)

const (
	orderTime  = 300 * time.Millisecond
	reportTime = 400 * time.Millisecond
	// queueLength bounds the requests that wait for the worker of an engine.
	queueLength = 64
	tick        = 300 * time.Millisecond
	// loadStep is the time between two looks at the loads under way.
	loadStep = 50 * time.Millisecond
	// modelRetry is the pause before a base model is ordered again.
	modelRetry = 6 * time.Second
)

// Services are the parts that the orders work with.
type Services struct {
	Engines *Engines
	// Admission is asked before each order.
	Admission *admission.Admission
	Timer     *timer.Service
	Pool      *pool.Pool
	Ownership *ownership.Ownership
	Log       *zap.Logger
	// EngineConfig returns what the configuration says of a service's engines.
	EngineConfig func(s route.ServiceName) (*route.Engine, bool)
	// PeerLoads returns the adapter loads that other owners have under way.
	PeerLoads func() int
	// MaxUsageAge returns how old what other instances tell of their requests may be.
	MaxUsageAge func() time.Duration
}

// Orders gives orders to the engines that this instance owns.
type Orders struct {
	Services
	life    context.Context
	timing  atomic.Pointer[LoadTiming]
	mu      sync.Mutex
	workers map[pool.ID]*worker.Worker[engine]
	loading map[pool.ID]int
}

// New returns the orders of an instance, whose workers end with c.
func New(c context.Context, t LoadTiming, s Services) *Orders {
	s.Log = s.Log.Named("orders")
	o := &Orders{Services: s, life: c, workers: map[pool.ID]*worker.Worker[engine]{}, loading: map[pool.ID]int{}}
	o.SetLoadTiming(t)
	s.Engines.OnNotice = func(u pool.Upstream, n pool.Notice) { s.Admission.ApplyNotice(u, n, "report or order") }
	return o
}

// SetLoadTiming changes the assumed times and limits of loads.
func (o *Orders) SetLoadTiming(t LoadTiming) {
	o.timing.Store(&t)
}

func newEngine() *engine {
	return &engine{places: map[pool.Adapter]*place{}, recent: map[pool.Tag]time.Duration{}, dropped: map[pool.Adapter]time.Duration{}}
}

func (o *Orders) worker(id pool.ID) *worker.Worker[engine] {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.workers[id]
	if !ok {
		w = worker.Start(o.life, queueLength, newEngine())
		o.workers[id] = w
	}
	return w
}

// Load has an engine load an adapter and returns the time until it is ready.
// It fails with ownership.ErrNotOwner, ErrFull or ErrUnsure.
func (o *Orders) Load(c context.Context, id pool.ID, a pool.Adapter, v route.Version) (time.Duration, error) {
	var ready time.Duration
	var err error
	if x := o.worker(id).Do(c, func(e *engine) { ready, err = o.load(c, e, id, a, v) }); x != nil {
		return 0, eris.Wrap(ErrStateUnknown, x.Error())
	}
	return ready, err
}

// Pin returns the time until an adapter that an engine holds is ready, and
// keeps it there until the request that asks has arrived. It does not wait for
// orders to the engine. It fails with ownership.ErrNotOwner or ErrAbsent.
//
// Load pattern: what the instances know of the adapters on an engine is older
// than the time for which many of them stay there.
func (o *Orders) Pin(_ context.Context, id pool.ID, a pool.Adapter, v route.Version) (time.Duration, error) {
	now := o.Timer.Boot()
	if _, err := o.Ownership.Token(id, now); err != nil {
		return 0, err
	}
	h, ok := o.Pool.LoadedAdapter(id, a)
	if u, there := o.Pool.Get(id, now); !ok || h.Version < v || !there || o.Pool.Admits(u, now) != pool.Admitted {
		return 0, ErrNotLoaded
	}
	o.worker(id).Post(func(e *engine) {
		if p, ok := e.places[a]; ok {
			p.grant(now)
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
	e.advance(now, slower(loading, parallel))
	u := uses{running: func(x pool.Adapter) int { return o.Pool.RunningRequests(id, x) }, age: o.MaxUsageAge()}
	d, x := e.plan(a, v, n.AdapterSlots, u, now)
	switch d {
	case evict, load:
		if !e.mayFetch(a, loading, parallel) {
			return 0, ErrStoreBusy
		}
	case full:
		return 0, eris.Wrap(ErrFull, e.occupation(u, now))
	case present:
		p := e.places[a]
		p.grant(now)
		return max(0, p.readyAt-now), nil
	}
	if d == evict {
		if err := o.unload(c, e, x); err != nil {
			return 0, err
		}
	}
	return o.order(c, e, a, v, parallel)
}

// advance moves the loads of an engine on to now.
func (o *Orders) advance(e *engine, now time.Duration) {
	if n, ok := o.EngineConfig(e.upstream.Service); ok {
		e.advance(now, slower(o.PeerLoads()+o.OwnLoads(), o.timing.Load().parallel(n)))
	}
}

// sync reads the state of an engine when this instance has just become its
// owner, the engine started anew, or an order was left without an answer.
func (o *Orders) sync(c context.Context, e *engine, id pool.ID) error {
	now := o.Timer.Boot()
	t, err := o.Ownership.Token(id, now)
	if err != nil {
		e.synced = false
		return err
	}
	u, ok := o.Pool.Get(id, now)
	if !ok || o.Pool.Admits(u, now) != pool.Admitted {
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
		// The report cannot know the last order yet.
		return ErrStateUnknown
	}
	x, cancel := context.WithTimeout(c, reportTime)
	defer cancel()
	r, err := o.Engines.Report(x, u)
	if err != nil {
		return eris.Wrap(ErrStateUnknown, err.Error())
	}
	if r.Sequence != e.sequence {
		// An order without an answer was carried out, or one of another owner.
		// The report may lag behind its own sequence number.
		e.sequence, e.orderedAt = r.Sequence, now
		return ErrStateUnknown
	}
	if e.token == 0 {
		// What the former owner told.
		_, recent := o.Pool.LoadedAdapters(id)
		for a := range recent {
			e.recent[a] = now
		}
	}
	e.token, e.synced = t, true
	e.merge(r, now, o.timing.Load().ColdLoad)
	o.publish(e, id)
	return nil
}

// send gives an order under the token that is valid at this instant.
func (o *Orders) send(c context.Context, e *engine, q Order) (Answer, error) {
	t, err := o.Ownership.Token(e.upstream.ID, o.Timer.Boot())
	if err != nil || t != e.token {
		e.synced = false
		return 0, ownership.ErrNotOwner
	}
	q.Upstream, q.Sequence, q.Token = e.upstream, e.sequence, t
	if err := o.Admission.Check(q.Upstream, "order"); err != nil {
		e.synced = false
		return 0, eris.Wrap(ErrStateUnknown, err.Error())
	}
	x, cancel := context.WithTimeout(context.WithoutCancel(c), orderTime)
	defer cancel()
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
		// The engine is at another order, or an order without an answer was
		// carried out. Asking again at once would not help.
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

func (o *Orders) unload(c context.Context, e *engine, a pool.Adapter) error {
	p := e.places[a]
	delete(e.places, a)
	o.publish(e, e.upstream.ID)
	r, err := o.send(c, e, Order{Unload: true, Adapter: a})
	if err != nil {
		return err
	}
	if r == Accepted {
		// A request took the adapter meanwhile; its place stays taken until
		// the engine reports otherwise.
		p.grantedUntil = o.Timer.Boot() + inUseTime
		e.places[a] = p
		e.synced = false
		return ErrFull
	}
	e.sequence++
	e.orderedAt = o.Timer.Boot()
	e.remember(a, o.Timer.Boot())
	e.dropped[a] = o.Timer.Boot()
	return nil
}

func (o *Orders) order(c context.Context, e *engine, a pool.Adapter, v route.Version, parallel int) (time.Duration, error) {
	r, err := o.send(c, e, Order{Adapter: a, Version: v})
	if err != nil {
		return 0, err
	}
	now := o.Timer.Boot()
	p := &place{version: v, orderedAt: now, readyAt: now, scoreAt: now}
	if r == Accepted {
		_, warm := e.recent[a.Tag()]
		p.left, p.fetched = o.timing.Load().ColdLoad, !warm
		if warm {
			p.left = o.timing.Load().WarmLoad
		}
	} else {
		e.synced = false
	}
	if old, ok := e.places[a]; ok {
		p.score = old.score
	}
	e.places[a] = p
	delete(e.recent, a.Tag())
	delete(e.dropped, a)
	e.advance(now, slower(o.PeerLoads()+o.OwnLoads()+1, parallel))
	p.used(now, 1)
	p.grantedUntil = p.readyAt + grantTime
	o.publish(e, e.upstream.ID)
	return p.readyAt - now, nil
}

// publish makes the places known to the choice of upstreams.
func (o *Orders) publish(e *engine, id pool.ID) {
	held := make(map[pool.Tag]pool.LoadedAdapter, len(e.places))
	recent := make(map[pool.Tag]bool, len(e.recent))
	for a := range e.recent {
		recent[a] = true
	}
	now, n := o.Timer.Boot(), 0
	for a, p := range e.places {
		held[a.Tag()] = pool.LoadedAdapter{Version: p.version, ReadyAt: p.readyAt}
		if p.fetched && p.readyAt > now {
			n++
		}
	}
	o.Pool.SetLoadedAdapters(id, held, recent)
	o.mu.Lock()
	o.loading[id] = n
	o.mu.Unlock()
}

// OwnLoads returns the loads from the weight store that this instance has under
// way.
func (o *Orders) OwnLoads() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, x := range o.loading {
		n += x
	}
	return n
}

// MarkMissing notes that an engine does not hold an adapter that it was said to
// hold. A load that seems to have ended lately may take a little longer.
func (o *Orders) MarkMissing(id pool.ID, a pool.Adapter) {
	o.worker(id).Post(func(e *engine) {
		now := o.Timer.Boot()
		p, ok := e.places[a]
		if ok && now-p.readyAt < pool.LoadOverrun && p.readyAt > p.orderedAt {
			o.advance(e, now)
			p.overdue(now)
			o.publish(e, id)
			return
		}
		e.synced = false
	})
}
