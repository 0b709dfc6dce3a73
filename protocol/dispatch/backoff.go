package dispatch

import (
	"context"
	"time"
)

const (
	// placeRetry is the mean pause before the next look for an upstream,
	// lateRetry that of requests that cannot be on time any more. Both are for
	// fleets of up to retryPeers peers and grow with more, since all ask the
	// same owners.
	placeRetry = 20 * time.Millisecond
	lateRetry  = 250 * time.Millisecond
	retryPeers = 30
	// placeShare is the part of a caller's patience in which an upstream must
	// be found. The caller has the rest to come back in.
	placeShare = 0.3
)

// PlacementRetry is what is known of a request that waits for an adapter to be loaded.
type PlacementRetry struct {
	// Waited is the time since it arrived, Objective the one in which its
	// answer is to begin, Load the time that a load takes.
	Waited, Objective, Load time.Duration
	// Peers is the number of other instances.
	Peers int
}

// Backoff returns the mean pause before the next look for an upstream. Requests
// that can still be on time look more often than those that are late, so that
// they get most of the loads while the weight store is busy.
//
// Load pattern: more adapters are asked for at once than the weight store hands
// out, such as when traffic starts.
func (w PlacementRetry) Backoff() time.Duration {
	t := placeRetry
	if w.Waited+w.Load > w.Objective {
		t = lateRetry
	}
	return max(t, t*time.Duration(w.Peers)/retryPeers)
}

// placeBy is the instant from which a request that has found no upstream is
// refused, so that the caller has time to come back. A caller that has events
// waits as long for the next one as for the first.
//
// Load pattern: all adapter slots are taken for seconds.
func (j *job) placeBy(now time.Duration) time.Duration {
	t := time.Duration(float64(j.firstBy-j.Arrived) * placeShare)
	if j.first {
		return min(j.until, now+t)
	}
	return j.Arrived + t
}

// pause waits before the next look for an upstream.
func (d *Dispatcher) pause(c context.Context, j *job) {
	w := PlacementRetry{
		Waited: d.Timer.Boot() - j.Arrived, Objective: j.route.Objective,
		Load: d.settings.Load().Capacity.LoadTime, Peers: d.PeerCount(),
	}
	// The end of c is seen by the caller of pause.
	_ = d.Timer.Wait(c, time.Duration((0.5+d.Rand())*float64(w.Backoff())))
}
