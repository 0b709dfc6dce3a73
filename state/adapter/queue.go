package adapter

import (
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

//go:generate go tool stringer -type=Result -linecomment -output=queue_string.go

// Result is the outcome of a request to an owner for a use.
type Result int32

// Results. After Busy, another upstream should be tried.
const (
	Granted    Result = iota // granted
	Busy                     // busy
	NotOwner                 // not-owner
	LoadFailed               // load-failed
)

// Outcome is the final answer to a waiter.
type Outcome struct {
	Result Result
	Use    Use
}

// Waiter is a request that is queued for an upstream.
type Waiter struct {
	Use    Use
	Tokens lists.Tokens
	Since  time.Time
	// NeedsLoad is set if the adapter was not ready when the request was queued.
	NeedsLoad bool
	// Answer receives the outcome. It must be buffered.
	Answer chan Outcome
	// start is the virtual start time.
	start float64
}

// Queue orders requests by start-time fair queueing, with their tokens as cost, so that a
// workspace with many requests does not delay the others. It is not safe for concurrent use.
type Queue struct {
	waiting []*Waiter
	// finish has the virtual finish time of the last request of each workspace, virtual is
	// the virtual time.
	finish  map[lists.WorkspaceID]float64
	virtual float64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{finish: map[lists.WorkspaceID]float64{}}
}

// Push inserts a waiter by its virtual start time.
func (q *Queue) Push(w *Waiter) {
	w.start = max(q.virtual, q.finish[w.Use.Workspace])
	q.finish[w.Use.Workspace] = w.start + float64(w.Tokens)
	i, _ := slices.BinarySearchFunc(q.waiting, w.start, func(x *Waiter, start float64) int {
		if x.start <= start {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, i, w)
}

// Pop removes and returns the first waiter for which f returns true, or nil if there is none.
func (q *Queue) Pop(f func(*Waiter) bool) *Waiter {
	for i, w := range q.waiting {
		if f(w) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			q.virtual = max(q.virtual, w.start)
			return w
		}
	}
	if len(q.waiting) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
	return nil
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	return len(q.waiting)
}

// Needs reports whether a waiter needs the adapter.
func (q *Queue) Needs(a lists.Adapter) bool {
	return slices.ContainsFunc(q.waiting, func(w *Waiter) bool { return w.Use.Adapter == a })
}

// FirstPerAdapter returns the first waiter for each adapter for which f returns false.
func (q *Queue) FirstPerAdapter(f func(lists.Adapter) bool) []*Waiter {
	var all []*Waiter
	seen := map[lists.Adapter]bool{}
	for _, w := range q.waiting {
		if !seen[w.Use.Adapter] && !f(w.Use.Adapter) {
			seen[w.Use.Adapter] = true
			all = append(all, w)
		}
	}
	return all
}
