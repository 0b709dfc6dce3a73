// Package caller answers callers: the OpenAI-compatible model routes, the
// routes to plain services, and the question which address to use.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
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
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// Services are the parts that the server works with.
type Services struct {
	Timer       *timer.Service
	Fleet       *fleet.Fleet
	Catalog     *catalog.Catalog
	Quota       *quota.Quota
	Placement   *placement.Placement
	Suspects    *suspect.Registry
	Idempotency *idempotency.Executor
	Relay       *relay.Relay
	Engines     *engine.Client
	Recorder    *timeline.Recorder
	Metrics     *Metrics
	Log         *zap.Logger
}

// Server answers callers.
type Server struct {
	Services
	config  *settings.Settings
	running *running
	budget  *budget
	leaving atomic.Bool
	ids     atomic.Uint64
	salt    string
}

const (
	idBytes  = 8
	idleTime = 2 * time.Minute
)

// New returns a server.
func New(c *settings.Settings, s Services) *Server {
	s.Log = s.Log.Named("caller")
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return &Server{Services: s, config: c, running: newRunning(), budget: newBudget(c.Caller.RetryPercent), salt: hex.EncodeToString(b)}
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", s.handle(s.generate))
	m.HandleFunc("POST /v1/completions", s.handle(s.generate))
	m.HandleFunc("GET /v1/models", s.handle(s.models))
	m.HandleFunc("GET /v1/instances", s.handle(s.instances))
	m.HandleFunc("/v1/chat/completions", s.handle(methodNotAllowed))
	m.HandleFunc("/v1/completions", s.handle(methodNotAllowed))
	m.HandleFunc("/", s.handle(s.service))
	return m
}

func methodNotAllowed(_ http.ResponseWriter, r *call) error {
	return refusal.New(refusal.MethodNotAllowed, http.StatusMethodNotAllowed, "the route does not take the method %s", r.request.Method)
}

// Serve answers on a listener until c ends, and then until every running
// answer has ended.
func (s *Server) Serve(c context.Context, l net.Listener) error {
	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.config.Caller.BodyTimeout.Duration(),
		MaxHeaderBytes:    s.config.Caller.HeaderBytes,
		IdleTimeout:       idleTime,
		ErrorLog:          zap.NewStdLog(s.Log),
	}
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

// StartDraining makes the server disappear from the answers about addresses.
func (s *Server) StartDraining() {
	s.leaving.Store(true)
}

// InFlight returns the number of requests under way.
func (s *Server) InFlight() int {
	return s.running.count()
}

// call is one request of a caller.
type call struct {
	request *http.Request
	id      string
	began   time.Time
	who     identity
	// streaming is set when a part of a streamed answer was passed on.
	streaming bool
}

func (s *Server) handle(f func(http.ResponseWriter, *call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k := &call{request: r, id: s.newID(), began: s.Timer.Now()}
		w.Header().Set(requestIDHeader, k.id)
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		err := f(w, k)
		if err == nil {
			return
		}
		x := asRefusal(err)
		s.Metrics.refused(x.Code)
		s.record(timeline.Refused, k, string(x.Code))
		if k.streaming {
			endStream(w, x, k.id)
		}
		writeRefusal(w, x, k.id)
	}
}

func (s *Server) newID() string {
	const base = 36
	return s.salt + "-" + strconv.FormatUint(s.ids.Add(1), base)
}

func (s *Server) record(k timeline.Kind, x *call, detail string) {
	s.Recorder.Record(timeline.Event{Part: timeline.Caller, Kind: k, Request: x.id, Workspace: string(x.who.workspace), Detail: detail})
}

// readBody reads the whole body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(s.Timer.Now().Add(s.config.Caller.BodyTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.config.Caller.BodyBytes))
	var large *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &large):
		return nil, refusal.New(refusal.BodyTooLarge, http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", s.config.Caller.BodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, refusal.New(refusal.BodyTooSlow, http.StatusRequestTimeout, "the body did not arrive in %s", s.config.Caller.BodyTimeout.Duration())
	default:
		return nil, refusal.New(refusal.BodyInvalid, http.StatusBadRequest, "the body did not arrive whole")
	}
}
