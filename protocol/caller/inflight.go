package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/lists"
)

// running are the requests that are under way, so that they end when their
// key is withdrawn, and so that a planned stop can wait for them.
type running struct {
	mu     sync.Mutex
	next   int64
	cancel map[int64]runningRequest
}

type runningRequest struct {
	key lists.KeyID
	end context.CancelCauseFunc
}

func newRunning() *running {
	return &running{cancel: map[int64]runningRequest{}}
}

// begin registers a request. The returned function ends the registration.
func (r *running) begin(c context.Context, key lists.KeyID) (context.Context, func()) {
	c, end := context.WithCancelCause(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.next
	r.next++
	r.cancel[id] = runningRequest{key: key, end: end}
	return c, func() {
		end(nil)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancel, id)
	}
}

// endWhere ends the requests with a key for which f holds.
func (r *running) endWhere(f func(lists.KeyID) bool, why *refusal.Refusal) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, x := range r.cancel {
		if x.key != "" && f(x.key) {
			x.end(why)
			n++
		}
	}
	return n
}

func (r *running) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cancel)
}

// HandleInstall ends the running answers of keys that a change withdrew.
func (s *Server) HandleInstall(_, after *lists.State) {
	why := refusal.New(refusal.KeyRevoked, http.StatusUnauthorized, "the key was withdrawn while the answer ran").WithRun(refusal.Ran)
	s.running.endWhere(func(k lists.KeyID) bool { return after.Keys[k].Revoked }, why)
}

// watchLease ends the running answers of keys when the lease has been lapsed
// for longer than the grace time, because a withdrawal could not be seen.
func (s *Server) watchLease(c context.Context) {
	lapsed := time.Time{}
	s.Timer.Subscribe(c, leaseCheck, func(now time.Time) {
		switch {
		case s.Fleet.Serving():
			lapsed = time.Time{}
		case lapsed.IsZero():
			lapsed = now
		case now.Sub(lapsed) > s.config.Lease.AnswerGrace.Duration():
			why := refusal.Later(refusal.LeaseExpired, leaseRetry, "this instance is cut off").WithRun(refusal.Ran)
			s.running.endWhere(func(lists.KeyID) bool { return true }, why)
		}
	})
}

const leaseCheck = 250 * time.Millisecond

// cause returns why a request's context ended: a refusal when the server
// ended it, and nil when the caller went away.
func cause(c context.Context) *refusal.Refusal {
	var r *refusal.Refusal
	if err := context.Cause(c); err != nil {
		r, _ = err.(*refusal.Refusal)
	}
	return r
}
