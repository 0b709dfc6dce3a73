// Package admission stands before every way to an upstream: requests, resumed
// streams, retries and orders ask it just before they are sent, and hand it
// what the answers say of the upstream.
package admission

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/timer"
)

// ErrNotAdmitted says that nothing was sent, since the upstream takes nothing more.
var ErrNotAdmitted = eris.New("the upstream takes nothing more")

// Admission decides by what a pool knows at the instant of the act.
type Admission struct {
	pool  *pool.Pool
	timer *timer.Service
	log   *zap.Logger
}

// New returns the admission to the upstreams of a pool.
func New(p *pool.Pool, t *timer.Service, log *zap.Logger) *Admission {
	return &Admission{pool: p, timer: t, log: log.Named("admission")}
}

// Check fails with ErrWithheld if something must not be sent to an upstream now.
// What is a request's id, or names the call.
func (a *Admission) Check(u pool.Upstream, what string) error {
	v := a.pool.Admits(u, a.timer.Boot())
	if v == pool.Admitted {
		return nil
	}
	a.log.Info("withheld", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.Stringer("why", v), zap.Int64("upstream-row", int64(u.RowVersion)))
	return eris.Wrap(ErrNotAdmitted, v.String())
}

// ApplyNotice takes over what an upstream has said of itself in an answer.
func (a *Admission) ApplyNotice(u pool.Upstream, n pool.Notice, what string) {
	if n.InvalidPause != "" {
		a.log.Warn("pause cannot be read", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.String("text", n.InvalidPause))
	}
	if n == (pool.Notice{}) || !a.pool.ApplyNotice(u, n, a.timer.Boot()) {
		return
	}
	a.log.Info("upstream has said", zap.String("request", what), zap.String("upstream", string(u.ID)), zap.Int64("born", u.StartedAt),
		zap.Bool("leaving", n.Leaving), zap.Duration("pause", n.Pause))
}
