package placement

import (
	"context"
	"time"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// permitsName is the name under which the ownership of the fleet's load permits is
// assigned.
const permitsName = "load-permits"

const (
	// permitIdleInterval is how often ownership is checked while no request waits.
	permitIdleInterval = 250 * time.Millisecond
	// permitGrantInterval is how often a grant is attempted while requests wait.
	permitGrantInterval = 10 * time.Millisecond
)

// runPermits grants permits while this instance owns them.
func (p *Placement) runPermits(c context.Context) {
	for c.Err() == nil {
		p.updatePermits(c, p.Timer.Now())
		p.waitForPermitWork(c)
	}
}

// waitForPermitWork waits for the next request, at most for permitGrantInterval if requests
// are waiting and for permitIdleInterval otherwise.
func (p *Placement) waitForPermitWork(c context.Context) {
	waiting := 0
	_ = p.permits.Do(c, func(s *adapter.Permits) { waiting = s.Waiting() })
	d := permitIdleInterval
	if waiting > 0 {
		d = permitGrantInterval
	}
	n, stop := p.Timer.Notify(d)
	defer stop()
	select {
	case <-n:
	case <-p.permitWork.Out():
	case <-c.Done():
	}
}

// updatePermits starts or ends the permit term of this instance when ownership has changed.
// Otherwise it grants the next permit, if this instance is the owner.
func (p *Placement) updatePermits(c context.Context, now time.Time) {
	epoch := p.Fleet.Roster().Epoch
	term, ok := p.Fleet.Owns(permitsName)
	if ok {
		p.permitsEpoch.Store(int64(epoch))
	}
	started := false
	_ = p.permits.Do(c, func(s *adapter.Permits) {
		switch {
		case !ok:
			s.EndTerm(now)
		case s.Term() != int64(term):
			started = true
		default:
			s.Grant(now)
		}
	})
	if started {
		p.startPermitTerm(c, term)
	}
}

// startPermitTerm collects the permits that the members hold and the time of the previous
// owner's last grant, and starts a permit term with them.
func (p *Placement) startPermitTerm(c context.Context, t lease.Term) {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	replies := callPeers[permitReportQuery, permitReportReply](x, p, permitReportMethod, &permitReportQuery{})
	replies[p.Fleet.Self()] = p.permitReport(c)
	now := p.Timer.Now()
	var outstanding []string
	var last time.Time
	unreported := 0
	for _, r := range replies {
		if r == nil {
			unreported++
			continue
		}
		outstanding = append(outstanding, r.IDs...)
		if at := now.Add(-time.Duration(r.GrantedAgoMs) * time.Millisecond); p.wasPreviousOwner(r) && at.After(last) {
			last = at
		}
	}
	_ = p.permits.Do(c, func(s *adapter.Permits) { s.StartTerm(int64(t), outstanding, unreported, last, now) })
}

// wasPreviousOwner reports whether the member that sent r owned the permits immediately
// before this instance. An owner between the two that does not answer now can be ruled out
// if the term of the member ended recently enough: the failure of an owner becomes known
// one lease after it at the earliest, and a new term begins one lease after the previous
// one ended, or with a new epoch of the roster. The limit is therefore two leases within
// one epoch, and one lease across epochs.
func (p *Placement) wasPreviousOwner(r *permitReportReply) bool {
	ended := time.Duration(r.EndedAgoMs) * time.Millisecond
	span := p.config.LeaseDuration
	if lease.Epoch(r.Epoch) == p.Fleet.Roster().Epoch {
		span *= 2
	}
	return r.Former && ended < span
}

// permitReport returns the permits that this instance holds and its last term as owner.
func (p *Placement) permitReport(c context.Context) *permitReportReply {
	r := &permitReportReply{IDs: p.heldPermits(), Epoch: p.permitsEpoch.Load()}
	_ = p.permits.Do(c, func(s *adapter.Permits) {
		now := p.Timer.Now()
		last, ended, ok := s.LastGrant(now)
		r.Former, r.GrantedAgoMs, r.EndedAgoMs = ok, now.Sub(last).Milliseconds(), ended.Milliseconds()
	})
	return r
}

func (p *Placement) registerPermitHandlers() {
	mesh.Handle(p.Mesh, permitMethod, p.handlePermitRequest)
	mesh.Handle(p.Mesh, permitReleaseMethod, func(c context.Context, _ string, q *permitReleaseQuery) (*releaseReply, error) {
		return &releaseReply{}, p.permits.Do(c, func(s *adapter.Permits) { s.Release(q.ID) })
	})
	mesh.Handle(p.Mesh, permitReportMethod, func(c context.Context, _ string, _ *permitReportQuery) (*permitReportReply, error) {
		return p.permitReport(c), nil
	})
}

// handlePermitRequest queues a request for a permit and waits for the grant. If c ends
// first, it removes the request, or releases a permit that was granted at the same time.
func (p *Placement) handlePermitRequest(c context.Context, _ string, q *permitQuery) (*permitReply, error) {
	answer := make(chan bool, 1)
	queued := false
	err := p.permits.Do(c, func(s *adapter.Permits) {
		queued = s.Request(q.ID, lists.WorkspaceID(q.Workspace), answer, p.Timer.Now())
	})
	if err != nil || !queued {
		return &permitReply{}, err
	}
	p.permitWork.Offer(struct{}{})
	select {
	case ok := <-answer:
		return &permitReply{Granted: ok}, nil
	case <-c.Done():
		p.permits.Post(func(s *adapter.Permits) { s.Release(q.ID) })
		return &permitReply{}, nil
	}
}

// acquirePermit waits for a load permit until c ends and reports whether it was granted.
func (p *Placement) acquirePermit(c context.Context, id string, w lists.WorkspaceID) bool {
	q := &permitQuery{ID: id, Workspace: string(w)}
	for c.Err() == nil {
		m, ok := p.Fleet.Owner(permitsName)
		if ok && p.requestPermit(c, m, q) {
			p.setPermitHeld(id, true)
			return true
		}
		_ = p.Timer.Wait(c, retryInterval)
	}
	return false
}

func (p *Placement) requestPermit(c context.Context, m lease.Member, q *permitQuery) bool {
	if m.Seat == p.Fleet.Self() {
		r, err := p.handlePermitRequest(c, "", q)
		return err == nil && r.Granted
	}
	r, err := fleet.Call[permitQuery, permitReply](c, p.Fleet, m, permitMethod, q)
	return err == nil && r.Granted
}

func (p *Placement) releasePermit(c context.Context, id string) {
	p.setPermitHeld(id, false)
	m, ok := p.Fleet.Owner(permitsName)
	switch {
	case !ok:
	case m.Seat == p.Fleet.Self():
		_ = p.permits.Do(c, func(s *adapter.Permits) { s.Release(id) })
	default:
		x, cancel := context.WithTimeout(c, callTimeout)
		defer cancel()
		_, _ = fleet.Call[permitReleaseQuery, releaseReply](x, p.Fleet, m, permitReleaseMethod, &permitReleaseQuery{ID: id})
	}
}

func (p *Placement) setPermitHeld(id string, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held {
		p.permitsHeld[id] = true
		return
	}
	delete(p.permitsHeld, id)
}

func (p *Placement) heldPermits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for id := range p.permitsHeld {
		all = append(all, id)
	}
	return all
}
