package adapter

import (
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// permitMargin keeps the rate under the limit although orders take different
// times to reach the weight store.
const permitMargin = 30 * time.Millisecond

// Permits are the load permits of the fleet, as their owner sees them. They
// are not safe for concurrent use.
type Permits struct {
	interval time.Duration
	limit    int
	longest  time.Duration
	tenure   int64
	// next is the earliest instant of the next grant.
	next    time.Time
	granted map[string]time.Time
	// last is the last grant by this instance or an earlier owner, ended the end
	// of the last tenure.
	last  time.Time
	ended time.Time
	// unknown permits may be in flight until the instant unknownUntil.
	unknown      int
	unknownUntil time.Time
	served       map[lists.WorkspaceID]time.Time
	waiting      []permitWaiter
}

type permitWaiter struct {
	id        string
	workspace lists.WorkspaceID
	since     time.Time
	answer    chan bool
}

// NewPermits returns permits at a rate a second, up to a limit in flight. A
// permit lasts at most for the longest time of a load.
func NewPermits(rate, limit int64, longest time.Duration) *Permits {
	return &Permits{
		interval: time.Second/time.Duration(rate) + permitMargin,
		limit:    int(limit),
		longest:  longest,
		granted:  map[string]time.Time{},
		served:   map[lists.WorkspaceID]time.Time{},
	}
}

// StartTerm starts a tenure with the permits that the members report. Last is the
// last grant of the earlier owner, if that one reported it. Otherwise it may
// have granted until now, so a full second passes first.
func (p *Permits) StartTerm(t int64, outstanding []string, silent int, last, now time.Time) {
	p.tenure = t
	if last.IsZero() {
		last = now.Add(time.Second - p.interval)
	}
	p.last, p.next = last, last.Add(p.interval)
	p.granted = map[string]time.Time{}
	for _, id := range outstanding {
		p.granted[id] = now
	}
	p.unknown = silent
	p.unknownUntil = now.Add(p.longest)
	p.fail()
}

// LastGrant returns the last grant that this instance knows of, and how long ago
// its tenure ended. It returns false if it had none.
func (p *Permits) LastGrant(now time.Time) (last time.Time, ended time.Duration, ok bool) {
	switch {
	case p.tenure != 0:
		return p.last, 0, true
	case p.ended.IsZero():
		return time.Time{}, 0, false
	}
	return p.last, now.Sub(p.ended), true
}

// Term returns the tenure that the permits were begun for, or 0.
func (p *Permits) Term() int64 {
	return p.tenure
}

// Waiting returns the number of requests that wait.
func (p *Permits) Waiting() int {
	return len(p.waiting)
}

// EndTerm ends the tenure and refuses every request.
func (p *Permits) EndTerm(now time.Time) {
	if p.tenure != 0 {
		p.ended = now
	}
	p.tenure = 0
	p.fail()
}

// Request queues a request. Answer gets whether it was granted and must have
// room for that. It returns false outside a tenure.
func (p *Permits) Request(id string, w lists.WorkspaceID, answer chan bool, now time.Time) bool {
	if p.tenure == 0 {
		return false
	}
	p.waiting = append(p.waiting, permitWaiter{id: id, workspace: w, since: now, answer: answer})
	return true
}

func (p *Permits) fail() {
	for _, w := range p.waiting {
		w.answer <- false
	}
	p.waiting = nil
}

func (p *Permits) inFlight(now time.Time) int {
	for id, at := range p.granted {
		if now.Sub(at) > p.longest {
			delete(p.granted, id)
		}
	}
	n := len(p.granted)
	if now.Before(p.unknownUntil) {
		n += p.unknown
	}
	return n
}

// Grant grants at most one permit: to the workspace that was served longest
// ago, and among its requests to the oldest.
func (p *Permits) Grant(now time.Time) {
	if len(p.waiting) == 0 || now.Before(p.next) || p.inFlight(now) >= p.limit {
		return
	}
	best := 0
	for i, w := range p.waiting {
		if p.before(w, p.waiting[best]) {
			best = i
		}
	}
	w := p.waiting[best]
	p.waiting = slices.Delete(p.waiting, best, best+1)
	p.granted[w.id], p.last = now, now
	p.served[w.workspace] = now
	p.next = now.Add(p.interval)
	w.answer <- true
}

func (p *Permits) before(x, y permitWaiter) bool {
	a, b := p.served[x.workspace], p.served[y.workspace]
	if !a.Equal(b) {
		return a.Before(b)
	}
	return x.since.Before(y.since)
}

// Release takes back a permit or a request for one.
func (p *Permits) Release(id string) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w permitWaiter) bool { return w.id == id })
	delete(p.granted, id)
}
