package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gentiangauge.example/gentiangauge/coordination/placement"
	"gentiangauge.example/gentiangauge/coordination/suspect"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/bucket"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// generation is a request for a model on its way through the instance.
type generation struct {
	*call
	model       *modelRequest
	adapter     lists.Adapter
	body        []byte
	fingerprint suspect.Fingerprint
	// alone asks for an engine on which nothing else runs.
	alone bool
	// reserved names the reservation, made at the instant at.
	reserved     bucket.RequestID
	at           time.Time
	reservations int
	tries        int
	// avoid is the upstream of the last failed attempt.
	avoid adapter.UpstreamID
	// mayHaveRun is set when an attempt failed after an engine may have run it.
	mayHaveRun bool
	// events counts the passed events of a streamed answer.
	events int64
	used   lists.Tokens
	// passed is set when a part of an answer was passed on.
	passed bool
}

const (
	maxTries     = 3
	maxGrantAge  = 500 * time.Millisecond
	crashTimeout = 300 * time.Millisecond
	shortRetry   = time.Second
)

func (s *Server) generate(w http.ResponseWriter, k *call) error {
	g, err := s.admit(w, k)
	if err != nil {
		return err
	}
	c, end := s.running.begin(k.request.Context(), k.who.key)
	defer end()
	c, cancel := context.WithTimeout(c, s.config.Caller.CallTimeout.Duration())
	defer cancel()
	if err := s.reserve(c, g, ""); err != nil {
		return err
	}
	defer func() { s.Quota.Settle(g.who.workspace, g.reserved, g.used) }()
	s.budget.earn(g.who.workspace)
	return g.honest(s.attempts(c, w, g))
}

// honest takes "not run" out of a refusal when an earlier attempt of the
// request may have run.
func (g *generation) honest(err error) error {
	var r *refusal.Refusal
	if g.mayHaveRun && errors.As(err, &r) && r.Run == refusal.NotRun {
		return r.WithRun(refusal.Unknown)
	}
	return err
}

// admit reads and checks the request.
func (s *Server) admit(w http.ResponseWriter, k *call) (*generation, error) {
	who, err := s.identify(k.request)
	if err != nil {
		return nil, err
	}
	k.who = who
	body, err := s.readBody(w, k.request)
	if err != nil {
		return nil, err
	}
	if err := misplaced(k.request, body); err != nil {
		return nil, err
	}
	q, err := parseModelRequest(body, s.config.Caller)
	if err != nil {
		return nil, err
	}
	g := &generation{call: k, model: q}
	if g.adapter, err = s.resolve(who.plan, q.model); err != nil {
		return nil, err
	}
	if q.tokens() > who.plan.Burst {
		return nil, refusal.New(refusal.OverBurst, http.StatusBadRequest,
			"the request may use %d tokens, the burst of the plan is %d", q.tokens(), who.plan.Burst)
	}
	if g.body, err = q.encode(g.adapter); err != nil {
		return nil, invalid("the body cannot be encoded")
	}
	g.fingerprint = fingerprint(who.workspace, g.adapter, g.body)
	return g, s.checkStanding(g)
}

func (s *Server) resolve(p lists.Plan, requested lists.Adapter) (lists.Adapter, error) {
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

func (s *Server) checkStanding(g *generation) error {
	switch s.Suspects.Status(g.fingerprint) {
	case suspect.Blocked:
		return refusal.New(refusal.RequestBlocked, http.StatusUnprocessableEntity, "this request crashed the engines that ran it")
	case suspect.Suspected:
		g.alone = true
	case suspect.Clean:
	}
	return nil
}

// reserve reserves the most that the request can use. It replaces an earlier
// reservation of the request.
func (s *Server) reserve(c context.Context, g *generation, replaces bucket.RequestID) error {
	x, cancel := context.WithTimeout(c, s.config.Caller.QueueTimeout.Duration())
	defer cancel()
	g.reservations++
	id := bucket.RequestID(fmt.Sprintf("%s/%d", g.id, g.reservations))
	began := s.Timer.Now()
	o, err := s.Quota.Reserve(x, g.who.workspace, id, g.model.tokens(), replaces)
	observe(s.Metrics.quotaWait, s.Timer.Now().Sub(began))
	if err != nil {
		return s.ended(c, refusal.Later(refusal.OwnerUnavailable, shortRetry, "the owner of the workspace's quota does not answer"))
	}
	if !o.Granted {
		return refusal.Limited(o.Wait, "the workspace is over its rate")
	}
	g.reserved, g.at = id, o.At
	s.record(timeline.Admitted, g.call, fmt.Sprintf("%d tokens", g.model.tokens()))
	return nil
}

// ended returns why the server ended the request, or else r.
func (s *Server) ended(c context.Context, r *refusal.Refusal) error {
	if why := cause(c); why != nil {
		return why.WithRun(r.Run)
	}
	return r
}

// attempts runs the request on an upstream, and again while that is safe and
// the budget allows it.
func (s *Server) attempts(c context.Context, w http.ResponseWriter, g *generation) error {
	for {
		use, err := s.place(c, g)
		if err != nil {
			return err
		}
		w.Header().Set(loadWaitHeader, strconv.FormatInt(use.LoadWait.Milliseconds(), 10))
		err = s.attempt(c, w, g, use)
		if err == nil {
			return nil
		}
		g.noteFailure(err, use)
		if !s.mayRetry(c, g, err) {
			return s.final(c, err)
		}
	}
}

// place gets a use of the adapter and checks once more, right before the
// request is sent, that it may run.
func (s *Server) place(c context.Context, g *generation) (adapter.Use, error) {
	x, cancel := context.WithTimeout(c, s.config.Caller.QueueTimeout.Duration())
	defer cancel()
	u, err := s.Placement.Acquire(x, placement.Request{
		RequestID: g.id, Workspace: g.who.workspace, Adapter: g.adapter, Tokens: g.model.tokens(), Exclusive: g.alone, Avoid: g.avoid,
	})
	if err != nil {
		return u, s.ended(c, placeRefusal(err))
	}
	observe(s.Metrics.loadWait, u.LoadWait)
	if err := s.recheck(c, g); err != nil {
		s.Placement.Release(u, false)
		return u, err
	}
	return u, nil
}

func placeRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, placement.ErrNoUpstream):
		return refusal.Later(refusal.NoUpstream, shortRetry, "no upstream can run the request")
	case errors.Is(err, placement.ErrLoadFailed):
		return refusal.Later(refusal.AdapterLoadFailed, shortRetry, "the adapter could not be loaded")
	default:
		return refusal.Later(refusal.Overloaded, shortRetry, "no upstream had room in time")
	}
}

// recheck confirms key and lease, and dates an old reservation anew.
func (s *Server) recheck(c context.Context, g *generation) error {
	if s.Timer.Now().Sub(g.at) > maxGrantAge {
		if err := s.reserve(c, g, g.reserved); err != nil {
			return err
		}
	}
	return s.confirm(g.who)
}

// failure is an attempt that did not answer the caller.
type failure struct {
	refusal *refusal.Refusal
	// sent is false when no byte can have reached the upstream.
	sent bool
	// again is set when another attempt may help.
	again bool
}

// Error returns the text of the refusal.
func (f *failure) Error() string {
	return f.refusal.Error()
}

func (g *generation) noteFailure(err error, u adapter.Use) {
	g.tries++
	g.avoid = u.Upstream
	var f *failure
	if errors.As(err, &f) && f.refusal.Run != refusal.NotRun {
		g.mayHaveRun = true
	}
}

func (s *Server) final(c context.Context, err error) error {
	var f *failure
	if errors.As(err, &f) {
		return s.ended(c, f.refusal)
	}
	return err
}

func (s *Server) mayRetry(c context.Context, g *generation, err error) bool {
	var f *failure
	if !errors.As(err, &f) || !f.again || g.passed || c.Err() != nil || g.tries >= maxTries {
		return false
	}
	if f.sent && !s.budget.spend(g.who.workspace) {
		return false
	}
	s.Metrics.retries.Inc()
	return true
}

// attempt sends the request to one upstream and passes its answer on.
func (s *Server) attempt(c context.Context, w http.ResponseWriter, g *generation, u adapter.Use) error {
	s.Recorder.Record(timeline.Event{
		Part: timeline.Caller, Kind: timeline.Dispatched, Request: g.id, Workspace: string(g.who.workspace),
		Adapter: string(g.adapter), Upstream: string(u.Upstream),
	})
	a, err := s.Relay.Send(c, relay.Request{
		Method: http.MethodPost, Address: u.Address, RequestURI: g.request.URL.Path, Header: engineHeader(g), Body: g.body,
	})
	if err != nil {
		return s.broken(c, g, u, err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		s.Placement.Release(u, a.StatusCode != http.StatusBadRequest)
		return s.badStatus(w, a)
	}
	err = s.forward(w, g, a)
	var f *failure
	if errors.As(err, &f) && f.refusal.Code == refusal.UpstreamFailed {
		return s.broken(c, g, u, f)
	}
	s.Placement.Release(u, false)
	if err != nil {
		return err
	}
	if g.alone {
		s.Suspects.Clear(c, g.fingerprint)
	}
	s.Metrics.answered("model")
	s.record(timeline.Answered, g.call, fmt.Sprintf("%d tokens", g.used))
	return nil
}

func engineHeader(g *generation) http.Header {
	h := http.Header{}
	h.Set(contentType, jsonType)
	h.Set(requestIDHeader, g.id)
	return h
}

// badStatus turns an engine's error answer into a failure, or passes on what
// the engine says about the request itself.
func (s *Server) badStatus(w http.ResponseWriter, a *http.Response) error {
	switch a.StatusCode {
	case http.StatusNotFound:
		return &failure{refusal: refusal.Later(refusal.Overloaded, shortRetry, "the engine lost the adapter"), sent: true, again: true}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &failure{refusal: refusal.Later(refusal.Overloaded, shortRetry, "the engine is overloaded"), sent: true, again: true}
	case http.StatusBadRequest:
		return refusal.New(refusal.BodyInvalid, http.StatusBadRequest, "the engine refused the request")
	default:
		r := refusal.Later(refusal.UpstreamFailed, shortRetry, "the engine answered with status %d", a.StatusCode).WithRun(refusal.Ran)
		r.Status = http.StatusBadGateway
		return &failure{refusal: r, sent: true, again: true}
	}
}

// broken finds out whether the engine crashed with the request on it.
func (s *Server) broken(c context.Context, g *generation, u adapter.Use, err error) error {
	if c.Err() != nil {
		s.Placement.Release(u, false)
		g.chargeUnknown()
		return s.gone(c, g)
	}
	s.Placement.Release(u, true)
	if errors.Is(err, relay.ErrNotSent) {
		return &failure{refusal: refusal.Later(refusal.NoUpstream, shortRetry, "the engine could not be reached"), again: true}
	}
	r := refusal.Later(refusal.UpstreamFailed, shortRetry, "the engine broke off the answer").WithRun(refusal.Unknown)
	r.Status = http.StatusBadGateway
	f := &failure{refusal: r, sent: true, again: true}
	if s.crashed(c, u) {
		standing := s.Suspects.RecordCrash(c, g.fingerprint, suspect.Crash{Upstream: u.Upstream, Incarnation: u.Incarnation})
		if standing == suspect.Blocked {
			f.refusal = refusal.New(refusal.RequestBlocked, http.StatusUnprocessableEntity, "this request crashed the engines that ran it").WithRun(refusal.Ran)
			f.again = false
		}
		g.alone = true
	}
	return s.cutOrFail(g, f)
}

// cutOrFail settles a request of which the caller already has a part.
func (s *Server) cutOrFail(g *generation, f *failure) error {
	g.chargeUnknown()
	if g.passed {
		s.record(timeline.Truncated, g.call, string(f.refusal.Code))
	}
	return f
}

// chargeUnknown charges a request whose use the engine did not report: what
// was passed on of a stream, and otherwise the whole reservation.
func (g *generation) chargeUnknown() {
	switch {
	case g.used > 0:
	case g.model.stream && g.passed:
		g.used = min(g.model.tokens(), lists.Tokens(g.model.prompt+g.events))
	default:
		g.used = g.model.tokens()
	}
}

// gone ends a request whose caller went away or whose time is over.
func (s *Server) gone(c context.Context, g *generation) error {
	why := cause(c)
	if why == nil {
		why = refusal.New(refusal.UpstreamFailed, http.StatusGatewayTimeout, "the request took too long").WithRun(refusal.Ran)
	}
	s.record(timeline.Truncated, g.call, string(why.Code))
	return &failure{refusal: why, sent: true}
}

// crashed asks the engine whether it still is the run that took the request.
func (s *Server) crashed(c context.Context, u adapter.Use) bool {
	x, cancel := context.WithTimeout(c, crashTimeout)
	defer cancel()
	r, err := s.Engines.Report(x, u.Address)
	return err != nil || r.Incarnation != u.Incarnation
}
