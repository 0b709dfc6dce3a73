// Package retry limits the retries of all requests over a fleet whose instances report to
// each other how many requests and retries they sent.
//
// Load patterns: some instances use engines that reject part of their requests while
// others need no retries; upstreams fail, and all callers repeat their requests at once.
package retry

import (
	"sync"

	"gentiangauge.example/gentiangauge/state/pool"
)

const (
	// safetyFactor is the share of the allowed retries that is used, because the windows
	// of the limit slide and reports lag behind.
	safetyFactor = 0.8
	// localRatio is the number of retries that an instance earns with each of its own
	// requests, localBurst the lower bound of the cap on its unused retries. They limit
	// what it sends before the others receive its report.
	localRatio = 0.3
	localBurst = 3
)

// Instance identifies one run of the process of an instance.
type Instance struct {
	Name string
	Run  int64
}

// Count is what an instance has sent to a service since it started.
type Count struct {
	Requests, Retries float64
}

// service is the retry budget of one service.
type service struct {
	// fleet is the number of retries that remain for all instances, local the number that
	// this instance may send without reports from the others.
	fleet, local float64
	count        Count
	reports      map[Instance]Count
}

// Budget holds the retry budgets of all services. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	burst    float64
	members  int
	services map[pool.Tag]*service
}

// New returns the budget of a fleet of one instance.
func New() *Budget {
	return &Budget{members: 1, services: map[pool.Tag]*service{}}
}

// SetLimits changes the number of retries allowed per request, and the number that the
// fleet may send in addition.
func (b *Budget) SetLimits(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
}

// SetMembers sets the number of instances in the fleet.
func (b *Budget) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(1, n)
}

// limit is the maximum number of unused retries of the fleet.
func (b *Budget) limit() float64 { return safetyFactor * b.burst }

// instanceShare is the share of the limit that each instance may use before it receives
// reports.
func (b *Budget) instanceShare() float64 { return b.limit() / float64(b.members) }

// lookUp returns the budget of a service. A new one starts with the share of this
// instance.
func (b *Budget) lookUp(name pool.Tag) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{fleet: b.instanceShare(), local: b.instanceShare(), reports: map[Instance]Count{}}
		b.services[name] = s
	}
	return s
}

// RecordRequest counts a request to a service.
func (b *Budget) RecordRequest(name pool.Tag) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.lookUp(name)
	s.count.Requests++
	s.local = min(max(localBurst, b.instanceShare()), s.local+localRatio)
	b.add(s, Count{Requests: 1})
}

// add adds requests to the fleet budget and subtracts retries, of any instance.
func (b *Budget) add(s *service, c Count) {
	s.fleet = min(b.limit(), s.fleet+safetyFactor*b.ratio*c.Requests) - c.Retries
}

// Available reports whether a retry to a service is available.
func (b *Budget) Available(name pool.Tag) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.lookUp(name)
	return s.fleet >= 1 && s.local >= 1
}

// Spend takes a retry to a service, and returns false if none is available.
func (b *Budget) Spend(name pool.Tag) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.lookUp(name)
	if s.fleet < 1 || s.local < 1 {
		return false
	}
	s.local--
	s.count.Retries++
	b.add(s, Count{Retries: 1})
	return true
}

// Counts returns what this instance has sent, by service.
func (b *Budget) Counts() map[pool.Tag]Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[pool.Tag]Count, len(b.services))
	for n, s := range b.services {
		out[n] = s.count
	}
	return out
}

// ApplyReport adds what another instance has sent since its previous report. The first
// report of a process only sets the baseline: what was sent before it counts in the
// sender's budget alone.
func (b *Budget) ApplyReport(i Instance, counts map[pool.Tag]Count) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, c := range counts {
		s := b.lookUp(n)
		old, ok := s.reports[i]
		if !ok {
			for x := range s.reports {
				if x.Name == i.Name {
					delete(s.reports, x)
				}
			}
			old = c
		}
		s.reports[i] = c
		b.add(s, Count{Requests: max(0, c.Requests-old.Requests), Retries: max(0, c.Retries-old.Retries)})
	}
}

// RemoveInstance deletes the reports of an instance that has stopped.
func (b *Budget) RemoveInstance(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		for x := range s.reports {
			if x.Name == name {
				delete(s.reports, x)
			}
		}
	}
}
