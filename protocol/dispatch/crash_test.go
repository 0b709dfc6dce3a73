package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/transport/relay"
)

var crashingParts = []suspicion.Part{1, 2}

// newCrashHarness returns a harness in which two upstreams have crashed with crashingParts, so that
// requests with them are suspected.
func newCrashHarness(upstreams int) *harness {
	b := newHarness(upstreams)
	b.parts, b.ended, b.trial = crashingParts, true, true
	for i := range 2 {
		b.suspects.RecordCrash(context.Background(), suspicion.Crash{Upstream: string(rune('x' + i)), StartedAt: 1}, crashingParts, false)
	}
	return b
}

func crashes(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
	return nil, relay.ErrConnectionBroken
}

// A suspected request is not sent while another one is tried. It is told when to come back.
func TestSuspectedRequestWaitsForTheTrial(t *testing.T) {
	b := newCrashHarness(2)
	b.trial = false
	_, err := b.serve("/chat/x")
	if r := refusal.As(err); err == nil || r.Run != refusal.NotRun || r.RetryAfter == 0 || len(b.sends) > 0 {
		t.Errorf("error %v after %d sends, want a refusal with a time to come back and no send", err, len(b.sends))
	}
}

// A suspected request crashes its upstream. It must not be sent again, and its caller gets a final
// answer; so does the next caller, before anything is sent.
func TestRequestThatCrashesOnTrialIsNotRetried(t *testing.T) {
	b := newCrashHarness(3)
	b.respond = crashes
	for i := range 2 {
		_, err := b.serve("/chat/x")
		r := refusal.As(err)
		if err == nil || r.Code != refusal.RequestBlocked || r.RetryAfter != 0 || len(b.sends) != 1 {
			t.Fatalf("request %d: error %v after %d sends, want request-blocked after one", i, err, len(b.sends))
		}
		if want := []refusal.Run{refusal.Ran, refusal.NotRun}[i]; r.Run != want {
			t.Errorf("request %d: %v, want %v", i, r.Run, want)
		}
	}
}

// A suspected request breaks off on trial, and nobody sees that its upstream has ended: it has fallen silent, or
// is back. It is tried once more, and not again then.
func TestTrialsThatBreakOffAreBounded(t *testing.T) {
	b := newCrashHarness(12)
	b.ended, b.respond = false, crashes
	for range 5 {
		_, _ = b.serve("/chat/x")
	}
	if s, _ := b.suspects.Status(crashingParts); s != suspicion.Blocked || len(b.sends) != 2 {
		t.Errorf("the request is %v after %d sends, want blocked after 2", s, len(b.sends))
	}
}

// The fleet reaches a verdict while a request with these parts runs. Neither its retry nor its
// resumption is sent.
func TestRetriesAndResumedStreamsAreChecked(t *testing.T) {
	for text, want := range map[string]error{"id: 1\nda": nil, "id: 1\ndata: a\n\nid: 2\nda": dispatch.ErrTruncated} {
		b := newHarness(3)
		b.parts = append([]suspicion.Part{3}, crashingParts...)
		b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
			x := suspicion.VerdictID{Crash: suspicion.Crash{Upstream: "x"}, Lead: 1}
			b.suspects.Merge(suspicion.Verdict{VerdictID: x, Parts: crashingParts}, "test")
			return stream(text, true), nil
		}
		_, err := b.serve("/chat/x")
		if len(b.sends) != 1 || want != nil && !errors.Is(err, want) || want == nil && refusal.As(err).Code != refusal.RequestBlocked {
			t.Errorf("a stream that breaks after %q: error %v after %d sends", text, err, len(b.sends))
		}
	}
}

// Connections break for other reasons than crashes: they are cut, or an upstream stops as
// planned. That blames no part.
func TestBrokenConnectionsAloneBlameNothing(t *testing.T) {
	for name, prepare := range map[string]func(b *harness){
		"the process lives": func(b *harness) { b.ended = false },
		"the upstream leaves": func(b *harness) {
			for _, u := range b.pool.Upstreams(b.timer.Boot()) {
				u.Draining = true
				b.pool.Put(u)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.parts = crashingParts
			b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
				prepare(b)
				return nil, relay.ErrConnectionBroken
			}
			b.ended = true
			for range 3 {
				for _, u := range b.pool.Upstreams(b.timer.Boot()) {
					u.Draining = false
					u.StartedAt++
					b.pool.Put(u)
				}
				_, _ = b.serve("/chat/x")
			}
			if s, _ := b.suspects.Status(crashingParts); s != suspicion.Clean || len(b.sends) < 3 {
				t.Errorf("the request is %v after %d sends", s, len(b.sends))
			}
		})
	}
}

// The first event may be the last that an upstream sends. Only a second one, or the end of the
// response, shows that it has survived the request.
func TestUpstreamHasSurvivedAfterTheSecondEvent(t *testing.T) {
	for text, want := range map[string]suspicion.Status{
		"id: 1\ndata: a\n\nid: 2\nda":                        suspicion.Suspected,
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c": suspicion.Clean,
	} {
		b := newCrashHarness(1)
		b.ended = false
		b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) { return stream(text, true), nil }
		_, _ = b.serve("/once/x")
		if s, _ := b.suspects.Status(crashingParts); s != want {
			t.Errorf("after %q the request is %v, want %v", text, s, want)
		}
	}
	b := newCrashHarness(1)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
		return response(http.StatusOK, "done"), nil
	}
	if _, err := b.serve("/look/x"); err != nil {
		t.Fatal(err)
	}
	if s, _ := b.suspects.Status(crashingParts); s != suspicion.Clean {
		t.Errorf("after a complete response the request is %v", s)
	}
	if u, ok := b.pool.Get(pool.ID("s0"), b.timer.Boot()); !ok || u.ID != "s0" {
		t.Error("the upstream is gone")
	}
}

// The fleet reaches a verdict while a request waits for its adapter, or for an engine that can load
// it. The request is refused then, not as its wait ends.
func TestWaitingRequestIsRefusedAtTheVerdict(t *testing.T) {
	for name, load := range map[string]func() (time.Duration, error){
		"for its adapter": func() (time.Duration, error) { return time.Hour, nil },
		"for an engine":   func() (time.Duration, error) { return 0, orders.ErrFull },
	} {
		b := newCrashHarness(2)
		b.load = func() (time.Duration, error) {
			time.AfterFunc(20*time.Millisecond, func() {
				x := suspicion.VerdictID{Crash: suspicion.Crash{Upstream: "x", StartedAt: 1}, Lead: 1}
				b.suspects.Merge(suspicion.Verdict{VerdictID: x, Parts: crashingParts}, "test")
			})
			return load()
		}
		_, err := b.serve("/chat/x")
		if err == nil || refusal.As(err).Code != refusal.RequestBlocked || len(b.sends) > 0 {
			t.Errorf("a request that waits %s: error %v after %d sends, want request-blocked and no send", name, err, len(b.sends))
		}
	}
}

// endsLater has a request break off at an upstream, and returns the status of the request once the rows of two
// upstreams have shown that they ended. Between is called after each break.
func endsLater(b *harness, breakOff, between func()) suspicion.Status {
	b.parts = crashingParts
	for range 2 {
		breakOff()
		between()
		for _, u := range b.pool.Upstreams(b.timer.Boot()) {
			if u.Service == "orders" {
				b.d.RecordEnded(context.Background(), u)
				u.StartedAt++
				b.pool.Put(u)
			}
		}
	}
	s, _ := b.suspects.Status(crashingParts)
	return s
}

// An upstream crashes under a request, and nobody can tell at first: connections to other instances are silent. Its
// row shows the end later.
func TestEndThatShowsLaterIsEvidence(t *testing.T) {
	b := newHarness(1)
	b.respond = crashes
	if s := endsLater(b, func() { _, _ = b.serve("/look/x") }, func() {}); s != suspicion.Suspected {
		t.Errorf("the request is %v", s)
	}
}

// A connection breaks, the same process answers another request, and ends later for another reason.
func TestEndAfterAResponseIsNoEvidence(t *testing.T) {
	b := newHarness(1)
	b.respond = crashes
	s := endsLater(b, func() { _, _ = b.serve("/look/x") }, func() {
		b.respond, b.parts = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
			return response(http.StatusOK, "done"), nil
		}, nil
		if _, err := b.serve("/pay/x"); err != nil {
			t.Fatal(err)
		}
		b.respond, b.parts = crashes, crashingParts
	})
	if s != suspicion.Clean {
		t.Errorf("the request is %v", s)
	}
}

// A caller leaves before an upstream has answered, and the upstream turns out to have ended.
func TestEndAfterTheCallerHasLeftIsEvidence(t *testing.T) {
	b := newHarness(1)
	s := endsLater(b, func() {
		c, leave := context.WithCancel(context.Background())
		b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
			leave()
			return nil, relay.ErrConnectionBroken
		}
		q := &dispatch.Request{ID: "r1", Method: http.MethodGet, Host: "h", Path: "/look/x", Target: "/look/x", Header: http.Header{}, Key: "key", Arrived: b.timer.Boot(), Timeout: callerTimeout, Parts: crashingParts}
		_ = b.d.Serve(c, httptest.NewRecorder(), q)
	}, func() {})
	if s != suspicion.Suspected {
		t.Errorf("the request is %v", s)
	}
}
