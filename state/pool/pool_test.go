package pool_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

const now = time.Hour

var (
	capacity = pool.Capacity{
		CacheTokens: 150_000, AdapterSlots: 6, TokensPerSecond: 25_800, StepTime: 8 * time.Millisecond,
		LoadTime: 255 * time.Millisecond, ReloadTime: 30 * time.Millisecond,
	}
	a1 = pool.Adapter{Model: "m", Name: "a1"}
	a2 = pool.Adapter{Model: "m", Name: "a2"}
)

func engine(id pool.ID) pool.Upstream {
	return pool.Upstream{
		ID: id, Service: "models", Zone: "z", StartedAt: 1, Slots: 64, Address: "10.0.0.1:1",
		Models: map[route.ModelName]route.Version{"m": 1}, Adapters: map[pool.Adapter]route.Version{},
	}
}

func engines(n int) *pool.Pool {
	p := pool.New()
	for i := range n {
		p.Put(engine(pool.ID(fmt.Sprintf("e%d", i))))
	}
	return p
}

func ask(a pool.Adapter) pool.Request {
	return pool.Request{Service: "models", Adapter: a, PromptTokens: 2400, OutputTokens: 24, Zone: "z", Engine: &capacity}
}

func hold(p *pool.Pool, id pool.ID, l ...pool.Adapter) {
	held := map[pool.Tag]pool.LoadedAdapter{}
	for _, a := range l {
		held[a.Tag()] = pool.LoadedAdapter{Version: 1}
	}
	p.SetLoadedAdapters(id, held, map[pool.Tag]bool{})
}

func choose(t *testing.T, p *pool.Pool, a pool.Request) pool.Choice {
	t.Helper()
	c, ok := p.Choose(a, now)
	if !ok {
		t.Fatal("no upstream was chosen")
	}
	return c
}

func TestRequestGoesWhereItsAdapterIs(t *testing.T) {
	p := engines(6)
	hold(p, "e3", a1)
	p.Begin("e3", a1, pool.Usage{Running: 1, PrefillTokens: 2400, Tokens: 2424})
	if c := choose(t, p, ask(a1)); c.ID != "e3" || c.NeedsLoad {
		t.Errorf("chosen %s, load %v; want e3 without a load", c.ID, c.NeedsLoad)
	}
}

// TestHotAdapterGetsASecondEngine replays an adapter that becomes popular:
// once the queue of its engine is longer than a load, another one loads it.
func TestHotAdapterGetsASecondEngine(t *testing.T) {
	p := engines(2)
	hold(p, "e0", a1)
	sent := 0
	for ; sent < 20; sent++ {
		c := choose(t, p, ask(a1))
		if c.ID != "e0" {
			break
		}
		p.Begin("e0", a1, pool.Usage{Running: 1, PrefillTokens: 2400, Tokens: 2424})
	}
	if sent < 2 || sent > 8 {
		t.Errorf("%d requests wait for one engine before another one helps", sent)
	}
}

// TestEngineThatCannotLoadIsLeftAlone replays an engine whose adapters are all
// in use: it is asked for no load meanwhile, and serves what it holds.
func TestEngineThatCannotLoadIsLeftAlone(t *testing.T) {
	p := engines(1)
	hold(p, "e0", a1)
	p.DeferLoads("e0", now+time.Second)
	if _, ok := p.Choose(ask(a2), now); ok {
		t.Error("the engine was chosen for a load")
	}
	if c := choose(t, p, ask(a1)); c.NeedsLoad {
		t.Error("the engine does not serve what it holds")
	}
	if _, ok := p.Choose(ask(a2), now+time.Second); !ok {
		t.Error("the engine was not chosen after its pause")
	}
}

// TestInstancesChooseTheSameEngineForANewAdapter lets two instances that know
// the same choose for the same new adapter.
func TestInstancesChooseTheSameEngineForANewAdapter(t *testing.T) {
	x, y := engines(12), engines(12)
	for i := range 50 {
		a := pool.Adapter{Model: "m", Name: route.AdapterName(fmt.Sprint(i))}
		if b, c := choose(t, x, ask(a)), choose(t, y, ask(a)); b.ID != c.ID || !b.NeedsLoad {
			t.Errorf("adapter %d: %s and %s, load %v", i, b.ID, c.ID, b.NeedsLoad)
		}
	}
}

func TestAdapterReturnsToTheEngineThatHeldIt(t *testing.T) {
	p := engines(12)
	p.SetLoadedAdapters("e7", map[pool.Tag]pool.LoadedAdapter{}, map[pool.Tag]bool{a2.Tag(): true})
	if c := choose(t, p, ask(a2)); c.ID != "e7" {
		t.Errorf("chosen %s, want e7 that loads it faster", c.ID)
	}
}

func TestOldVersionServesOnlyWhileItMay(t *testing.T) {
	p := engines(1)
	hold(p, "e0", a1)
	q := ask(a1)
	q.Version, q.MinVersion = 2, 1
	if c := choose(t, p, q); c.NeedsLoad || c.Version != 1 {
		t.Errorf("load %v version %d, want the old one in its grace", c.NeedsLoad, c.Version)
	}
	q.MinVersion = 2
	if c := choose(t, p, q); !c.NeedsLoad || c.Version != 2 {
		t.Errorf("load %v version %d, want the new one loaded", c.NeedsLoad, c.Version)
	}
}

func TestWorkOfPeersCounts(t *testing.T) {
	p := engines(2)
	hold(p, "e0", a1)
	hold(p, "e1", a1)
	p.SetPeer("other", []pool.Work{
		{Upstream: pool.ID("e0").Tag(), Adapter: a1.Tag(), Usage: pool.Usage{Running: 3, PrefillTokens: 7200, Tokens: 7300}},
	})
	if c := choose(t, p, ask(a1)); c.ID != "e1" {
		t.Errorf("chosen %s, want e1", c.ID)
	}
	if n := p.RunningRequests("e0", a1); n != 3 {
		t.Errorf("%d in use, want 3", n)
	}
	p.SetPeer("other", nil)
	if n := p.RunningRequests("e0", a1); n != 0 {
		t.Errorf("%d in use after the peer is gone, want 0", n)
	}
}

// TestWorkToldBeforeTheUpstreamIsKnownCounts replays a list of upstreams that
// is read later than the beats arrive, and an upstream that leaves and returns.
func TestWorkToldBeforeTheUpstreamIsKnownCounts(t *testing.T) {
	p := pool.New()
	p.SetPeer("other", []pool.Work{{Upstream: pool.ID("e0").Tag(), Adapter: a1.Tag(), Usage: pool.Usage{Running: 2}}})
	for range 2 {
		p.Put(engine("e0"))
		if n := p.RunningRequests("e0", a1); n != 2 {
			t.Errorf("%d in use, want 2", n)
		}
		p.Remove("e0", now)
		p.Sweep(now)
	}
	p.Put(engine("e0"))
	p.SetPeer("other", nil)
	if n := p.RunningRequests("e0", a1); n != 0 {
		t.Errorf("%d in use after the peer is gone, want 0", n)
	}
}

// TestFailingEngineIsLeftAlone replays an engine that fails each second
// request while the list calls it ready.
func TestFailingEngineIsLeftAlone(t *testing.T) {
	p := engines(3)
	for i := range 3 {
		hold(p, pool.ID(fmt.Sprintf("e%d", i)), a1)
	}
	count := map[pool.ID]int{}
	for i := range 100 {
		c := choose(t, p, ask(a1))
		count[c.ID]++
		o := pool.Served
		if c.ID == "e1" && i%2 == 0 {
			o = pool.Failed
		}
		p.RecordOutcome(c.ID, o, now)
	}
	if count["e1"] > 10 {
		t.Errorf("%v requests went to the engines, want few to e1", count)
	}
}

func TestUnreachableUpstreamRestsAndReturns(t *testing.T) {
	p := engines(1)
	p.RecordOutcome("e0", pool.Unreachable, now)
	if _, ok := p.Choose(ask(a1), now+100*time.Millisecond); ok {
		t.Error("an unreachable upstream was chosen at once")
	}
	if _, ok := p.Choose(ask(a1), now+300*time.Millisecond); !ok {
		t.Error("the upstream did not return after its pause")
	}
}

func TestDrainingAndGoneUpstreamsTakeNothing(t *testing.T) {
	p := engines(2)
	u := engine("e0")
	u.Draining = true
	p.Put(u)
	p.Remove("e1", now+time.Second)
	if c := choose(t, p, ask(a1)); c.ID != "e1" {
		t.Errorf("chosen %s, want e1 until it is gone", c.ID)
	}
	if _, ok := p.Choose(ask(a1), now+time.Second); ok {
		t.Error("a draining or gone upstream was chosen")
	}
}

func TestRestartedEngineHoldsNothing(t *testing.T) {
	p := engines(1)
	hold(p, "e0", a1)
	u := engine("e0")
	u.StartedAt = 2
	p.Put(u)
	if c := choose(t, p, ask(a1)); !c.NeedsLoad {
		t.Error("an adapter was expected on an engine that has just started")
	}
}

func TestModelIsNeeded(t *testing.T) {
	p := pool.New()
	u := engine("e0")
	u.Models = nil
	p.Put(u)
	if _, ok := p.Choose(ask(a1), now); ok {
		t.Error("an engine without the model was chosen")
	}
}

func BenchmarkChoose(b *testing.B) {
	p := engines(140)
	for i := range 140 {
		hold(p, pool.ID(fmt.Sprintf("e%d", i)), pool.Adapter{Model: "m", Name: route.AdapterName(fmt.Sprint(i))})
	}
	q := ask(a1)
	q.CanLoad = func(pool.ID) bool { return true }
	for b.Loop() {
		p.Choose(q, now)
	}
}

// TestWhatAnUpstreamSaidOutlivesItsRow lets the row of an upstream that has said that
// it leaves lapse and return.
func TestWhatAnUpstreamSaidOutlivesItsRow(t *testing.T) {
	p, u := pool.New(), pool.Upstream{ID: "s0", Service: "orders", Slots: 6, StartedAt: 1}
	p.Put(u)
	if !p.ApplyNotice(u, pool.Notice{Leaving: true}, time.Second) || p.ApplyNotice(u, pool.Notice{Leaving: true}, time.Second) {
		t.Error("only the first notice is new")
	}
	p.Remove(u.ID, 2*time.Second)
	p.Sweep(4 * time.Second)
	p.Put(u)
	if v := p.Admits(u, 5*time.Second); v != pool.Leaving {
		t.Errorf("%v, want leaving", v)
	}
	u.StartedAt = 2
	p.Put(u)
	if v := p.Admits(u, 5*time.Second); v != pool.Admitted {
		t.Errorf("a new process is %v, want admitted", v)
	}
	p.Remove(u.ID, 6*time.Second)
	p.Sweep(7 * time.Second)
	if v := p.Admits(u, 7*time.Second); v != pool.Removed {
		t.Errorf("%v, want gone", v)
	}
}

func TestPauseIsNeverCutShort(t *testing.T) {
	p, u := pool.New(), pool.Upstream{ID: "s0", Service: "orders", Slots: 6, StartedAt: 1}
	p.Put(u)
	p.ApplyNotice(u, pool.Notice{Pause: 5 * time.Second}, 0)
	p.ApplyNotice(u, pool.Notice{Pause: time.Second}, time.Second)
	u.StartedAt = 2
	p.Put(u)
	if v, d := p.Admits(u, 4*time.Second), p.ResumesIn("orders", 4*time.Second); v != pool.Paused || d != time.Second {
		t.Errorf("%v, opens in %v", v, d)
	}
	if v, d := p.Admits(u, 5*time.Second), p.ResumesIn("orders", 5*time.Second); v != pool.Admitted || d != 0 {
		t.Errorf("%v, opens in %v", v, d)
	}
}
