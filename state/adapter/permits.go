package adapter

import (
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// permitMargin is added to the interval between grants, so that the rate at the weight store
// stays under the limit although orders take different times to arrive there.
const permitMargin = 30 * time.Millisecond

// Permits limits the rate and the number of adapter loads over the fleet. The owner of the
// permits, one instance at a time, grants them during its term. Permits is not safe for
// concurrent use.
type Permits struct {
	interval    time.Duration
	limit       int
	maxLoadTime time.Duration
	term        int64
	// nextGrant is the earliest time of the next grant.
	nextGrant time.Time
	granted   map[string]time.Time
	// lastGrant is the last grant by this instance or a previous owner, termEnded the end of
	// the last term of this instance.
	lastGrant time.Time
	termEnded time.Time
	// Up to the time unknownUntil, unknown further permits may be in flight at members that
	// did not report theirs.
	unknown      int
	unknownUntil time.Time
	lastServed   map[lists.WorkspaceID]time.Time
	waiting      []permitWaiter
}

type permitWaiter struct {
	id        string
	workspace lists.WorkspaceID
	since     time.Time
	answer    chan bool
}

// NewPermits returns permits with a rate per second and a limit on those in flight. A permit
// expires after maxLoadTime.
func NewPermits(rate, limit int64, maxLoadTime time.Duration) *Permits {
	return &Permits{
		interval:    time.Second/time.Duration(rate) + permitMargin,
		limit:       int(limit),
		maxLoadTime: maxLoadTime,
		granted:     map[string]time.Time{},
		lastServed:  map[lists.WorkspaceID]time.Time{},
	}
}

// StartTerm starts term t. Outstanding are the permits that the members report, and silent is the
// number of further ones that may be in flight at members that did not report. Last is the last
// grant of the previous owner, or zero if that owner did not report it. In that case it may have
// granted a permit just now, so the first grant waits for a full second.
func (p *Permits) StartTerm(t int64, outstanding []string, silent int, last, now time.Time) {
	p.term = t
	if last.IsZero() {
		last = now.Add(time.Second - p.interval)
	}
	p.lastGrant, p.nextGrant = last, last.Add(p.interval)
	p.granted = map[string]time.Time{}
	for _, id := range outstanding {
		p.granted[id] = now
	}
	p.unknown = silent
	p.unknownUntil = now.Add(p.maxLoadTime)
	p.refuseAll()
}

// LastGrant returns the last grant known to this instance and the time since its term ended. It
// returns false if the instance had no term.
func (p *Permits) LastGrant(now time.Time) (last time.Time, ended time.Duration, ok bool) {
	switch {
	case p.term != 0:
		return p.lastGrant, 0, true
	case p.termEnded.IsZero():
		return time.Time{}, 0, false
	}
	return p.lastGrant, now.Sub(p.termEnded), true
}

// Term returns the current term, or 0.
func (p *Permits) Term() int64 {
	return p.term
}

// Waiting returns the number of queued requests.
func (p *Permits) Waiting() int {
	return len(p.waiting)
}

// EndTerm ends the term and refuses all queued requests.
func (p *Permits) EndTerm(now time.Time) {
	if p.term != 0 {
		p.termEnded = now
	}
	p.term = 0
	p.refuseAll()
}

// Request queues a request for a permit. Answer receives whether the permit was granted and must
// be buffered. Request returns false outside a term.
func (p *Permits) Request(id string, w lists.WorkspaceID, answer chan bool, now time.Time) bool {
	if p.term == 0 {
		return false
	}
	p.waiting = append(p.waiting, permitWaiter{id: id, workspace: w, since: now, answer: answer})
	return true
}

// refuseAll refuses all queued requests.
func (p *Permits) refuseAll() {
	for _, w := range p.waiting {
		w.answer <- false
	}
	p.waiting = nil
}

// inFlight drops expired permits and returns the number of those in flight, with the unknown
// ones.
func (p *Permits) inFlight(now time.Time) int {
	for id, at := range p.granted {
		if now.Sub(at) > p.maxLoadTime {
			delete(p.granted, id)
		}
	}
	n := len(p.granted)
	if now.Before(p.unknownUntil) {
		n += p.unknown
	}
	return n
}

// Grant grants at most one permit: to the workspace that was served least recently, and there to
// the oldest request.
func (p *Permits) Grant(now time.Time) {
	if len(p.waiting) == 0 || now.Before(p.nextGrant) || p.inFlight(now) >= p.limit {
		return
	}
	best := 0
	for i, w := range p.waiting {
		if p.servedEarlier(w, p.waiting[best]) {
			best = i
		}
	}
	w := p.waiting[best]
	p.waiting = slices.Delete(p.waiting, best, best+1)
	p.granted[w.id], p.lastGrant = now, now
	p.lastServed[w.workspace] = now
	p.nextGrant = now.Add(p.interval)
	w.answer <- true
}

func (p *Permits) servedEarlier(x, y permitWaiter) bool {
	a, b := p.lastServed[x.workspace], p.lastServed[y.workspace]
	if !a.Equal(b) {
		return a.Before(b)
	}
	return x.since.Before(y.since)
}

// Release returns a permit, or removes a queued request for one.
func (p *Permits) Release(id string) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w permitWaiter) bool { return w.id == id })
	delete(p.granted, id)
}
