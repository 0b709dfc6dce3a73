package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
)

const (
	// maxTried is the number of engines that are asked for a load before a
	// pause.
	maxTried = 3
	// reconsider is how much later than predicted the first event may be by what
	// the owner of the engine tells, before another engine is looked for.
	reconsider = 100 * time.Millisecond
)

// begin counts the request on an upstream, until end.
func (d *Dispatcher) begin(j *job, id pool.ID) {
	j.use = pool.Usage{Running: 1, PrefillTokens: j.PromptTokens, Tokens: j.tokens}
	d.Pool.Begin(id, j.Adapter, j.use)
}

func (d *Dispatcher) end(j *job, id pool.ID) {
	d.Pool.End(id, j.Adapter, j.use)
}

// place chooses an upstream, has the adapter loaded if it must be, and counts the
// request there. It looks again while the caller can still be answered.
func (d *Dispatcher) place(c context.Context, j *job) (pool.Choice, error) {
	tried, asked := map[pool.ID]bool{}, map[pool.ID]bool{}
	by := j.placeBy(d.Timer.Boot())
	for {
		now := d.Timer.Boot()
		if c.Err() != nil || now >= by {
			return pool.Choice{}, refusal.Later(refusal.Overloaded, shortRetry, "no upstream had room in time")
		}
		q := d.ask(j, tried, now)
		h, ok := d.Pool.Choose(q, now)
		if !ok {
			if !d.Pool.Serves(j.service.Name, now) {
				return h, d.noUpstream(j, now)
			}
			clear(tried)
			clear(j.avoid)
			d.pause(c, j)
			continue
		}
		if late := d.tooLate(j, h, now); late != nil {
			return h, late
		}
		if !h.NeedsLoad {
			if !asked[h.ID] {
				ready, held := d.granted(c, j, h)
				first := len(asked) == 0
				asked[h.ID] = true
				if !held || first && d.Pool.Predict(h.ID, q, now) > h.FirstEvent+reconsider {
					continue
				}
				h.ReadyIn = ready
			}
			d.begin(j, h.ID)
			return h, d.await(c, j, h.ID, h.ReadyIn)
		}
		d.begin(j, h.ID)
		ready, err := d.Load(c, h.ID, j.Adapter, h.Version, j.use)
		if err == nil {
			d.Pool.MarkLoading(h.ID, j.Adapter, pool.LoadedAdapter{Version: h.Version, ReadyAt: d.Timer.Boot() + ready})
			return h, d.await(c, j, h.ID, ready)
		}
		d.end(j, h.ID)
		d.Log.Info("load refused", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.Error(err))
		tried[h.ID] = true
		d.postpone(h.ID, err)
		if errors.Is(err, orders.ErrStoreBusy) || len(tried) >= maxTried {
			// No other engine can load it sooner, or none is likely to.
			clear(tried)
			d.pause(c, j)
		}
	}
}

// noUpstream refuses a request that no upstream of its service takes now.
func (d *Dispatcher) noUpstream(j *job, now time.Duration) error {
	if t := d.Pool.ResumesIn(j.service.Name, now); t > 0 {
		return refusal.Later(refusal.Overloaded, max(shortRetry, t), "every upstream of the service turns requests away, the first one for %v more", t)
	}
	return refusal.Later(refusal.NoUpstream, shortRetry, "no upstream of the service is known")
}

// unsurePause is the time before an engine is asked for a load again whose
// owner does not know its state, cannot be reached or is another one: an owner
// reads the state after a quarter of a second.
const unsurePause = 250 * time.Millisecond

// postpone leaves an engine alone that cannot load any adapter now. One that is
// full may have room at any moment.
//
// Load pattern: many requests wait for adapters that no engine has, and each
// asks the owners of the engines again and again.
func (d *Dispatcher) postpone(id pool.ID, err error) {
	if !errors.Is(err, orders.ErrStoreBusy) && !errors.Is(err, orders.ErrFull) {
		d.Pool.DeferLoads(id, d.Timer.Boot()+unsurePause)
	}
}

// granted asks the owner of an engine for an adapter that is known to be there.
// It returns the time until it is ready, and false if it is not there any more.
// If the owner cannot be asked, what is known holds. An owner that was told of a
// load which takes longer than expected is asked again a little later.
func (d *Dispatcher) granted(c context.Context, j *job, h pool.Choice) (time.Duration, bool) {
	if j.service.Engine == nil || j.Adapter.Name == "" {
		return h.ReadyIn, true
	}
	if j.moved > 0 && d.Timer.Wait(c, h.ReadyIn) != nil {
		return h.ReadyIn, true
	}
	ready, err := d.Reserve(c, h.ID, j.Adapter, h.Version, pool.Usage{Running: 1, PrefillTokens: j.PromptTokens, Tokens: j.tokens})
	switch {
	case err == nil:
		return ready, true
	case errors.Is(err, orders.ErrNotLoaded):
		d.Log.Info("adapter is gone", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.String("adapter", string(j.Adapter.Name)))
		d.Pool.MarkMissing(h.ID, j.Adapter)
		return 0, false
	default:
		d.Log.Debug("owner cannot be asked", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.Error(err))
		return h.ReadyIn, true
	}
}

// tooLate refuses a request whose answer would begin after its time.
func (d *Dispatcher) tooLate(j *job, h pool.Choice, now time.Duration) error {
	if j.service.Engine == nil || j.runs > 0 {
		return nil
	}
	begin := h.FirstEvent + h.ReadyIn
	if begin <= j.firstBy-now || h.HasRoom {
		return nil
	}
	return refusal.Later(refusal.Overloaded, shortRetry, "the answer would begin after %v, the caller waits for %v", begin, j.firstBy-now)
}

// await waits until an adapter is ready by what its owner says meanwhile.
func (d *Dispatcher) await(c context.Context, j *job, id pool.ID, t time.Duration) error {
	for t > 0 {
		if err := d.Timer.Wait(c, t); err != nil {
			d.end(j, id)
			return refusal.Later(refusal.Overloaded, shortRetry, "the adapter was not ready in time")
		}
		t, _ = d.Pool.ReadyIn(id, j.Adapter, d.Timer.Boot())
	}
	return nil
}

func (d *Dispatcher) ask(j *job, tried map[pool.ID]bool, now time.Duration) pool.Request {
	a := pool.Request{
		Service: j.service.Name, Adapter: j.Adapter, PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens,
		Zone: d.settings.Load().Zone, Exclude: map[pool.ID]bool{}, CanLoad: d.HasOwner,
	}
	for id := range tried {
		a.Exclude[id] = true
	}
	for id := range j.avoid {
		a.Exclude[id] = true
	}
	if e := j.service.Engine; e != nil {
		k := d.settings.Load().Capacity
		k.CacheTokens, k.AdapterSlots = e.CacheTokens, e.AdapterSlots
		a.Engine = &k
		a.Version, a.MinVersion = d.Versions(j.Adapter, now)
	}
	return a
}
