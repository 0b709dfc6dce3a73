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

// Fleet contains the addresses and keys of a running fleet.
type Fleet struct {
	// Addresses are the caller-facing addresses of the instances.
	Addresses []string
	// Keys are the callers' keys by workspace.
	Keys map[lists.WorkspaceID]string
	// Engines are the addresses of the engine stand-ins, whose statistics go into the
	// report. It may be empty.
	Engines []string
}

// Options configure a run.
type Options struct {
	Preset Preset
	Seed   uint64
	// WarmUp is the initial part of the run, which is not measured. Duration is the
	// measured part after it.
	WarmUp   time.Duration
	Duration time.Duration
	// NoisyWorkspace is the index of a workspace that sends NoisyFactor times its usual
	// load, or -1.
	NoisyWorkspace int
	NoisyFactor    float64
	Marks          []Mark
}

// Mark labels a time of the run, such as that of a fault, in the plot.
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

	mu        sync.Mutex
	addresses map[int]addressList
	results   []result
}

// addressList is a cached answer of the instances endpoint: the addresses to use, in order of
// preference.
type addressList struct {
	addresses []string
	expires   time.Time
}

const (
	idleConnectionsPerHost = 256
	requestTimeout         = 60 * time.Second
)

// NewRunner returns a runner that sends the load of o to f.
func NewRunner(f Fleet, o Options) *Runner {
	return &Runner{
		timer:     timer.New(),
		http:      &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConnectionsPerHost}},
		fleet:     f,
		options:   o,
		addresses: map[int]addressList{},
	}
}

// Run sends every request at its due time, whether or not earlier ones have been answered
// (an open workload), and returns the report. Latencies count from the due time.
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
			before, counted = r.fetchEngineCounts(c), true
		}
		w.Go(func() { r.send(c, i, a, begin.Add(a.Due)) })
	}
	after := r.fetchEngineCounts(c)
	w.Wait()
	return r.report(after.minus(before)), nil
}

// send sends one request and records its result unless it belongs to the warm-up.
func (r *Runner) send(c context.Context, i int, a Arrival, due time.Time) {
	x := result{arrival: a}
	address := r.address(c, i, a.Workspace)
	if a.Booking {
		r.sendBooking(c, address, i, due, &x)
	} else {
		r.sendCompletion(c, address, due, &x)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Due >= r.options.WarmUp {
		r.results = append(r.results, x)
	}
}

// address returns the address to which a workspace sends request i. As real callers do, it
// caches the answer of the instances endpoint for its time to live, and then asks the cached
// addresses again. If no instance answers, it picks one of the configured addresses.
func (r *Runner) address(c context.Context, i, workspace int) string {
	r.mu.Lock()
	cached := r.addresses[workspace]
	r.mu.Unlock()
	if r.timer.Now().Before(cached.expires) {
		return cached.addresses[0]
	}
	for attempt := range r.fleet.Addresses {
		target := r.fleet.Addresses[(i+attempt)%len(r.fleet.Addresses)]
		if len(cached.addresses) > attempt {
			target = cached.addresses[attempt]
		}
		fresh, err := r.fetchAddresses(c, target, workspace)
		if err != nil || len(fresh.addresses) == 0 {
			continue
		}
		r.mu.Lock()
		r.addresses[workspace] = fresh
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
		return nil, fmt.Errorf("create %s request for %s: %w", method, url, err)
	}
	q.Header.Set("Authorization", "Bearer "+r.key(workspace))
	return q, nil
}
