package pool

import "time"

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// Limit is what an upstream has stated about the requests of all instances together.
// Instances exchange it; a higher revision replaces a lower one.
type Limit struct {
	// Rate is 0 if the upstream has set no rate limit.
	Rate RequestsPerSecond
	// Brittle is set if the upstream falls over once it has to reject too many requests for
	// want of room.
	Brittle bool
	// Revision counts the changes since the process of the upstream started.
	Revision int64
}

// newer reports whether l replaces an older limit. Two instances may give the same
// revision to different limits; the stricter one is used until the next change.
func (l Limit) newer(old Limit) bool {
	if l.Revision != old.Revision {
		return l.Revision > old.Revision
	}
	if l.Brittle != old.Brittle {
		return l.Brittle
	}
	return l.Rate > 0 && (old.Rate == 0 || l.Rate < old.Rate)
}

// NeedsPermit reports whether requests need a permit of the upstream's owner.
func (l Limit) NeedsPermit() bool { return l.Rate > 0 || l.Brittle }

// update returns the limit after a response to a request that was placed at a known
// revision. A response to a request that was placed before the present revision was
// known may be older than that revision, and changes nothing.
func (l Limit) update(placedAt int64, n Notice) Limit {
	next := l
	if n.StatesLimit {
		next.Rate = n.Limit
	}
	if n.StatesBrittle {
		next.Brittle = n.Brittle
	}
	if next == l || placedAt != l.Revision {
		return l
	}
	next.Revision++
	return next
}

// UpstreamLimit is a limit as instances exchange it.
type UpstreamLimit struct {
	Upstream Tag
	// StartedAt is the start time of the upstream's process in Unix milliseconds.
	StartedAt int64
	Limit
}

// endedLimitRetention is how long the end of a limit is exchanged. Instances that miss it
// learn it with the answer to their next request for a permit.
const endedLimitRetention = 30 * time.Second

// Limits returns the limits in force and those that have ended lately, for the other
// instances.
func (p *Pool) Limits(now time.Duration) []UpstreamLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []UpstreamLimit
	for _, e := range p.entries {
		l := e.reported.limit
		if e.active(now) && (l.NeedsPermit() || l.Revision > 0 && now-e.limitChangedAt < endedLimitRetention) {
			out = append(out, UpstreamLimit{Upstream: e.tag, StartedAt: e.StartedAt, Limit: l})
		}
	}
	return out
}

// MergeLimit applies a limit that another instance knows, and reports whether it was
// newer. Limits of other processes of the upstream, and malformed ones, are ignored.
func (p *Pool) MergeLimit(l UpstreamLimit, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.tags[l.Upstream]
	if !ok || e.StartedAt != l.StartedAt || !(l.Rate >= 0) || !l.newer(e.reported.limit) {
		return false
	}
	e.setLimit(l.Limit, now)
	return true
}

func (e *entry) setLimit(l Limit, now time.Duration) {
	if l == e.reported.limit {
		return
	}
	if !l.Brittle {
		e.room = room{}
	}
	e.reported.limit, e.LimitRevision, e.limitChangedAt = l, l.Revision, now
	e.permitsAt = 0
}

const (
	// permitBurst is the number of unused permits that are kept, in addition to those of
	// permitBurstTime. Upstreams tolerate half of their limit over four seconds, and five
	// requests, in excess. The rest of that is for the time in which an owner does not know
	// yet that it has been replaced.
	permitBurst     = 2
	permitBurstTime = 250 * time.Millisecond
	// maxPermitWait bounds the time after which an instance may ask again.
	maxPermitWait = 4 * time.Second
)

// permits are the permits that an instance grants for an upstream.
type permits struct {
	level    float64
	filledAt time.Duration
	// promisedAt is the latest time that an instance without a permit was told.
	promisedAt time.Duration
}

// add adds permits up to the burst at a rate.
func (m *permits) add(n float64, rate RequestsPerSecond) {
	m.level = min(permitBurst+float64(rate)*permitBurstTime.Seconds(), m.level+n)
}

// PermitAnswer is the answer to a request for a permit.
type PermitAnswer struct {
	Granted bool
	// Wait is the time after which to ask again if no permit was granted.
	Wait time.Duration
}

// TakePermit grants one request to an upstream, if its limit allows it. Only the
// instance that owns the upstream may call it; it starts without permits. An upstream
// without a limit needs none.
//
// Load pattern: many instances send to an upstream that takes a few requests a second
// from all of them. Instances without a permit are told times one permit apart, so that
// they do not all ask again at once. A brittle upstream must have room for the request, too.
func (p *Pool) TakePermit(id ID, n Need, now time.Duration) PermitAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return PermitAnswer{Wait: maxPermitWait}
	}
	if e.reported.limit.Brittle && n.Work {
		if a := e.takeRoom(n, now); !a.Granted {
			return a
		}
	}
	a := e.takeRate(now)
	if l := e.room.open[n.From]; !a.Granted && n.Work && len(l) > 0 {
		e.room.open[n.From] = l[:len(l)-1]
	}
	return a
}

// takeRate grants one request by the rate limit.
func (e *entry) takeRate(now time.Duration) PermitAnswer {
	rate := e.reported.limit.Rate
	if rate == 0 {
		return PermitAnswer{Granted: true}
	}
	m := &e.permits
	if m.filledAt != 0 {
		m.add((now-m.filledAt).Seconds()*float64(rate), rate)
	}
	m.filledAt = now
	if m.level >= 1 {
		m.level--
		return PermitAnswer{Granted: true}
	}
	gap := time.Duration(float64(time.Second) / float64(rate))
	next := now + time.Duration((1-m.level)*float64(gap))
	m.promisedAt = min(max(next, m.promisedAt+gap), now+max(maxPermitWait, next-now))
	return PermitAnswer{Wait: m.promisedAt - now}
}

// ReturnPermit takes a permit back whose request was not sent.
func (p *Pool) ReturnPermit(id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok && e.reported.limit.Rate > 0 {
		e.permits.add(1, e.reported.limit.Rate)
	}
}

// DeferPermit records that no permit for an upstream is available before an instant.
// Until then the upstream is not chosen. A change of its limit ends that.
func (p *Pool) DeferPermit(id ID, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.permitsAt = until
	}
}

// PermitWait returns the time until a permit for an upstream may be available, or 0.
func (p *Pool) PermitWait(id ID, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok && e.verdict(now) == Limited {
		return e.permitsAt - now
	}
	return 0
}
