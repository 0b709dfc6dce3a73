package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/lists"
)

// inFlightRequests tracks the requests in flight, so that they can be cancelled when their
// key is revoked and a graceful stop can wait for them.
type inFlightRequests struct {
	mu       sync.Mutex
	next     int64
	requests map[int64]inFlightRequest
}

type inFlightRequest struct {
	key    lists.KeyID
	cancel context.CancelCauseFunc
}

func newInFlightRequests() *inFlightRequests {
	return &inFlightRequests{requests: map[int64]inFlightRequest{}}
}

// register adds a request and returns its cancellable context. The returned function
// removes it.
func (r *inFlightRequests) register(c context.Context, key lists.KeyID) (context.Context, func()) {
	c, cancel := context.WithCancelCause(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.next
	r.next++
	r.requests[id] = inFlightRequest{key: key, cancel: cancel}
	return c, func() {
		cancel(nil)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.requests, id)
	}
}

// cancelWhere cancels the requests whose key matches f, with the reason as the cause, and
// returns their number. It skips requests on open routes, which have no key.
func (r *inFlightRequests) cancelWhere(f func(lists.KeyID) bool, reason *refusal.Refusal) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, x := range r.requests {
		if x.key != "" && f(x.key) {
			x.cancel(reason)
			n++
		}
	}
	return n
}

func (r *inFlightRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// HandleInstall cancels the requests in flight of keys that the new catalog state revokes.
func (s *Server) HandleInstall(_, after *lists.State) {
	reason := refusal.New(refusal.KeyRevoked, http.StatusUnauthorized, "the key was withdrawn while the answer ran").WithRun(refusal.Ran)
	s.inFlight.cancelWhere(func(k lists.KeyID) bool { return after.Keys[k].Revoked }, reason)
}

// watchLease cancels the requests in flight of all keys when the lease has been expired
// for longer than the grace period, because the instance cannot receive the revocation of
// a key in that time.
func (s *Server) watchLease(c context.Context) {
	expiredAt := time.Time{}
	s.Timer.Subscribe(c, leaseCheckInterval, func(now time.Time) {
		switch {
		case s.Fleet.Serving():
			expiredAt = time.Time{}
		case expiredAt.IsZero():
			expiredAt = now
		case now.Sub(expiredAt) > s.config.Lease.AnswerGrace.Duration():
			reason := refusal.Later(refusal.LeaseExpired, leaseRetryAfter, "this instance is cut off").WithRun(refusal.Ran)
			s.inFlight.cancelWhere(func(lists.KeyID) bool { return true }, reason)
		}
	})
}

const leaseCheckInterval = 250 * time.Millisecond

// cancelCause returns the refusal with which the server cancelled the context, or nil if
// it ended for another reason, such as a caller that disconnected.
func cancelCause(c context.Context) *refusal.Refusal {
	var r *refusal.Refusal
	if err := context.Cause(c); err != nil {
		r, _ = err.(*refusal.Refusal)
	}
	return r
}
