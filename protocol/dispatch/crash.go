package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/suspicion"
)

const (
	// soundEvents is the number of events after which an upstream has survived a request: the
	// first one may be the last that it sends.
	soundEvents = 2
	// maxTrialWait is how long a suspected request waits for the trial of its part, trialPoll the
	// time between two attempts to get it, and trialRetryAfter the Retry-After of a request that
	// does not, within which most trials end.
	maxTrialWait    = 100 * time.Millisecond
	trialPoll       = 25 * time.Millisecond
	trialRetryAfter = 400 * time.Millisecond
	// blockedPoll is how often a request that waits for its adapter checks whether it is blocked.
	blockedPoll = 50 * time.Millisecond
)

// parts returns the parts of a request that may crash an upstream: those of its prompt and the
// request itself, which is hashed only if that is needed.
func (j *job) parts() []suspicion.Part {
	if j.knownParts == nil {
		j.knownParts = append(slices.Clone(j.Parts), requestPart(j.Request))
	}
	return j.knownParts
}

// status returns the status of a request and, if it is suspected, the part that has crashed the
// most upstreams.
func (d *Dispatcher) status(j *job) (suspicion.Status, suspicion.Part) {
	if d.Suspects.Quiet() {
		return suspicion.Clean, 0
	}
	return d.Suspects.Status(j.parts())
}

// requestPart returns the part that stands for a whole request. The request ID is left out: the
// same request comes again under another one.
func requestPart(q *Request) suspicion.Part {
	return suspicion.NewPart("request", q.Method, q.Host, q.Target, q.Key, string(q.Body))
}

// checkBlocked refuses a request that crashes the upstreams that run it. The refusal is final:
// the request must not come back.
func (d *Dispatcher) checkBlocked(j *job) error {
	if s, _ := d.status(j); s != suspicion.Blocked {
		return nil
	}
	return blockedRefusal()
}

func blockedRefusal() *refusal.Refusal {
	return refusal.New(refusal.RequestBlocked, http.StatusUnprocessableEntity, "requests like this one crash the upstreams that run them")
}

// awaitTrial lets a request pass unless it is blocked. If it is suspected, it takes the trial of
// its part, which only one request of the fleet has at a time, or refuses the request.
func (d *Dispatcher) awaitTrial(c context.Context, j *job) error {
	since := d.Timer.Boot()
	for {
		switch s, p := d.status(j); {
		case s == suspicion.Clean:
			return nil
		case s == suspicion.Blocked:
			return blockedRefusal()
		case d.TakeTrial(c, p):
			j.trial = p
			d.Log.Info("sent on trial", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.Stringer("part", p))
			return nil
		}
		if c.Err() != nil || d.Timer.Boot()-since >= maxTrialWait {
			return refusal.Later(refusal.Overloaded, trialRetryAfter, "a part of the request may crash upstreams and is being tried by another request")
		}
		// The loop checks whether c has ended.
		_ = d.Timer.Wait(c, trialPoll)
	}
}

// endTrial gives the trial of the last send back.
func (d *Dispatcher) endTrial(j *job) {
	if j.trial != 0 {
		d.EndTrial(j.trial)
		j.trial = 0
	}
}

// recordSound records once that the upstream of the present send has survived the request.
func (d *Dispatcher) recordSound(c context.Context, j *job) {
	if !j.sound {
		j.sound = true
		if !d.Suspects.Quiet() {
			d.Suspects.RecordSound(c, j.parts())
		}
	}
}

// recordBreak handles a connection that broke after the request was sent. If that is because the
// upstream crashed, and the upstream has not survived the request before, its parts may be the
// cause. Upstreams that stop as planned end connections too.
func (d *Dispatcher) recordBreak(c context.Context, j *job) {
	u := j.choice.Upstream
	v := d.Pool.Admits(u, d.Timer.Boot())
	ended := v == pool.Replaced || d.HasEnded(c, u.Address)
	planned := v == pool.Leaving || v == pool.Removed
	d.Metrics.countBreak(ended)
	d.Log.Info("connection broke during request", zap.String("request", j.ID), zap.String("upstream", string(u.ID)), zap.Int64("born", u.StartedAt),
		zap.Bool("ended", ended), zap.Bool("planned", planned), zap.String("way", j.sentAs), zap.Int("events", j.events), zap.Bool("trial", j.trial != 0), zap.Stringers("parts", j.parts()))
	if planned {
		return
	}
	if !ended {
		if j.trial != 0 && !j.sound {
			d.Suspects.RecordUnresolved(c, string(u.ID), j.parts())
			return
		}
		d.recordUnsettled(j)
		return
	}
	parts := j.parts()
	if j.sound {
		parts = nil
	}
	d.Suspects.RecordCrash(c, suspicion.Crash{Upstream: string(u.ID), StartedAt: u.StartedAt}, parts, j.trial != 0)
}

// recordUnsettled records that the present send broke off, or was given up, while it is not known whether its
// upstream has ended. RecordEnded tells that later.
func (d *Dispatcher) recordUnsettled(j *job) {
	if u := j.choice.Upstream; !j.sound {
		d.breaks.Add(suspicion.Evidence{Crash: suspicion.Crash{Upstream: string(u.ID), StartedAt: u.StartedAt}, Parts: j.parts()}, d.Timer.Boot())
	}
}

// RecordEnded records that the process of an upstream has ended without notice, as its row shows. The requests that
// broke off there shortly before may be the cause.
func (d *Dispatcher) RecordEnded(c context.Context, u pool.Upstream) {
	x := suspicion.Crash{Upstream: string(u.ID), StartedAt: u.StartedAt}
	for _, e := range d.breaks.Ended(x, d.Timer.Boot()) {
		d.Log.Info("upstream has ended under a request that broke off before", zap.String("upstream", x.Upstream), zap.Int64("born", x.StartedAt), zap.Stringers("parts", e.Parts))
		d.Suspects.RecordCrash(c, x, e.Parts, false)
	}
}

// recordAlive records that the process of an upstream has given a response.
func (d *Dispatcher) recordAlive(u pool.Upstream) {
	d.breaks.Alive(suspicion.Crash{Upstream: string(u.ID), StartedAt: u.StartedAt})
}
