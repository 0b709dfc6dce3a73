package placement

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/protocol/engine"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
)

// maxLoadAttempts limits how often one upstream attempts a load, and at how many attempts
// with a failed load Acquire gives up.
const maxLoadAttempts = 2

var (
	errTermEnded  = eris.New("this instance no longer owns the upstream")
	errNoPermit   = eris.New("no load permit within the queue timeout")
	errNoWaiter   = eris.New("no request is waiting for the adapter")
	errNoFreeSlot = eris.New("upstream has no free slot: every loaded adapter is in use")
)

// load loads an adapter. It retries once if the engine reports that the load has failed.
func (p *Placement) load(c context.Context, o orderTarget, use adapter.Use) {
	var err error
	for range maxLoadAttempts {
		err = p.loadOnce(c, o, use)
		if !errors.Is(err, engine.ErrFailed) {
			break
		}
	}
	p.finishLoad(c, o, use, err)
}

// loadOnce waits for a load permit, evicts an adapter if no slot is free, and loads the
// adapter.
func (p *Placement) loadOnce(c context.Context, o orderTarget, use adapter.Use) error {
	id := fmt.Sprintf("%s/%d", use.ID, p.sequence.Add(1))
	x, cancel := context.WithTimeout(c, p.config.QueueTimeout)
	defer cancel()
	if !p.acquirePermit(x, id, use.Workspace) {
		return errNoPermit
	}
	defer p.releasePermit(c, id)
	victim, err := p.reserveSlot(c, o, use.Adapter)
	if err != nil {
		return err
	}
	if err := p.evict(c, o, victim); err != nil {
		return err
	}
	y, cancelLoad := context.WithTimeout(c, p.config.LoadTimeout)
	defer cancelLoad()
	if err := p.checkTerm(o); err != nil {
		return err
	}
	p.record(timeline.LoadOrdered, use, fmt.Sprintf("fencing number %d", o.fencing))
	return p.Engines.Load(y, o.address, use.Adapter, o.fencing)
}

// reserveSlot reserves a slot for the adapter. It returns the adapter that must be evicted
// first, or "" if the slot is free.
func (p *Placement) reserveSlot(c context.Context, o orderTarget, a lists.Adapter) (lists.Adapter, error) {
	var victim lists.Adapter
	failure := errTermEnded
	err := p.owner.Do(c, func(s *ownerState) {
		u := s.upstreams[o.id]
		if u == nil || u.orderTarget() != o {
			return
		}
		if !u.queue.Needs(a) {
			failure = errNoWaiter
			return
		}
		if u.slots.State(a) == adapter.Loading {
			// The second attempt keeps the slot of the first.
			failure = nil
			return
		}
		var ok bool
		failure = errNoFreeSlot
		if victim, ok = u.slots.StartLoad(a, u.queue.Needs, p.Timer.Now()); ok {
			failure = nil
		}
	})
	if err != nil {
		return "", err
	}
	return victim, failure
}

// evict unloads an adapter. If the outcome is unknown, the adapter receives no requests
// until the engine has reported its adapters. It does nothing if a is empty.
func (p *Placement) evict(c context.Context, o orderTarget, a lists.Adapter) error {
	if a == "" {
		return nil
	}
	x, cancel := context.WithTimeout(c, p.config.LoadTimeout)
	defer cancel()
	if err := p.checkTerm(o); err != nil {
		return err
	}
	failure := p.Engines.Unload(x, o.address, a, o.fencing)
	if failure == nil {
		p.record(timeline.Evicted, adapter.Use{Upstream: o.id, Adapter: a}, "")
	}
	err := p.owner.Do(c, func(s *ownerState) {
		u := s.upstreams[o.id]
		if u == nil || u.orderTarget() != o {
			return
		}
		u.slots.FinishEviction(a, failure == nil)
	})
	return errors.Join(failure, err)
}

// checkTerm returns an error unless this instance still owns the upstream in the same term.
// It is called immediately before each load and unload call.
func (p *Placement) checkTerm(o orderTarget) error {
	t, ok := p.Fleet.Owns(OwnershipName(o.id))
	if !ok || t != o.term {
		return errTermEnded
	}
	return nil
}

// finishLoad records the outcome of a load. After a failure it rejects the waiting requests
// of the adapter and reads the adapters of the engine.
func (p *Placement) finishLoad(c context.Context, o orderTarget, use adapter.Use, err error) {
	_ = p.owner.Do(c, func(s *ownerState) {
		u := s.upstreams[o.id]
		if u == nil || u.orderTarget() != o {
			return
		}
		u.slots.FinishLoad(use.Adapter, err == nil)
		if err == nil {
			p.record(timeline.LoadDone, use, "")
			p.schedule(u)
			return
		}
		p.record(timeline.LoadFailed, use, err.Error())
		p.answerWaiters(u, use.Adapter, loadResult(err))
		p.schedule(u)
		go p.syncAdapters(p.lifetime, o.id)
	})
}

func loadResult(err error) adapter.Result {
	if errors.Is(err, engine.ErrFailed) {
		return adapter.LoadFailed
	}
	return adapter.Busy
}
