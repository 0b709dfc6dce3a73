// Package operator serves the HTTP endpoints for operators: status, timeline
// events, metrics and profiles of one instance.
package operator

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/state/timeline"
)

// Services are the sources of the data that is served.
type Services struct {
	Name     string
	Zone     string
	Fleet    *fleet.Fleet
	Catalog  *catalog.Catalog
	Recorder *timeline.Recorder
	Metrics  *prometheus.Registry
	// Lease is how long an instance may act on its last lease confirmation.
	Lease time.Duration
	// InFlight returns the number of callers' requests in flight.
	InFlight func() int
}

type statusMessage struct {
	Name    string   `json:"name"`
	Zone    string   `json:"availability-zone"`
	Seat    string   `json:"seat"`
	Epoch   int64    `json:"epoch"`
	Members int      `json:"members"`
	Version int64    `json:"lists-version"`
	Serving bool     `json:"serving"`
	Lease   int64    `json:"lease-milliseconds"`
	Running int      `json:"running"`
	Silent  []string `json:"silent"`
}

type eventMessage struct {
	Wall      int64  `json:"wall-microseconds"`
	Logical   int64  `json:"logical"`
	Process   string `json:"process"`
	Sequence  uint64 `json:"sequence"`
	Part      string `json:"part"`
	Kind      string `json:"kind"`
	Request   string `json:"request,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

type eventsMessage struct {
	Events []eventMessage `json:"events"`
	Next   uint64         `json:"next"`
	Lost   uint64         `json:"lost"`
}

// Handler returns the handler of all operator endpoints.
func Handler(s Services) http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(s.Metrics, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { write(w, s.status()) })
	m.HandleFunc("GET /v1/events", s.events)
	m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.HandleFunc("GET /debug/pprof/", pprof.Index)
	return m
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s Services) status() statusMessage {
	r := s.Fleet.Roster()
	m := statusMessage{
		Name: s.Name, Zone: s.Zone, Seat: string(s.Fleet.Self()), Epoch: int64(r.Epoch), Members: len(r.Members),
		Version: int64(s.Catalog.State().Version), Serving: s.Fleet.Serving(), Running: s.InFlight(), Lease: s.Lease.Milliseconds(), Silent: []string{},
	}
	for _, seat := range s.Fleet.Silent() {
		x, _ := r.Member(seat)
		m.Silent = append(m.Silent, x.Instance)
	}
	return m
}

func (s Services) events(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = 0
	}
	events, next, lost := s.Recorder.Since(since)
	m := eventsMessage{Events: make([]eventMessage, len(events)), Next: next, Lost: lost}
	for i, e := range events {
		m.Events[i] = eventMessage{
			Wall: e.Stamp.Wall, Logical: e.Stamp.Logical, Process: e.Process, Sequence: e.Sequence, Part: e.Part.String(), Kind: e.Kind.String(),
			Request: e.Request, Workspace: e.Workspace, Adapter: e.Adapter, Upstream: e.Upstream, Detail: e.Detail,
		}
	}
	write(w, m)
}
