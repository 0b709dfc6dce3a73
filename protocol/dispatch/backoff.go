package dispatch

import (
	"context"
	"time"
)

const (
	// onTimeRetryPause is the mean pause between two attempts to place a request that
	// can still meet its latency objective, lateRetryPause that of a request that
	// cannot. Both hold for fleets of up to retryScalePeers peers and grow in
	// proportion beyond, because all instances ask the same engine owners.
	onTimeRetryPause = 20 * time.Millisecond
	lateRetryPause   = 250 * time.Millisecond
	retryScalePeers  = 30
	// placementShare is the part of the caller's timeout within which an upstream must
	// be found. The rest is left for the caller to retry.
	placementShare = 0.3
)

// PlacementRetry describes a request that waits for an adapter to be loaded.
type PlacementRetry struct {
	// Waited is the time since the request arrived, Objective its latency objective for
	// the first event, and Load the expected duration of an adapter load.
	Waited, Objective, Load time.Duration
	// Peers is the number of other instances.
	Peers int
}

// Backoff returns the mean pause before the next attempt to place the request. Requests
// that can still meet their objective retry more often than late ones, so that they get
// most of the loads while the weight store is busy.
//
// Load pattern: more adapters are requested at once than the weight store can deliver,
// such as when traffic starts.
func (w PlacementRetry) Backoff() time.Duration {
	t := onTimeRetryPause
	if w.Waited+w.Load > w.Objective {
		t = lateRetryPause
	}
	return max(t, t*time.Duration(w.Peers)/retryScalePeers)
}

// placementDeadline returns the instant at which a request without an upstream is
// refused, early enough for the caller to retry. A caller that has already received
// events waits as long for the next event as for the first. A request that was given up at a silent
// upstream gets as much time for another one.
//
// Load pattern: all adapter slots stay in use for seconds.
func (j *job) placementDeadline(now time.Duration) time.Duration {
	t := time.Duration(float64(j.firstDeadline-j.Arrived) * placementShare)
	switch {
	case j.started:
		return min(j.deadline, now+t)
	case j.runs > 0:
		return min(j.firstDeadline, now+t)
	}
	return j.Arrived + t
}

// backOff waits before the next attempt to place a request, for half to one and a half
// times the mean pause.
func (d *Dispatcher) backOff(c context.Context, j *job) {
	w := PlacementRetry{
		Waited: d.Timer.Boot() - j.Arrived, Objective: j.route.Objective,
		Load: d.settings.Load().Capacity.LoadTime, Peers: d.PeerCount(),
	}
	// The caller checks whether c has ended.
	_ = d.Timer.Wait(c, time.Duration((0.5+d.Rand())*float64(w.Backoff())))
}
