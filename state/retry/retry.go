// Package retry bounds the sends beyond the first of each request over a fleet
// whose instances tell each other what they sent.
//
// Load patterns: some instances meet engines that reject part of their requests
// while others need no retries; upstreams fail, and all callers repeat their
// requests at once.
package retry

import (
	"sync"

	"gentiangauge.example/gentiangauge/state/pool"
)

const (
	// caution is the part of the allowed retries that is used: the windows of the
	// promise slide, and reports are old.
	caution = 0.8
	// ownRatio is the part of a retry that an instance earns by each request of its
	// own, and ownBurst the least number that it may save up. They bound what is
	// sent before the others have heard of it.
	ownRatio = 0.3
	ownBurst = 3
)

// Instance names an instance and one run of its process.
type Instance struct {
	Name string
	Run  int64
}

// Count is what an instance sent to a service since its start.
type Count struct {
	Requests, Retries float64
}

// service is what is known of the sends to one service.
type service struct {
	// fleet are the retries that are left to all instances, own those that this
	// one may send without hearing of the others.
	fleet, own float64
	count      Count
	heard      map[Instance]Count
}

// Budget holds the retries of all services. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	burst    float64
	members  int
	services map[pool.Tag]*service
}

// New returns a budget of one instance.
func New() *Budget {
	return &Budget{members: 1, services: map[pool.Tag]*service{}}
}

// SetLimits changes the limits: the retries allowed for each request, and the number
// that the fleet may send beyond them.
func (b *Budget) SetLimits(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
}

// SetMembers tells of how many instances the fleet consists.
func (b *Budget) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(1, n)
}

// limit is the number of retries that may be saved up by all instances.
func (b *Budget) limit() float64 { return caution * b.burst }

// part is the part of it that each instance may use without having heard of the
// others.
func (b *Budget) part() float64 { return b.limit() / float64(b.members) }

// of returns the state of a service, at first with this instance's part.
func (b *Budget) of(name pool.Tag) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{fleet: b.part(), own: b.part(), heard: map[Instance]Count{}}
		b.services[name] = s
	}
	return s
}

// RecordRequest counts a request to a service.
func (b *Budget) RecordRequest(name pool.Tag) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(name)
	s.count.Requests++
	s.own = min(max(ownBurst, b.part()), s.own+ownRatio)
	b.add(s, Count{Requests: 1})
}

// add counts sends of any instance to the retries that are left.
func (b *Budget) add(s *service, c Count) {
	s.fleet = min(b.limit(), s.fleet+caution*b.ratio*c.Requests) - c.Retries
}

// Available reports whether a retry to a service is left.
func (b *Budget) Available(name pool.Tag) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(name)
	return s.fleet >= 1 && s.own >= 1
}

// Spend takes a retry to a service if one is left.
func (b *Budget) Spend(name pool.Tag) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(name)
	if s.fleet < 1 || s.own < 1 {
		return false
	}
	s.own--
	s.count.Retries++
	b.add(s, Count{Retries: 1})
	return true
}

// Counts returns what this instance sent, by service.
func (b *Budget) Counts() map[pool.Tag]Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[pool.Tag]Count, len(b.services))
	for n, s := range b.services {
		out[n] = s.count
	}
	return out
}

// ApplyReport takes over what another instance sent since its start. What it sent
// before the first report counts for its retries alone.
func (b *Budget) ApplyReport(i Instance, counts map[pool.Tag]Count) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, c := range counts {
		s := b.of(n)
		old, ok := s.heard[i]
		if !ok {
			for x := range s.heard {
				if x.Name == i.Name {
					delete(s.heard, x)
				}
			}
			old = c
		}
		s.heard[i] = c
		b.add(s, Count{Requests: max(0, c.Requests-old.Requests), Retries: max(0, c.Retries-old.Retries)})
	}
}

// RemoveInstance forgets an instance that ended.
func (b *Budget) RemoveInstance(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		for x := range s.heard {
			if x.Name == name {
				delete(s.heard, x)
			}
		}
	}
}
