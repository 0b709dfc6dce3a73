// Package caller is the HTTP API for callers: the OpenAI-compatible model routes, the
// routes to plain services, and the list of instance addresses.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/idempotency"
	"gentiangauge.example/gentiangauge/coordination/placement"
	"gentiangauge.example/gentiangauge/coordination/quota"
	"gentiangauge.example/gentiangauge/coordination/suspect"
	"gentiangauge.example/gentiangauge/protocol/engine"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/settings"
	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/inbound"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// Services are the dependencies of the server.
type Services struct {
	Timer       *timer.Service
	Fleet       *fleet.Fleet
	Catalog     *catalog.Catalog
	Quota       *quota.Quota
	Placement   *placement.Placement
	Suspects    *suspect.FleetRegistry
	Idempotency *idempotency.Executor
	Relay       *relay.Relay
	Engines     *engine.Client
	Recorder    *timeline.Recorder
	Metrics     *Metrics
	Log         *zap.Logger
	// Account counts the memory that is held for callers and upstreams.
	Account *shedding.Account
}

// Server serves the HTTP API for callers.
type Server struct {
	Services
	config   *settings.Settings
	inFlight *inFlightRequests
	budget   *retryBudget
	// bodies bounds the memory of requests, buffers that of responses.
	bodies   *relay.Buffers
	buffers  *relay.Buffers
	draining atomic.Bool
	lastID   atomic.Uint64
	idPrefix string
}

const (
	idPrefixBytes = 8
	idleTimeout   = 2 * time.Minute
)

// New returns a server. Its request ids start with a random prefix, so that they differ
// between instances and restarts.
func New(c *settings.Settings, s Services) *Server {
	s.Log = s.Log.Named("caller")
	b := make([]byte, idPrefixBytes)
	_, _ = rand.Read(b)
	return &Server{Services: s, config: c, inFlight: newInFlightRequests(), bodies: relay.NewBuffers(s.Account, shedding.Requests, s.Timer),
		buffers: relay.NewBuffers(s.Account, shedding.Responses, s.Timer), budget: newRetryBudget(c.Caller.RetryPercent), idPrefix: hex.EncodeToString(b)}
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", s.handle(s.generate))
	m.HandleFunc("POST /v1/completions", s.handle(s.generate))
	m.HandleFunc("GET /v1/models", s.handle(s.models))
	m.HandleFunc("GET /v1/instances", s.handle(s.instances))
	m.HandleFunc("/v1/chat/completions", s.handle(methodNotAllowed))
	m.HandleFunc("/v1/completions", s.handle(methodNotAllowed))
	m.HandleFunc("/", s.handle(s.forwardToService))
	return m
}

func methodNotAllowed(_ http.ResponseWriter, r *call) error {
	return refusal.New(refusal.MethodNotAllowed, http.StatusMethodNotAllowed, "the route does not take the method %s", r.request.Method)
}

// Serve serves callers on the listener until c ends, and then waits for the requests in
// flight, at most for the call timeout.
func (s *Server) Serve(c context.Context, l net.Listener) error {
	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.config.Caller.BodyTimeout.Duration(),
		MaxHeaderBytes:    s.config.Caller.HeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	inbound.Configure(h, s.Log)
	go s.watchLease(c)
	done := make(chan error, 1)
	go func() { done <- h.Serve(l) }()
	select {
	case err := <-done:
		return eris.Wrap(err, "serve callers")
	case <-c.Done():
	}
	x, cancel := context.WithTimeout(context.WithoutCancel(c), s.config.Caller.CallTimeout.Duration())
	defer cancel()
	if err := h.Shutdown(x); err != nil {
		_ = h.Close()
	}
	return nil
}

// StartDraining removes this instance from its own list of addresses and asks clients to
// close their connections.
func (s *Server) StartDraining() {
	s.draining.Store(true)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	return s.inFlight.count()
}

// call is the state of one request of a caller.
type call struct {
	request   *http.Request
	id        string
	startedAt time.Time
	identity  identity
	// connection is that of the request, and body the memory that is held for the request's body.
	connection *inbound.Conn
	body       *relay.Buffer
	// streaming is set when a part of a streamed response has been sent to the caller.
	streaming bool
}

// handle converts f to an HTTP handler that writes the errors of f as refusals.
func (s *Server) handle(f func(http.ResponseWriter, *call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n := inbound.From(r.Context())
		if !n.SetPhase(shedding.Running) {
			// The connection was closed to make room for another one while the request arrived.
			panic(http.ErrAbortHandler)
		}
		k := &call{request: r, id: s.newRequestID(), startedAt: s.Timer.Now(), connection: n, body: s.bodies.Buffer(n.Usage())}
		defer k.body.Release()
		if r.ContentLength != 0 {
			// Bounds the rest of a body that is not needed, too.
			_ = http.NewResponseController(w).SetReadDeadline(k.startedAt.Add(s.config.Caller.BodyTimeout.Duration()))
		}
		w.Header().Set(requestIDHeader, k.id)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		err := f(w, k)
		if err == nil {
			return
		}
		// The answer may take longer than the memory can wait.
		k.body.Release()
		x := asRefusal(err)
		s.Metrics.countRefusal(x.Code)
		s.recordEvent(timeline.Refused, k, string(x.Code))
		if k.streaming {
			abortStream(w, x, k.id)
		}
		writeRefusal(w, x, k.id)
	}
}

func (s *Server) newRequestID() string {
	const base = 36
	return s.idPrefix + "-" + strconv.FormatUint(s.lastID.Add(1), base)
}

func (s *Server) recordEvent(k timeline.Kind, x *call, detail string) {
	s.Recorder.Record(timeline.Event{Part: timeline.Caller, Kind: k, Request: x.id, Workspace: string(x.identity.workspace), Detail: detail})
}

// Refusals of requests whose body was not read.
const (
	// abandonTimeout bounds how long the rest of a body is read that nobody needs, so that its caller gets the answer.
	abandonTimeout = time.Second
	// memoryRetryAfter is the Retry-After while other requests hold the memory for bodies.
	memoryRetryAfter = time.Second
)

// readBody reads the whole body within the configured size and time limits, and within the memory for bodies.
func (s *Server) readBody(w http.ResponseWriter, k *call) ([]byte, error) {
	limit := s.config.Caller.BodyBytes
	control := http.NewResponseController(w)
	k.connection.SetPhase(shedding.Receiving)
	var body []byte
	err := relay.ErrTooLarge
	if k.request.ContentLength <= limit {
		body, err = k.body.ReadAll(k.request.Context(), k.request.Body, limit, max(0, k.request.ContentLength))
	}
	// A connection that has yielded gets a refusal, also if its body was whole in the end.
	kept := k.connection.SetPhase(shedding.Running)
	if err == nil && kept {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(s.Timer.Now().Add(abandonTimeout))
	return nil, bodyRefusal(err, kept, s.config.Caller)
}

// bodyRefusal returns the refusal of a request whose body was not read, as its connection has yielded or with an error.
func bodyRefusal(err error, kept bool, c settings.Caller) error {
	switch {
	case !kept, errors.Is(err, relay.ErrNoMemory):
		return refusal.Later(refusal.Overloaded, memoryRetryAfter, "other requests hold the memory for bodies")
	case errors.Is(err, relay.ErrTooLarge):
		return refusal.New(refusal.BodyTooLarge, http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", c.BodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.BodyTooSlow, http.StatusRequestTimeout, "the body did not arrive in %s", c.BodyTimeout.Duration())
	default:
		return refusal.New(refusal.BodyInvalid, http.StatusBadRequest, "the body did not arrive whole")
	}
}

// holdCopies takes the memory for a number of copies of a body.
func (k *call) holdCopies(body []byte, copies int64) error {
	if err := k.body.Grow(k.request.Context(), (1+copies)*int64(len(body))); err != nil {
		return bodyRefusal(err, true, settings.Caller{})
	}
	return nil
}
