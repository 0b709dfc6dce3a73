package placement

import (
	"context"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/protocol/engine"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

func (p *Placement) startOpen(c context.Context, s *ownerState, id adapter.UpstreamID) {
	t, ok := p.Fleet.Owns(OwnershipName(id))
	at, busy := s.opening[id]
	if !ok || (busy && p.Timer.Now().Sub(at) < openTimeout) {
		return
	}
	s.opening[id] = p.Timer.Now()
	go p.open(context.WithoutCancel(c), id, t)
}

// open begins the tenure of an upstream: the members report their uses, the
// engine its adapters. Uses of members that do not answer may go on for as
// long as a call lasts; until then nothing is evicted.
func (p *Placement) open(c context.Context, id adapter.UpstreamID, t lease.Term) {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	u, err := p.newUpstream(x, id, t)
	if err != nil {
		p.Log.Debug("upstream not opened", zap.String("upstream", string(id)), zap.Error(err))
	}
	_ = p.owner.Do(c, func(s *ownerState) {
		delete(s.opening, id)
		if now, ok := p.Fleet.Owns(OwnershipName(id)); err != nil || !ok || now != t {
			return
		}
		s.upstreams[id] = u
		p.record(timeline.Acquired, adapter.Use{Upstream: id}, fmt.Sprintf("%d adapters, %d uses", len(u.slots.UsesByAdapter()), u.slots.Running()))
	})
}

func (p *Placement) newUpstream(c context.Context, id adapter.UpstreamID, t lease.Term) (*upstream, error) {
	l, ok := p.listed(id)
	if !ok {
		return nil, eris.Errorf("upstream %s is not listed", id)
	}
	report, err := p.Engines.Report(c, l.Address)
	if err != nil {
		return nil, err
	}
	loaded, err := p.Engines.Models(c, l.Address)
	if err != nil {
		return nil, err
	}
	now := p.Timer.Now()
	u := &upstream{id: id, address: l.Address, tenure: t, queue: adapter.NewQueue()}
	u.fencing = engine.FencingToken(p.Recorder.Tick().Wall)
	u.slots = adapter.NewSlots(p.config.Pool.AdapterSlots, p.config.Pool.Concurrency, report.Incarnation)
	uses, silent := p.reportedUses(c, id)
	u.slots.Restore(loaded, sameRun(uses, report.Incarnation))
	u.silent = silent
	if len(silent) > 0 {
		u.slots.ForbidEvictions(now.Add(p.config.CallTimeout))
	}
	if p.config.Pool.Fencing == "ignored" && p.Fleet.Roster().Epoch > 1 {
		u.ordersAfter = now.Add(p.config.LeaseDuration)
	}
	return u, nil
}

func sameRun(uses []adapter.Use, i adapter.Incarnation) []adapter.Use {
	var same []adapter.Use
	for _, u := range uses {
		// A use whose grant is under way names no run yet.
		if u.Incarnation == i || u.Incarnation == 0 {
			same = append(same, u)
		}
	}
	return same
}

// reportedUses asks the members for their uses of an upstream. Silent are the
// members that did not answer.
func (p *Placement) reportedUses(c context.Context, id adapter.UpstreamID) (uses []adapter.Use, silent []lease.SeatID) {
	uses = p.heldUses(id)
	for seat, r := range gather[reportQuery, reportReply](c, p, reportMethod, &reportQuery{Upstream: string(id)}) {
		if r == nil {
			silent = append(silent, seat)
			continue
		}
		for _, m := range r.Uses {
			uses = append(uses, fromMessage(m))
		}
	}
	return uses, silent
}

// askSilent asks the members whose uses are unknown again. Evictions are
// allowed when each has answered or has left the roster: the platform has
// ended it then, and its connections with it.
func (p *Placement) askSilent(c context.Context, id adapter.UpstreamID, silent []lease.SeatID) {
	r := p.Fleet.Roster()
	for _, seat := range silent {
		m, ok := r.Member(seat)
		if !ok {
			p.heardSilent(c, id, seat, nil)
			continue
		}
		x, cancel := context.WithTimeout(c, callTimeout)
		a, err := mesh.Call[reportQuery, reportReply](x, p.Mesh, m.Mesh, reportMethod, &reportQuery{Upstream: string(id)})
		cancel()
		if err == nil {
			p.heardSilent(c, id, seat, a.Uses)
		}
	}
}

func (p *Placement) heardSilent(c context.Context, id adapter.UpstreamID, seat lease.SeatID, uses []*useMessage) {
	_ = p.owner.Do(c, func(s *ownerState) {
		u := p.owned(s, id)
		if u == nil {
			return
		}
		var all []adapter.Use
		for _, m := range uses {
			all = append(all, fromMessage(m))
		}
		u.slots.Restore(nil, sameRun(all, u.slots.Incarnation()))
		u.silent = slices.DeleteFunc(u.silent, func(x lease.SeatID) bool { return x == seat })
		if len(u.silent) == 0 {
			u.slots.AllowEvictions()
		}
		p.advance(u)
	})
}

func (p *Placement) listed(id adapter.UpstreamID) (provider.Instance, bool) {
	for _, l := range p.Fleet.ListedInstances() {
		if l.ID == string(id) {
			return l, true
		}
	}
	return provider.Instance{}, false
}

// resync takes in what an engine reports about its adapters, unless an order
// came between.
func (p *Placement) resync(c context.Context, id adapter.UpstreamID) {
	var address string
	var changes int
	_ = p.owner.Do(c, func(s *ownerState) {
		if u := p.owned(s, id); u != nil && u.slots.Converged() {
			address, changes = u.address, u.slots.ChangeCount()
		}
	})
	if address == "" {
		return
	}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	loaded, err := p.Engines.Models(x, address)
	if err != nil {
		return
	}
	_ = p.owner.Do(c, func(s *ownerState) {
		u := p.owned(s, id)
		if u == nil || u.slots.ChangeCount() != changes || !u.slots.Converged() {
			return
		}
		u.slots.Reconcile(loaded)
		p.advance(u)
	})
}
