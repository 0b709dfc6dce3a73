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

func request(a pool.Adapter) pool.Request {
	return pool.Request{Service: "models", Adapter: a, PromptTokens: 2400, OutputTokens: 24, Zone: "z", Engine: &capacity}
}

func setLoaded(p *pool.Pool, id pool.ID, l ...pool.Adapter) {
	loaded := map[pool.Tag]pool.LoadedAdapter{}
	for _, a := range l {
		loaded[a.Tag()] = pool.LoadedAdapter{Version: 1}
	}
	p.SetLoadedAdapters(id, loaded, map[pool.Tag]bool{})
}

func choose(t *testing.T, p *pool.Pool, a pool.Request) pool.Choice {
	t.Helper()
	c, ok := p.Choose(a, now)
	if !ok {
		t.Fatal("no upstream was chosen")
	}
	return c
}

func TestRequestGoesToTheEngineWithItsAdapter(t *testing.T) {
	p := engines(6)
	setLoaded(p, "e3", a1)
	p.Begin("e3", a1, pool.Usage{Running: 1, PrefillTokens: 2400, Tokens: 2424})
	if c := choose(t, p, request(a1)); c.ID != "e3" || c.NeedsLoad {
		t.Errorf("chosen %s, load %v; want e3 without a load", c.ID, c.NeedsLoad)
	}
}

// TestHotAdapterGetsASecondEngine replays an adapter that becomes popular: once the queue
// of its engine takes longer than a load, a second engine loads it.
func TestHotAdapterGetsASecondEngine(t *testing.T) {
	p := engines(2)
	setLoaded(p, "e0", a1)
	sent := 0
	for ; sent < 20; sent++ {
		c := choose(t, p, request(a1))
		if c.ID != "e0" {
			break
		}
		p.Begin("e0", a1, pool.Usage{Running: 1, PrefillTokens: 2400, Tokens: 2424})
	}
	if sent < 2 || sent > 8 {
		t.Errorf("%d requests were queued on one engine before a second one was chosen", sent)
	}
}

// TestEngineThatCannotLoadGetsNoLoads replays an engine whose adapters are all in use: no
// load is requested from it, and it still serves the adapters that it has loaded.
func TestEngineThatCannotLoadGetsNoLoads(t *testing.T) {
	p := engines(1)
	setLoaded(p, "e0", a1)
	p.DeferLoads("e0", now+time.Second)
	if _, ok := p.Choose(request(a2), now); ok {
		t.Error("the engine was chosen for a load")
	}
	if c := choose(t, p, request(a1)); c.NeedsLoad {
		t.Error("the engine does not serve the adapter that it holds")
	}
	if _, ok := p.Choose(request(a2), now+time.Second); !ok {
		t.Error("the engine was not chosen after the deferral ended")
	}
}

// TestInstancesChooseTheSameEngineForANewAdapter has two instances with the same state
// choose an engine for the same new adapter.
func TestInstancesChooseTheSameEngineForANewAdapter(t *testing.T) {
	x, y := engines(12), engines(12)
	for i := range 50 {
		a := pool.Adapter{Model: "m", Name: route.AdapterName(fmt.Sprint(i))}
		if b, c := choose(t, x, request(a)), choose(t, y, request(a)); b.ID != c.ID || !b.NeedsLoad {
			t.Errorf("adapter %d: %s and %s, load %v", i, b.ID, c.ID, b.NeedsLoad)
		}
	}
}

func TestAdapterReturnsToTheEngineThatHeldIt(t *testing.T) {
	p := engines(12)
	p.SetLoadedAdapters("e7", map[pool.Tag]pool.LoadedAdapter{}, map[pool.Tag]bool{a2.Tag(): true})
	if c := choose(t, p, request(a2)); c.ID != "e7" {
		t.Errorf("chosen %s, want e7, which reloads it faster", c.ID)
	}
}

func TestOldVersionServesOnlyInItsGracePeriod(t *testing.T) {
	p := engines(1)
	setLoaded(p, "e0", a1)
	q := request(a1)
	q.Version, q.MinVersion, q.OldUntil = 2, 1, now+time.Second
	if c := choose(t, p, q); c.NeedsLoad || c.Version != 1 {
		t.Errorf("load %v version %d, want the old version in its grace period", c.NeedsLoad, c.Version)
	}
	q.MinVersion = 2
	if c := choose(t, p, q); !c.NeedsLoad || c.Version != 2 {
		t.Errorf("load %v version %d, want the new version loaded", c.NeedsLoad, c.Version)
	}
}

// The engine with the previous version has a long queue, so that a response there would begin only
// after that version has expired.
func TestOldVersionIsNotUsedBehindALongQueue(t *testing.T) {
	p := engines(2)
	setLoaded(p, "e0", a1)
	p.SetPeer("other", []pool.Work{
		{Upstream: pool.ID("e0").Tag(), Adapter: a1.Tag(), Usage: pool.Usage{Running: 20, PrefillTokens: 60_000, Tokens: 60_000}},
	})
	q := request(a1)
	q.Version, q.MinVersion, q.OldUntil = 2, 1, now+2*time.Second
	if c := choose(t, p, q); c.ID != "e1" || !c.NeedsLoad || c.Version != 2 {
		t.Errorf("%s is chosen with version %d, want the new version on e1", c.ID, c.Version)
	}
	p.SetLoadedAdapters("e1", map[pool.Tag]pool.LoadedAdapter{a1.Tag(): {Version: 1, ReadyAt: now + 3*time.Second}}, nil)
	if c := choose(t, p, q); c.Version != 2 {
		t.Errorf("%s is chosen with version %d, which is ready only after it has expired", c.ID, c.Version)
	}
}

func TestWorkOfPeersCounts(t *testing.T) {
	p := engines(2)
	setLoaded(p, "e0", a1)
	setLoaded(p, "e1", a1)
	p.SetPeer("other", []pool.Work{
		{Upstream: pool.ID("e0").Tag(), Adapter: a1.Tag(), Usage: pool.Usage{Running: 3, PrefillTokens: 7200, Tokens: 7300}},
	})
	if c := choose(t, p, request(a1)); c.ID != "e1" {
		t.Errorf("chosen %s, want e1", c.ID)
	}
	if n := p.RunningRequests("e0", a1); n != 3 {
		t.Errorf("%d in use, want 3", n)
	}
	p.SetPeer("other", nil)
	if n := p.RunningRequests("e0", a1); n != 0 {
		t.Errorf("%d in use after the peer was removed, want 0", n)
	}
}

// TestWorkReportedBeforeTheUpstreamIsKnownCounts replays a table of upstreams that is
// read after the first heartbeats arrive, and an upstream that is removed and returns.
func TestWorkReportedBeforeTheUpstreamIsKnownCounts(t *testing.T) {
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
		t.Errorf("%d in use after the peer was removed, want 0", n)
	}
}

// TestFailingEngineGetsFewRequests replays an engine that fails every second request
// while its row says that it is ready.
func TestFailingEngineGetsFewRequests(t *testing.T) {
	p := engines(3)
	for i := range 3 {
		setLoaded(p, pool.ID(fmt.Sprintf("e%d", i)), a1)
	}
	count := map[pool.ID]int{}
	for i := range 100 {
		c := choose(t, p, request(a1))
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

func TestUnreachableUpstreamBacksOff(t *testing.T) {
	p := engines(1)
	p.RecordOutcome("e0", pool.Unreachable, now)
	if _, ok := p.Choose(request(a1), now+100*time.Millisecond); ok {
		t.Error("an unreachable upstream was chosen during its backoff")
	}
	if _, ok := p.Choose(request(a1), now+300*time.Millisecond); !ok {
		t.Error("the upstream was not chosen after its backoff")
	}
}

func TestDrainingAndRemovedUpstreamsTakeNoRequests(t *testing.T) {
	p := engines(2)
	u := engine("e0")
	u.Draining = true
	p.Put(u)
	p.Remove("e1", now+time.Second)
	if c := choose(t, p, request(a1)); c.ID != "e1" {
		t.Errorf("chosen %s, want e1 until it is removed", c.ID)
	}
	if _, ok := p.Choose(request(a1), now+time.Second); ok {
		t.Error("a draining or removed upstream was chosen")
	}
}

func TestRestartedEngineHoldsNoAdapters(t *testing.T) {
	p := engines(1)
	setLoaded(p, "e0", a1)
	u := engine("e0")
	u.StartedAt = 2
	p.Put(u)
	if c := choose(t, p, request(a1)); !c.NeedsLoad {
		t.Error("an engine that has just restarted was expected to hold an adapter")
	}
}

func TestEngineWithoutTheModelIsNotChosen(t *testing.T) {
	p := pool.New()
	u := engine("e0")
	u.Models = nil
	p.Put(u)
	if _, ok := p.Choose(request(a1), now); ok {
		t.Error("an engine without the model was chosen")
	}
}

func BenchmarkChoose(b *testing.B) {
	p := engines(140)
	for i := range 140 {
		setLoaded(p, pool.ID(fmt.Sprintf("e%d", i)), pool.Adapter{Model: "m", Name: route.AdapterName(fmt.Sprint(i))})
	}
	q := request(a1)
	q.CanLoad = func(pool.ID) bool { return true }
	for b.Loop() {
		p.Choose(q, now)
	}
}

// TestNoticeOutlivesTheRow removes and restores the row of an upstream that has announced
// that it leaves.
func TestNoticeOutlivesTheRow(t *testing.T) {
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

func TestPauseIsNeverShortened(t *testing.T) {
	p, u := pool.New(), pool.Upstream{ID: "s0", Service: "orders", Slots: 6, StartedAt: 1}
	p.Put(u)
	p.ApplyNotice(u, pool.Notice{Pause: 5 * time.Second}, 0)
	p.ApplyNotice(u, pool.Notice{Pause: time.Second}, time.Second)
	u.StartedAt = 2
	p.Put(u)
	if v, d := p.Admits(u, 4*time.Second), p.ResumesIn("orders", "", 4*time.Second); v != pool.Paused || d != time.Second {
		t.Errorf("%v, resumes in %v", v, d)
	}
	if v, d := p.Admits(u, 5*time.Second), p.ResumesIn("orders", "", 5*time.Second); v != pool.Admitted || d != 0 {
		t.Errorf("%v, resumes in %v", v, d)
	}
}

// An instance has found an upstream's process to have ended. The others do not send to it, whatever
// they still hear of the process later, until it has started again.
func TestEndedProcessIsNotUsed(t *testing.T) {
	p := engines(2)
	setLoaded(p, "e0", a1)
	p.MarkEnded("e0", 7, now)
	if id := choose(t, p, request(a1)).ID; id != "e0" {
		t.Errorf("%s is chosen after the end of another process", id)
	}
	p.MarkEnded("e0", 1, now-time.Second)
	p.MarkEnded("e0", 1, now)
	if id := choose(t, p, request(a1)).ID; id != "e1" {
		t.Errorf("%s is chosen after its process has ended", id)
	}
	later := now + 1500*time.Millisecond
	if c, ok := p.Choose(request(a1), later); !ok || c.ID != "e0" {
		t.Errorf("%s is chosen 2.5 s after the end, %v", c.ID, ok)
	}
	p.MarkEnded("e1", 1, now)
	u := engine("e1")
	u.StartedAt = 2
	p.Put(u)
	setLoaded(p, "e1", a2)
	if id := choose(t, p, request(a2)).ID; id != "e1" {
		t.Errorf("%s is chosen, want the new process of e1", id)
	}
}

// An upstream had been removed as an old copy of the store lists it again. It is used only once its
// row has outlasted the rows of ended upstreams; one that was not removed is used at once.
func TestUnconfirmedUpstreamIsUsedLater(t *testing.T) {
	p := engines(1)
	p.PutUnconfirmed(engine("e0"), now, now+time.Second)
	choose(t, p, request(a1))
	p.Remove("e0", now-time.Second)
	p.PutUnconfirmed(engine("e0"), now, now+time.Second)
	p.PutUnconfirmed(engine("e0"), now, now+time.Second)
	p.Put(engine("e0"))
	if c, ok := p.Choose(request(a1), now); ok {
		t.Errorf("%s is chosen before its row is confirmed", c.ID)
	}
	if _, ok := p.Choose(request(a1), now+time.Second); !ok {
		t.Error("no upstream is chosen after its row was confirmed")
	}
}

// A whole fleet has just started and knows of no requests. Its first requests must spread over the
// upstreams of a service, which reject what is beyond their queues.
func TestFirstRequestsOfAFleetSpreadOverAService(t *testing.T) {
	p := pool.New()
	for i := range 10 {
		p.Put(pool.Upstream{ID: pool.ID(fmt.Sprint("s", i)), Service: "orders", Slots: 6, Zone: "z"})
	}
	chosen := map[pool.ID]int{}
	for i := range 200 {
		c, ok := p.Choose(pool.Request{Service: "orders", Zone: "z", Spread: pool.NewTag(fmt.Sprint(i))}, now)
		if !ok {
			t.Fatal("no upstream was chosen")
		}
		chosen[c.ID]++
	}
	for id, n := range chosen {
		if n > 40 {
			t.Errorf("%d of 200 requests go to %s", n, id)
		}
	}
	if len(chosen) != 10 {
		t.Errorf("%d of 10 upstreams are chosen", len(chosen))
	}
}
