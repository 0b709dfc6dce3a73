// Package admission checks whether an upstream accepts new work. Requests, resumed streams,
// retries and orders are checked just before they are sent, and the notices in the responses of
// upstreams are applied.
package admission

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/timer"
)

// ErrNotAdmitted means that nothing was sent because the upstream accepts no new work.
var ErrNotAdmitted = eris.New("upstream accepts no new work")

// Admission decides by the state of the pool at the time of the call.
type Admission struct {
	pool  *pool.Pool
	timer *timer.Service
	log   *zap.Logger
}

// New returns the Admission for the upstreams of a pool.
func New(p *pool.Pool, t *timer.Service, log *zap.Logger) *Admission {
	return &Admission{pool: p, timer: t, log: log.Named("admission")}
}

// Check fails with ErrNotAdmitted if nothing may be sent to the upstream now. The parameter what is
// the id of a request or the name of a call, for the log.
func (a *Admission) Check(u pool.Upstream, what string) error {
	v := a.pool.Admits(u, a.timer.Boot())
	if v == pool.Admitted {
		return nil
	}
	a.log.Info("withheld", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.Stringer("why", v), zap.Int64("upstream-row", int64(u.RowVersion)))
	return eris.Wrap(ErrNotAdmitted, v.String())
}

// ApplyNotice applies the notice that an upstream sent in a response. See Check for the parameter
// what.
func (a *Admission) ApplyNotice(u pool.Upstream, n pool.Notice, what string) {
	if n.InvalidPause != "" {
		a.log.Warn("pause cannot be read", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.String("text", n.InvalidPause))
	}
	if n.InvalidLimit != "" {
		a.log.Warn("limit cannot be read", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.String("text", n.InvalidLimit))
	}
	if n == (pool.Notice{}) || !a.pool.ApplyNotice(u, n, a.timer.Boot()) {
		return
	}
	a.log.Info("upstream has said", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.Int64("born", u.StartedAt),
		zap.Bool("leaving", n.Leaving), zap.Duration("pause", n.Pause), zap.Float64("limit", float64(n.Limit)), zap.Int64("limit-revision", a.pool.Limit(u.ID).Revision))
}
