package store

import (
	"sync"
	"time"
)

// MaxSilence is the time without an answer of the store after which calls that wait for changes may be lost. The
// list of upstreams changes more often.
const MaxSilence = 2 * time.Second

// Outages tells when the store answers after it has been silent. Calls that it received before that may never be
// answered. It is safe for concurrent use.
//
// Load pattern: the store falls silent for some seconds while all readers wait for changes, and none of these
// calls is answered later.
type Outages struct {
	// Now returns the time since the boot of the host. Nil stands for a clock that does not move.
	Now func() time.Duration

	mu         sync.Mutex
	answeredAt time.Duration
	// failed is set if a call has failed since then.
	failed bool
	// next is the end of the next outage, if anyone waits for it.
	next *OutageEnd
}

// OutageEnd is the end of an outage.
type OutageEnd struct {
	// Done is closed at the end.
	Done chan struct{}
	// Failed is set by then if calls have failed, and not only waited.
	Failed bool
}

func (x *Outages) now() time.Duration {
	if x.Now == nil {
		return 0
	}
	return x.Now()
}

// Record records whether the store has answered a call.
func (x *Outages) Record(answered bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !answered {
		x.failed = true
		return
	}
	now := x.now()
	if x.next != nil && now-x.answeredAt >= MaxSilence {
		x.next.Failed = x.failed
		close(x.next.Done)
		x.next = nil
	}
	x.answeredAt, x.failed = now, false
}

// End returns the end of the next outage, or of the present one.
func (x *Outages) End() *OutageEnd {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.next == nil {
		x.next = &OutageEnd{Done: make(chan struct{})}
	}
	return x.next
}

// Silence returns the time since the store last answered.
func (x *Outages) Silence() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.now() - x.answeredAt
}
