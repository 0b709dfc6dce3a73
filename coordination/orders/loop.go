package orders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/pool"
)

// Run updates the estimates of running loads, records the use of adapters and loads missing
// base models, until c ends.
func (o *Orders) Run(c context.Context) {
	go o.Timer.Subscribe(c, loadUpdateInterval, func(time.Time) { o.updateLoads() })
	o.Timer.Subscribe(c, reconcileInterval, func(time.Time) {
		now := o.Timer.Boot()
		for id := range o.Ownership.Owned(now) {
			if u, ok := o.Pool.Get(id, now); !ok || !o.isEngine(u) {
				continue
			}
			o.worker(id).Post(func(e *engine) { o.reconcile(c, e, id) })
		}
	})
}

// isEngine reports whether an upstream is an engine. Plain services have owners too, for the
// permits of their rate limits.
func (o *Orders) isEngine(u pool.Upstream) bool {
	_, ok := o.EngineConfig(u.Service)
	return ok
}

// updateLoads refreshes the estimated end times of the loads in flight.
func (o *Orders) updateLoads() {
	o.mu.Lock()
	var busy []pool.ID
	for id, n := range o.loading {
		if n > 0 {
			busy = append(busy, id)
		}
	}
	o.mu.Unlock()
	for _, id := range busy {
		o.worker(id).Post(func(e *engine) {
			if o.isEngine(e.upstream) {
				o.advance(e, o.Timer.Boot())
				o.publish(e, id)
			}
		})
	}
}

// reconcile records the running requests of each adapter on an engine, reads the state of the
// engine if necessary and loads its base model if that is missing.
func (o *Orders) reconcile(c context.Context, e *engine, id pool.ID) {
	now := o.Timer.Boot()
	for a, s := range e.slots {
		if n := o.Pool.RunningRequests(id, a); n > 0 {
			s.recordUse(now, float64(n)*reconcileInterval.Seconds())
		}
	}
	if o.sync(c, e, id) != nil {
		return
	}
	o.publish(e, id)
	o.ensureModel(c, e, now)
}

// ensureModel orders the first configured base model on an engine that reports no base model,
// such as one that has just started. It tries again after modelRetryInterval.
func (o *Orders) ensureModel(c context.Context, e *engine, now time.Duration) {
	n, ok := o.EngineConfig(e.upstream.Service)
	if !ok || len(e.upstream.Models) > 0 || len(n.Models) == 0 || e.modelOrderedAt != 0 && now-e.modelOrderedAt < modelRetryInterval {
		return
	}
	e.modelOrderedAt = now
	m := pool.Adapter{Model: n.Models[0]}
	if _, err := o.send(c, e, Order{Adapter: m}); err != nil {
		o.Log.Warn("could not order base model", zap.String("upstream", string(e.upstream.ID)), zap.Error(err))
	}
}
