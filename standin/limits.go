package standin

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// LimitWindow is the span over which requests are counted against a limit.
	LimitWindow = 4 * time.Second
	// limitFactor times the limit and limitSlack more requests are allowed in a window.
	limitFactor = 1.5
	limitSlack  = 5
	// LimitContact is how long after an upstream first sets a limit the fleet must keep it.
	LimitContact = 3 * time.Second
	// limitNews is the time after which an instance must keep a limit that it was sent.
	limitNews = 500 * time.Millisecond
)

// RateLimits sets the rate limits of one upstream, which hold for all instances together,
// and checks the requests that arrive there. It is safe for concurrent use.
type RateLimits struct {
	// Excused reports whether the requests of an instance do not count at a time. Nil
	// excuses none.
	Excused func(instance string, at time.Duration) bool

	now func() time.Duration
	mu  sync.Mutex
	// limits are the limits set so far; a rate of 0 is none. since is when the present
	// series of limits began.
	limits []limitChange
	since  time.Duration
	// told has, by instance, when it was first sent one of the present limits.
	told      map[string]time.Duration
	arrivals  []time.Duration
	violation string
}

type limitChange struct {
	at   time.Duration
	rate float64
}

// NewRateLimits returns a RateLimits without a limit. The parameter now is its clock.
func NewRateLimits(now func() time.Duration) *RateLimits {
	return &RateLimits{now: now, told: map[string]time.Duration{}}
}

// Set changes the limit, in requests per second. A rate of 0 ends it.
func (l *RateLimits) Set(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.rate() == 0 {
		l.since, l.told, l.arrivals = now, map[string]time.Duration{}, nil
	}
	l.limits = append(l.limits, limitChange{at: now, rate: rate})
}

func (l *RateLimits) rate() float64 {
	if len(l.limits) == 0 {
		return 0
	}
	return l.limits[len(l.limits)-1].rate
}

// Header returns the limit for the response to a request of an instance, or "" if there is
// none.
func (l *RateLimits) Header(instance string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate() == 0 {
		return ""
	}
	if _, ok := l.told[instance]; !ok {
		l.told[instance] = l.now()
	}
	return strconv.FormatFloat(l.rate(), 'f', -1, 64)
}

// Arrive counts a request of an instance, and checks the window that ends with it.
func (l *RateLimits) Arrive(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	told, ok := l.told[instance]
	if l.rate() == 0 || !ok || now-told < limitNews || l.Excused != nil && l.Excused(instance, now) {
		return
	}
	l.arrivals = append(l.arrivals, now)
	for now-l.arrivals[0] > LimitWindow {
		l.arrivals = l.arrivals[1:]
	}
	highest := l.rate()
	for i, c := range l.limits[:len(l.limits)-1] {
		if now-l.limits[i+1].at < LimitWindow+limitNews {
			highest = max(highest, c.rate)
		}
	}
	allowed := limitFactor*highest*LimitWindow.Seconds() + limitSlack
	if n := len(l.arrivals); now-l.since >= LimitContact && float64(n) > allowed && l.violation == "" {
		l.violation = fmt.Sprintf("at %v: %d requests in %v at a limit of %v a second, %.1f allowed", now, n, LimitWindow, highest, allowed)
	}
}

// Violation describes the first window with too many requests, or is "".
func (l *RateLimits) Violation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violation
}
