package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gentiangauge.example/gentiangauge/coordination/placement"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/bucket"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// generation is the state of one request for a model.
type generation struct {
	*call
	model   *modelRequest
	adapter lists.Adapter
	body    []byte
	// part identifies the whole request.
	part suspicion.Part
	// exclusive requests an engine on which no other request runs, because the request is
	// suspected of crashing engines.
	exclusive bool
	// reservation is the id of the current quota reservation, made at reservedAt.
	reservation      bucket.RequestID
	reservedAt       time.Time
	reservationCount int
	attemptCount     int
	// avoid is the upstream of the last failed attempt, which placement tries last.
	avoid adapter.UpstreamID
	// mayHaveRun is set when an attempt failed after an engine may have run the request.
	mayHaveRun bool
	// forwardedEvents is the number of events of a streamed response that were forwarded.
	forwardedEvents int64
	usedTokens      lists.Tokens
	// responseStarted is set when a part of the response has been forwarded. The request
	// cannot be retried after that.
	responseStarted bool
}

const (
	maxAttempts = 3
	// maxReservationAge is the age above which a reservation is renewed before the request
	// is sent.
	maxReservationAge = 500 * time.Millisecond
	// modelCopies is the number of copies of a body that are made at a time while it is checked and encoded anew.
	modelCopies       = 3
	crashCheckTimeout = 300 * time.Millisecond
	defaultRetryAfter = time.Second
)

// generate handles a request for a model.
func (s *Server) generate(w http.ResponseWriter, k *call) error {
	g, err := s.admit(w, k)
	if err != nil {
		return err
	}
	c, end := s.inFlight.register(k.request.Context(), k.identity.key)
	defer end()
	c, cancel := context.WithTimeout(c, s.config.Caller.CallTimeout.Duration())
	defer cancel()
	if err := s.reserve(c, g, ""); err != nil {
		return err
	}
	defer func() { s.Quota.Settle(g.identity.workspace, g.reservation, g.usedTokens) }()
	s.budget.deposit(g.identity.workspace)
	return g.adjustRunState(s.runWithRetries(c, w, g))
}

// adjustRunState changes the run state of a refusal from not run to unknown if an earlier
// attempt may have run the request.
func (g *generation) adjustRunState(err error) error {
	var r *refusal.Refusal
	if g.mayHaveRun && errors.As(err, &r) && r.Run == refusal.NotRun {
		return r.WithRun(refusal.Unknown)
	}
	return err
}

// admit authenticates the request, reads its body and checks it against the plan and the
// list of requests that crash engines.
func (s *Server) admit(w http.ResponseWriter, k *call) (*generation, error) {
	i, err := s.identify(k.request)
	if err != nil {
		return nil, err
	}
	k.identity = i
	body, err := s.readBody(w, k)
	if err != nil {
		return nil, err
	}
	if err := k.holdCopies(body, modelCopies); err != nil {
		return nil, err
	}
	if err := checkKeyPlacement(k.request, body); err != nil {
		return nil, err
	}
	q, err := parseModelRequest(body, s.config.Caller)
	if err != nil {
		return nil, err
	}
	g := &generation{call: k, model: q}
	if g.adapter, err = s.resolveAdapter(i.plan, q.model); err != nil {
		return nil, err
	}
	if q.maxTokens() > i.plan.Burst {
		return nil, refusal.New(refusal.OverBurst, http.StatusBadRequest,
			"the request may use %d tokens, the burst of the plan is %d", q.maxTokens(), i.plan.Burst)
	}
	if g.body, err = q.encode(g.adapter); err != nil {
		return nil, invalidBody("the body cannot be encoded")
	}
	q.fields = nil
	k.body.ShrinkTo(int64(len(g.body)))
	g.part = requestPart(i.workspace, g.adapter, g.body)
	return g, s.checkSuspect(g)
}

// resolveAdapter returns the version of the requested adapter that the plan selects.
func (s *Server) resolveAdapter(p lists.Plan, requested lists.Adapter) (lists.Adapter, error) {
	a, ok := p.Resolve(requested)
	_, named := p.Adapters[requested.Name()]
	switch {
	case ok:
		return a, nil
	case named:
		return "", refusal.New(refusal.VersionUnknown, http.StatusNotFound, "the plan does not allow version %q of adapter %q", requested.Version(), requested.Name())
	case s.Catalog.State().HasAdapterName(requested.Name()):
		return "", refusal.New(refusal.AdapterNotAllowed, http.StatusForbidden, "the plan does not allow adapter %q", requested.Name())
	default:
		return "", refusal.New(refusal.AdapterUnknown, http.StatusNotFound, "adapter %q is not known", requested.Name())
	}
}

// checkSuspect refuses a request that is blocked for crashing engines. One that is only
// suspected runs on an engine of its own.
func (s *Server) checkSuspect(g *generation) error {
	switch status, _ := s.Suspects.Status([]suspicion.Part{g.part}); status {
	case suspicion.Blocked:
		return refusal.New(refusal.RequestBlocked, http.StatusUnprocessableEntity, "this request crashed the engines that ran it")
	case suspicion.Suspected:
		g.exclusive = true
	case suspicion.Clean:
	}
	return nil
}

// reserve reserves the maximum number of tokens that the request can use, replacing the
// given earlier reservation of the request, if any.
func (s *Server) reserve(c context.Context, g *generation, replaces bucket.RequestID) error {
	x, cancel := context.WithTimeout(c, s.config.Caller.QueueTimeout.Duration())
	defer cancel()
	g.reservationCount++
	id := bucket.RequestID(fmt.Sprintf("%s/%d", g.id, g.reservationCount))
	began := s.Timer.Now()
	o, err := s.Quota.Reserve(x, g.identity.workspace, id, g.model.maxTokens(), replaces)
	observe(s.Metrics.quotaWait, s.Timer.Now().Sub(began))
	if err != nil {
		return s.causeOr(c, refusal.Later(refusal.OwnerUnavailable, defaultRetryAfter, "the owner of the workspace's quota does not answer"))
	}
	if !o.Granted {
		return refusal.Limited(o.Wait, "the workspace is over its rate")
	}
	g.reservation, g.reservedAt = id, o.At
	s.recordEvent(timeline.Admitted, g.call, fmt.Sprintf("%d tokens", g.model.maxTokens()))
	return nil
}

// causeOr returns the refusal with which the server cancelled the request, with the run
// state of r, or r itself if the server did not cancel it.
func (s *Server) causeOr(c context.Context, r *refusal.Refusal) error {
	if reason := cancelCause(c); reason != nil {
		return reason.WithRun(r.Run)
	}
	return r
}

// runWithRetries runs the request on an upstream and retries failed attempts while that
// is safe and within the retry budget.
func (s *Server) runWithRetries(c context.Context, w http.ResponseWriter, g *generation) error {
	for {
		use, err := s.acquireUse(c, g)
		if err != nil {
			return err
		}
		w.Header().Set(loadWaitHeader, strconv.FormatInt(use.LoadWait.Milliseconds(), 10))
		err = s.attempt(c, w, g, use)
		if err == nil {
			return nil
		}
		g.recordFailure(err, use)
		if !s.mayRetry(c, g, err) {
			return s.finalError(c, err)
		}
	}
}

// acquireUse acquires a use of the adapter on an upstream and then rechecks, immediately
// before the request is sent, that the request may still run.
func (s *Server) acquireUse(c context.Context, g *generation) (adapter.Use, error) {
	x, cancel := context.WithTimeout(c, s.config.Caller.QueueTimeout.Duration())
	defer cancel()
	u, err := s.Placement.Acquire(x, placement.Request{
		RequestID: g.id, Workspace: g.identity.workspace, Adapter: g.adapter, Tokens: g.model.maxTokens(), Exclusive: g.exclusive, Avoid: g.avoid,
	})
	if err != nil {
		return u, s.causeOr(c, placementRefusal(err))
	}
	observe(s.Metrics.loadWait, u.LoadWait)
	if err := s.recheckBeforeSend(c, g); err != nil {
		s.Placement.Release(u, false)
		return u, err
	}
	return u, nil
}

func placementRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, placement.ErrNoUpstream):
		return refusal.Later(refusal.NoUpstream, defaultRetryAfter, "no upstream can run the request")
	case errors.Is(err, placement.ErrLoadFailed):
		return refusal.Later(refusal.AdapterLoadFailed, defaultRetryAfter, "the adapter could not be loaded")
	default:
		return refusal.Later(refusal.Overloaded, defaultRetryAfter, "no upstream had room in time")
	}
}

// recheckBeforeSend renews a reservation older than maxReservationAge and rechecks the
// lease and the key.
func (s *Server) recheckBeforeSend(c context.Context, g *generation) error {
	if s.Timer.Now().Sub(g.reservedAt) > maxReservationAge {
		if err := s.reserve(c, g, g.reservation); err != nil {
			return err
		}
	}
	return s.recheckIdentity(g.identity)
}

// attempt sends the request to one upstream and forwards the response to the caller.
func (s *Server) attempt(c context.Context, w http.ResponseWriter, g *generation, u adapter.Use) error {
	s.Recorder.Record(timeline.Event{
		Part: timeline.Caller, Kind: timeline.Dispatched, Request: g.id, Workspace: string(g.identity.workspace),
		Adapter: string(g.adapter), Upstream: string(u.Upstream),
	})
	a, err := s.Relay.Send(c, relay.Request{
		Method: http.MethodPost, Address: u.Address, RequestURI: g.request.URL.Path, Header: engineHeader(g), Body: g.body,
	})
	if err != nil {
		return s.handleBrokenConnection(c, g, u, err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		s.Placement.Release(u, a.StatusCode != http.StatusBadRequest)
		return s.handleErrorStatus(w, a)
	}
	err = s.forward(w, g, a)
	var f *failure
	if errors.As(err, &f) && f.refusal.Code == refusal.UpstreamFailed {
		return s.handleBrokenConnection(c, g, u, f)
	}
	s.Placement.Release(u, false)
	if err != nil {
		return err
	}
	if g.exclusive {
		s.Suspects.RecordSound(c, []suspicion.Part{g.part})
	}
	s.Metrics.countAnswer("model")
	s.recordEvent(timeline.Answered, g.call, fmt.Sprintf("%d tokens", g.usedTokens))
	return nil
}

func engineHeader(g *generation) http.Header {
	h := http.Header{}
	h.Set(contentType, jsonContentType)
	h.Set(requestIDHeader, g.id)
	return h
}

// handleErrorStatus converts an engine's error status to a failure, or to a refusal if
// the engine rejected the request itself.
func (s *Server) handleErrorStatus(w http.ResponseWriter, a *http.Response) error {
	switch a.StatusCode {
	case http.StatusNotFound:
		return &failure{refusal: refusal.Later(refusal.Overloaded, defaultRetryAfter, "the engine lost the adapter"), sent: true, retryable: true}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &failure{refusal: refusal.Later(refusal.Overloaded, defaultRetryAfter, "the engine is overloaded"), sent: true, retryable: true}
	case http.StatusBadRequest:
		return refusal.New(refusal.BodyInvalid, http.StatusBadRequest, "the engine refused the request")
	default:
		r := refusal.Later(refusal.UpstreamFailed, defaultRetryAfter, "the engine answered with status %d", a.StatusCode).WithRun(refusal.Ran)
		r.Status = http.StatusBadGateway
		return &failure{refusal: r, sent: true, retryable: true}
	}
}

// handleBrokenConnection handles a request that was not sent or whose response was
// truncated. If the engine has crashed, it records the crash for the request, so that a
// request that crashes engines is first isolated and then blocked.
func (s *Server) handleBrokenConnection(c context.Context, g *generation, u adapter.Use, err error) error {
	if c.Err() != nil {
		s.Placement.Release(u, false)
		g.chargeEstimate()
		return s.finishCancelled(c, g)
	}
	s.Placement.Release(u, true)
	if errors.Is(err, relay.ErrNotSent) {
		return &failure{refusal: refusal.Later(refusal.NoUpstream, defaultRetryAfter, "the engine could not be reached"), retryable: true}
	}
	r := refusal.Later(refusal.UpstreamFailed, defaultRetryAfter, "the engine broke off the answer").WithRun(refusal.Unknown)
	r.Status = http.StatusBadGateway
	f := &failure{refusal: r, sent: true, retryable: true}
	if s.engineCrashed(c, u) {
		x := suspicion.Crash{Upstream: string(u.Upstream), StartedAt: int64(u.Incarnation)}
		status := s.Suspects.RecordCrash(c, x, []suspicion.Part{g.part}, g.exclusive)
		if status == suspicion.Blocked {
			f.refusal = refusal.New(refusal.RequestBlocked, http.StatusUnprocessableEntity, "this request crashed the engines that ran it").WithRun(refusal.Ran)
			f.retryable = false
		}
		g.exclusive = true
	}
	return s.finishFailed(g, f)
}

// finishFailed sets the charge of a failed attempt and records a truncated response if
// the caller has received a part of it.
func (s *Server) finishFailed(g *generation, f *failure) error {
	g.chargeEstimate()
	if g.responseStarted {
		s.recordEvent(timeline.Truncated, g.call, string(f.refusal.Code))
	}
	return f
}

// chargeEstimate charges a request for which the engine did not report usage: the prompt
// and the forwarded events of a stream, otherwise the whole reservation.
func (g *generation) chargeEstimate() {
	switch {
	case g.usedTokens > 0:
	case g.model.stream && g.responseStarted:
		g.usedTokens = min(g.model.maxTokens(), lists.Tokens(g.model.promptTokens+g.forwardedEvents))
	default:
		g.usedTokens = g.model.maxTokens()
	}
}

// finishCancelled ends a request that the server cancelled, whose caller disconnected or
// that exceeded the call timeout.
func (s *Server) finishCancelled(c context.Context, g *generation) error {
	reason := cancelCause(c)
	if reason == nil {
		reason = refusal.New(refusal.UpstreamFailed, http.StatusGatewayTimeout, "the request took too long").WithRun(refusal.Ran)
	}
	s.recordEvent(timeline.Truncated, g.call, string(reason.Code))
	return &failure{refusal: reason, sent: true}
}

// engineCrashed reports whether the engine does not answer or is another incarnation than
// the one that received the request.
func (s *Server) engineCrashed(c context.Context, u adapter.Use) bool {
	x, cancel := context.WithTimeout(c, crashCheckTimeout)
	defer cancel()
	r, err := s.Engines.Report(x, u.Address)
	return err != nil || r.Incarnation != u.Incarnation
}
