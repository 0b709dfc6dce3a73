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

const loadTries = 2

var (
	errTenureEnded = eris.New("the tenure of the upstream has ended")
	errNoPermit    = eris.New("there was no load permit in time")
	errNotWanted   = eris.New("no request waits for the adapter any more")
	errNoRoom      = eris.New("every adapter on the upstream is in use")
)

// load loads an adapter, and tries once more when the engine failed.
func (p *Placement) load(c context.Context, o order, use adapter.Use) {
	var err error
	for range loadTries {
		err = p.loadOnce(c, o, use)
		if !errors.Is(err, engine.ErrFailed) {
			break
		}
	}
	p.finishLoad(c, o, use, err)
}

// loadOnce waits for a permit, frees a slot if it has to, and gives the
// orders.
func (p *Placement) loadOnce(c context.Context, o order, use adapter.Use) error {
	id := fmt.Sprintf("%s/%d", use.ID, p.sequence.Add(1))
	x, cancel := context.WithTimeout(c, p.config.QueueTimeout)
	defer cancel()
	if !p.permit(x, id, use.Workspace) {
		return errNoPermit
	}
	defer p.returnPermit(c, id)
	victim, err := p.takeSlot(c, o, use.Adapter)
	if err != nil {
		return err
	}
	if err := p.evict(c, o, victim); err != nil {
		return err
	}
	y, cancelLoad := context.WithTimeout(c, p.config.LoadTimeout)
	defer cancelLoad()
	if err := p.mayOrder(o); err != nil {
		return err
	}
	p.record(timeline.LoadOrdered, use, fmt.Sprintf("fencing number %d", o.fencing))
	return p.Engines.Load(y, o.address, use.Adapter, o.fencing)
}

// takeSlot marks a slot for the adapter and returns the adapter that has to
// go first, or an empty text.
func (p *Placement) takeSlot(c context.Context, o order, a lists.Adapter) (lists.Adapter, error) {
	var victim lists.Adapter
	failure := errTenureEnded
	err := p.owner.Do(c, func(s *ownerState) {
		u := s.upstreams[o.id]
		if u == nil || u.order() != o {
			return
		}
		if !u.queue.Needs(a) {
			failure = errNotWanted
			return
		}
		if u.slots.State(a) == adapter.Loading {
			// The second try keeps the slot of the first.
			failure = nil
			return
		}
		var ok bool
		failure = errNoRoom
		if victim, ok = u.slots.StartLoad(a, u.queue.Needs, p.Timer.Now()); ok {
			failure = nil
		}
	})
	if err != nil {
		return "", err
	}
	return victim, failure
}

// evict orders an adapter to go. An adapter whose eviction has an unknown
// outcome gets no request until the engine has reported.
func (p *Placement) evict(c context.Context, o order, a lists.Adapter) error {
	if a == "" {
		return nil
	}
	x, cancel := context.WithTimeout(c, p.config.LoadTimeout)
	defer cancel()
	if err := p.mayOrder(o); err != nil {
		return err
	}
	failure := p.Engines.Unload(x, o.address, a, o.fencing)
	if failure == nil {
		p.record(timeline.Evicted, adapter.Use{Upstream: o.id, Adapter: a}, "")
	}
	err := p.owner.Do(c, func(s *ownerState) {
		u := s.upstreams[o.id]
		if u == nil || u.order() != o {
			return
		}
		u.slots.FinishEviction(a, failure == nil)
	})
	return errors.Join(failure, err)
}

// mayOrder is the last check before an order is sent.
func (p *Placement) mayOrder(o order) error {
	t, ok := p.Fleet.Owns(OwnershipName(o.id))
	if !ok || t != o.tenure {
		return errTenureEnded
	}
	return nil
}

func (p *Placement) finishLoad(c context.Context, o order, use adapter.Use, err error) {
	_ = p.owner.Do(c, func(s *ownerState) {
		u := s.upstreams[o.id]
		if u == nil || u.order() != o {
			return
		}
		u.slots.FinishLoad(use.Adapter, err == nil)
		if err == nil {
			p.record(timeline.LoadDone, use, "")
			p.advance(u)
			return
		}
		p.record(timeline.LoadFailed, use, err.Error())
		p.answerAll(u, use.Adapter, loadResult(err))
		p.advance(u)
		go p.resync(p.life, o.id)
	})
}

func loadResult(err error) adapter.Result {
	if errors.Is(err, engine.ErrFailed) {
		return adapter.LoadFailed
	}
	return adapter.Busy
}
