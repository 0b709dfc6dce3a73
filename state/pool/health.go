package pool

import "time"

// health is the passive health check of an upstream, based on the outcomes of requests.
//
// Load pattern: an upstream fails part of its requests while its own health check passes,
// or does not respond at all.
type health struct {
	// failureRate is the exponentially smoothed share of failed requests.
	failureRate float64
	// backoffUntil is the instant until which the upstream gets no requests.
	backoffUntil time.Duration
	// connectFailures counts consecutive failures to connect.
	connectFailures int
}

const (
	// failureWeight is the weight of one outcome in the failure rate; a rejection counts
	// half.
	failureWeight = 0.12
	// minBackoff and maxBackoff bound the backoff after consecutive failures to connect;
	// it doubles with each failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Outcome is the result of a request sent to an upstream.
type Outcome int

// Outcomes. Busy is a rejection by an upstream that is at capacity.
const (
	Served Outcome = iota
	Failed
	Unreachable
	Busy
)

// RecordOutcome updates the health of an upstream with the outcome of a request.
func (p *Pool) RecordOutcome(id ID, o Outcome, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return
	}
	h := &e.health
	switch o {
	case Served:
		h.connectFailures = 0
		h.failureRate -= failureWeight * h.failureRate
	case Failed:
		h.failureRate += failureWeight * (1 - h.failureRate)
	case Busy:
		h.failureRate += failureWeight / 2 * (1 - h.failureRate)
	case Unreachable:
		h.failureRate += failureWeight * (1 - h.failureRate)
		h.backoffUntil = now + min(maxBackoff, minBackoff<<min(h.connectFailures, 6))
		h.connectFailures++
	}
}
