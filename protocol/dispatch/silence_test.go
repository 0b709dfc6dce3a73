package dispatch_test

import (
	"net/http"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// silence is how long a sound upstream may say nothing.
const silence = 1200 * time.Millisecond

// respondAfter has all upstreams be silent until an instant, and respond then.
func (b *harness) respondAfter(until time.Time, respond func() *dispatch.Response) {
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
		c := b.context
		n, stop := b.timer.Notify(time.Until(until))
		defer stop()
		select {
		case <-n:
			return respond(), nil
		case <-c.Done():
			return nil, relay.ErrConnectionBroken
		}
	}
}

// An engine is silent for a second and goes on. Its stream is neither cancelled nor begun elsewhere, and the
// engine stays in use.
func TestStreamOutlastsASecondOfSilence(t *testing.T) {
	b := newHarness(2)
	b.respondAfter(time.Now().Add(silence), func() *dispatch.Response { return stream("id: 1\ndata: a\n\n", false) })
	w, err := b.serve("/chat/x")
	if err != nil || w.Code != http.StatusOK || len(b.sends) != 1 {
		t.Errorf("status %d, %v after %d sends", w.Code, err, len(b.sends))
	}
}

// A plain upstream is silent for a second and goes on. Requests may be sent to another one meanwhile, but the
// upstream is not taken to have failed.
func TestSecondOfSilenceIsNoFailure(t *testing.T) {
	b := newHarness(2)
	var silent pool.ID
	b.respond = func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			silent = s.Upstream.ID
			<-b.context.Done()
			return nil, relay.ErrConnectionBroken
		}
		return response(http.StatusOK, "ok"), nil
	}
	if w, err := b.serve("/look/x"); err != nil || w.Code != http.StatusOK || len(b.sends) != 2 {
		t.Fatalf("status %d, %v after %d sends", w.Code, err, len(b.sends))
	}
	q := pool.Request{Service: "orders", Exclude: map[pool.ID]bool{b.sends[1].Upstream.ID: true}}
	if h, ok := b.pool.Choose(q, b.timer.Boot()); !ok || h.ID != silent {
		t.Errorf("%s is out of use", silent)
	}
	if h, _ := b.pool.Choose(pool.Request{Service: "orders"}, b.timer.Boot()+silence); h.ID == silent {
		t.Errorf("%s is preferred though it is silent", silent)
	}
}

// An upstream stays silent. It is not used any more, and the request is served by the other one.
func TestLongSilenceIsAFailure(t *testing.T) {
	b := newHarness(2)
	var silent pool.ID
	b.respond = func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			silent = s.Upstream.ID
		}
		if s.Upstream.ID != silent {
			return response(http.StatusOK, "ok"), nil
		}
		<-b.context.Done()
		return nil, relay.ErrConnectionBroken
	}
	for range 20 {
		if w, err := b.serve("/look/x"); err != nil || w.Code != http.StatusOK {
			t.Fatalf("status %d, %v", w.Code, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	before := len(b.sends)
	for range 5 {
		if _, err := b.serve("/look/x"); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(b.sends) - before; n != 5 {
		t.Errorf("5 requests took %d sends", n)
	}
}
