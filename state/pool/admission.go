package pool

import (
	"time"

	"gentiangauge.example/gentiangauge/state/route"
)

//go:generate go tool stringer -type=Verdict -linecomment

// Verdict is whether something may be sent to an upstream.
type Verdict int

// Verdicts. Replaced is an upstream whose process has started anew, Paused one that
// has stated for how long it wants nothing.
const (
	Admitted Verdict = iota // admitted
	Removed                 // gone
	Replaced                // replaced
	Leaving                 // leaving
	Paused                  // paused
)

// Notice is what an answer of an upstream says of the upstream itself.
type Notice struct {
	// Leaving is set once the upstream is about to stop. The list may not say so.
	Leaving bool
	// Pause is how long the upstream wants nothing more, when it has turned
	// something away.
	Pause time.Duration
	// InvalidPause is the text of a pause that cannot be read and counts as none.
	InvalidPause string
}

// said is what an upstream has said of itself.
type said struct {
	leaving     bool
	pausedUntil time.Duration
}

// keepSaid is how long what an upstream has said is kept after its row is gone. The
// rows of living upstreams return sooner.
const keepSaid = time.Minute

// Admits decides whether something may be sent to an upstream, as it was chosen
// before.
//
// Load pattern: requests wait for an adapter, for its owner or for a connection, and
// the upstream leaves, or turns others away, meanwhile.
func (p *Pool) Admits(u Upstream, now time.Duration) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[u.ID]
	switch {
	case !ok:
		return Removed
	case e.StartedAt != u.StartedAt || e.Address != u.Address:
		return Replaced
	default:
		return e.verdict(now)
	}
}

func (e *entry) verdict(now time.Duration) Verdict {
	switch {
	case !e.there(now):
		return Removed
	case e.Draining || e.said.leaving:
		return Leaving
	case now < e.said.pausedUntil:
		return Paused
	default:
		return Admitted
	}
}

// ApplyNotice takes over what an upstream has said in an answer, and reports whether that is
// new. It holds until the upstream's process starts anew, a pause also beyond that:
// the load that it is about need not have ended.
func (p *Pool) ApplyNotice(u Upstream, n Notice, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[u.ID]
	if !ok {
		return false
	}
	old := e.said
	e.said.leaving = old.leaving || n.Leaving && e.StartedAt == u.StartedAt
	if n.Pause > 0 {
		e.said.pausedUntil = max(old.pausedUntil, now+n.Pause)
	}
	return e.said != old
}

// ResumesIn returns the time until the first upstream of a service that has paused
// takes requests again, or 0 if none has.
func (p *Pool) ResumesIn(s route.ServiceName, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Duration
	for _, e := range p.entries {
		if e.Service != s || e.verdict(now) != Paused {
			continue
		}
		if left := e.said.pausedUntil - now; first == 0 || left < first {
			first = left
		}
	}
	return first
}
