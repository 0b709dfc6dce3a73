package pool

import (
	"time"

	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
)

// slotReserve is the share of the slots of an upstream that new streams leave to those that can go on only there,
// as long as upstreams of another software version have room.
const slotReserve = 8

// boundTo identifies the upstreams of a service that run one software version.
type boundTo struct {
	service  route.ServiceName
	software software.Version
}

// BeginWait counts a request that can run at one software version only, and waits for a slot there, until EndWait.
func (p *Pool) BeginWait(s route.ServiceName, v software.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits[boundTo{s, v}]++
}

// EndWait ends the wait of a request.
func (p *Pool) EndWait(s route.ServiceName, v software.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := boundTo{s, v}
	if p.waits[k]--; p.waits[k] <= 0 {
		delete(p.waits, k)
	}
}

// HasWaits reports whether requests of this instance wait for a slot at a software version.
func (p *Pool) HasWaits(s route.ServiceName, v software.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waits[boundTo{s, v}] > 0
}

// HasSpareElsewhere reports whether a usable upstream of another software version than v has slots that are not
// kept for requests that can run only there.
func (p *Pool) HasSpareElsewhere(s route.ServiceName, v software.Version, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		if e.Service == s && e.Software != v && e.verdict(now).Available() && now >= max(e.health.backoffUntil, e.health.endedUntil) && e.slotsLeft(now).spare() {
			return true
		}
	}
	return false
}

// SlotsLeft are the slots of an upstream and those of them that no known request takes.
type SlotsLeft struct {
	All, Free int
}

// Any reports whether a request finds a slot. An upstream that states no slots counts as having one.
func (l SlotsLeft) Any() bool { return l.All <= 0 || l.Free > 0 }

// spare reports whether there are more free slots than those that are kept.
func (l SlotsLeft) spare() bool { return l.All <= 0 || l.Free > l.All/slotReserve }

func (e *entry) slotsLeft(now time.Duration) SlotsLeft {
	return SlotsLeft{All: e.Slots, Free: e.Slots - e.totalUsage(now).Running}
}

// SlotsLeft returns the slots of an upstream.
func (p *Pool) SlotsLeft(id ID, now time.Duration) SlotsLeft {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return SlotsLeft{}
	}
	return e.slotsLeft(now)
}

// YieldsAt reports whether a new stream should begin elsewhere than at a chosen upstream: requests wait for its
// software version, or it has only slots left that are kept for such ones.
//
// Load pattern: an engine crashes while all engines of its software version are nearly full and those of another
// one have room. The streams that it ran can go on only at its version, new ones may begin at any.
func (p *Pool) YieldsAt(c Choice, now time.Duration) bool {
	return !p.SlotsLeft(c.ID, now).spare() || p.HasWaits(c.Service, c.Software)
}
