package suspicion

import (
	"slices"
	"sync"
	"time"
)

const (
	// breakRetention is how long the row of an upstream that has crashed may still be there.
	breakRetention = 6 * time.Second
	maxBreaks      = 256
)

// Breaks holds the requests that broke off, or whose callers left, while it was not known whether the upstream had
// ended. Its row shows that later. A response of the same process shows that it has not. It is safe for concurrent
// use. All instants are those of timer.Service.Boot.
//
// Load pattern: a request crashes one upstream after the other while other instances stand still, or connections to
// them are silent, so that nobody confirms the ends.
type Breaks struct {
	mu   sync.Mutex
	list []brokenRequest
}

type brokenRequest struct {
	Evidence
	at time.Duration
}

// Add records a request with some parts that broke off at a process. The oldest one is dropped for more than
// maxBreaks.
func (b *Breaks) Add(e Evidence, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if len(b.list) >= maxBreaks {
		b.list = b.list[1:]
	}
	b.list = append(b.list, brokenRequest{Evidence: e, at: now})
}

// Alive drops the requests that broke off at a process before it gave a response.
func (b *Breaks) Alive(x Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = slices.DeleteFunc(b.list, func(r brokenRequest) bool { return r.Crash == x })
}

// Ended returns the requests that broke off at a process that turns out to have ended, and drops them.
func (b *Breaks) Ended(x Crash, now time.Duration) (out []Evidence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.list = slices.DeleteFunc(b.list, func(r brokenRequest) bool {
		if r.Crash == x {
			out = append(out, r.Evidence)
		}
		return r.Crash == x
	})
	return out
}

func (b *Breaks) expire(now time.Duration) {
	b.list = slices.DeleteFunc(b.list, func(r brokenRequest) bool { return now-r.at > breakRetention })
}
