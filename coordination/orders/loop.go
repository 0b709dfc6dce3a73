package orders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/pool"
)

// Run notes uses and orders missing base models until c ends.
func (o *Orders) Run(c context.Context) {
	go o.Timer.Subscribe(c, loadStep, func(time.Time) { o.follow() })
	o.Timer.Subscribe(c, tick, func(time.Time) {
		for id := range o.Ownership.Owned(o.Timer.Boot()) {
			o.worker(id).Post(func(e *engine) { o.attend(c, e, id) })
		}
	})
}

// follow keeps the estimated ends of loads up to date.
func (o *Orders) follow() {
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
			if _, ok := o.EngineConfig(e.upstream.Service); ok {
				o.advance(e, o.Timer.Boot())
				o.publish(e, id)
			}
		})
	}
}

// attend looks after one engine.
func (o *Orders) attend(c context.Context, e *engine, id pool.ID) {
	now := o.Timer.Boot()
	for a, p := range e.places {
		if n := o.Pool.RunningRequests(id, a); n > 0 {
			p.used(now, float64(n)*tick.Seconds())
		}
	}
	if o.sync(c, e, id) != nil {
		return
	}
	o.publish(e, id)
	o.loadModels(c, e, now)
}

// loadModels orders the base models that an engine lacks, such as one that
// has just started.
func (o *Orders) loadModels(c context.Context, e *engine, now time.Duration) {
	n, ok := o.EngineConfig(e.upstream.Service)
	if !ok || len(e.upstream.Models) > 0 || len(n.Models) == 0 || e.modelAt != 0 && now-e.modelAt < modelRetry {
		return
	}
	e.modelAt = now
	m := pool.Adapter{Model: n.Models[0]}
	if _, err := o.send(c, e, Order{Adapter: m}); err != nil {
		o.Log.Warn("base model is not ordered", zap.String("upstream", string(e.upstream.ID)), zap.Error(err))
	}
}
