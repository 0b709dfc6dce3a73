package pool

import "time"

//go:generate go tool stringer -type=Verdict -linecomment

// Verdict is whether something may be sent to an upstream.
type Verdict int

// Verdicts. Replaced is an upstream whose process has started anew.
const (
	Admitted Verdict = iota // admitted
	Gone                    // gone
	Replaced                // replaced
	Leaving                 // leaving
)

// Admits decides whether something may be sent to an upstream, as it was chosen
// before.
//
// Load pattern: requests wait for an adapter, for its owner or for a connection, and
// the upstream leaves meanwhile.
func (p *Pool) Admits(u Upstream, now time.Duration) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[u.ID]
	switch {
	case !ok:
		return Gone
	case e.Born != u.Born || e.Address != u.Address:
		return Replaced
	default:
		return e.verdict(now)
	}
}

func (e *entry) verdict(now time.Duration) Verdict {
	switch {
	case !e.there(now):
		return Gone
	case e.Draining:
		return Leaving
	default:
		return Admitted
	}
}
