package suspicion

import (
	"sync"
	"time"
)

// trialTimeout is how long a trial may last before another one is granted: longer than an engine
// with a full queue needs for the first event.
const trialTimeout = 2 * time.Second

// Trials are the trials of suspected parts that one instance grants to the fleet: one request
// with such a part is sent at a time, and its outcome decides. It is safe for concurrent use.
//
// Load pattern: many requests with a part that may crash upstreams arrive at all instances
// before the first of them has been answered.
type Trials struct {
	mu      sync.Mutex
	granted map[Part]time.Duration
}

// NewTrials returns a Trials that has granted none.
func NewTrials() *Trials {
	return &Trials{granted: map[Part]time.Duration{}}
}

// Take grants a trial of a part unless one is in progress.
func (t *Trials) Take(p Part, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, at := range t.granted {
		if now-at >= trialTimeout {
			delete(t.granted, k)
		}
	}
	if _, ok := t.granted[p]; ok {
		return false
	}
	t.granted[p] = now
	return true
}

// End ends the trial of a part.
func (t *Trials) End(p Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.granted, p)
}
