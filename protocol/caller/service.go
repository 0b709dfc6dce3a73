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
	idempotencyHeader = "Idempotency-Key"
	replayedHeader    = "Idempotent-Replayed"
	maxKeyBytes       = 255
	maxAnswerBytes    = 1 << 20
	copyBytes         = 32 << 10
)

// service routes a request to a plain service.
func (s *Server) service(w http.ResponseWriter, k *call) error {
	route, ok := s.route(k.request.URL.Path)
	if !ok {
		return refusal.New(refusal.RouteUnknown, http.StatusNotFound, "no route leads to this path")
	}
	if !route.Open() {
		who, err := s.identify(k.request)
		if err != nil {
			return err
		}
		k.who = who
	}
	body, err := s.readBody(w, k.request)
	if err != nil {
		return err
	}
	if err := misplaced(k.request, body); err != nil {
		return err
	}
	c, end := s.running.begin(k.request.Context(), k.who.key)
	defer end()
	c, cancel := context.WithTimeout(c, s.config.Caller.CallTimeout.Duration())
	defer cancel()
	if route.Repeatable() || safeMethod(k.request.Method) {
		return s.pass(c, w, k, route, body)
	}
	return s.book(c, w, k, route, body)
}

func safeMethod(m string) bool {
	return m == http.MethodGet || m == http.MethodHead || m == http.MethodOptions
}

func (s *Server) route(path string) (settings.Route, bool) {
	for _, r := range s.config.Routes {
		if path == r.Prefix || strings.HasPrefix(path, strings.TrimSuffix(r.Prefix, "/")+"/") {
			return r, true
		}
	}
	return settings.Route{}, false
}

// upstreams returns the listed upstreams of a pool that take new work,
// beginning with one that depends on the request.
func (s *Server) upstreams(pool, request string) []provider.Instance {
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

func (s *Server) toService(k *call, u provider.Instance, body []byte) relay.Request {
	h := relay.ForwardHeader(k.request.Header)
	h.Set(requestIDHeader, k.id)
	return relay.Request{Method: k.request.Method, Address: u.Address, RequestURI: k.request.URL.RequestURI(), Header: h, Body: body}
}

func noService() *refusal.Refusal {
	return refusal.Later(refusal.NoUpstream, shortRetry, "the service could not be reached")
}

// recheckKeyed confirms the key of a request on a keyed route.
func (s *Server) recheckKeyed(k *call, r settings.Route) error {
	if r.Open() {
		return nil
	}
	return s.confirm(k.who)
}

// pass sends a call that may run twice and streams its answer.
func (s *Server) pass(c context.Context, w http.ResponseWriter, k *call, r settings.Route, body []byte) error {
	s.budget.earn(k.who.workspace)
	failed := noService()
	for try, u := range s.upstreams(r.Pool, k.id) {
		if try >= maxTries {
			break
		}
		if err := s.recheckKeyed(k, r); err != nil {
			return asRefusal(err).WithRun(failed.Run)
		}
		s.dispatched(k, u)
		a, err := s.Relay.Send(c, s.toService(k, u, body))
		if err == nil {
			defer a.Body.Close()
			return s.passAnswer(w, k, a)
		}
		if c.Err() != nil {
			return s.ended(c, refusal.New(refusal.UpstreamFailed, http.StatusGatewayTimeout, "the request took too long").WithRun(refusal.Unknown))
		}
		if !errors.Is(err, relay.ErrNotSent) {
			failed = refusal.Later(refusal.UpstreamFailed, shortRetry, "the service broke off the answer").WithRun(refusal.Unknown)
			failed.Status = http.StatusBadGateway
			if !s.budget.spend(k.who.workspace) {
				break
			}
		}
	}
	return failed
}

func (s *Server) dispatched(k *call, u provider.Instance) {
	s.Recorder.Record(timeline.Event{Part: timeline.Caller, Kind: timeline.Dispatched, Request: k.id, Workspace: string(k.who.workspace), Upstream: u.ID})
}

func (s *Server) passAnswer(w http.ResponseWriter, k *call, a *http.Response) error {
	copyHeader(w.Header(), relay.EndToEndHeader(a.Header))
	if a.ContentLength >= 0 {
		w.Header().Set("Content-Length", a.Header.Get("Content-Length"))
	}
	w.WriteHeader(a.StatusCode)
	control := http.NewResponseController(w)
	b := make([]byte, copyBytes)
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
			s.record(timeline.Truncated, k, "the service broke off the answer")
			panic(http.ErrAbortHandler)
		}
	}
	s.Metrics.answered("service")
	s.record(timeline.Answered, k, "")
	return nil
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		if k != requestIDHeader {
			to[k] = v
		}
	}
}

// book runs a call that must not run twice.
func (s *Server) book(c context.Context, w http.ResponseWriter, k *call, r settings.Route, body []byte) error {
	key := k.request.Header.Get(idempotencyHeader)
	if key == "" || len(key) > maxKeyBytes {
		return refusal.New(refusal.IdempotencyKeyMissing, http.StatusBadRequest, "this route needs the header %s with up to %d bytes", idempotencyHeader, maxKeyBytes)
	}
	h := sha256.New()
	for _, part := range []string{k.request.Method, k.request.URL.RequestURI(), string(body)} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	b := idempotency.Call{Request: k.id, Workspace: k.who.workspace, Route: r.Name, Key: key, Content: hex.EncodeToString(h.Sum(nil))}
	a, err := s.Idempotency.Run(c, b, func(x context.Context) (idempotency.Answer, bool, error) { return s.sendOnce(x, k, r, body) })
	if err != nil {
		return s.ended(c, asRefusal(err))
	}
	w.Header().Set(contentType, a.ContentType)
	if a.Replayed {
		w.Header().Set(replayedHeader, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	s.Metrics.answered("booking")
	s.record(timeline.Answered, k, "")
	return nil
}

// sendOnce sends the call to the first upstream that can be reached. Sent is
// false only if no byte can have reached any.
func (s *Server) sendOnce(c context.Context, k *call, r settings.Route, body []byte) (a idempotency.Answer, sent bool, err error) {
	c, cancel := context.WithTimeout(c, s.config.Caller.CallTimeout.Duration())
	defer cancel()
	for _, u := range s.upstreams(r.Pool, k.id) {
		if err := s.recheckKeyed(k, r); err != nil {
			return idempotency.Answer{}, false, err
		}
		s.dispatched(k, u)
		answer, err := s.Relay.SendOnce(c, s.toService(k, u, body))
		if errors.Is(err, relay.ErrNotSent) {
			continue
		}
		if err != nil {
			return idempotency.Answer{}, true, err
		}
		defer answer.Body.Close()
		b, err := relay.ReadAll(answer.Body, maxAnswerBytes)
		if err != nil {
			return idempotency.Answer{}, true, relay.ErrConnectionBroken
		}
		return idempotency.Answer{Status: answer.StatusCode, ContentType: answer.Header.Get(contentType), Body: b}, true, nil
	}
	return idempotency.Answer{}, false, noService()
}
