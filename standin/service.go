package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

type serviceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Request string `json:"request"`
	Run     int    `json:"run"`
}

type serviceStats struct {
	Runs     map[string]int `json:"runs"`
	KeysSeen int            `json:"keys-seen"`
}

// Service stands in for a plain service. It counts the executions for each idempotency key,
// but does not deduplicate them.
type Service struct {
	name   string
	faults faultState

	mu       sync.Mutex
	runs     map[string]int
	keysSeen int
}

// NewService returns a service that states name in its answers.
func NewService(name string) *Service {
	return &Service{name: name, runs: map[string]int{}}
}

// Handler returns a handler for all paths. The query parameter delay-milliseconds delays the
// answer; lose=yes executes the call and drops the connection without an answer.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fault", s.faults.serveSetFault)
	m.HandleFunc("GET /stats", s.serveStats)
	m.HandleFunc("/", s.faults.wrap(s.serveCall))
	return m
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n := s.countCall(r)
	if d, err := strconv.Atoi(q.Get("delay-milliseconds")); err == nil {
		pause(r, time.Duration(d)*time.Millisecond)
	}
	if q.Get("lose") == "yes" {
		dropConnection(w)
		return
	}
	writeJSON(w, serviceAnswer{Service: s.name, Path: r.URL.Path, Request: r.Header.Get("X-Request-Id"), Run: n})
}

// countCall counts the call and returns the executions for its idempotency key so far, or 0
// for a call without a key.
func (s *Service) countCall(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get("Authorization") != "" {
		s.keysSeen++
	}
	k := r.Header.Get("Idempotency-Key")
	if k == "" {
		return 0
	}
	s.runs[k]++
	return s.runs[k]
}

// RunCount returns the number of executions for an idempotency key.
func (s *Service) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// KeysSeen returns the number of requests that carried a caller's key.
func (s *Service) KeysSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysSeen
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, serviceStats{Runs: s.runs, KeysSeen: s.keysSeen})
}
