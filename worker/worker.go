// Package worker runs the goroutine that owns a piece of state.
//
// Other goroutines reach the state only through the worker's bounded ring.
package worker

import (
	"context"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/ring"
)

// ErrStopped is returned when the worker has ended.
var ErrStopped = eris.New("worker has stopped")

// ErrFull is returned when the ring of the worker has no room.
var ErrFull = eris.New("worker ring is full")

type task[S any] struct {
	run  func(*S)
	done chan struct{}
}

// Worker owns a state of type S.
type Worker[S any] struct {
	inbox *ring.Ring[task[S]]
	ended chan struct{}
}

// Start runs a worker on state with a ring of n tasks until c ends.
func Start[S any](c context.Context, n int, state *S) *Worker[S] {
	w := &Worker[S]{inbox: ring.New[task[S]](n), ended: make(chan struct{})}
	go w.serve(c, state)
	return w
}

func (w *Worker[S]) serve(c context.Context, state *S) {
	defer close(w.ended)
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

// Do runs f on the state and waits until it has run.
// It returns ErrFull, ErrStopped or the error of c; f may still run after an
// error of c.
func (w *Worker[S]) Do(c context.Context, f func(*S)) error {
	t := task[S]{run: f, done: make(chan struct{})}
	if !w.inbox.Offer(t) {
		return ErrFull
	}
	select {
	case <-t.done:
		return nil
	case <-w.ended:
		return ErrStopped
	case <-c.Done():
		return c.Err()
	}
}

// Post hands f to the worker without waiting and reports whether the ring
// had room.
func (w *Worker[S]) Post(f func(*S)) bool {
	return w.inbox.Offer(task[S]{run: f, done: make(chan struct{})})
}
