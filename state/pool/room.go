package pool

import (
	"slices"
	"time"
)

// Need is what a request asks of the owner of an upstream in need of permits.
type Need struct {
	// From is the instance that asks.
	From string
	// Work is set for requests, which take room at the upstream, and not for orders and reports.
	Work bool
	// Lifetime is the longest time for which the request takes that room.
	Lifetime time.Duration
	// Tokens are the tokens of the request, which take room in a KV cache.
	Tokens int
	// CacheTokens is the size of the KV cache of the upstream, or 0 if it is no engine.
	CacheTokens int
	// Peers is the number of other instances.
	Peers int
}

const (
	// roomReserve is the share of the slots that are not granted: what the owner knows of the requests on an
	// upstream lags behind.
	roomReserve = 8
	// roomPause is how long no room is granted after the upstream has rejected a request for want of it.
	roomPause = time.Second
	// roomRecovery is the time in which the room that is granted grows by one request after a rejection.
	roomRecovery = 500 * time.Millisecond
	// roomRetry is the time after which an instance asks again, or roomRetryPerPeer for each other instance
	// if that is longer.
	roomRetry        = 50 * time.Millisecond
	roomRetryPerPeer = 2 * time.Millisecond
	// roomStart is the time after which the requests that an owner has not granted have ended.
	roomStart = 5 * time.Second
	// roomMargin is added to the lifetime of a request.
	roomMargin = 500 * time.Millisecond
)

// grant is the room of one request, which ends no later than at an instant.
type grant struct {
	end    time.Duration
	tokens int
}

// room is what an instance grants, as its owner, of the room of a brittle upstream.
type room struct {
	// open has, by instance, the requests that it may run.
	open map[string][]grant
	// startedAt is when room was first granted here: until roomStart later, others run that this owner has
	// not granted.
	startedAt time.Duration
	// reduced is the room that is left after a rejection at reducedAt.
	reduced   int
	reducedAt time.Duration
}

// takeRoom grants the room for one request, if fewer than the upstream has room for run there: those that were
// granted room and, at first, those that the instances report.
//
// Load pattern: many instances send more than an upstream can run, and it falls over if it has to reject
// too many of them within a second.
func (e *entry) takeRoom(n Need, now time.Duration) PermitAnswer {
	m := &e.room
	wait := PermitAnswer{Wait: max(roomRetry, time.Duration(n.Peers)*roomRetryPerPeer)}
	if now < m.reducedAt+roomPause && m.reducedAt != 0 {
		return wait
	}
	if m.startedAt == 0 {
		m.startedAt = now
	}
	used, tokens := m.count(now)
	used++
	if now-m.startedAt < roomStart {
		used = max(used, e.totalUsage(now).Running)
	}
	if used > m.size(e.Slots, now) || n.CacheTokens > 0 && tokens > 0 && tokens+n.Tokens > n.CacheTokens {
		return wait
	}
	if m.open == nil {
		m.open = map[string][]grant{}
	}
	m.open[n.From] = append(m.open[n.From], grant{end: now + n.Lifetime + roomMargin, tokens: n.Tokens})
	return PermitAnswer{Granted: true}
}

// size returns the number of requests that are granted room at a time.
func (m *room) size(slots int, now time.Duration) int {
	most := max(1, slots-max(1, slots/roomReserve))
	if m.reducedAt == 0 {
		return most
	}
	return min(most, m.reduced+int((now-m.reducedAt)/roomRecovery))
}

// count returns the number of requests that have room, and of their tokens, without those whose lifetime is
// over.
func (m *room) count(now time.Duration) (requests, tokens int) {
	for name, l := range m.open {
		l = slices.DeleteFunc(l, func(g grant) bool { return now >= g.end })
		m.open[name] = l
		if len(l) == 0 {
			delete(m.open, name)
		}
		requests += len(l)
		for _, g := range l {
			tokens += g.tokens
		}
	}
	return requests, tokens
}

// FinishRoom ends the room of a request of an instance at an upstream. If the upstream has rejected the
// request for want of room, it has less than was granted.
func (p *Pool) FinishRoom(id ID, from string, rejected bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return
	}
	m := &e.room
	if rejected {
		used, _ := m.count(now)
		m.reduced, m.reducedAt = max(1, min(m.size(e.Slots, now), used)-1), now
	}
	if l := m.open[from]; len(l) > 0 {
		m.open[from] = l[1:]
	}
}

// ForgetRoom ends the room of all requests of an instance that has ended.
func (p *Pool) ForgetRoom(from string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		delete(e.room.open, from)
	}
}
