package pool_test

import (
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/pool"
)

// TestOwnerReportCountsLocalWorkOnce has an engine's owner report all work there,
// including that of this instance, which must not be counted twice.
func TestOwnerReportCountsLocalWorkOnce(t *testing.T) {
	p := engines(2)
	setLoaded(p, "e0", a1)
	setLoaded(p, "e1", a1)
	own := pool.Usage{Running: 1, PrefillTokens: 2400, Tokens: 2424}
	p.Begin("e0", a1, own)
	all := pool.Usage{Running: 4, PrefillTokens: 9600, Tokens: 9696}
	p.SetRemoteUsage("e0", all, own, map[pool.Tag]int{a1.Tag(): 3}, now)
	if got, _ := p.TotalUsage("e0", now); got != all {
		t.Errorf("total %+v, want %+v", got, all)
	}
	if c := choose(t, p, request(a1)); c.ID != "e1" {
		t.Errorf("chosen %s, want e1", c.ID)
	}
	p.End("e0", a1, own)
	if got, _ := p.TotalUsage("e0", now); got.Running != 3 {
		t.Errorf("%d running after the local request ended, want 3", got.Running)
	}
	if got, _ := p.TotalUsage("e0", now+time.Minute); got.Running != 0 {
		t.Errorf("%d running by a report that is a minute old, want 0", got.Running)
	}
}

// TestGrantedRequestCountsUntilTheReport counts a request granted to a peer until the
// next report of that peer, which includes it.
func TestGrantedRequestCountsUntilTheReport(t *testing.T) {
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

// TestOwnerReportRaisesThePrediction has the owner of the chosen engine report work that
// this instance did not know of.
func TestOwnerReportRaisesThePrediction(t *testing.T) {
	p := engines(1)
	before := p.Predict("e0", request(a1), now)
	p.SetRemoteUsage("e0", pool.Usage{Running: 8, PrefillTokens: 20_000, Tokens: 20_000}, pool.Usage{}, nil, now)
	if after := p.Predict("e0", request(a1), now); after < before+500*time.Millisecond {
		t.Errorf("first event predicted after %v, before %v", after, before)
	}
}
