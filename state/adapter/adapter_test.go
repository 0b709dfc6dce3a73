package adapter_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
)

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func none(lists.Adapter) bool { return false }

func name(i int) lists.Adapter {
	return lists.Adapter(fmt.Sprintf("a%d@1", i))
}

// engine is a strict engine: it fails the test when an adapter that runs a
// request is evicted, or when it is given more adapters than fit.
type engine struct {
	t       *rapid.T
	slots   int
	loaded  map[lists.Adapter]bool
	running map[adapter.UseID]lists.Adapter
}

func (e *engine) evict(a lists.Adapter) {
	for id, x := range e.running {
		if x == a {
			e.t.Fatalf("%s was evicted while %s ran on it", a, id)
		}
	}
	delete(e.loaded, a)
}

func (e *engine) load(a lists.Adapter) {
	e.loaded[a] = true
	if len(e.loaded) > e.slots {
		e.t.Fatalf("%d adapters on %d slots", len(e.loaded), e.slots)
	}
}

func (e *engine) begin(u adapter.Use) {
	if !e.loaded[u.Adapter] {
		e.t.Fatalf("%s began on %s, which is not loaded", u.ID, u.Adapter)
	}
	e.running[u.ID] = u.Adapter
}

func TestNothingInUseIsEverEvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 4).Draw(t, "slots")
		s := adapter.NewSlots(capacity, rapid.IntRange(1, 6).Draw(t, "concurrency"), 1)
		e := &engine{t: t, slots: capacity, loaded: map[lists.Adapter]bool{}, running: map[adapter.UseID]lists.Adapter{}}
		now := start
		for i := range 120 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			a := name(rapid.IntRange(0, 7).Draw(t, "adapter"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				u := adapter.Use{ID: adapter.UseID(fmt.Sprint(i)), Adapter: a, Exclusive: rapid.IntRange(0, 9).Draw(t, "alone") == 0}
				if s.Begin(u, now) {
					e.begin(u)
				}
			case 2:
				if ids := slices.Sorted(maps.Keys(e.running)); len(ids) > 0 {
					delete(e.running, ids[0])
					s.End(ids[0])
				}
			case 3:
				if s.State(a) == adapter.Absent {
					loadStep(t, s, e, a, now)
				}
			case 4:
				s.End(adapter.UseID(fmt.Sprint("never-", i)))
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
					s.Reset(s.Incarnation() + 1)
					e.loaded, e.running = map[lists.Adapter]bool{}, map[adapter.UseID]lists.Adapter{}
				}
			}
		}
	})
}

// loadStep loads an adapter; each order may fail with or without effect.
func loadStep(t *rapid.T, s *adapter.Slots, e *engine, a lists.Adapter, now time.Time) {
	evict, ok := s.StartLoad(a, none, now)
	if !ok {
		return
	}
	if evict != "" {
		done := rapid.IntRange(0, 5).Draw(t, "evicted") > 0
		if done || rapid.Bool().Draw(t, "took effect") {
			e.evict(evict)
		}
		s.FinishEviction(evict, done)
		if !done {
			s.FinishLoad(a, false)
			match(s, e)
			return
		}
	}
	done := rapid.IntRange(0, 5).Draw(t, "loaded") > 0
	if done || rapid.Bool().Draw(t, "took effect") {
		e.load(a)
	}
	s.FinishLoad(a, done)
	if !done {
		match(s, e)
	}
}

func match(s *adapter.Slots, e *engine) {
	var loaded []lists.Adapter
	for a := range e.loaded {
		loaded = append(loaded, a)
	}
	s.Reconcile(loaded)
}

func TestNewOwnerHoldsEvictionsForUnknownUses(t *testing.T) {
	s := adapter.NewSlots(1, 4, 1)
	s.Restore([]lists.Adapter{name(1)}, nil)
	s.ForbidEvictions(start.Add(time.Minute))
	if _, ok := s.StartLoad(name(2), none, start.Add(59*time.Second)); ok {
		t.Error("an adapter was evicted while unknown uses may exist")
	}
	if evict, ok := s.StartLoad(name(2), none, start.Add(time.Minute)); !ok || evict != name(1) {
		t.Errorf("got %q %t after the wait", evict, ok)
	}
}

func TestFairQueueServesAQuietWorkspaceBeforeALoudOnesBacklog(t *testing.T) {
	q := adapter.NewQueue()
	for i := range 50 {
		q.Push(&adapter.Waiter{Use: adapter.Use{ID: adapter.UseID(fmt.Sprint("loud-", i)), Workspace: "loud"}, Tokens: 100})
	}
	q.Push(&adapter.Waiter{Use: adapter.Use{ID: "quiet", Workspace: "quiet"}, Tokens: 100})
	for i := range 3 {
		if w := q.Pop(func(*adapter.Waiter) bool { return true }); w.Use.ID == "quiet" {
			return
		} else if i == 2 {
			t.Errorf("the quiet workspace is behind %s", w.Use.ID)
		}
	}
}

// TestPermitsKeepRateAndFlightThroughChangesOfOwner lets the duty move
// between owners at random and counts every grant.
func TestPermitsKeepRateAndFlightThroughChangesOfOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, limit = 3, 8
		longest := 5 * time.Second
		now := start
		p := adapter.NewPermits(rate, limit, longest)
		p.StartTerm(1, nil, 0, time.Time{}, now)
		var grants []time.Time
		held := map[string]time.Time{}
		answers := map[string]chan bool{}
		for i := range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(i)
			answers[id] = make(chan bool, 1)
			p.Request(id, "w", answers[id], now)
			if rapid.IntRange(0, 40).Draw(t, "move") == 0 {
				outstanding := slices.Sorted(maps.Keys(held))
				p.EndTerm(now)
				last := time.Time{}
				if rapid.Bool().Draw(t, "the earlier owner answers") {
					last, _, _ = p.LastGrant(now)
				}
				p = adapter.NewPermits(rate, limit, longest)
				p.StartTerm(int64(i+2), outstanding, 0, last, now)
			}
			p.Grant(now)
			for _, id := range slices.Sorted(maps.Keys(answers)) {
				select {
				case ok := <-answers[id]:
					delete(answers, id)
					if ok {
						grants = append(grants, now)
						held[id] = now
					}
				default:
				}
			}
			for _, id := range slices.Sorted(maps.Keys(held)) {
				if now.Sub(held[id]) > time.Duration(rapid.IntRange(200, 4000).Draw(t, "load ms"))*time.Millisecond {
					delete(held, id)
					p.Release(id)
				}
			}
			if len(held) > limit {
				t.Fatalf("%d loads in flight", len(held))
			}
		}
		for i := rate; i < len(grants); i++ {
			if d := grants[i].Sub(grants[i-rate]); d < time.Second {
				t.Fatalf("%d grants within %s", rate+1, d)
			}
		}
	})
}

// TestOwnerThatReturnsGrantsAtOnce replays an instance that freezes, is
// followed by another one, and takes the duty back from that one.
func TestOwnerThatReturnsGrantsAtOnce(t *testing.T) {
	second := adapter.NewPermits(3, 8, time.Second)
	second.StartTerm(1, nil, 1, time.Time{}, start)
	now := start.Add(2 * time.Second)
	answer := make(chan bool, 1)
	second.Request("a", "w", answer, now)
	second.Grant(now)
	second.EndTerm(now)
	now = now.Add(time.Second)
	last, ended, ok := second.LastGrant(now)
	if !ok || ended != time.Second {
		t.Fatalf("former owner %v, ended %v ago, want a second", ok, ended)
	}
	first := adapter.NewPermits(3, 8, time.Second)
	first.StartTerm(2, nil, 0, last, now)
	first.Request("b", "w", answer, now)
	<-answer
	first.Grant(now)
	select {
	case <-answer:
	default:
		t.Error("no permit, though the last one was granted a second ago")
	}
}

func ExampleChooseAffinity() {
	views := func() []adapter.View {
		return []adapter.View{
			{ID: "e1", FreeSlots: 2, Running: 9, Adapters: map[lists.Adapter]int{"raven@1": 9}},
			{ID: "e2", FreeSlots: 2, Running: 3},
			{ID: "e3", FreeSlots: 2, Running: 4, Adapters: map[lists.Adapter]int{"duck@1": 4}},
		}
	}
	choose := adapter.ChooseAffinity(8)
	fmt.Println(choose("duck@1", views())[0])
	fmt.Println(choose("raven@1", views())[0])
	// Output:
	// e3
	// e2
}
