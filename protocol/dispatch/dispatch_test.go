package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/admission"
	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/coordination/suspect"
	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/relay"
)

const callerTimeout = 2 * time.Second

var adapter = pool.Adapter{Model: "m", Name: "a1"}

// harness is a dispatcher with a pool of upstreams whose behaviour each test sets.
type harness struct {
	pool *pool.Pool
	// respond answers the n-th send, counted from 1.
	respond func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error)
	load    func() (time.Duration, error)
	reserve func(id pool.ID) (time.Duration, error)
	sends   []dispatch.UpstreamRequest
	charged float64
	stopsAt time.Duration
	d       *dispatch.Dispatcher
	timer   *timer.Service
	// context is the context of the last send.
	context       context.Context
	admission     *admission.Admission
	configuration route.Config
	// table is the configuration in force.
	table *route.Table
	// trial is whether trials are granted, ended whether upstreams refuse connections.
	trial, ended bool
	suspects     *suspect.Registry
	// parts are the parts of the prompts that serve sends.
	parts []suspicion.Part
	// newest, oldest and oldUntil are the versions of the adapter.
	newest, oldest route.Version
	oldUntil       time.Duration
}

func newHarness(upstreams int) *harness {
	b := &harness{pool: pool.New(), timer: timer.New()}
	for i := range upstreams {
		b.pool.Put(pool.Upstream{
			ID: pool.ID(fmt.Sprintf("e%d", i)), Service: "models", Slots: 64, Address: "127.0.0.1:1", Models: map[route.ModelName]route.Version{"m": 1},
		})
		b.pool.Put(pool.Upstream{ID: pool.ID(fmt.Sprintf("s%d", i)), Service: "orders", Slots: 6, Address: "127.0.0.1:1"})
	}
	b.load = func() (time.Duration, error) { return 0, nil }
	b.reserve = func(pool.ID) (time.Duration, error) { return 0, nil }
	b.configuration = route.Config{
		Version: 1,
		Routes: []route.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Objective: 100 * time.Millisecond, Targets: []route.Target{{Service: "models", Weight: 1}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Stream, MaxAttempts: 2, Objective: 100 * time.Millisecond, Targets: []route.Target{{Service: "models", Weight: 1}}},
			{Name: "pay", Host: "h", Prefix: "/pay/", Kind: route.Unsafe, MaxAttempts: 1, Objective: 100 * time.Millisecond, Targets: []route.Target{{Service: "orders", Weight: 1}}},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: route.Safe, MaxAttempts: 2, Objective: 100 * time.Millisecond, Targets: []route.Target{{Service: "orders", Weight: 1}}},
		},
		Services:   []route.Service{{Name: "models", Engine: &route.Engine{CacheTokens: 150_000, AdapterSlots: 6}}, {Name: "orders"}},
		Workspaces: []route.Workspace{{Name: "guild", Keys: []string{"key"}, ByTokens: true, Rate: 1000, Burst: 1000}},
	}
	b.table = route.New(b.configuration)
	b.admission = admission.New(b.pool, b.timer, zap.NewNop())
	b.suspects = suspect.New(2, suspect.Services{Timer: b.timer, Log: zap.NewNop(), Announce: func(context.Context, []byte) {}})
	b.d = dispatch.New(dispatch.Settings{
		Capacity:   pool.Capacity{TokensPerSecond: 25_800, StepTime: 8 * time.Millisecond, LoadTime: 255 * time.Millisecond, ReloadTime: 30 * time.Millisecond},
		RetryRatio: 0.2, RetryBurst: 100,
	}, dispatch.Services{
		Timer: b.timer, Pool: b.pool, Log: zap.NewNop(), Table: func() *route.Table { return b.table },
		Versions: func(pool.Adapter, time.Duration) (newest, oldest route.Version, oldUntil time.Duration) {
			return b.newest, b.oldest, b.oldUntil
		},
		Charge: func(_ *route.Workspace, n float64) error { b.charged += n; return nil },
		Refund: func(_ *route.Workspace, n float64) { b.charged -= n },
		Load: func(context.Context, pool.ID, pool.Adapter, route.Version, pool.Usage) (time.Duration, error) {
			return b.load()
		},
		Reserve: func(_ context.Context, id pool.ID, _ pool.Adapter, _ route.Version, _ pool.Usage) (time.Duration, error) {
			return b.reserve(id)
		},
		ReportMissing: func(pool.ID, pool.Adapter) {}, Send: b.send, PeerCount: func() int { return 0 }, DataAges: func() (time.Duration, time.Duration) { return 0, 0 }, StopsAt: func() time.Duration { return b.stopsAt }, Rand: func() float64 { return 0.5 },
		Budget: retry.New(), Admission: b.admission,
		Suspects: b.suspects,
		Streams: streams.New("n", streams.Services{
			Timer: b.timer, Log: zap.NewNop(), StoreReachable: func() bool { return true }, SplitAge: func() time.Duration { return 0 },
		}),
		TakeTrial: func(context.Context, suspicion.Part) bool { return b.trial }, EndTrial: func(suspicion.Part) {},
		IsReplaced: func(context.Context, pool.Upstream) bool { return false },
		HasEnded:   func(context.Context, string) bool { return b.ended },
		Metrics:    dispatch.NewMetrics(prometheus.NewRegistry()),
		Account:    shedding.New(shedding.NewLimits(206<<20, 2870), b.timer.Boot),
	})
	return b
}

func (b *harness) send(c context.Context, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
	b.context = c
	b.sends = append(b.sends, s)
	return b.respond(len(b.sends), s)
}

func (b *harness) serve(path string) (*httptest.ResponseRecorder, error) {
	w := httptest.NewRecorder()
	q := &dispatch.Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Path: path, Target: path, Header: http.Header{}, Key: "key",
		Arrived: b.timer.Boot(), Timeout: callerTimeout, Parts: b.parts,
	}
	if strings.HasPrefix(path, "/chat/") || strings.HasPrefix(path, "/once/") {
		q.Adapter, q.PromptTokens, q.OutputTokens = adapter, 1000, 24
	}
	return w, b.d.Serve(context.Background(), w, q)
}

// truncatedBody is a response body that fails at its end.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// cancelledBody is a response body whose first event arrives only after the send was
// cancelled.
type cancelledBody struct {
	io.Reader
	c context.Context
}

func (l cancelledBody) Read(p []byte) (int, error) {
	<-l.c.Done()
	n, err := l.Reader.Read(p)
	if err == io.EOF {
		err = l.c.Err()
	}
	return n, err
}

func response(status int, text string) *dispatch.Response {
	return &dispatch.Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), Signed: true, Matches: true}
}

func stream(text string, truncated bool) *dispatch.Response {
	a := response(http.StatusOK, text)
	a.Header.Set("Content-Type", "text/event-stream")
	if truncated {
		a.Body = io.NopCloser(truncatedBody{strings.NewReader(text)})
	}
	return a
}

func notRun(status int) *dispatch.Response {
	a := response(status, "")
	a.Signed, a.NotRun, a.Misdirected = false, true, status == http.StatusMisdirectedRequest
	return a
}

const (
	firstHalf  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
	secondHalf = "id: 3\ndata: c\n\n"
)

// TestReloadChangesAssumedEngineSpeed checks that a reload changes the assumed speed of
// engines: with a slower one, the same stream no longer fits into the time before the
// instance stops.
func TestReloadChangesAssumedEngineSpeed(t *testing.T) {
	b := newHarness(1)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) { return stream(secondHalf, false), nil }
	b.stopsAt = b.timer.Boot() + time.Hour
	if _, err := b.serve("/chat/x"); err != nil {
		t.Fatalf("a stream that ends long before the stop: %v", err)
	}
	b.d.Reload(dispatch.Settings{Capacity: pool.Capacity{TokensPerSecond: 25_800, StepTime: time.Hour}})
	_, err := b.serve("/chat/x")
	if r := refusal.As(err); err == nil || r.Code != refusal.InstanceLeaving {
		t.Errorf("error %v, want instance-leaving for a stream that takes hours", err)
	}
}

// TestCancelledSendForwardsNoEvent has the first event of a slow upstream arrive just
// as the send is cancelled. The caller must get the stream of another upstream from the
// start. It once got that first event and then a closed connection (pdl-central mix
// --seed 918651205257).
func TestCancelledSendForwardsNoEvent(t *testing.T) {
	b := newHarness(2)
	b.respond = func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			a := stream("", false)
			a.Body = io.NopCloser(cancelledBody{strings.NewReader(firstHalf), b.context})
			return a, nil
		}
		if s.ResumeAfter != "" {
			t.Errorf("resumed after %q, want the whole stream from the other upstream", s.ResumeAfter)
		}
		return stream("id: 1\ndata: x\n\n"+secondHalf, false), nil
	}
	w, err := b.serve("/chat/x")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := w.Body.String(), "id: 1\ndata: x\n\n"+secondHalf; got != want {
		t.Errorf("the caller got %q, want %q", got, want)
	}
}

// TestSilentUpstreamIsNotCancelledWithoutRetryBudget has an upstream respond after the
// latency objective while no retry is left. Such sends were once cancelled, and callers
// got a failure instead of a late response (wtw-prod-large trouble-3).
func TestSilentUpstreamIsNotCancelledWithoutRetryBudget(t *testing.T) {
	b := newHarness(2)
	b.d.Reload(dispatch.Settings{Capacity: pool.Capacity{TokensPerSecond: 25_800, StepTime: 8 * time.Millisecond}})
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
		c := b.context
		n, stop := b.timer.Notify(600 * time.Millisecond)
		defer stop()
		select {
		case <-n:
			return stream(secondHalf, false), nil
		case <-c.Done():
			return nil, relay.ErrConnectionBroken
		}
	}
	w, err := b.serve("/chat/")
	if err != nil || w.Code != http.StatusOK || len(b.sends) != 1 {
		t.Errorf("status %d, %v after %d sends", w.Code, err, len(b.sends))
	}
}

func TestTruncatedStreamResumesAfterLastCompleteEvent(t *testing.T) {
	b := newHarness(2)
	b.respond = func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			return stream(firstHalf, true), nil
		}
		if s.ResumeAfter != "2" {
			t.Errorf("resumed after %q, want 2", s.ResumeAfter)
		}
		return stream(secondHalf, false), nil
	}
	w, err := b.serve("/chat/x")
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; err != nil || w.Body.String() != want {
		t.Errorf("error %v, body %q", err, w.Body)
	}
	if b.sends[0].Upstream.ID == b.sends[1].Upstream.ID {
		t.Error("resumed at the upstream that truncated the stream")
	}
}

// slowBody is a response body that fails at its end after a pause.
type slowBody struct {
	io.Reader
	pause time.Duration
}

func (s slowBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err == io.EOF {
		time.Sleep(s.pause)
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestLongStreamIsResumed has a stream break off after more time than a request has for
// finding its first upstream.
func TestLongStreamIsResumed(t *testing.T) {
	b := newHarness(2)
	b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			a := stream("", false)
			a.Body = io.NopCloser(slowBody{strings.NewReader(firstHalf), 1400 * time.Millisecond})
			return a, nil
		}
		return stream(secondHalf, false), nil
	}
	w, err := b.serve("/chat/x")
	if err != nil || !strings.HasSuffix(w.Body.String(), secondHalf) {
		t.Errorf("error %v, body %q", err, w.Body)
	}
}

// TestFailedResumeTruncatesStream has the second upstream fail instead of resuming a
// stream. Its error response was once forwarded as the end of the stream (pdl-central
// trouble-1).
func TestFailedResumeTruncatesStream(t *testing.T) {
	b := newHarness(2)
	b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			return stream(firstHalf, true), nil
		}
		return response(http.StatusInternalServerError, "failed"), nil
	}
	w, err := b.serve("/chat/x")
	if !errors.Is(err, dispatch.ErrTruncated) || strings.Contains(w.Body.String(), "failed") {
		t.Errorf("error %v, body %q", err, w.Body)
	}
}

func TestNonResumableStreamRunsOnce(t *testing.T) {
	b := newHarness(2)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) { return stream(firstHalf, true), nil }
	if _, err := b.serve("/once/x"); !errors.Is(err, dispatch.ErrTruncated) || len(b.sends) != 1 {
		t.Errorf("error %v after %d sends", err, len(b.sends))
	}
}

func TestUnsafeRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	for _, x := range []struct {
		name  string
		first func() (*dispatch.Response, error)
		sends int
		run   refusal.Run
	}{
		{"broken connection", func() (*dispatch.Response, error) { return nil, relay.ErrConnectionBroken }, 1, refusal.Unknown},
		{"answer of another", func() (*dispatch.Response, error) { a := response(200, "x"); a.Matches = false; return a, nil }, 1, refusal.Unknown},
		{"no signature", func() (*dispatch.Response, error) { a := response(200, "x"); a.Signed = false; return a, nil }, 1, refusal.Unknown},
		{"not sent", func() (*dispatch.Response, error) { return nil, relay.ErrNotSent }, 2, refusal.NotRun},
		{"rejected", func() (*dispatch.Response, error) { return notRun(503), nil }, 2, refusal.NotRun},
		{"moved", func() (*dispatch.Response, error) { return notRun(421), nil }, 2, refusal.NotRun},
	} {
		b := newHarness(2)
		b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
			if n == 1 {
				return x.first()
			}
			return response(200, "done"), nil
		}
		_, err := b.serve("/pay/x")
		if len(b.sends) != x.sends {
			t.Errorf("%s: %d sends, want %d", x.name, len(b.sends), x.sends)
		}
		if x.sends == 1 && refusal.As(err).Run != x.run {
			t.Errorf("%s: refused as %v, want %v", x.name, refusal.As(err).Run, x.run)
		}
		if !b.sends[0].AtMostOnce {
			t.Errorf("%s: sent on a connection that may repeat it", x.name)
		}
	}
}

func TestRefusalSetsRetryAfterAndRefundsUnits(t *testing.T) {
	b := newHarness(1)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) { return notRun(503), nil }
	_, err := b.serve("/pay/x")
	r := refusal.As(err)
	if r.Status != http.StatusServiceUnavailable || r.Run != refusal.NotRun || r.RetryAfter <= 0 {
		t.Errorf("refused with status %d, run %v, retry after %v", r.Status, r.Run, r.RetryAfter)
	}
	if b.charged != 0 {
		t.Errorf("%v units were not refunded for a request that did not run", b.charged)
	}
}

// TestMissingAdapterIsDetectedBeforeSending has an engine lose an adapter that the pool
// still lists. The pool is only as current as the last heartbeat, so the owner is asked
// before sending. Without that, 18 of 100 requests reached an engine without their
// adapter (wtw-prod-large trouble-3).
func TestMissingAdapterIsDetectedBeforeSending(t *testing.T) {
	b := newHarness(2)
	for _, id := range []pool.ID{"e0", "e1"} {
		b.pool.SetLoadedAdapters(id, map[pool.Tag]pool.LoadedAdapter{adapter.Tag(): {}}, nil)
	}
	missing := pool.ID("")
	b.reserve = func(id pool.ID) (time.Duration, error) {
		if missing == "" || id == missing {
			missing = id
			return 0, orders.ErrNotLoaded
		}
		return 0, nil
	}
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) { return stream(secondHalf, false), nil }
	if w, err := b.serve("/chat/"); err != nil || w.Code != http.StatusOK {
		t.Fatalf("status %d, %v", w.Code, err)
	}
	if len(b.sends) != 1 || b.sends[0].Upstream.ID == missing {
		t.Errorf("%d sends, the first to %s, which no longer holds the adapter", len(b.sends), b.sends[0].Upstream.ID)
	}
}

// TestUnreachableOwnerDoesNotBlockRequest makes the engine owner's state unavailable:
// the request uses the last known state.
func TestUnreachableOwnerDoesNotBlockRequest(t *testing.T) {
	b := newHarness(1)
	b.pool.SetLoadedAdapters("e0", map[pool.Tag]pool.LoadedAdapter{adapter.Tag(): {}}, nil)
	b.reserve = func(pool.ID) (time.Duration, error) { return 0, orders.ErrStateUnknown }
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) { return stream(secondHalf, false), nil }
	if w, err := b.serve("/chat/"); err != nil || w.Code != http.StatusOK {
		t.Fatalf("status %d, %v", w.Code, err)
	}
}

// TestRequestIsRefusedInTimeWhenEnginesAreFull keeps every engine full: the caller must
// be refused before its timeout.
func TestRequestIsRefusedInTimeWhenEnginesAreFull(t *testing.T) {
	b := newHarness(3)
	b.load = func() (time.Duration, error) { return 0, orders.ErrFull }
	_, err := b.serve("/chat/x")
	if r := refusal.As(err); r.Code != refusal.Overloaded || r.Run != refusal.NotRun || r.RetryAfter <= 0 {
		t.Errorf("refused with %v", err)
	}
	if len(b.sends) != 0 {
		t.Errorf("%d sends", len(b.sends))
	}
}

func TestFailedSafeRequestIsRetriedOnAnotherUpstream(t *testing.T) {
	b := newHarness(2)
	b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			return response(http.StatusInternalServerError, "failed"), nil
		}
		return response(http.StatusOK, "done"), nil
	}
	if w, err := b.serve("/look/x"); err != nil || w.Body.String() != "done" {
		t.Errorf("error %v, body %q", err, w.Body)
	}
}

func TestLastUpstreamFailureIsForwarded(t *testing.T) {
	b := newHarness(2)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
		return response(http.StatusInternalServerError, "failed"), nil
	}
	if w, err := b.serve("/look/x"); err != nil || w.Code != http.StatusInternalServerError || w.Body.String() != "failed" {
		t.Errorf("error %v, status %d, body %q", err, w.Code, w.Body)
	}
}

// TestRetriesStayWithinBudget fails every request: the retries must stay within a fifth
// of the requests plus the burst.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := newHarness(2)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
		return response(http.StatusInternalServerError, "failed"), nil
	}
	const requests = 1000
	for range requests {
		_, _ = b.serve("/look/x")
	}
	if beyond := float64(len(b.sends) - requests); beyond > 0.2*requests+100 {
		t.Errorf("%v sends beyond the first of %d requests", beyond, requests)
	}
}

func TestUnknownKeyAndRouteAreRefused(t *testing.T) {
	b := newHarness(1)
	if _, err := b.serve("/none/x"); refusal.As(err).Status != http.StatusNotFound {
		t.Errorf("refused with %v", err)
	}
	w := httptest.NewRecorder()
	err := b.d.Serve(context.Background(), w, &dispatch.Request{ID: "r", Host: "h", Path: "/pay/x", Header: http.Header{}, Key: "other", Arrived: b.timer.Boot()})
	if refusal.As(err).Status != http.StatusUnauthorized {
		t.Errorf("refused with %v", err)
	}
}

// TestStoppingInstanceRefusesStreamsItCannotFinish sends a stream to a stopping
// instance. A chat that arrived 3.7 s after the stop request was once truncated 3.7 s later
// by the end of the process (pdl-central hunt-d133-7).
func TestStoppingInstanceRefusesStreamsItCannotFinish(t *testing.T) {
	b := newHarness(1)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) { return stream(secondHalf, false), nil }
	b.stopsAt = b.timer.Boot() + time.Second
	_, err := b.serve("/chat/x")
	if r := refusal.As(err); r.Code != refusal.InstanceLeaving || r.Run != refusal.NotRun || r.RetryAfter <= 0 || len(b.sends) != 0 {
		t.Errorf("refused with %v after %d sends", err, len(b.sends))
	}
	b.stopsAt = b.timer.Boot() + time.Minute
	if _, err := b.serve("/chat/x"); err != nil {
		t.Errorf("a stream that can be finished is refused: %v", err)
	}
}

// TestWaitingRequestIsNotSentToLeavingUpstream has an engine drain, pause requests,
// stop or restart while a request waits there for its adapter: another engine must run
// the request.
func TestWaitingRequestIsNotSentToLeavingUpstream(t *testing.T) {
	for name, leave := range map[string]func(p *pool.Pool, u pool.Upstream, now time.Duration){
		"was drained": func(p *pool.Pool, u pool.Upstream, _ time.Duration) { u.Draining = true; p.Put(u) },
		"was removed": func(p *pool.Pool, u pool.Upstream, now time.Duration) { p.Remove(u.ID, now) },
		"announced that it leaves": func(p *pool.Pool, u pool.Upstream, now time.Duration) {
			p.ApplyNotice(u, pool.Notice{Leaving: true}, now)
		},
		"paused requests": func(p *pool.Pool, u pool.Upstream, now time.Duration) {
			p.ApplyNotice(u, pool.Notice{Pause: time.Minute}, now)
		},
		"restarted": func(p *pool.Pool, u pool.Upstream, _ time.Duration) { u.StartedAt++; p.Put(u) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			var left pool.ID
			b.load = func() (time.Duration, error) {
				if left != "" {
					return 0, nil
				}
				for _, u := range b.pool.Upstreams(b.timer.Boot()) {
					if n := b.pool.LocalUsage(u.ID); n.Running > 0 {
						left = u.ID
						leave(b.pool, u, b.timer.Boot())
					}
				}
				return 30 * time.Millisecond, nil
			}
			b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) { return stream(secondHalf, false), nil }
			if _, err := b.serve("/chat/x"); err != nil {
				t.Fatal(err)
			}
			if left == "" || len(b.sends) != 1 {
				t.Fatalf("%d sends, left %q", len(b.sends), left)
			}
			if u := b.sends[0].Upstream; u.ID == left && u.StartedAt == 0 {
				t.Errorf("sent to %s, which %s", left, name)
			}
		})
	}
}

// limitAll has all upstreams of the harness limit their rate. Permits are granted by grant
// and counted in taken and returned.
func (b *harness) limitAll(grant func(n int) pool.PermitAnswer) (taken, returned *int) {
	taken, returned = new(int), new(int)
	for _, u := range b.pool.Upstreams(b.timer.Boot()) {
		b.pool.ApplyNotice(u, pool.Notice{StatesLimit: true, Limit: 1}, b.timer.Boot())
	}
	b.admission.TakePermit = func(context.Context, pool.Upstream, pool.Need) (pool.PermitAnswer, error) {
		*taken++
		return grant(*taken), nil
	}
	b.admission.ReturnPermit = func(_ pool.Upstream, o admission.Outcome) {
		if o == admission.NotSent {
			*returned++
		}
	}
	return taken, returned
}

func grantAll(int) pool.PermitAnswer { return pool.PermitAnswer{Granted: true} }

// TestEachSendTakesAPermit has an upstream reject a request and break a stream. The retry
// and the resumed stream need a permit each, and are sent so that they arrive only once.
func TestEachSendTakesAPermit(t *testing.T) {
	b := newHarness(2)
	taken, returned := b.limitAll(grantAll)
	b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
		switch n {
		case 1:
			return notRun(http.StatusServiceUnavailable), nil
		case 2:
			return stream(firstHalf, true), nil
		default:
			return stream(secondHalf, false), nil
		}
	}
	if _, err := b.serve("/chat/x"); err != nil {
		t.Fatal(err)
	}
	if *taken != 3 || *returned != 0 {
		t.Errorf("%d permits taken and %d returned for 3 sends", *taken, *returned)
	}
	for _, s := range b.sends {
		if !s.AtMostOnce {
			t.Error("a request with a permit may arrive twice")
		}
	}
}

// TestPermitIsReturnedOnlyIfNothingWasSent fails the first send.
func TestPermitIsReturnedOnlyIfNothingWasSent(t *testing.T) {
	for err, want := range map[error]int{relay.ErrNotSent: 1, relay.ErrConnectionBroken: 0} {
		b := newHarness(2)
		_, returned := b.limitAll(grantAll)
		b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
			if n == 1 {
				return nil, err
			}
			return response(http.StatusOK, "done"), nil
		}
		if _, x := b.serve("/look/x"); x != nil {
			t.Fatal(x)
		}
		if *returned != want {
			t.Errorf("%v: %d permits returned, want %d", err, *returned, want)
		}
	}
}

// TestRequestWithoutPermitTakesNoRetry refuses every permit. The request is refused at once
// with the time at which the first upstream grants one, and no retry is used for it.
func TestRequestWithoutPermitTakesNoRetry(t *testing.T) {
	b := newHarness(2)
	taken, _ := b.limitAll(func(n int) pool.PermitAnswer { return pool.PermitAnswer{Wait: time.Duration(n) * time.Minute} })
	started := b.timer.Boot()
	_, err := b.serve("/look/x")
	r := refusal.As(err)
	if r.Status != http.StatusServiceUnavailable || r.Run != refusal.NotRun || r.RetryAfter < 50*time.Second {
		t.Errorf("refused with status %d, run %v, retry after %v", r.Status, r.Run, r.RetryAfter)
	}
	if waited := b.timer.Boot() - started; len(b.sends) != 0 || *taken != 2 || waited > callerTimeout/4 {
		t.Errorf("%d sends, %d permits asked for, refused after %v", len(b.sends), *taken, waited)
	}
	for _, n := range b.d.Budget.Counts() {
		if n.Retries != 0 {
			t.Errorf("%v retries used", n.Retries)
		}
	}
}

// TestRequestIsNotRetriedWithARevokedKey revokes the key of a request while it waits for an
// upstream that rejects it. The retry once ran seconds after the revocation (soak seed
// 2043).
func TestRequestIsNotRetriedWithARevokedKey(t *testing.T) {
	for name, x := range map[string]struct {
		keys  []string
		sends int
	}{"revoked": {nil, 1}, "another key added": {[]string{"key", "new"}, 2}} {
		b := newHarness(2)
		b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
			if n == 1 {
				k := b.configuration
				k.Version, k.Workspaces = 2, []route.Workspace{{Name: "guild", Keys: x.keys, ByTokens: true, Rate: 1000, Burst: 1000}}
				b.table = route.New(k)
				return notRun(http.StatusServiceUnavailable), nil
			}
			return response(http.StatusOK, "done"), nil
		}
		_, err := b.serve("/look/x")
		if len(b.sends) != x.sends {
			t.Errorf("%s: %d sends, want %d", name, len(b.sends), x.sends)
		}
		if r := refusal.As(err); x.sends == 1 && (r.Status != http.StatusUnauthorized || r.Run != refusal.NotRun) {
			t.Errorf("%s: refused with status %d, run %v", name, r.Status, r.Run)
		}
		if x.sends == 2 && err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
