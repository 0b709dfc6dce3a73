package pool_test

import (
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/pool"
)

// TestWorkThatTheOwnerTellsCounts lets the owner of an engine tell of all work
// there, with this instance's own: that counts once.
func TestWorkThatTheOwnerTellsCounts(t *testing.T) {
	p := engines(2)
	hold(p, "e0", a1)
	hold(p, "e1", a1)
	own := pool.Usage{Running: 1, PrefillTokens: 2400, Tokens: 2424}
	p.Begin("e0", a1, own)
	all := pool.Usage{Running: 4, PrefillTokens: 9600, Tokens: 9696}
	p.SetRemoteUsage("e0", all, own, map[pool.Tag]int{a1.Tag(): 3}, now)
	if got, _ := p.TotalUsage("e0", now); got != all {
		t.Errorf("total %+v, want %+v", got, all)
	}
	if c := choose(t, p, ask(a1)); c.ID != "e1" {
		t.Errorf("chosen %s, want e1", c.ID)
	}
	p.End("e0", a1, own)
	if got, _ := p.TotalUsage("e0", now); got.Running != 3 {
		t.Errorf("%d running after the own one ended, want 3", got.Running)
	}
	if got, _ := p.TotalUsage("e0", now+time.Minute); got.Running != 0 {
		t.Errorf("%d running by news of a minute ago, want 0", got.Running)
	}
}

// TestOwnerCountsWhatItGranted adds a request that was asked for until its
// instance reports.
func TestOwnerCountsWhatItGranted(t *testing.T) {
	p := engines(1)
	w := pool.Work{Upstream: pool.ID("e0").Tag(), Adapter: a1.Tag(), Usage: pool.Usage{Running: 1, PrefillTokens: 2400, Tokens: 2424}}
	p.SetPeer("other", []pool.Work{w})
	p.AddPeer("other", w)
	if n := p.RunningRequests("e0", a1); n != 2 {
		t.Errorf("%d in use, want 2", n)
	}
	p.SetPeer("other", []pool.Work{w})
	if n := p.RunningRequests("e0", a1); n != 1 {
		t.Errorf("%d in use after the report, want 1", n)
	}
}

// TestCrowdedEngineIsFoundOut has the owner of the chosen engine tell of work
// that this instance did not know of.
func TestCrowdedEngineIsFoundOut(t *testing.T) {
	p := engines(1)
	before := p.Predict("e0", ask(a1), now)
	p.SetRemoteUsage("e0", pool.Usage{Running: 8, PrefillTokens: 20_000, Tokens: 20_000}, pool.Usage{}, nil, now)
	if after := p.Predict("e0", ask(a1), now); after < before+500*time.Millisecond {
		t.Errorf("first event predicted after %v, before %v", after, before)
	}
}
