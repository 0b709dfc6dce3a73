// Package admission checks whether an upstream accepts new work. Requests, resumed streams,
// retries, orders and reads of reports are checked just before they are sent, and the notices
// in the responses of upstreams are applied.
package admission

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/timer"
)

// ErrNotAdmitted means that nothing was sent because the upstream accepts no new work.
var ErrNotAdmitted = eris.New("upstream accepts no new work")

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is how a request with a permit has ended.
type Outcome int

// Outcomes. Rejected means that the upstream had no room for the request.
const (
	Finished Outcome = iota // finished
	NotSent                 // not sent
	Rejected                // rejected
)

// unansweredWait is how long no further permit for an upstream is requested after its owner
// was unknown or did not answer.
const unansweredWait = 250 * time.Millisecond

// Admission decides by the state of the pool at the time of the call.
type Admission struct {
	// TakePermit requests a permit from the owner of an upstream. An error means that the
	// owner is unknown or did not answer. Nil grants all.
	TakePermit func(c context.Context, u pool.Upstream, n pool.Need) (pool.PermitAnswer, error)
	// ReturnPermit tells the owner how the request with a permit has ended. Nil drops it.
	ReturnPermit func(u pool.Upstream, o Outcome)
	// OnLimit is called when a response has changed the limit of an upstream. Nil ignores it.
	OnLimit func(u pool.Upstream)

	pool  *pool.Pool
	timer *timer.Service
	log   *zap.Logger
}

// New returns the Admission for the upstreams of a pool.
func New(p *pool.Pool, t *timer.Service, log *zap.Logger) *Admission {
	return &Admission{pool: p, timer: t, log: log.Named("admission")}
}

// CheckOrder fails with ErrNotAdmitted if no order, and no read of a report, may be sent to the upstream now.
// If the upstream has a rate limit, CheckOrder takes a permit. The parameter what names the call, for the log.
func (a *Admission) CheckOrder(c context.Context, u pool.Upstream, what string) error {
	_, err := a.check(c, u, what, pool.Need{})
	return err
}

// CheckRequest fails with ErrNotAdmitted if no request may be sent to the upstream now. If the upstream has a
// rate limit or is brittle, CheckRequest takes a permit for one request, which must be sent at once; permitted
// is set then, and End must be called. The parameter id is that of the request, for the log.
func (a *Admission) CheckRequest(c context.Context, u pool.Upstream, id string, n pool.Need) (permitted bool, err error) {
	n.Work = true
	return a.check(c, u, id, n)
}

func (a *Admission) check(c context.Context, u pool.Upstream, what string, n pool.Need) (permitted bool, err error) {
	v := a.pool.Admits(u, a.timer.Boot())
	if v == pool.NeedsPermit && !n.Work && a.pool.Limit(u.ID).Rate == 0 {
		v = pool.Admitted
	}
	if v == pool.NeedsPermit {
		if !a.takePermit(c, u, what, n) {
			v = pool.Limited
		} else if v = a.pool.Admits(u, a.timer.Boot()); v.Available() {
			return true, nil
		} else {
			a.End(u, NotSent)
		}
	}
	if v == pool.Admitted {
		return false, nil
	}
	a.log.Info("withheld", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.Stringer("why", v), zap.Int64("upstream-row", int64(u.RowVersion)))
	return false, eris.Wrap(ErrNotAdmitted, v.String())
}

// takePermit requests a permit. If none is granted, no further one is requested before the
// time that the owner has given.
func (a *Admission) takePermit(c context.Context, u pool.Upstream, what string, n pool.Need) bool {
	if a.TakePermit == nil {
		return true
	}
	r, err := a.TakePermit(c, u, n)
	if err != nil {
		r = pool.PermitAnswer{Wait: unansweredWait}
	}
	l := a.pool.Limit(u.ID)
	a.log.Info("permit", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.Bool("granted", r.Granted), zap.Duration("wait", r.Wait),
		zap.Float64("limit", float64(l.Rate)), zap.Bool("brittle", l.Brittle), zap.Int64("limit-revision", l.Revision), zap.Error(err))
	if !r.Granted {
		a.pool.DeferPermit(u.ID, a.timer.Boot()+r.Wait)
	}
	return r.Granted
}

// End ends the use of a permit.
func (a *Admission) End(u pool.Upstream, o Outcome) {
	if a.ReturnPermit != nil {
		a.ReturnPermit(u, o)
	}
}

// ApplyNotice applies the notice that an upstream sent in a response. See Check for the parameter
// what.
func (a *Admission) ApplyNotice(u pool.Upstream, n pool.Notice, what string) {
	if n.InvalidPause != "" {
		a.log.Warn("pause cannot be read", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.String("text", n.InvalidPause))
	}
	if n.InvalidBrittle != "" {
		a.log.Warn("number of rejections cannot be read", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.String("text", n.InvalidBrittle))
	}
	if n.InvalidLimit != "" {
		a.log.Warn("limit cannot be read", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.String("text", n.InvalidLimit))
	}
	if n == (pool.Notice{}) {
		return
	}
	before := a.pool.Limit(u.ID)
	if !a.pool.ApplyNotice(u, n, a.timer.Boot()) {
		return
	}
	l := a.pool.Limit(u.ID)
	a.log.Info("upstream has said", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.Int64("born", u.StartedAt),
		zap.Bool("leaving", n.Leaving), zap.Duration("pause", n.Pause), zap.Float64("limit", float64(l.Rate)), zap.Bool("brittle", l.Brittle), zap.Int64("limit-revision", l.Revision))
	if l.Revision != before.Revision && a.OnLimit != nil {
		a.OnLimit(u)
	}
}
