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

// Service stands in for a plain service. It counts how often the call with
// each idempotency key ran and does not itself refuse a second run.
type Service struct {
	name   string
	faults faultBox

	mu   sync.Mutex
	runs map[string]int
	keys int
}

// NewService returns a service with the name.
func NewService(name string) *Service {
	return &Service{name: name, runs: map[string]int{}}
}

// Handler serves every path. The query delay-milliseconds makes a call slow;
// lose=yes runs the call and drops the connection.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fault", s.faults.serveSet)
	m.HandleFunc("GET /stats", s.serveStats)
	m.HandleFunc("/", s.faults.wrap(s.call))
	return m
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n := s.count(r)
	if d, err := strconv.Atoi(q.Get("delay-milliseconds")); err == nil {
		pause(r, time.Duration(d)*time.Millisecond)
	}
	if q.Get("lose") == "yes" {
		dropConnection(w)
		return
	}
	writeJSON(w, serviceAnswer{Service: s.name, Path: r.URL.Path, Request: r.Header.Get("X-Request-Id"), Run: n})
}

func (s *Service) count(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get("Authorization") != "" {
		s.keys++
	}
	k := r.Header.Get("Idempotency-Key")
	if k == "" {
		return 0
	}
	s.runs[k]++
	return s.runs[k]
}

// RunCount returns how often the call with the idempotency key ran.
func (s *Service) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// KeysSeen returns how many requests came with a caller's key.
func (s *Service) KeysSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, serviceStats{Runs: s.runs, KeysSeen: s.keys})
}
