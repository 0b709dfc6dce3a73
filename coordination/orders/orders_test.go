package orders_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/admission"
	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/standin/memory"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/timer"
)

const slots = 6

// bench is an engine that checks what the users' engines check.
type bench struct {
	t        *testing.T
	now      time.Duration
	sequence int64
	places   map[pool.Adapter]route.Version
	ready    map[pool.Adapter]time.Duration
	// lose is set while answers are lost, and late holds the orders that are
	// carried out later.
	lose  bool
	late  []orders.Order
	calls int
	fence ownership.Token
	// lag is how far the adapters of a report are behind its sequence number,
	// before what was held before the last order.
	lag       time.Duration
	before    map[pool.Adapter]route.Version
	changedAt time.Duration

	// age is how old what is told of uses may be.
	age time.Duration

	pool    *pool.Pool
	engines *orders.Engines
	orders  *orders.Orders
	owner   *ownership.Ownership
}

var timing = orders.LoadTiming{ColdLoad: 250 * time.Millisecond, WarmLoad: 25 * time.Millisecond, ParallelLoads: 8, ParallelPerModelLoad: 2}

func newBench(t *testing.T, loading int) *bench {
	return newBenchOf(t, loading, route.Engine{AdapterSlots: slots})
}

func newBenchOf(t *testing.T, loading int, n route.Engine) *bench {
	b := &bench{t: t, now: time.Hour, places: map[pool.Adapter]route.Version{}, ready: map[pool.Adapter]time.Duration{}, pool: pool.New()}
	k := &timer.Service{Boot: func() time.Duration { return b.now }}
	b.pool.Put(pool.Upstream{ID: "e0", Service: "models", StartedAt: 1, Models: map[route.ModelName]route.Version{"m": 1}})
	g := gossip.New("n0", nil, k, zap.NewNop())
	b.owner = ownership.New("n0", 1, ownership.Services{
		Store: memory.New().Client(), Timer: k, Gossip: g, Pool: b.pool, Log: zap.NewNop(),
		AcceptsOrders: func(pool.Upstream) bool { return true },
	})
	b.pass(2 * time.Second)
	b.engines = &orders.Engines{Report: b.report, Order: b.order}
	b.orders = orders.New(t.Context(), timing, orders.Services{
		Engines: b.engines, Timer: k, Pool: b.pool, Ownership: b.owner, Log: zap.NewNop(), Admission: admission.New(b.pool, k, zap.NewNop()),
		EngineConfig: func(route.ServiceName) (*route.Engine, bool) { return &n, true },
		PeerLoads:    func() int { return loading },
		MaxUsageAge:  func() time.Duration { return b.age },
	})
	return b
}

// pass lets time go on, with the renewals of the lease.
func (b *bench) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		b.now += min(d, step)
		b.owner.Step(b.t.Context())
	}
}

func (b *bench) report(context.Context, pool.Upstream) (orders.Report, error) {
	r := orders.Report{Sequence: b.sequence, Adapters: map[pool.Adapter]route.Version{}, Loading: map[pool.Adapter]route.Version{}}
	places := b.places
	if b.now-b.changedAt < b.lag {
		places = b.before
	}
	for a, v := range places {
		if b.ready[a] > b.now {
			r.Loading[a] = v
		} else {
			r.Adapters[a] = v
		}
	}
	return r, nil
}

func (b *bench) order(_ context.Context, o orders.Order) (orders.Answer, error) {
	b.calls++
	if b.lose {
		b.late = append(b.late, o)
		return 0, orders.ErrNoAnswer
	}
	return b.carryOut(o), nil
}

func (b *bench) carryOut(o orders.Order) orders.Answer {
	switch {
	case o.Token < b.fence:
		return orders.Fenced
	case o.Sequence != b.sequence:
		return orders.Conflict
	}
	b.fence = o.Token
	b.sequence++
	b.before, b.changedAt = maps.Clone(b.places), b.now
	if o.Unload {
		delete(b.places, o.Adapter)
		return orders.InEffect
	}
	b.places[o.Adapter] = o.Version
	b.ready[o.Adapter] = b.now + 250*time.Millisecond
	if len(b.places) > slots {
		b.t.Errorf("engine holds %d adapters and crashes", len(b.places))
	}
	return orders.Accepted
}

func (b *bench) load(n int) (time.Duration, error) {
	return b.orders.Load(b.t.Context(), "e0", adapter(n), 1)
}

func adapter(n int) pool.Adapter {
	return pool.Adapter{Model: "m", Name: route.AdapterName(fmt.Sprintf("a%d", n))}
}

func TestLoadTellsWhenTheAdapterIsReady(t *testing.T) {
	b := newBench(t, 0)
	for _, want := range []time.Duration{250 * time.Millisecond, 150 * time.Millisecond} {
		if d, err := b.load(1); err != nil || d != want {
			t.Errorf("ready in %v, %v; want %v", d, err, want)
		}
		b.pass(100 * time.Millisecond)
	}
	if b.calls != 1 {
		t.Errorf("%d orders for one adapter, want 1", b.calls)
	}
}

// TestSlotsAreNeverOverfilled asks for more adapters than fit, one after the
// other: idle ones make way, the engine never holds too many.
func TestSlotsAreNeverOverfilled(t *testing.T) {
	b := newBench(t, 0)
	for i := range 40 {
		if _, err := b.load(i); err != nil {
			t.Fatalf("adapter %d: %v", i, err)
		}
		b.pass(time.Second)
	}
}

func TestAdapterInUseIsNotEvicted(t *testing.T) {
	b := newBench(t, 0)
	for i := range slots {
		if _, err := b.load(i); err != nil {
			t.Fatal(err)
		}
		b.pool.Begin("e0", adapter(i), pool.Usage{Running: 1})
		b.pass(time.Second)
	}
	if _, err := b.load(99); !errors.Is(err, orders.ErrFull) {
		t.Fatalf("error %v, want ErrFull", err)
	}
	b.pool.End("e0", adapter(2), pool.Usage{Running: 1})
	if _, err := b.load(99); err != nil {
		t.Fatal(err)
	}
	if _, there := b.places[adapter(2)]; there {
		t.Error("the adapter that was not in use is still there")
	}
}

// TestLateOrderDoesNoHarm loses the answer of an order that the engine carries
// out seconds later, after newer orders.
func TestLateOrderDoesNoHarm(t *testing.T) {
	b := newBench(t, 0)
	for i := range slots - 1 {
		if _, err := b.load(i); err != nil {
			t.Fatal(err)
		}
		b.pass(time.Second)
	}
	b.lose = true
	if _, err := b.load(50); !errors.Is(err, orders.ErrStateUnknown) {
		t.Fatalf("error %v, want ErrUnsure", err)
	}
	b.lose = false
	b.pass(time.Second)
	if _, err := b.load(51); err != nil {
		t.Fatal(err)
	}
	b.pass(5 * time.Second)
	for _, o := range b.late {
		if a := b.carryOut(o); a != orders.Conflict {
			t.Errorf("late order: %v, want conflict", a)
		}
	}
}

// TestReportThatLagsBehindALateOrderIsNotTrusted has a load carried out late,
// just before the report is read: the report has its number already, but not
// its adapter.
func TestReportThatLagsBehindALateOrderIsNotTrusted(t *testing.T) {
	b := newBench(t, 0)
	b.lag = 200 * time.Millisecond
	for n := range slots - 1 {
		if _, err := b.load(n); err != nil {
			t.Fatal(err)
		}
		b.pass(time.Second)
	}
	b.lose = true
	if _, err := b.load(10); !errors.Is(err, orders.ErrStateUnknown) {
		t.Fatalf("%v; want an order without an answer", err)
	}
	b.lose = false
	b.pass(2 * time.Second)
	b.carryOut(b.late[0])
	if _, err := b.load(11); !errors.Is(err, orders.ErrStateUnknown) {
		t.Errorf("%v; want a second look at the engine", err)
	}
	b.pass(time.Second)
	if _, err := b.load(11); err != nil {
		t.Errorf("%v; want a load in place of another adapter", err)
	}
}

// TestAdapterUsedLatelyIsNotEvicted replays a large fleet, in which the owner
// hears of the next use of an adapter two seconds late on average.
func TestAdapterUsedLatelyIsNotEvicted(t *testing.T) {
	b := newBench(t, 0)
	b.age = 4 * time.Second
	for i := range slots {
		if _, err := b.load(i); err != nil {
			t.Fatal(err)
		}
		b.pass(500 * time.Millisecond)
	}
	b.pass(time.Second)
	for i := range slots {
		// Each adapter is asked for, and served from its place.
		if _, err := b.load(i); err != nil {
			t.Fatal(err)
		}
	}
	b.pass(time.Second)
	if _, err := b.load(slots); !errors.Is(err, orders.ErrFull) {
		t.Errorf("error %v, want ErrFull while every adapter was used a second ago", err)
	}
	b.pass(2 * time.Second)
	if _, err := b.load(slots); err != nil {
		t.Errorf("load after two seconds without a use: %v", err)
	}
}

// TestLargeWeightStoreHandsOutMoreAdapters replays 140 engines, whose weight
// store hands out 80 adapters at full speed.
func TestLargeWeightStoreHandsOutMoreAdapters(t *testing.T) {
	b := newBenchOf(t, 70, route.Engine{AdapterSlots: slots, LoadsPerSecond: 42})
	for i := range 3 {
		if _, err := b.load(i); err != nil {
			t.Errorf("load %d while 70 of 80 are under way: %v", i, err)
		}
	}
}

// TestLoadsWaitWhileTheWeightStoreIsBusy replays the start of traffic, when
// most requests ask for adapters that no engine has.
func TestLoadsWaitWhileTheWeightStoreIsBusy(t *testing.T) {
	b := newBench(t, 8)
	if _, err := b.load(1); err != nil {
		t.Fatalf("the first load of an engine: %v", err)
	}
	if _, err := b.load(2); !errors.Is(err, orders.ErrStoreBusy) {
		t.Fatalf("error %v, want ErrStoreBusy", err)
	}
}

func TestAdapterThatWasHeldLoadsFaster(t *testing.T) {
	b := newBench(t, 0)
	for i := range slots + 1 {
		if _, err := b.load(i); err != nil {
			t.Fatal(err)
		}
		b.pass(time.Second)
	}
	if d, err := b.load(0); err != nil || d != 25*time.Millisecond {
		t.Errorf("ready in %v, %v; want 25ms", d, err)
	}
}

func TestNoOrderWithoutOwnership(t *testing.T) {
	b := newBench(t, 0)
	b.owner.Leave()
	if _, err := b.load(1); !errors.Is(err, ownership.ErrNotOwner) {
		t.Errorf("error %v, want ErrNotOwner", err)
	}
	if b.calls != 0 {
		t.Errorf("%d orders were given", b.calls)
	}
}

// TestGrantedAdapterStays asks for an adapter that is there: it is not evicted
// before the request can have arrived, however little it was used.
func TestGrantedAdapterStays(t *testing.T) {
	b := newBench(t, 0)
	for i := range slots {
		if _, err := b.load(i); err != nil {
			t.Fatal(err)
		}
		b.pass(time.Second)
	}
	// The first one was used longest ago.
	if _, err := b.orders.Pin(t.Context(), "e0", adapter(0), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := b.load(slots); err != nil {
		t.Fatal(err)
	}
	if _, ok := b.places[adapter(0)]; !ok {
		t.Error("the granted adapter was evicted")
	}
	if _, err := b.orders.Pin(t.Context(), "e0", adapter(1), 1); !errors.Is(err, orders.ErrNotLoaded) {
		t.Errorf("the evicted adapter is granted: %v", err)
	}
	if _, err := b.orders.Pin(t.Context(), "e0", adapter(0), 2); !errors.Is(err, orders.ErrNotLoaded) {
		t.Errorf("a newer version is granted: %v", err)
	}
}

func TestNoGrantWithoutOwnership(t *testing.T) {
	b := newBench(t, 0)
	if _, err := b.load(1); err != nil {
		t.Fatal(err)
	}
	b.owner.Leave()
	if _, err := b.orders.Pin(t.Context(), "e0", adapter(1), 1); !errors.Is(err, ownership.ErrNotOwner) {
		t.Errorf("granted by an instance that leaves: %v", err)
	}
}

// TestOverdueLoadIsAskedForEverMoreSeldom replays the start of traffic on
// wtw-prod-large scale-1: loads took up to four times as long as at full speed,
// and each request asked the engine up to six times, 50 ms apart.
func TestOverdueLoadIsAskedForEverMoreSeldom(t *testing.T) {
	b := newBench(t, 0)
	ready, err := b.load(1)
	if err != nil {
		t.Fatal(err)
	}
	const takes = time.Second
	began, asked := b.now, 0
	for b.now += ready; b.now < began+takes; b.now += ready {
		asked++
		b.orders.MarkMissing("e0", adapter(1))
		if ready, err = b.load(1); err != nil {
			t.Fatal(err)
		}
	}
	if asked > 4 {
		t.Errorf("the engine was asked %d times before the load ended", asked)
	}
	if late := b.now - began - takes; late > takes/2 {
		t.Errorf("the adapter is used %v after it was ready", late)
	}
}

// TestEngineThatTakesNothingMoreGetsNoOrders has an engine say that it leaves, or for
// how long it wants nothing. What other instances ask the owner for comes the same way.
func TestEngineThatTakesNothingMoreGetsNoOrders(t *testing.T) {
	for name, n := range map[string]pool.Notice{"leaves": {Leaving: true}, "pauses": {Pause: 10 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 0)
			if _, err := b.load(1); err != nil {
				t.Fatal(err)
			}
			b.pass(time.Second)
			u, _ := b.pool.Get("e0", b.now)
			calls := b.calls
			b.engines.OnNotice(u, n)
			if _, err := b.load(2); !errors.Is(err, orders.ErrStateUnknown) {
				t.Errorf("load: %v, want ErrUnsure", err)
			}
			if _, err := b.orders.Pin(t.Context(), "e0", adapter(1), 1); !errors.Is(err, orders.ErrNotLoaded) {
				t.Errorf("grant: %v, want ErrAbsent", err)
			}
			if b.calls != calls {
				t.Errorf("%d orders", b.calls-calls)
			}
			if b.pass(11 * time.Second); n.Pause == 0 {
				return
			}
			if _, err := b.load(2); err != nil {
				t.Errorf("after the pause: %v", err)
			}
		})
	}
}
