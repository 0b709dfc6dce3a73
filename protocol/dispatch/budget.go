package dispatch

import "sync"

// budget bounds the sends beyond the first of each request, by service. Every
// request earns a part of a send, and the fleet's burst is parted equally
// over the instances.
//
// Load pattern: upstreams fail or reject part of their requests while all
// callers repeat theirs.
type budget struct {
	ratio  float64
	burst  float64
	mu     sync.Mutex
	levels map[string]float64
	known  map[string]bool
	parts  int
}

// caution is the part of the allowed retries that is used, because the
// windows of the promise slide.
const caution = 0.85

func newBudget() *budget {
	return &budget{levels: map[string]float64{}, known: map[string]bool{}, parts: 1}
}

// set changes the limits.
func (b *budget) set(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
}

func (b *budget) limit() float64 {
	return caution * b.burst / float64(max(1, b.parts))
}

// earn adds the part of one request. Parts is the number of instances.
func (b *budget) earn(service string, parts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = parts
	if !b.known[service] {
		b.known[service] = true
		b.levels[service] = b.limit()
	}
	b.levels[service] = min(b.limit(), b.levels[service]+caution*b.ratio)
}

func (b *budget) has(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.levels[service] >= 1
}

func (b *budget) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.levels[service] < 1 {
		return false
	}
	b.levels[service]--
	return true
}
