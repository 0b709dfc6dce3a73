package dispatch_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/software"
)

// setSoftware has the engines e0, e1 and so on run software of the versions.
func (b *harness) setSoftware(versions ...software.Version) {
	for i, v := range versions {
		u, _ := b.pool.Get(pool.ID("e"+string(rune('0'+i))), b.timer.Boot())
		u.Software = v
		b.pool.Put(u)
	}
}

// breakFirst has the first send break off, after which the engines that run the same software are
// busy, and the engine itself has left if gone is set. It returns the upstreams of both sends.
func (b *harness) breakFirst(t *testing.T, gone bool) (first, second pool.Upstream) {
	b.respond = func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n > 1 {
			second = s.Upstream
			return stream(secondHalf, false), nil
		}
		first = s.Upstream
		for _, u := range b.pool.Upstreams(b.timer.Boot()) {
			if u.Software == first.Software {
				b.pool.Begin(u.ID, adapter, pool.Usage{Running: 40, PrefillTokens: 10_000})
			}
		}
		if gone {
			b.pool.Remove(first.ID, b.timer.Boot())
		}
		return stream(firstHalf, true), nil
	}
	if w, err := b.serve("/chat/x"); err != nil && !errors.Is(err, dispatch.ErrTruncated) || w.Code != http.StatusOK {
		t.Fatalf("status %d, %v", w.Code, err)
	}
	return first, second
}

// A stream breaks off, and the engines with the least load run other software than the one that
// began it.
func TestStreamIsResumedAtItsSoftwareVersion(t *testing.T) {
	b := newHarness(4)
	b.setSoftware("v1", "v2", "v1", "v2")
	if first, second := b.breakFirst(t, false); first.Software != second.Software || first.ID == second.ID {
		t.Errorf("begun at %s with software %q, resumed at %s with %q", first.ID, first.Software, second.ID, second.Software)
	}
}

// A stream breaks off, and no other engine runs the software that began it.
func TestStreamIsCutWithoutUpstreamsOfItsSoftwareVersion(t *testing.T) {
	b := newHarness(3)
	b.setSoftware("v1", "v2", "v3")
	if first, second := b.breakFirst(t, true); second.ID != "" {
		t.Errorf("begun with software %q, resumed with %q", first.Software, second.Software)
	}
}

// A stream breaks off while the other engine of its software version is full and one of another version has room. It
// is not sent to the full engine, which would reject it, before new streams have left it a slot.
func TestResumedStreamWaitsForASlotOfItsSoftwareVersion(t *testing.T) {
	b := newHarness(3)
	b.setSoftware("v1", "v1", "v2")
	const slots = 64
	var running int
	b.respond = func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n > 1 {
			running = b.pool.LocalUsage(s.Upstream.ID).Running
			return stream(secondHalf, false), nil
		}
		other := map[pool.ID]pool.ID{"e0": "e1", "e1": "e0"}[s.Upstream.ID]
		b.pool.Begin(other, adapter, pool.Usage{Running: slots})
		go func() {
			_ = b.timer.Wait(t.Context(), 100*time.Millisecond)
			b.pool.End(other, adapter, pool.Usage{Running: 1})
		}()
		return stream(firstHalf, true), nil
	}
	b.pool.Begin("e2", adapter, pool.Usage{Running: slots / 2, PrefillTokens: 10_000})
	w, err := b.serve("/chat/x")
	if err != nil || w.Code != http.StatusOK {
		t.Fatalf("status %d, %v", w.Code, err)
	}
	if running > slots {
		t.Errorf("sent as the %dth request to an engine with %d slots", running, slots)
	}
	if b.pool.HasWaits("models", "v1") {
		t.Error("the wait has not ended")
	}
}

// A stream breaks off, and the other engine of its software version has no slot for its adapter, while one of another
// version has room. New streams leave the version as long as it waits for that slot.
func TestResumedStreamWaitsForAnAdapterSlotOfItsSoftwareVersion(t *testing.T) {
	b := newHarness(3)
	b.setSoftware("v1", "v1", "v2")
	waits := 0
	b.respond = func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n > 1 {
			return stream(secondHalf, false), nil
		}
		b.pool.Remove(s.Upstream.ID, b.timer.Boot())
		loads := 0
		b.load = func() (time.Duration, error) {
			if b.pool.HasWaits("models", "v1") {
				waits++
			}
			if loads++; loads < 3 {
				return 0, orders.ErrFull
			}
			return 0, nil
		}
		return stream(firstHalf, true), nil
	}
	b.pool.Begin("e2", adapter, pool.Usage{Running: 32, PrefillTokens: 10_000})
	w, err := b.serve("/chat/x")
	if err != nil || w.Code != http.StatusOK {
		t.Fatalf("status %d, %v", w.Code, err)
	}
	if waits == 0 {
		t.Error("new streams did not leave the version")
	}
	if b.pool.HasWaits("models", "v1") {
		t.Error("the wait has not ended")
	}
}
