package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/timer"
)

// Fleet is a running fleet as callers know it.
type Fleet struct {
	Addresses []string
	Keys      map[lists.WorkspaceID]string
	// Engines are the addresses of the engine stand-ins, for their counts of
	// decoding steps. It may be empty.
	Engines []string
}

// Options set a run.
type Options struct {
	Preset Preset
	Seed   uint64
	// WarmUp is the first part of the run, which is sent but not measured.
	WarmUp   time.Duration
	Duration time.Duration
	// NoisyWorkspace is the index of a workspace that sends Factor times its load, or -1.
	NoisyWorkspace int
	NoisyFactor    float64
	Marks          []Mark
}

// Mark names a fault at an instant of the run.
type Mark struct {
	At   time.Duration
	Name string
}

// Runner sends a schedule to a fleet.
type Runner struct {
	timer   *timer.Service
	http    *http.Client
	fleet   Fleet
	options Options

	mu     sync.Mutex
	cached map[int]addressList
	all    []result
}

// addressList is an answer to the question which addresses to use.
type addressList struct {
	addresses []string
	until     time.Time
}

const (
	connectionsEach = 256
	requestTimeout  = 60 * time.Second
)

// NewRunner returns a runner.
func NewRunner(f Fleet, o Options) *Runner {
	return &Runner{
		timer:   timer.New(),
		http:    &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: connectionsEach}},
		fleet:   f,
		options: o,
		cached:  map[int]addressList{},
	}
}

// Run sends every arrival at its due time, whether earlier ones were answered
// or not, and returns the report.
func (r *Runner) Run(c context.Context) (*Report, error) {
	o := r.options
	schedule := o.Preset.Schedule(o.Seed, o.WarmUp+o.Duration, o.NoisyWorkspace, o.NoisyFactor)
	begin := r.timer.Now()
	before := engineCounts{}
	counted := false
	var w sync.WaitGroup
	for i, a := range schedule {
		if err := r.timer.Wait(c, a.Due-r.timer.Now().Sub(begin)); err != nil {
			return nil, err
		}
		if !counted && a.Due >= o.WarmUp {
			before, counted = r.countEngines(c), true
		}
		w.Go(func() { r.send(c, i, a, begin.Add(a.Due)) })
	}
	after := r.countEngines(c)
	w.Wait()
	return r.report(after.minus(before)), nil
}

func (r *Runner) send(c context.Context, i int, a Arrival, due time.Time) {
	x := result{arrival: a}
	address := r.address(c, i, a.Workspace)
	if a.Booking {
		r.book(c, address, i, due, &x)
	} else {
		r.generate(c, address, due, &x)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Due >= r.options.WarmUp {
		r.all = append(r.all, x)
	}
}

// address returns the address that the callers of a workspace use: the
// answer is kept for its time to live, and asked for anew afterwards.
func (r *Runner) address(c context.Context, i, workspace int) string {
	r.mu.Lock()
	kept := r.cached[workspace]
	r.mu.Unlock()
	if r.timer.Now().Before(kept.until) {
		return kept.addresses[0]
	}
	for try := range r.fleet.Addresses {
		ask := r.fleet.Addresses[(i+try)%len(r.fleet.Addresses)]
		if len(kept.addresses) > try {
			ask = kept.addresses[try]
		}
		fresh, err := r.askAddresses(c, ask, workspace)
		if err != nil || len(fresh.addresses) == 0 {
			continue
		}
		r.mu.Lock()
		r.cached[workspace] = fresh
		r.mu.Unlock()
		return fresh.addresses[0]
	}
	return r.fleet.Addresses[i%len(r.fleet.Addresses)]
}

func (r *Runner) key(workspace int) string {
	return r.fleet.Keys[r.options.Preset.Workspaces[workspace].ID]
}

func (r *Runner) newRequest(c context.Context, method, url string, workspace int, body string) (*http.Request, error) {
	q, err := http.NewRequestWithContext(c, method, url, newBody(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	q.Header.Set("Authorization", "Bearer "+r.key(workspace))
	return q, nil
}
