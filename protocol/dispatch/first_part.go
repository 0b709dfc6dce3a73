package dispatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

// silentFactor is the number of latency objectives after which an upstream that has sent no part of a response
// counts as silent.
const silentFactor = 1

// firstPartLimit is a time within which the first part of a response must arrive. If it has
// passed, the send is cancelled: in any case, or if the retry budget allows another one.
type firstPartLimit struct {
	after       time.Duration
	needsBudget bool
}

// firstPartLimits returns the limits for the present send, the first one first.
//
// Load patterns: an upstream accepts requests but does not respond, while another one could still
// respond in time; a request waits in the queue of an engine with an older version of its
// adapter, until that must not be used any more.
func (d *Dispatcher) firstPartLimits(j *job) []firstPartLimit {
	var out []firstPartLimit
	now := d.Timer.Boot()
	another := j.route.Objective*silentFactor + 2*j.choice.FirstEvent
	silent := another
	if j.route.Kind == route.Stream {
		// Beginning a stream elsewhere costs another engine the prompt.
		silent = max(silent, pool.MaxSilence+j.choice.FirstEvent)
	}
	if j.route.Repeatable() && !j.started && j.runs+1 < j.route.MaxAttempts && j.deadline-now >= silent+another {
		out = append(out, firstPartLimit{after: silent, needsBudget: true})
	}
	if j.oldUntil == 0 {
		return out
	}
	expires := max(0, j.oldUntil-now)
	if expires <= silent {
		out = nil
	}
	return append(out, firstPartLimit{after: expires})
}

// startFirstPartTimer cancels the present send if no part of the response arrives within its
// limits. The returned function stops the timer; it returns false if the send was cancelled before.
func (d *Dispatcher) startFirstPartTimer(c context.Context, j *job, cancel context.CancelFunc) func() bool {
	limits, versioned := d.firstPartLimits(j), j.service.Engine != nil && j.Adapter.Name != "" && j.oldUntil == 0
	if len(limits) == 0 && !versioned {
		return func() bool { return true }
	}
	started, done := d.Timer.Boot(), make(chan struct{})
	version := j.choice.Version
	// decided is set by whichever comes first: the response or the timeout.
	var decided atomic.Bool
	go func() {
		for len(limits) > 0 || versioned {
			now := d.Timer.Boot()
			if versioned {
				limits, versioned = d.addExpiry(j, version, limits, started, now)
			}
			wait := versionPoll
			if len(limits) > 0 && (!versioned || started+limits[0].after-now < wait) {
				wait = max(0, started+limits[0].after-now)
			}
			n, stop := d.Timer.Notify(wait)
			select {
			case <-n:
			case <-done:
				stop()
				return
			case <-c.Done():
				stop()
				return
			}
			stop()
			if len(limits) == 0 || d.Timer.Boot() < started+limits[0].after {
				continue
			}
			l := limits[0]
			limits = limits[1:]
			if l.needsBudget && !d.Budget.Available(j.retryTag()) {
				d.Log.Info("no response from upstream within the limit; retry budget is empty, still waiting", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)))
				continue
			}
			if decided.CompareAndSwap(false, true) {
				j.outdated.Store(!l.needsBudget)
				d.Log.Info("no response from upstream within the limit; cancelling", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.Duration("limit", l.after), zap.Bool("outdated", !l.needsBudget))
				cancel()
			}
			return
		}
	}()
	return sync.OnceValue(func() bool {
		close(done)
		return decided.CompareAndSwap(false, true)
	})
}

// versionPoll is how often a request that waits at an engine checks whether a newer version of its adapter is known.
const versionPoll = 250 * time.Millisecond

// addExpiry adds the limit of a send to an engine with an adapter version that has become an older one since, and
// reports whether the version may still become one.
//
// Load pattern: a newer version is announced while requests wait in the long queues of engines.
func (d *Dispatcher) addExpiry(j *job, v route.Version, limits []firstPartLimit, started, now time.Duration) ([]firstPartLimit, bool) {
	newest, _, until := d.Versions(j.Adapter, now)
	if v >= newest {
		return limits, true
	}
	after := max(0, until-started)
	limits = slices.DeleteFunc(limits, func(l firstPartLimit) bool { return l.after >= after })
	return append(limits, firstPartLimit{after: after}), false
}
