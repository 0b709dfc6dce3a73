// Package timer is the time service that the other parts subscribe to.
//
// Decision logic takes instants as arguments and never asks for the time
// itself, so that tests can drive it with a clock of their own.
package timer

import (
	"context"
	"time"
)

// Service hands out the current time and timed notifications.
// The function fields are seams: a test replaces them with a controlled clock.
type Service struct {
	// Now returns the current time with its monotonic reading.
	Now func() time.Time
	// Boot returns the time since an arbitrary start. It neither follows jumps
	// of the time of day nor stops while the machine is suspended, so leases
	// are measured by it.
	Boot func() time.Duration
	// Notify sends on the returned channel once after d. The returned
	// function releases the subscription.
	Notify func(d time.Duration) (<-chan time.Time, func() bool)
	// Repeat sends on the returned channel every d. The returned function
	// releases the subscription.
	Repeat func(d time.Duration) (<-chan time.Time, func())
}

// New returns a service on the system clock.
func New() *Service {
	return &Service{Now: time.Now, Boot: boot, Notify: notify, Repeat: repeat}
}

func notify(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}

func repeat(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// Wait blocks for d or until c ends, and returns the error of c if it ended
// first.
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

// Subscribe calls f every d until c ends. It blocks, so that each subscriber
// runs it on its own goroutine.
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
