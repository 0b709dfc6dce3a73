package placement

import (
	"context"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/protocol/engine"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// startRecovery recovers an upstream in the background, unless a recovery that began less
// than recoveryTimeout ago is still running.
func (p *Placement) startRecovery(c context.Context, s *ownerState, id adapter.UpstreamID) {
	t, ok := p.Fleet.Owns(OwnershipName(id))
	at, busy := s.recovering[id]
	if !ok || (busy && p.Timer.Now().Sub(at) < recoveryTimeout) {
		return
	}
	s.recovering[id] = p.Timer.Now()
	go p.recoverUpstream(context.WithoutCancel(c), id, t)
}

// recoverUpstream rebuilds the state of an upstream at the start of a term, from the uses
// that the members report and the adapters that the engine reports. A member that does not
// answer may hold uses for as long as a call may run; until then nothing is evicted.
func (p *Placement) recoverUpstream(c context.Context, id adapter.UpstreamID, t lease.Term) {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	u, err := p.newUpstream(x, id, t)
	if err != nil {
		p.Log.Debug("upstream state not recovered", zap.String("upstream", string(id)), zap.Error(err))
	}
	_ = p.owner.Do(c, func(s *ownerState) {
		delete(s.recovering, id)
		if now, ok := p.Fleet.Owns(OwnershipName(id)); err != nil || !ok || now != t {
			return
		}
		s.upstreams[id] = u
		p.record(timeline.Acquired, adapter.Use{Upstream: id}, fmt.Sprintf("%d adapters, %d uses", len(u.slots.UsesByAdapter()), u.slots.Running()))
	})
}

func (p *Placement) newUpstream(c context.Context, id adapter.UpstreamID, t lease.Term) (*upstream, error) {
	l, ok := p.findInstance(id)
	if !ok {
		return nil, eris.Errorf("upstream %s is not in the list of instances", id)
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
	u := &upstream{id: id, address: l.Address, term: t, queue: adapter.NewQueue()}
	u.fencing = engine.FencingToken(p.Recorder.Tick().Wall)
	u.slots = adapter.NewSlots(p.config.Pool.AdapterSlots, p.config.Pool.Concurrency, report.Incarnation)
	uses, unreported := p.collectUses(c, id)
	u.slots.Restore(loaded, usesOfIncarnation(uses, report.Incarnation))
	u.unreported = unreported
	if len(unreported) > 0 {
		u.slots.ForbidEvictions(now.Add(p.config.CallTimeout))
	}
	if p.config.Pool.Fencing == "ignored" && p.Fleet.Roster().Epoch > 1 {
		u.noOrdersBefore = now.Add(p.config.LeaseDuration)
	}
	return u, nil
}

// usesOfIncarnation returns the uses that were granted for incarnation i of the engine.
func usesOfIncarnation(uses []adapter.Use, i adapter.Incarnation) []adapter.Use {
	var same []adapter.Use
	for _, u := range uses {
		// The incarnation of a use is 0 until its grant is answered.
		if u.Incarnation == i || u.Incarnation == 0 {
			same = append(same, u)
		}
	}
	return same
}

// collectUses asks all members for their uses of an upstream. Unreported are the members
// that did not answer.
func (p *Placement) collectUses(c context.Context, id adapter.UpstreamID) (uses []adapter.Use, unreported []lease.SeatID) {
	uses = p.usesOn(id)
	for seat, r := range callPeers[reportQuery, reportReply](c, p, reportMethod, &reportQuery{Upstream: string(id)}) {
		if r == nil {
			unreported = append(unreported, seat)
			continue
		}
		for _, m := range r.Uses {
			uses = append(uses, fromMessage(m))
		}
	}
	return uses, unreported
}

// queryUnreported asks the members whose uses are still unknown again. Evictions are
// allowed once each of them has answered or has left the roster: the platform has then
// stopped the instance and closed its connections.
func (p *Placement) queryUnreported(c context.Context, id adapter.UpstreamID, unreported []lease.SeatID) {
	r := p.Fleet.Roster()
	for _, seat := range unreported {
		m, ok := r.Member(seat)
		if !ok {
			p.restoreUses(c, id, seat, nil)
			continue
		}
		x, cancel := context.WithTimeout(c, callTimeout)
		a, err := fleet.Call[reportQuery, reportReply](x, p.Fleet, m, reportMethod, &reportQuery{Upstream: string(id)})
		cancel()
		if err == nil {
			p.restoreUses(c, id, seat, a.Uses)
		}
	}
}

// restoreUses adds the uses that a member has reported. It allows evictions after the last
// missing report.
func (p *Placement) restoreUses(c context.Context, id adapter.UpstreamID, seat lease.SeatID, uses []*useMessage) {
	_ = p.owner.Do(c, func(s *ownerState) {
		u := p.owned(s, id)
		if u == nil {
			return
		}
		var all []adapter.Use
		for _, m := range uses {
			all = append(all, fromMessage(m))
		}
		u.slots.Restore(nil, usesOfIncarnation(all, u.slots.Incarnation()))
		u.unreported = slices.DeleteFunc(u.unreported, func(x lease.SeatID) bool { return x == seat })
		if len(u.unreported) == 0 {
			u.slots.AllowEvictions()
		}
		p.schedule(u)
	})
}

// findInstance returns the entry of an upstream in the list of instances.
func (p *Placement) findInstance(id adapter.UpstreamID) (provider.Instance, bool) {
	for _, l := range p.Fleet.ListedInstances() {
		if l.ID == string(id) {
			return l, true
		}
	}
	return provider.Instance{}, false
}

// syncAdapters updates the slots to the adapters that the engine reports. The report is
// discarded if a load or an eviction is in flight or has started since it was requested.
func (p *Placement) syncAdapters(c context.Context, id adapter.UpstreamID) {
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
		p.schedule(u)
	})
}
