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

// TestMain fixes the seed, so that every run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func noneWanted(lists.Adapter) bool { return false }

func name(i int) lists.Adapter {
	return lists.Adapter(fmt.Sprintf("a%d@1", i))
}

// engine simulates an engine that fails the test if an adapter in use is evicted or more adapters
// than slots are loaded.
type engine struct {
	t       *rapid.T
	slots   int
	loaded  map[lists.Adapter]bool
	running map[adapter.UseID]lists.Adapter
}

func (e *engine) evict(a lists.Adapter) {
	for id, x := range e.running {
		if x == a {
			e.t.Fatalf("%s was evicted while in use by %s", a, id)
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
		e.t.Fatalf("%s started on %s, which is not loaded", u.ID, u.Adapter)
	}
	e.running[u.ID] = u.Adapter
}

func TestAdapterInUseIsNeverEvicted(t *testing.T) {
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

// loadStep loads an adapter. Each order may fail, whether it took effect or not.
func loadStep(t *rapid.T, s *adapter.Slots, e *engine, a lists.Adapter, now time.Time) {
	evict, ok := s.StartLoad(a, noneWanted, now)
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
			reconcile(s, e)
			return
		}
	}
	done := rapid.IntRange(0, 5).Draw(t, "loaded") > 0
	if done || rapid.Bool().Draw(t, "took effect") {
		e.load(a)
	}
	s.FinishLoad(a, done)
	if !done {
		reconcile(s, e)
	}
}

func reconcile(s *adapter.Slots, e *engine) {
	var loaded []lists.Adapter
	for a := range e.loaded {
		loaded = append(loaded, a)
	}
	s.Reconcile(loaded)
}

func TestNewOwnerDefersEvictionsForUnknownUses(t *testing.T) {
	s := adapter.NewSlots(1, 4, 1)
	s.Restore([]lists.Adapter{name(1)}, nil)
	s.ForbidEvictions(start.Add(time.Minute))
	if _, ok := s.StartLoad(name(2), noneWanted, start.Add(59*time.Second)); ok {
		t.Error("an adapter was evicted although unknown uses may exist")
	}
	if evict, ok := s.StartLoad(name(2), noneWanted, start.Add(time.Minute)); !ok || evict != name(1) {
		t.Errorf("StartLoad after the wait: %q %t, want an eviction", evict, ok)
	}
}

func TestFairQueueServesASmallWorkspaceBeforeTheBacklogOfAnother(t *testing.T) {
	q := adapter.NewQueue()
	for i := range 50 {
		q.Push(&adapter.Waiter{Use: adapter.Use{ID: adapter.UseID(fmt.Sprint("large-", i)), Workspace: "large"}, Tokens: 100})
	}
	q.Push(&adapter.Waiter{Use: adapter.Use{ID: "small", Workspace: "small"}, Tokens: 100})
	for i := range 3 {
		if w := q.Pop(func(*adapter.Waiter) bool { return true }); w.Use.ID == "small" {
			return
		} else if i == 2 {
			t.Errorf("the request of the small workspace is behind %s", w.Use.ID)
		}
	}
}

// TestPermitsKeepLimitsAcrossChangesOfOwner moves the ownership of the permits between instances at
// random. A new owner does not know all grants of the previous one and might exceed the rate or
// the number of loads in flight.
func TestPermitsKeepLimitsAcrossChangesOfOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, limit = 3, 8
		maxLoadTime := 5 * time.Second
		now := start
		p := adapter.NewPermits(rate, limit, maxLoadTime)
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
				p = adapter.NewPermits(rate, limit, maxLoadTime)
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

// TestReturningOwnerGrantsWithoutDelay covers an instance that freezes, is replaced as the owner of
// the permits, and later becomes their owner again. It knows the last grant from the other owner and
// must not wait for another second.
func TestReturningOwnerGrantsWithoutDelay(t *testing.T) {
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
		t.Fatalf("last grant known: %v, term ended %v ago, want 1s", ok, ended)
	}
	first := adapter.NewPermits(3, 8, time.Second)
	first.StartTerm(2, nil, 0, last, now)
	first.Request("b", "w", answer, now)
	<-answer
	first.Grant(now)
	select {
	case <-answer:
	default:
		t.Error("no permit one second after the last grant")
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
