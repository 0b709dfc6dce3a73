package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strings"

	"gentiangauge.example/gentiangauge/coordination/idempotency"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/settings"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/provider"
	"gentiangauge.example/gentiangauge/transport/relay"
)

const (
	idempotencyHeader        = "Idempotency-Key"
	replayedHeader           = "Idempotent-Replayed"
	maxIdempotencyKeyBytes   = 255
	maxRecordedResponseBytes = 1 << 20
	copyBufferBytes          = 8 << 10
	// serviceCopies is the number of copies of a body that are made at a time while it is checked.
	serviceCopies = 2
)

// forwardToService forwards a request to the plain service that its path is routed to.
func (s *Server) forwardToService(w http.ResponseWriter, k *call) error {
	route, ok := s.findRoute(k.request.URL.EscapedPath())
	if !ok {
		return refusal.New(refusal.RouteUnknown, http.StatusNotFound, "no route leads to this path")
	}
	if !route.Open() {
		i, err := s.identify(k.request)
		if err != nil {
			return err
		}
		k.identity = i
	}
	body, err := s.readBody(w, k)
	if err != nil {
		return err
	}
	if err := k.holdCopies(body, serviceCopies); err != nil {
		return err
	}
	if err := checkKeyPlacement(k.request, body); err != nil {
		return err
	}
	k.body.ShrinkTo(int64(len(body)))
	c, end := s.inFlight.register(k.request.Context(), k.identity.key)
	defer end()
	c, cancel := context.WithTimeout(c, s.config.Caller.CallTimeout.Duration())
	defer cancel()
	if route.Repeatable() || safeMethod(k.request.Method) {
		return s.forwardRepeatable(c, w, k, route, body)
	}
	return s.runOnce(c, w, k, route, body)
}

func safeMethod(m string) bool {
	return m == http.MethodGet || m == http.MethodHead || m == http.MethodOptions
}

func (s *Server) findRoute(path string) (settings.Route, bool) {
	for _, r := range s.config.Routes {
		if path == r.Prefix || strings.HasPrefix(path, strings.TrimSuffix(r.Prefix, "/")+"/") {
			return r, true
		}
	}
	return settings.Route{}, false
}

// candidates returns the listed upstreams of a pool that accept new requests. A hash of
// the request id selects the first one, which spreads the requests over the pool.
func (s *Server) candidates(pool, request string) []provider.Instance {
	var all []provider.Instance
	for _, l := range s.Fleet.ListedInstances() {
		if l.Kind == provider.KindUpstream && l.Pool == pool && !l.Leaving() {
			all = append(all, l)
		}
	}
	if len(all) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	first := int(h.Sum32() % uint32(len(all)))
	return append(all[first:], all[:first]...)
}

func (s *Server) serviceRequest(k *call, u provider.Instance, body []byte) relay.Request {
	h := relay.ForwardHeader(k.request.Header)
	h.Set(requestIDHeader, k.id)
	return relay.Request{Method: k.request.Method, Address: u.Address, RequestURI: k.request.URL.RequestURI(), Header: h, Body: body}
}

func serviceUnreachable() *refusal.Refusal {
	return refusal.Later(refusal.NoUpstream, defaultRetryAfter, "the service could not be reached")
}

// recheckRouteKey verifies the key again if the route requires one.
func (s *Server) recheckRouteKey(k *call, r settings.Route) error {
	if r.Open() {
		return nil
	}
	return s.recheckIdentity(k.identity)
}

// forwardRepeatable sends a request that may run twice and streams the response. It
// retries on the next upstream if the response failed, within the retry budget, or if
// nothing was sent.
func (s *Server) forwardRepeatable(c context.Context, w http.ResponseWriter, k *call, r settings.Route, body []byte) error {
	s.budget.deposit(k.identity.workspace)
	failed := serviceUnreachable()
	for attempt, u := range s.candidates(r.Pool, k.id) {
		if attempt >= maxAttempts {
			break
		}
		if err := s.recheckRouteKey(k, r); err != nil {
			return asRefusal(err).WithRun(failed.Run)
		}
		s.recordDispatch(k, u)
		a, err := s.Relay.Send(c, s.serviceRequest(k, u, body))
		if err == nil {
			defer a.Body.Close()
			return s.forwardServiceResponse(w, k, a)
		}
		if c.Err() != nil {
			return s.causeOr(c, refusal.New(refusal.UpstreamFailed, http.StatusGatewayTimeout, "the request took too long").WithRun(refusal.Unknown))
		}
		if !errors.Is(err, relay.ErrNotSent) {
			failed = refusal.Later(refusal.UpstreamFailed, defaultRetryAfter, "the service broke off the answer").WithRun(refusal.Unknown)
			failed.Status = http.StatusBadGateway
			if !s.budget.tryWithdraw(k.identity.workspace) {
				break
			}
		}
	}
	return failed
}

func (s *Server) recordDispatch(k *call, u provider.Instance) {
	s.Recorder.Record(timeline.Event{Part: timeline.Caller, Kind: timeline.Dispatched, Request: k.id, Workspace: string(k.identity.workspace), Upstream: u.ID})
}

func (s *Server) forwardServiceResponse(w http.ResponseWriter, k *call, a *http.Response) error {
	copyHeader(w.Header(), relay.EndToEndHeader(a.Header))
	if a.ContentLength >= 0 {
		w.Header().Set("Content-Length", a.Header.Get("Content-Length"))
	}
	w.WriteHeader(a.StatusCode)
	control := http.NewResponseController(w)
	b := make([]byte, copyBufferBytes)
	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				panic(http.ErrAbortHandler)
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.recordEvent(timeline.Truncated, k, "the service broke off the answer")
			panic(http.ErrAbortHandler)
		}
	}
	s.Metrics.countAnswer("service")
	s.recordEvent(timeline.Answered, k, "")
	return nil
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		if k != requestIDHeader {
			to[k] = v
		}
	}
}

// runOnce runs a request that must not run twice. A repetition with the same idempotency
// key receives the recorded response.
func (s *Server) runOnce(c context.Context, w http.ResponseWriter, k *call, r settings.Route, body []byte) error {
	key := k.request.Header.Get(idempotencyHeader)
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return refusal.New(refusal.IdempotencyKeyMissing, http.StatusBadRequest, "this route needs the header %s with up to %d bytes", idempotencyHeader, maxIdempotencyKeyBytes)
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(k.request.Method), []byte(k.request.URL.RequestURI()), body} {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	b := idempotency.Call{Request: k.id, Workspace: k.identity.workspace, Route: r.Name, Key: key, Content: hex.EncodeToString(h.Sum(nil))}
	a, err := s.Idempotency.Run(c, b, func(x context.Context) (idempotency.Answer, bool, error) { return s.sendOnce(x, k, r, body) })
	if err != nil {
		return s.causeOr(c, asRefusal(err))
	}
	w.Header().Set(contentType, a.ContentType)
	if a.Replayed {
		w.Header().Set(replayedHeader, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	s.Metrics.countAnswer("booking")
	s.recordEvent(timeline.Answered, k, "")
	return nil
}

// sendOnce sends the request to the first upstream that is reachable. Sent is false only
// if no byte can have reached any upstream.
func (s *Server) sendOnce(c context.Context, k *call, r settings.Route, body []byte) (a idempotency.Answer, sent bool, err error) {
	c, cancel := context.WithTimeout(c, s.config.Caller.CallTimeout.Duration())
	defer cancel()
	for _, u := range s.candidates(r.Pool, k.id) {
		if err := s.recheckRouteKey(k, r); err != nil {
			return idempotency.Answer{}, false, err
		}
		s.recordDispatch(k, u)
		answer, err := s.Relay.SendOnce(c, s.serviceRequest(k, u, body))
		if errors.Is(err, relay.ErrNotSent) {
			continue
		}
		if err != nil {
			return idempotency.Answer{}, true, err
		}
		defer answer.Body.Close()
		x := s.buffers.Buffer(k.connection.Usage())
		defer x.Release()
		b, err := x.ReadAll(c, answer.Body, maxRecordedResponseBytes, max(0, answer.ContentLength))
		if err != nil {
			return idempotency.Answer{}, true, relay.ErrConnectionBroken
		}
		return idempotency.Answer{Status: answer.StatusCode, ContentType: answer.Header.Get(contentType), Body: b}, true, nil
	}
	return idempotency.Answer{}, false, serviceUnreachable()
}
