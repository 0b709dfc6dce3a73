// Package route holds the configuration for callers: the routes, the services that they
// lead to, and the workspaces with their keys and rates.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

//go:generate go tool stringer -type=Kind -linecomment

// Kind states whether the requests of a route may be repeated.
type Kind int

// Kinds of routes. Requests of a safe route may run more than once, those of an unsafe
// route at most once. Streams are unsafe unless they are resumable.
const (
	Safe   Kind = iota // safe
	Unsafe             // unsafe
	Stream             // stream
)

// Names and versions in a configuration.
type (
	// ServiceName identifies a group of interchangeable upstreams.
	ServiceName string
	// WorkspaceName identifies a workspace.
	WorkspaceName string
	// ModelName identifies a base model.
	ModelName string
	// AdapterName identifies an adapter of a base model.
	AdapterName string
	// Version is the version of a configuration or of an adapter.
	Version int64
)

// Target is a service and its share of a route's requests.
type Target struct {
	Service ServiceName
	Weight  int
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which a response counts as on time.
	Objective time.Duration
	// MaxGap is the longest gap between events of a stream that is on time.
	MaxGap   time.Duration
	Priority int
	Targets  []Target
	// MaxAttempts limits the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Open routes require no key.
	Open      bool
	Resumable bool
}

// Repeatable reports whether a request may be sent to a second upstream after the first
// one may have started to execute it.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Parameters of EventTimeout, as the users state them for their callers.
const (
	minEventTimeout = 2 * time.Second
	objectiveFactor = 4
	gapFactor       = 8
)

// EventTimeout returns how long callers wait for the first event of a stream, and for
// each next one. It is 0 for routes of other kinds.
func (r *Route) EventTimeout() time.Duration {
	if r.Kind != Stream {
		return 0
	}
	return max(minEventTimeout, objectiveFactor*r.Objective, gapFactor*r.MaxGap)
}

// Engine describes the model engines of a service.
type Engine struct {
	CacheTokens  int
	AdapterSlots int
	// LoadsPerSecond is the number of base models per second that the weight store can
	// serve.
	LoadsPerSecond float64
	// Models are the base models that engines may hold.
	Models []ModelName
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name ServiceName
	// Engine is nil for plain services, which run no models.
	Engine *Engine
}

// Workspace is a customer with its keys and its plan.
type Workspace struct {
	Name WorkspaceName
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate (per second) and Burst are in tokens or requests; there is no limit if both
	// are 0.
	Rate  float64
	Burst float64
	// ByTokens is set when the plan counts tokens instead of requests.
	ByTokens bool
	// PlainTokens is the cost of a request that states no token count.
	PlainTokens float64
}

// Cost returns the cost of a request in units of the workspace's plan.
func (w *Workspace) Cost(tokens int) float64 {
	switch {
	case !w.ByTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return w.PlainTokens
	}
}

// Config is a decoded configuration.
type Config struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// BodyBytes is the largest body that a caller may send, or 0.
	BodyBytes int64
}

// Table is an indexed configuration. It is immutable after New.
type Table struct {
	Config
	hosts    map[string][]*Route
	services map[ServiceName]*Service
	keys     map[string]*Workspace
	// streams has the longest timeout of the routes of resumable streams to each service.
	streams map[ServiceName]time.Duration
}

// defaultStreamTimeout applies to routes without a timeout.
const defaultStreamTimeout = 30 * time.Second

// New indexes a configuration.
func New(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, services: map[ServiceName]*Service{}, keys: map[string]*Workspace{}, streams: map[ServiceName]time.Duration{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
		if r.Kind != Stream || !r.Resumable {
			continue
		}
		for _, x := range r.Targets {
			t.streams[x.Service] = max(t.streams[x.Service], cmp.Or(r.Timeout, defaultStreamTimeout))
		}
	}
	for _, l := range t.hosts {
		slices.SortStableFunc(l, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Workspaces {
		for _, k := range t.Workspaces[i].Keys {
			t.keys[k] = &t.Workspaces[i]
		}
	}
	return t
}

// Find returns the route with the longest matching path prefix for the host, which may
// include a port.
func (t *Table) Find(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by its name.
func (t *Table) Service(n ServiceName) (*Service, bool) {
	s, ok := t.services[n]
	return s, ok
}

// StreamTimeouts returns, for each service that resumable streams are routed to, how long after its
// begin such a stream may be taken up: the longest timeout of their routes. The caller must not modify
// it.
func (t *Table) StreamTimeouts() map[ServiceName]time.Duration { return t.streams }

// WorkspaceByKey returns the workspace that a key belongs to.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// Pick selects the service for a request according to the weights of the route. draw is a
// random number in [0, 1).
func (r *Route) Pick(draw float64) ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := draw * float64(total)
	for _, t := range r.Targets {
		if rest -= float64(t.Weight); rest < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
