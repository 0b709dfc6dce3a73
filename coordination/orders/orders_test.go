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

const slotCount = 6

// harness runs Orders against a simulated engine that checks fencing tokens, sequence numbers
// and the number of slots as real engines do.
type harness struct {
	t        *testing.T
	now      time.Duration
	sequence int64
	slots    map[pool.Adapter]route.Version
	ready    map[pool.Adapter]time.Duration
	// While loseAnswers is set, orders get no answer and are kept in lateOrders.
	loseAnswers bool
	lateOrders  []orders.Order
	orderCount  int
	fence       ownership.Token
	// A report read within reportLag of the last order has the new sequence number, but the
	// adapters from before the order.
	reportLag time.Duration
	before    map[pool.Adapter]route.Version
	changedAt time.Duration

	// usageAge is the maximum age of usage reports.
	usageAge time.Duration

	pool    *pool.Pool
	engines *orders.Engines
	orders  *orders.Orders
	owner   *ownership.Ownership
	// admission grants all permits unless a test replaces its functions.
	admission *admission.Admission
}

var timing = orders.LoadTiming{ColdLoad: 250 * time.Millisecond, WarmLoad: 25 * time.Millisecond, ParallelLoads: 8, ParallelPerModelLoad: 2}

func newHarness(t *testing.T, loading int) *harness {
	return newHarnessWith(t, loading, route.Engine{AdapterSlots: slotCount})
}

func newHarnessWith(t *testing.T, loading int, n route.Engine) *harness {
	h := &harness{t: t, now: time.Hour, slots: map[pool.Adapter]route.Version{}, ready: map[pool.Adapter]time.Duration{}, pool: pool.New()}
	k := &timer.Service{Boot: func() time.Duration { return h.now }}
	h.pool.Put(pool.Upstream{ID: "e0", Service: "models", StartedAt: 1, Models: map[route.ModelName]route.Version{"m": 1}})
	g := gossip.New("n0", nil, k, zap.NewNop())
	h.owner = ownership.New("n0", 1, ownership.Services{
		Store: memory.New().Client(), Timer: k, Gossip: g, Pool: h.pool, Log: zap.NewNop(),
		NeedsOwner: func(pool.Upstream) bool { return true },
	})
	h.advance(2 * time.Second)
	h.engines = &orders.Engines{Report: h.report, Order: h.order}
	h.admission = admission.New(h.pool, k, zap.NewNop())
	h.orders = orders.New(t.Context(), timing, orders.Services{
		Engines: h.engines, Timer: k, Pool: h.pool, Ownership: h.owner, Log: zap.NewNop(), Admission: h.admission,
		EngineConfig: func(route.ServiceName) (*route.Engine, bool) { return &n, true },
		PeerLoads:    func() int { return loading },
		MaxUsageAge:  func() time.Duration { return h.usageAge },
	})
	return h
}

// advance advances the clock by d in steps, and renews the lease at each step.
func (h *harness) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		h.now += min(d, step)
		h.owner.Step(h.t.Context())
	}
}

func (h *harness) report(context.Context, pool.Upstream) (orders.Report, error) {
	r := orders.Report{Sequence: h.sequence, Adapters: map[pool.Adapter]route.Version{}, Loading: map[pool.Adapter]route.Version{}}
	loaded := h.slots
	if h.now-h.changedAt < h.reportLag {
		loaded = h.before
	}
	for a, v := range loaded {
		if h.ready[a] > h.now {
			r.Loading[a] = v
		} else {
			r.Adapters[a] = v
		}
	}
	return r, nil
}

func (h *harness) order(_ context.Context, o orders.Order) (orders.Answer, error) {
	h.orderCount++
	if h.loseAnswers {
		h.lateOrders = append(h.lateOrders, o)
		return 0, orders.ErrNoAnswer
	}
	return h.execute(o), nil
}

func (h *harness) execute(o orders.Order) orders.Answer {
	switch {
	case o.Token < h.fence:
		return orders.Fenced
	case o.Sequence != h.sequence:
		return orders.Conflict
	}
	h.fence = o.Token
	h.sequence++
	h.before, h.changedAt = maps.Clone(h.slots), h.now
	if o.Unload {
		delete(h.slots, o.Adapter)
		return orders.InEffect
	}
	h.slots[o.Adapter] = o.Version
	h.ready[o.Adapter] = h.now + 250*time.Millisecond
	if len(h.slots) > slotCount {
		h.t.Errorf("%d adapters loaded, more than the slots of the engine", len(h.slots))
	}
	return orders.Accepted
}

func (h *harness) load(n int) (time.Duration, error) {
	return h.orders.Load(h.t.Context(), "e0", adapter(n), 1)
}

func adapter(n int) pool.Adapter {
	return pool.Adapter{Model: "m", Name: route.AdapterName(fmt.Sprintf("a%d", n))}
}

func TestLoadReturnsTheTimeUntilTheAdapterIsReady(t *testing.T) {
	h := newHarness(t, 0)
	for _, want := range []time.Duration{250 * time.Millisecond, 150 * time.Millisecond} {
		if d, err := h.load(1); err != nil || d != want {
			t.Errorf("ready in %v, %v; want %v", d, err, want)
		}
		h.advance(100 * time.Millisecond)
	}
	if h.orderCount != 1 {
		t.Errorf("%d orders for one adapter, want 1", h.orderCount)
	}
}

// TestSlotsAreNeverOverfilled loads more adapters than fit, one after the other. An engine with
// more adapters than slots would crash, so idle ones must be evicted first.
func TestSlotsAreNeverOverfilled(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 40 {
		if _, err := h.load(i); err != nil {
			t.Fatalf("adapter %d: %v", i, err)
		}
		h.advance(time.Second)
	}
}

func TestAdapterInUseIsNotEvicted(t *testing.T) {
	h := newHarness(t, 0)
	for i := range slotCount {
		if _, err := h.load(i); err != nil {
			t.Fatal(err)
		}
		h.pool.Begin("e0", adapter(i), pool.Usage{Running: 1})
		h.advance(time.Second)
	}
	if _, err := h.load(99); !errors.Is(err, orders.ErrFull) {
		t.Fatalf("error %v, want ErrFull", err)
	}
	h.pool.End("e0", adapter(2), pool.Usage{Running: 1})
	if _, err := h.load(99); err != nil {
		t.Fatal(err)
	}
	if _, loaded := h.slots[adapter(2)]; loaded {
		t.Error("the idle adapter was not evicted")
	}
}

// TestLateOrderIsRejectedByItsSequenceNumber loses the answer to an order that reaches the engine
// seconds later, after newer orders. If it were executed, the engine would overfill its slots.
func TestLateOrderIsRejectedByItsSequenceNumber(t *testing.T) {
	h := newHarness(t, 0)
	for i := range slotCount - 1 {
		if _, err := h.load(i); err != nil {
			t.Fatal(err)
		}
		h.advance(time.Second)
	}
	h.loseAnswers = true
	if _, err := h.load(50); !errors.Is(err, orders.ErrStateUnknown) {
		t.Fatalf("error %v, want ErrStateUnknown", err)
	}
	h.loseAnswers = false
	h.advance(time.Second)
	if _, err := h.load(51); err != nil {
		t.Fatal(err)
	}
	h.advance(5 * time.Second)
	for _, o := range h.lateOrders {
		if a := h.execute(o); a != orders.Conflict {
			t.Errorf("late order: answer %v, want conflict", a)
		}
	}
}

// TestReportIsReadAgainAfterALateOrder executes a load whose answer was lost just before the report
// is read. The report has the new sequence number but not the new adapter, so loading another
// adapter on this basis would overfill the slots.
func TestReportIsReadAgainAfterALateOrder(t *testing.T) {
	h := newHarness(t, 0)
	h.reportLag = 200 * time.Millisecond
	for n := range slotCount - 1 {
		if _, err := h.load(n); err != nil {
			t.Fatal(err)
		}
		h.advance(time.Second)
	}
	h.loseAnswers = true
	if _, err := h.load(10); !errors.Is(err, orders.ErrStateUnknown) {
		t.Fatalf("load with a lost answer: %v, want ErrStateUnknown", err)
	}
	h.loseAnswers = false
	h.advance(2 * time.Second)
	h.execute(h.lateOrders[0])
	if _, err := h.load(11); !errors.Is(err, orders.ErrStateUnknown) {
		t.Errorf("load after an outdated report: %v, want ErrStateUnknown", err)
	}
	h.advance(time.Second)
	if _, err := h.load(11); err != nil {
		t.Errorf("load after a current report: %v, want an eviction and a load", err)
	}
}

// TestRecentlyUsedAdapterIsNotEvicted simulates a large fleet, where the owner learns of the next
// use of an adapter two seconds late on average. An adapter without reported requests may be in
// use then.
func TestRecentlyUsedAdapterIsNotEvicted(t *testing.T) {
	h := newHarness(t, 0)
	h.usageAge = 4 * time.Second
	for i := range slotCount {
		if _, err := h.load(i); err != nil {
			t.Fatal(err)
		}
		h.advance(500 * time.Millisecond)
	}
	h.advance(time.Second)
	for i := range slotCount {
		// Each adapter is requested again while it is loaded.
		if _, err := h.load(i); err != nil {
			t.Fatal(err)
		}
	}
	h.advance(time.Second)
	if _, err := h.load(slotCount); !errors.Is(err, orders.ErrFull) {
		t.Errorf("error %v, want ErrFull one second after the last use of every adapter", err)
	}
	h.advance(2 * time.Second)
	if _, err := h.load(slotCount); err != nil {
		t.Errorf("load two seconds later: %v", err)
	}
}

// TestLargeWeightStoreAllowsMoreParallelLoads simulates 140 engines whose weight store serves 80
// adapter loads at full speed.
func TestLargeWeightStoreAllowsMoreParallelLoads(t *testing.T) {
	h := newHarnessWith(t, 70, route.Engine{AdapterSlots: slotCount, LoadsPerSecond: 42})
	for i := range 3 {
		if _, err := h.load(i); err != nil {
			t.Errorf("load %d while 70 of 80 are in flight: %v", i, err)
		}
	}
}

// TestLoadsWaitWhileTheWeightStoreIsBusy simulates the start of traffic, when most requests ask
// for adapters that no engine has loaded. Each engine may have only one load in flight then.
func TestLoadsWaitWhileTheWeightStoreIsBusy(t *testing.T) {
	h := newHarness(t, 8)
	if _, err := h.load(1); err != nil {
		t.Fatalf("the first load of an engine: %v", err)
	}
	if _, err := h.load(2); !errors.Is(err, orders.ErrStoreBusy) {
		t.Fatalf("error %v, want ErrStoreBusy", err)
	}
}

func TestRecentlyUnloadedAdapterLoadsFaster(t *testing.T) {
	h := newHarness(t, 0)
	for i := range slotCount + 1 {
		if _, err := h.load(i); err != nil {
			t.Fatal(err)
		}
		h.advance(time.Second)
	}
	if d, err := h.load(0); err != nil || d != 25*time.Millisecond {
		t.Errorf("ready in %v, %v; want 25ms", d, err)
	}
}

func TestNoOrderWithoutOwnership(t *testing.T) {
	h := newHarness(t, 0)
	h.owner.Leave()
	if _, err := h.load(1); !errors.Is(err, ownership.ErrNotOwner) {
		t.Errorf("error %v, want ErrNotOwner", err)
	}
	if h.orderCount != 0 {
		t.Errorf("%d orders sent, want 0", h.orderCount)
	}
}

// TestReservedAdapterIsNotEvicted reserves the least recently used adapter, which would be evicted
// otherwise before the request arrives.
func TestReservedAdapterIsNotEvicted(t *testing.T) {
	h := newHarness(t, 0)
	for i := range slotCount {
		if _, err := h.load(i); err != nil {
			t.Fatal(err)
		}
		h.advance(time.Second)
	}
	// The first adapter is the least recently used one.
	if _, err := h.orders.Reserve(t.Context(), "e0", adapter(0), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := h.load(slotCount); err != nil {
		t.Fatal(err)
	}
	if _, ok := h.slots[adapter(0)]; !ok {
		t.Error("the reserved adapter was evicted")
	}
	if _, err := h.orders.Reserve(t.Context(), "e0", adapter(1), 1); !errors.Is(err, orders.ErrNotLoaded) {
		t.Errorf("reservation of an evicted adapter: %v, want ErrNotLoaded", err)
	}
	if _, err := h.orders.Reserve(t.Context(), "e0", adapter(0), 2); !errors.Is(err, orders.ErrNotLoaded) {
		t.Errorf("reservation of a newer version: %v, want ErrNotLoaded", err)
	}
}

func TestNoReservationWithoutOwnership(t *testing.T) {
	h := newHarness(t, 0)
	if _, err := h.load(1); err != nil {
		t.Fatal(err)
	}
	h.owner.Leave()
	if _, err := h.orders.Reserve(t.Context(), "e0", adapter(1), 1); !errors.Is(err, ownership.ErrNotOwner) {
		t.Errorf("reservation on a leaving instance: %v, want ErrNotOwner", err)
	}
}

// TestOverdueLoadIsPolledLessOften covers the start of traffic in the run wtw-prod-large scale-1:
// loads took up to four times as long as at full speed, and each request asked the engine up to
// six times at intervals of 50 ms.
func TestOverdueLoadIsPolledLessOften(t *testing.T) {
	h := newHarness(t, 0)
	ready, err := h.load(1)
	if err != nil {
		t.Fatal(err)
	}
	const takes = time.Second
	began, polls := h.now, 0
	for h.now += ready; h.now < began+takes; h.now += ready {
		polls++
		h.orders.MarkMissing("e0", adapter(1))
		if ready, err = h.load(1); err != nil {
			t.Fatal(err)
		}
	}
	if polls > 4 {
		t.Errorf("the adapter was requested %d times before the load ended, want at most 4", polls)
	}
	if late := h.now - began - takes; late > takes/2 {
		t.Errorf("the adapter was found ready %v after the end of the load", late)
	}
}

// TestLeavingOrPausedEngineGetsNoOrders sends a notice that the engine is leaving or pauses new
// work. Calls of other instances to the owner use the same functions.
func TestLeavingOrPausedEngineGetsNoOrders(t *testing.T) {
	for name, n := range map[string]pool.Notice{"leaves": {Leaving: true}, "pauses": {Pause: 10 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0)
			if _, err := h.load(1); err != nil {
				t.Fatal(err)
			}
			h.advance(time.Second)
			u, _ := h.pool.Get("e0", h.now)
			sent := h.orderCount
			h.engines.OnNotice(u, n)
			if _, err := h.load(2); !errors.Is(err, orders.ErrStateUnknown) {
				t.Errorf("load: %v, want ErrStateUnknown", err)
			}
			if _, err := h.orders.Reserve(t.Context(), "e0", adapter(1), 1); !errors.Is(err, orders.ErrNotLoaded) {
				t.Errorf("reserve: %v, want ErrNotLoaded", err)
			}
			if h.orderCount != sent {
				t.Errorf("%d orders sent, want 0", h.orderCount-sent)
			}
			if h.advance(11 * time.Second); n.Pause == 0 {
				return
			}
			if _, err := h.load(2); err != nil {
				t.Errorf("after the pause: %v", err)
			}
		})
	}
}

// TestLimitedEngineGetsOrdersWithPermits has an engine limit its rate. Orders take a permit;
// without one nothing is sent, and the adapter that was to be evicted stays in use.
func TestLimitedEngineGetsOrdersWithPermits(t *testing.T) {
	h := newHarness(t, 0)
	granted := true
	h.admission.TakePermit = func(context.Context, pool.Upstream, pool.Need) (pool.PermitAnswer, error) {
		return pool.PermitAnswer{Granted: granted, Wait: time.Second}, nil
	}
	for n := range slotCount {
		for h.advance(time.Second); ; h.advance(time.Second) {
			if _, err := h.load(n); err == nil {
				break
			}
		}
	}
	h.advance(5 * time.Second)
	u, _ := h.pool.Get("e0", h.now)
	h.engines.OnNotice(u, pool.Notice{StatesLimit: true, Limit: 1})
	if v := h.pool.Admits(u, h.now); v != pool.NeedsPermit {
		t.Fatalf("%v, want needs a permit", v)
	}
	sent := h.orderCount
	granted = false
	if _, err := h.load(slotCount); !errors.Is(err, orders.ErrNotAdmitted) {
		t.Errorf("load: %v, want ErrNotAdmitted", err)
	}
	for n := range slotCount {
		if _, err := h.orders.Reserve(t.Context(), "e0", adapter(n), 1); err != nil {
			t.Errorf("adapter %d: %v", n, err)
		}
	}
	if h.orderCount != sent {
		t.Errorf("%d orders sent without a permit", h.orderCount-sent)
	}
	granted = true
	h.advance(5 * time.Second)
	if _, err := h.load(slotCount); err != nil {
		t.Errorf("with permits: %v", err)
	}
}
