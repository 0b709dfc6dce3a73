package placement

import (
	"context"
	"time"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// permitsName is the name under which the load permits of the fleet are
// owned.
const permitsName = "load-permits"

const (
	// permitCheck is how often ownership is looked at while nothing waits.
	permitCheck = 250 * time.Millisecond
	// permitTick is how often a grant is tried while requests wait.
	permitTick = 10 * time.Millisecond
)

// runPermits grants permits while this instance owns them.
func (p *Placement) runPermits(c context.Context) {
	for c.Err() == nil {
		p.tendPermits(c, p.Timer.Now())
		p.awaitPermitWork(c)
	}
}

// awaitPermitWork waits for the next request, or for a moment while some
// wait already.
func (p *Placement) awaitPermitWork(c context.Context) {
	waiting := 0
	_ = p.permits.Do(c, func(s *adapter.Permits) { waiting = s.Waiting() })
	d := permitCheck
	if waiting > 0 {
		d = permitTick
	}
	n, stop := p.Timer.Notify(d)
	defer stop()
	select {
	case <-n:
	case <-p.permitWork.Out():
	case <-c.Done():
	}
}

func (p *Placement) tendPermits(c context.Context, now time.Time) {
	epoch := p.Fleet.Roster().Epoch
	tenure, ok := p.Fleet.Owns(permitsName)
	if ok {
		p.permitsEpoch.Store(int64(epoch))
	}
	fresh := false
	_ = p.permits.Do(c, func(s *adapter.Permits) {
		switch {
		case !ok:
			s.EndTerm(now)
		case s.Term() != int64(tenure):
			fresh = true
		default:
			s.Grant(now)
		}
	})
	if fresh {
		p.beginPermits(c, tenure)
	}
}

// beginPermits asks the members for the permits that they hold, and for the
// last grant of the one that was the owner before.
func (p *Placement) beginPermits(c context.Context, t lease.Term) {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	replies := gather[permitReportQuery, permitReportReply](x, p, permitReportMethod, &permitReportQuery{})
	replies[p.Fleet.Self()] = p.reportPermits(c)
	now := p.Timer.Now()
	var outstanding []string
	var last time.Time
	silent := 0
	for _, r := range replies {
		if r == nil {
			silent++
			continue
		}
		outstanding = append(outstanding, r.IDs...)
		if at := now.Add(-time.Duration(r.GrantedAgoMs) * time.Millisecond); p.latest(r) && at.After(last) {
			last = at
		}
	}
	_ = p.permits.Do(c, func(s *adapter.Permits) { s.StartTerm(int64(t), outstanding, silent, last, now) })
}

// latest reports whether a member was the owner of the permits before this
// instance, with no other one between that does not answer: the end of such a
// one is known a lease after it at the earliest, and its tenure begins a lease
// after the one before, or with an epoch of the roster.
func (p *Placement) latest(r *permitReportReply) bool {
	ended := time.Duration(r.EndedAgoMs) * time.Millisecond
	span := p.config.LeaseDuration
	if lease.Epoch(r.Epoch) == p.Fleet.Roster().Epoch {
		span *= 2
	}
	return r.Former && ended < span
}

func (p *Placement) reportPermits(c context.Context) *permitReportReply {
	r := &permitReportReply{IDs: p.heldPermits(), Epoch: p.permitsEpoch.Load()}
	_ = p.permits.Do(c, func(s *adapter.Permits) {
		now := p.Timer.Now()
		last, ended, ok := s.LastGrant(now)
		r.Former, r.GrantedAgoMs, r.EndedAgoMs = ok, now.Sub(last).Milliseconds(), ended.Milliseconds()
	})
	return r
}

func (p *Placement) registerPermits() {
	mesh.Handle(p.Mesh, permitMethod, p.answerPermit)
	mesh.Handle(p.Mesh, permitReleaseMethod, func(c context.Context, _ string, q *permitReleaseQuery) (*releaseReply, error) {
		return &releaseReply{}, p.permits.Do(c, func(s *adapter.Permits) { s.Release(q.ID) })
	})
	mesh.Handle(p.Mesh, permitReportMethod, func(c context.Context, _ string, _ *permitReportQuery) (*permitReportReply, error) {
		return p.reportPermits(c), nil
	})
}

func (p *Placement) answerPermit(c context.Context, _ string, q *permitQuery) (*permitReply, error) {
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

// permit waits for a load permit until c ends and reports whether it was
// granted.
func (p *Placement) permit(c context.Context, id string, w lists.WorkspaceID) bool {
	q := &permitQuery{ID: id, Workspace: string(w)}
	for c.Err() == nil {
		m, ok := p.Fleet.Owner(permitsName)
		if ok && p.askPermit(c, m, q) {
			p.holdPermit(id, true)
			return true
		}
		_ = p.Timer.Wait(c, retryInterval)
	}
	return false
}

func (p *Placement) askPermit(c context.Context, m lease.Member, q *permitQuery) bool {
	if m.Seat == p.Fleet.Self() {
		r, err := p.answerPermit(c, "", q)
		return err == nil && r.Granted
	}
	r, err := mesh.Call[permitQuery, permitReply](c, p.Mesh, m.Mesh, permitMethod, q)
	return err == nil && r.Granted
}

func (p *Placement) returnPermit(c context.Context, id string) {
	p.holdPermit(id, false)
	m, ok := p.Fleet.Owner(permitsName)
	switch {
	case !ok:
	case m.Seat == p.Fleet.Self():
		_ = p.permits.Do(c, func(s *adapter.Permits) { s.Release(id) })
	default:
		x, cancel := context.WithTimeout(c, callTimeout)
		defer cancel()
		_, _ = mesh.Call[permitReleaseQuery, releaseReply](x, p.Mesh, m.Mesh, permitReleaseMethod, &permitReleaseQuery{ID: id})
	}
}

func (p *Placement) holdPermit(id string, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held {
		p.held[id] = true
		return
	}
	delete(p.held, id)
}

func (p *Placement) heldPermits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for id := range p.held {
		all = append(all, id)
	}
	return all
}
