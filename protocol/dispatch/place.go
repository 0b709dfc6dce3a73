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
	// maxLoadAttempts is the number of engines that are asked for a load before the
	// request backs off.
	maxLoadAttempts = 3
	// reconsiderMargin is how much later than first predicted the first event may be,
	// according to the engine owner's state, before the choice of the engine is
	// repeated.
	reconsiderMargin = 100 * time.Millisecond
)

// countStart counts the request on an upstream until countEnd is called.
func (d *Dispatcher) countStart(j *job, id pool.ID) {
	j.usage = pool.Usage{Running: 1, PrefillTokens: j.PromptTokens, Tokens: j.tokens}
	d.Pool.Begin(id, j.Adapter, j.usage)
}

func (d *Dispatcher) countEnd(j *job, id pool.ID) {
	d.Pool.End(id, j.Adapter, j.usage)
}

// place chooses an upstream, has the adapter loaded if necessary, and counts the
// request there. It retries until the placement deadline.
func (d *Dispatcher) place(c context.Context, j *job) (pool.Choice, error) {
	tried, requested := map[pool.ID]bool{}, map[pool.ID]bool{}
	deadline := j.placementDeadline(d.Timer.Boot())
	wait := newSlotWait(d.Timer.Boot(), deadline)
	defer d.endSlotWait(j, &wait)
	for {
		now := d.Timer.Boot()
		if err := d.checkBlocked(j); err != nil {
			return pool.Choice{}, err
		}
		if c.Err() != nil || now >= deadline {
			return pool.Choice{}, refusal.Later(refusal.Overloaded, overloadRetryAfter, "no upstream had room in time")
		}
		q := d.poolQuery(j, tried, now)
		h, ok := d.choose(j, q, now)
		if !ok {
			if !d.Pool.Serves(j.service.Name, j.software, now) {
				return h, d.noUpstream(j, now)
			}
			clear(tried)
			clear(j.avoid)
			d.backOff(c, j)
			continue
		}
		if d.awaitSlot(c, j, &wait, h.ID) {
			continue
		}
		if late := d.checkPredictedStart(j, h, now); late != nil {
			return h, late
		}
		if !h.NeedsLoad {
			if !requested[h.ID] && !d.confirmChoice(c, j, &h, q, requested, &wait, now) {
				continue
			}
			d.countStart(j, h.ID)
			return h, d.awaitAdapter(c, j, h.ID, h.ReadyIn)
		}
		d.countStart(j, h.ID)
		ready, err := d.Load(c, h.ID, j.Adapter, h.Version, j.usage)
		if err == nil {
			d.Pool.MarkLoading(h.ID, j.Adapter, pool.LoadedAdapter{Version: h.Version, ReadyAt: d.Timer.Boot() + ready})
			return h, d.awaitAdapter(c, j, h.ID, ready)
		}
		d.countEnd(j, h.ID)
		d.Log.Info("load refused", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.Error(err))
		tried[h.ID] = true
		if errors.Is(err, orders.ErrFull) {
			d.beginSlotWait(j, &wait, h.ID)
		}
		d.deferEngine(h.ID, err)
		if errors.Is(err, orders.ErrStoreBusy) || len(tried) >= maxLoadAttempts {
			// The weight store is busy for all engines, or enough of them were tried.
			clear(tried)
			d.backOff(c, j)
		}
	}
}

// confirmChoice asks the owner of an engine that is expected to hold the adapter to reserve it. It returns false if
// another engine has to be chosen, by what the owner has told. Requested has the engines whose owners were asked.
func (d *Dispatcher) confirmChoice(c context.Context, j *job, h *pool.Choice, q pool.Request, requested map[pool.ID]bool, w *slotWait, now time.Duration) bool {
	ready, reserved := d.reserveAdapter(c, j, *h)
	first := len(requested) == 0
	requested[h.ID] = true
	if !reserved || first && d.Pool.Predict(h.ID, q, now) > h.FirstEvent+reconsiderMargin {
		return false
	}
	h.ReadyIn = ready
	if d.awaitSlot(c, j, w, h.ID) {
		delete(requested, h.ID)
		return false
	}
	return true
}

// noUpstream returns the refusal for a service none of whose upstreams accepts requests
// now.
func (d *Dispatcher) noUpstream(j *job, now time.Duration) error {
	if t := d.Pool.ResumesIn(j.service.Name, j.software, now); t > 0 {
		return refusal.Later(refusal.Overloaded, max(overloadRetryAfter, t), "every upstream of the service turns requests away, the first one for %v more", t)
	}
	if j.software != "" {
		return refusal.Later(refusal.NoUpstream, overloadRetryAfter, "no upstream runs the software version that began the stream")
	}
	return refusal.Later(refusal.NoUpstream, overloadRetryAfter, "no upstream of the service is known")
}

// engineRetryPause is the time before an engine is asked for a load again after its
// owner could not be reached, was the wrong one, or did not know the state of the
// engine. An owner reads that state within a quarter of a second.
const engineRetryPause = 250 * time.Millisecond

// deferEngine excludes an engine from loads for engineRetryPause after a failed load.
// An engine that is merely full is not excluded, since it may have room at any moment.
//
// Load pattern: many requests wait for adapters that no engine holds, and each asks the
// engine owners again and again.
func (d *Dispatcher) deferEngine(id pool.ID, err error) {
	if !errors.Is(err, orders.ErrStoreBusy) && !errors.Is(err, orders.ErrFull) {
		d.Pool.DeferLoads(id, d.Timer.Boot()+engineRetryPause)
	}
}

// reserveAdapter asks the owner of an engine to reserve an adapter that the engine is
// expected to hold. It returns the time until the adapter is ready, and false if the
// engine no longer holds it. If the owner cannot be reached, the last known state is
// used. After an engine has rejected the request for lack of the adapter, the owner is
// asked only once the expected load time has passed.
func (d *Dispatcher) reserveAdapter(c context.Context, j *job, h pool.Choice) (time.Duration, bool) {
	if j.service.Engine == nil || j.Adapter.Name == "" {
		return h.ReadyIn, true
	}
	if j.misdirects > 0 && d.Timer.Wait(c, h.ReadyIn) != nil {
		return h.ReadyIn, true
	}
	ready, err := d.Reserve(c, h.ID, j.Adapter, h.Version, pool.Usage{Running: 1, PrefillTokens: j.PromptTokens, Tokens: j.tokens})
	switch {
	case err == nil:
		return ready, true
	case errors.Is(err, orders.ErrNotLoaded):
		d.Log.Info("engine no longer holds the adapter", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.String("adapter", string(j.Adapter.Name)))
		d.Pool.MarkMissing(h.ID, j.Adapter)
		return 0, false
	default:
		d.Log.Debug("reserving the adapter failed; using the last known state", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.Error(err))
		return h.ReadyIn, true
	}
}

// checkPredictedStart refuses a request if the response is predicted to start too late
// for the caller. The prediction is ignored if less than half of the upstream's slots
// are in use.
func (d *Dispatcher) checkPredictedStart(j *job, h pool.Choice, now time.Duration) error {
	if j.service.Engine == nil || j.runs > 0 {
		return nil
	}
	begin := h.FirstEvent + h.ReadyIn
	if begin <= j.firstDeadline-now || h.HasRoom {
		return nil
	}
	return refusal.Later(refusal.Overloaded, overloadRetryAfter, "the answer would begin after %v, the caller waits for %v", begin, j.firstDeadline-now)
}

// awaitAdapter waits until an adapter is ready, following updates of the ready time by
// the engine's owner. It ends the wait of a request that is blocked meanwhile.
func (d *Dispatcher) awaitAdapter(c context.Context, j *job, id pool.ID, t time.Duration) error {
	for t > 0 {
		if !d.Suspects.Quiet() {
			t = min(t, blockedPoll)
		}
		if err := d.Timer.Wait(c, t); err != nil {
			d.countEnd(j, id)
			return refusal.Later(refusal.Overloaded, overloadRetryAfter, "the adapter was not ready in time")
		}
		if err := d.checkBlocked(j); err != nil {
			d.countEnd(j, id)
			return err
		}
		t, _ = d.Pool.ReadyIn(id, j.Adapter, d.Timer.Boot())
	}
	return nil
}

func (d *Dispatcher) poolQuery(j *job, tried map[pool.ID]bool, now time.Duration) pool.Request {
	a := pool.Request{
		Service: j.service.Name, Adapter: j.Adapter, PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens,
		Zone: d.settings.Load().Zone, Spread: pool.NewTag(j.ID), Exclude: map[pool.ID]bool{}, CanLoad: d.HasOwner,
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
		a.Version, a.MinVersion, a.OldUntil = d.Versions(j.Adapter, now)
	}
	return a
}
