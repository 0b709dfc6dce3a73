package pool

import "time"

// health is what the requests sent to an upstream show of it.
//
// Load pattern: an upstream fails part of its requests while its own health
// check is good, or does not answer at all.
type health struct {
	// failing is the smoothed share of failed requests.
	failing float64
	// downUntil is the instant until which the upstream gets no requests.
	downUntil time.Duration
	// refusals counts the failed connections in a row.
	refusals int
}

const (
	failureWeight = 0.12
	// minDown and maxDown bound the pause after connections that fail in a
	// row; it doubles with each.
	minDown = 250 * time.Millisecond
	maxDown = 2 * time.Second
)

// Outcome is how an upstream dealt with a request.
type Outcome int

// Outcomes. Busy is a rejection by an upstream that is full.
const (
	Served Outcome = iota
	Failed
	Unreachable
	Busy
)

// RecordOutcome records the outcome of a request.
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
		h.refusals = 0
		h.failing -= failureWeight * h.failing
	case Failed:
		h.failing += failureWeight * (1 - h.failing)
	case Busy:
		h.failing += failureWeight / 2 * (1 - h.failing)
	case Unreachable:
		h.failing += failureWeight * (1 - h.failing)
		h.downUntil = now + min(maxDown, minDown<<min(h.refusals, 6))
		h.refusals++
	}
}
