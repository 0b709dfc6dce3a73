// Package worker runs a goroutine that owns a piece of state.
//
// Other goroutines access the state only by submitting functions to the bounded queue of
// the worker.
package worker

import (
	"context"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/ring"
)

// ErrStopped is returned when the worker has stopped.
var ErrStopped = eris.New("worker has stopped")

// ErrFull is returned when the queue of the worker is full.
var ErrFull = eris.New("worker queue is full")

type task[S any] struct {
	run  func(*S)
	done chan struct{}
}

// Worker owns a state of type S and runs submitted functions on it, one at a time.
type Worker[S any] struct {
	inbox   *ring.Ring[task[S]]
	stopped chan struct{}
}

// Start runs a worker on state, with a queue of n functions, until c ends.
func Start[S any](c context.Context, n int, state *S) *Worker[S] {
	w := &Worker[S]{inbox: ring.New[task[S]](n), stopped: make(chan struct{})}
	go w.serve(c, state)
	return w
}

func (w *Worker[S]) serve(c context.Context, state *S) {
	defer close(w.stopped)
	for {
		select {
		case t := <-w.inbox.Out():
			t.run(state)
			close(t.done)
		case <-c.Done():
			return
		}
	}
}

// Do runs f on the state and waits until it has run. It returns ErrFull, ErrStopped or
// the error of c; f may still run after an error of c.
func (w *Worker[S]) Do(c context.Context, f func(*S)) error {
	t := task[S]{run: f, done: make(chan struct{})}
	if !w.inbox.Offer(t) {
		return ErrFull
	}
	select {
	case <-t.done:
		return nil
	case <-w.stopped:
		return ErrStopped
	case <-c.Done():
		return c.Err()
	}
}

// Post queues f without waiting for it to run. It returns false if the queue is full.
func (w *Worker[S]) Post(f func(*S)) bool {
	return w.inbox.Offer(task[S]{run: f, done: make(chan struct{})})
}
