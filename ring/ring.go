// Package ring provides bounded queues between goroutines, and a bounded log that
// overwrites its oldest entries.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring with a capacity of n entries.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, n)}
}

// Offer adds v without blocking. It returns false if the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
		return false
	}
}

// Put adds v, blocking while the ring is full. It returns the error of c if c ends first.
func (r *Ring[T]) Put(c context.Context, v T) error {
	select {
	case r.slots <- v:
		return nil
	case <-c.Done():
		return c.Err()
	}
}

// Out returns the channel that delivers the entries.
func (r *Ring[T]) Out() <-chan T {
	return r.slots
}

// Log keeps the newest entries, up to a fixed number, and numbers all entries in
// sequence.
type Log[T any] struct {
	mu      sync.Mutex
	entries []T
	next    uint64
}

// NewLog returns a log that keeps n entries.
func NewLog[T any](n int) *Log[T] {
	return &Log[T]{entries: make([]T, n)}
}

// Append stores the entry that f returns for the next sequence number.
func (l *Log[T]) Append(f func(sequence uint64) T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[l.next%uint64(len(l.entries))] = f(l.next)
	l.next++
}

// Since returns the retained entries from sequence number s on, the sequence number after
// the last one, and how many entries from s on were overwritten.
func (l *Log[T]) Since(s uint64) (entries []T, next, lost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := uint64(len(l.entries))
	oldest := uint64(0)
	if l.next > size {
		oldest = l.next - size
	}
	if s < oldest {
		lost = oldest - s
		s = oldest
	}
	for ; s < l.next; s++ {
		entries = append(entries, l.entries[s%size])
	}
	return entries, l.next, lost
}
