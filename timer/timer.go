// Package timer provides the clock and the timers that the other packages use.
//
// Decision logic takes instants as arguments and never reads the clock itself, so that
// tests can control the time.
package timer

import (
	"context"
	"time"
)

// Service provides the current time and timed notifications. Tests replace the function
// fields with a fake clock.
type Service struct {
	// Now returns the current time with its monotonic reading.
	Now func() time.Time
	// Boot returns the time since an arbitrary start. It is unaffected by changes of the
	// wall clock and keeps running while the machine is suspended, so leases are measured
	// with it.
	Boot func() time.Duration
	// Notify sends on the returned channel once after d. The returned function releases
	// the timer.
	Notify func(d time.Duration) (<-chan time.Time, func() bool)
	// Repeat sends on the returned channel every d. The returned function releases the
	// ticker.
	Repeat func(d time.Duration) (<-chan time.Time, func())
}

// New returns a service that uses the system clock.
func New() *Service {
	return &Service{Now: time.Now, Boot: sinceBoot, Notify: notify, Repeat: repeat}
}

func notify(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}

func repeat(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Wait blocks for d or until c ends. It returns the error of c if c ended first.
func (s *Service) Wait(c context.Context, d time.Duration) error {
	n, stop := s.Notify(d)
	defer stop()
	select {
	case <-n:
		return nil
	case <-c.Done():
		return c.Err()
	}
}

// Subscribe calls f every d until c ends. It blocks, so each subscriber runs it on its
// own goroutine.
func (s *Service) Subscribe(c context.Context, d time.Duration, f func(now time.Time)) {
	n, stop := s.Repeat(d)
	defer stop()
	for {
		select {
		case <-n:
			f(s.Now())
		case <-c.Done():
			return
		}
	}
}
