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
	// endedUntil is the instant until which the process counts as ended, or 0.
	endedUntil time.Duration
	// awaitedSince is the first instant since a response last arrived at which one was due, or 0.
	awaitedSince time.Duration
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
	// endedTime is how long a process that an instance has found to have ended is not used. A new
	// process has another start time, and the row of an ended one expires soon after.
	endedTime = 2 * time.Second
)

const (
	// MaxSilence is how long a sound upstream may say nothing: the users state a second or so.
	MaxSilence = 1500 * time.Millisecond
	// silenceNoticed is the silence from which on other upstreams are preferred, by silencePenalty.
	silenceNoticed = 300 * time.Millisecond
	silencePenalty = 500 * time.Millisecond
)

// RecordSend records that a response of an upstream is due.
func (p *Pool) RecordSend(id ID, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok && e.health.awaitedSince == 0 {
		e.health.awaitedSince = now
	}
}

// RecordResponse records that a response of an upstream has begun.
func (p *Pool) RecordResponse(id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.health.awaitedSince = 0
	}
}

// RecordSilence records that a request was given up because an upstream said nothing. That is a failure only
// once the upstream has been silent for longer than sound ones are.
//
// Load pattern: a sound upstream is silent for a second or so while requests wait for it.
func (p *Pool) RecordSilence(id ID, now time.Duration) {
	p.mu.Lock()
	e, ok := p.entries[id]
	failed := ok && e.health.awaitedSince != 0 && now-e.health.awaitedSince >= MaxSilence
	p.mu.Unlock()
	if failed {
		p.RecordOutcome(id, Unreachable, now)
	}
}

// silent reports whether the upstream has said nothing for long enough for others to be preferred.
func (h *health) silent(now time.Duration) bool {
	return h.awaitedSince != 0 && now-h.awaitedSince >= silenceNoticed
}

// Outcome is the result of a request sent to an upstream.
type Outcome int

// Outcomes. Busy is a rejection by an upstream that is at capacity.
const (
	Served Outcome = iota
	Failed
	Unreachable
	Busy
)

// MarkEnded records that an instance has found a process of an upstream to have ended.
//
// Load pattern: many instances have requests for an upstream that has just crashed, and each of them
// would find out by a connection of its own.
func (p *Pool) MarkEnded(id ID, startedAt int64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok && e.StartedAt == startedAt && e.health.endedUntil == 0 {
		e.health.endedUntil = now + endedTime
	}
}

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
