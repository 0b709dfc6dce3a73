package pool_test

import (
	"math"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/pool"
)

func newLimitedPool(t *testing.T, rate pool.RequestsPerSecond) (*pool.Pool, pool.Upstream) {
	t.Helper()
	p, u := pool.New(), pool.Upstream{ID: "s0", Service: "orders", Slots: 6, StartedAt: 1}
	p.Put(u)
	if !p.ApplyNotice(u, pool.Notice{StatesLimit: true, Limit: rate}, 0) {
		t.Fatal("the first limit changed nothing")
	}
	u, _ = p.Get(u.ID, 0)
	return p, u
}

// A response to a request that was placed before the present limit was known may be older
// than that limit. It must neither end nor revive it.
func TestOldResponseDoesNotChangeALimit(t *testing.T) {
	p, limited := newLimitedPool(t, 2)
	old := limited
	old.LimitRevision = 0
	if p.ApplyNotice(old, pool.Notice{StatesLimit: true}, 1) || p.ApplyNotice(old, pool.Notice{StatesLimit: true, Limit: 1}, 1) {
		t.Errorf("an old response changed the limit to %v", p.Limit("s0"))
	}
	if !p.ApplyNotice(limited, pool.Notice{StatesLimit: true}, 2) {
		t.Error("the limit has not ended")
	}
	if p.ApplyNotice(limited, pool.Notice{StatesLimit: true, Limit: 2}, 3) || p.Limit("s0").Rate != 0 {
		t.Error("an old response revived the limit")
	}
}

// The end of a limit reaches an instance before older news of the limit do.
func TestOlderNewsOfALimitAreIgnored(t *testing.T) {
	p, u := newLimitedPool(t, 2)
	l := pool.UpstreamLimit{Upstream: u.ID.Tag(), StartedAt: 1}
	l.Limit = pool.Limit{Revision: 2}
	if !p.MergeLimit(l, 1) || p.Admits(u, 1) != pool.Admitted {
		t.Error("the limit has not ended")
	}
	for _, x := range []pool.Limit{{Rate: 2, Revision: 1}, {Rate: 0, Revision: 2}} {
		l.Limit = x
		if p.MergeLimit(l, 2) {
			t.Errorf("%v replaced the end of the limit", x)
		}
	}
	// Two instances were told different limits at the same time.
	l.Limit = pool.Limit{Rate: 3, Revision: 3}
	p.MergeLimit(l, 3)
	l.Rate = 1
	if p.MergeLimit(l, 4); p.Limit("s0").Rate != 1 {
		t.Errorf("limit %v, want the stricter one", p.Limit("s0").Rate)
	}
	l.Limit = pool.Limit{Rate: pool.RequestsPerSecond(math.NaN()), Revision: 8}
	if p.MergeLimit(l, 5) {
		t.Error("a limit that is no number was applied")
	}
	l.Limit = pool.Limit{Rate: 1, Revision: 9}
	l.StartedAt = 2
	if p.MergeLimit(l, 5) {
		t.Error("the limit of another process was applied")
	}
}

// A new process of an upstream has set no limit.
func TestLimitEndsWithTheProcess(t *testing.T) {
	p, u := newLimitedPool(t, 2)
	p.Remove(u.ID, 1)
	p.Put(u)
	if v := p.Admits(u, 2); v != pool.NeedsPermit {
		t.Errorf("%v after the row came back, want needs a permit", v)
	}
	u.StartedAt = 2
	p.Put(u)
	if v := p.Admits(u, 3); v != pool.Admitted {
		t.Errorf("%v for a new process, want admitted", v)
	}
}

// Ten instances ask for permits at the same time, the first of them as soon as there is an
// owner. They are told different times, so that they do not all ask again at once, and none
// waits for longer than callers do.
func TestInstancesWithoutPermitAreToldDifferentTimes(t *testing.T) {
	p, u := newLimitedPool(t, 2)
	for i := range 10 {
		a := p.TakePermit(u.ID, pool.Need{}, time.Second)
		if want := min(4*time.Second, time.Duration(i+1)*500*time.Millisecond); a.Granted || a.Wait != want {
			t.Errorf("instance %d: granted %v, wait %v; want none and %v", i, a.Granted, a.Wait, want)
		}
	}
	if a := p.TakePermit(u.ID, pool.Need{}, 1500*time.Millisecond); !a.Granted {
		t.Error("no permit at the first time that was told")
	}
	if a := p.TakePermit(u.ID, pool.Need{}, 1500*time.Millisecond); a.Granted {
		t.Error("a second permit at that time")
	}
	p.ReturnPermit(u.ID)
	if a := p.TakePermit(u.ID, pool.Need{}, 1500*time.Millisecond); !a.Granted {
		t.Error("the permit that was given back is not granted again")
	}
}

// After a pause without requests, an upstream gets a short burst only.
func TestUnusedPermitsAreNotKept(t *testing.T) {
	p, u := newLimitedPool(t, 2)
	p.TakePermit(u.ID, pool.Need{}, time.Second)
	granted := 0
	for range 10 {
		if p.TakePermit(u.ID, pool.Need{}, time.Minute).Granted {
			granted++
		}
	}
	if granted != 2 {
		t.Errorf("%d permits at once after a minute, want 2", granted)
	}
}

// While an instance waits for a permit, the upstream is not chosen, and callers are told
// when it takes requests again.
func TestUpstreamWithoutPermitIsNotChosen(t *testing.T) {
	p, u := newLimitedPool(t, 2)
	q := pool.Request{Service: "orders", Zone: "z"}
	p.DeferPermit(u.ID, 2*time.Second)
	if _, ok := p.Choose(q, time.Second); ok || p.Serves("orders", "", time.Second) {
		t.Error("the upstream was chosen")
	}
	if v, d := p.Admits(u, time.Second), p.ResumesIn("orders", "", time.Second); v != pool.Limited || d != time.Second {
		t.Errorf("%v, resumes in %v", v, d)
	}
	if _, ok := p.Choose(q, 2*time.Second); !ok {
		t.Error("the upstream was not chosen after the wait")
	}
}

// A limited engine loads new adapters only if the others are busy. It must not be left out
// for good, as only its responses can end the limit.
func TestLimitedEngineLoadsWhenOthersAreBusy(t *testing.T) {
	p := engines(2)
	u, _ := p.Get("e0", now)
	p.ApplyNotice(u, pool.Notice{StatesLimit: true, Limit: 2}, now)
	if c := choose(t, p, request(a1)); c.ID != "e1" || !c.NeedsLoad {
		t.Errorf("chosen %s, want e1 while it is idle", c.ID)
	}
	for range 8 {
		p.Begin("e1", a2, pool.Usage{Running: 1, PrefillTokens: 2400, Tokens: 2424})
	}
	if c := choose(t, p, request(a1)); c.ID != "e0" || !c.NeedsLoad {
		t.Errorf("chosen %s, want the limited e0 while e1 is busy", c.ID)
	}
}
