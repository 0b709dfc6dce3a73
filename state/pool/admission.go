package pool

import (
	"time"

	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
)

//go:generate go tool stringer -type=Verdict -linecomment

// Verdict is the decision on whether a request may be sent to an upstream.
type Verdict int

// Verdicts. Replaced means that the upstream's process has restarted since the upstream
// was chosen, Paused that the upstream has asked for a pause of a given length. An
// upstream with a rate limit, or a brittle one, is NeedsPermit if its owner may grant a permit for the
// request, and Limited for the time before which it will grant none.
const (
	Admitted    Verdict = iota // admitted
	NeedsPermit                // needs a permit
	Removed                    // gone
	Replaced                   // replaced
	Leaving                    // leaving
	Paused                     // paused
	Limited                    // limited
)

// Available reports whether the upstream takes requests now, with or without a permit.
func (v Verdict) Available() bool { return v == Admitted || v == NeedsPermit }

// InService reports whether the upstream takes requests at all. A limited one does.
func (v Verdict) InService() bool { return v.Available() || v == Limited }

// Notice is what an upstream states about itself in a response.
type Notice struct {
	// Leaving is set when the upstream is about to stop. Its row may not show that yet.
	Leaving bool
	// Pause is the time for which the upstream, having rejected a request, wants no
	// others.
	Pause time.Duration
	// InvalidPause is the text of a pause that cannot be parsed; such a pause is ignored.
	InvalidPause string
	// StatesLimit is set when the response states the upstream's rate limit, which is
	// Limit, or 0 for none.
	StatesLimit bool
	Limit       RequestsPerSecond
	// StatesBrittle is set when the response states whether the upstream is brittle.
	StatesBrittle bool
	Brittle       bool
	// InvalidBrittle is the quoted text of such a statement that cannot be parsed; it is ignored.
	InvalidBrittle string
	// InvalidLimit is the quoted text of a limit that cannot be parsed; such a limit is
	// ignored.
	InvalidLimit string
}

// reportedState is what an upstream has stated about itself in its responses.
type reportedState struct {
	leaving     bool
	pausedUntil time.Duration
	limit       Limit
}

// noticeRetention is how long an upstream and its notices are kept after its row was removed.
// The rows of upstreams that still run reappear sooner, and so do old rows as the store comes
// back from a copy.
const noticeRetention = time.Minute

// Admits decides whether a request may be sent to an upstream that was chosen earlier.
//
// Load pattern: while requests wait for an adapter, for its owner or for a connection,
// the upstream shuts down, starts to reject requests, or limits the rate of the requests
// of all instances. That rate is a few requests a second, so that each instance has less
// than one request in many seconds: the owner of the upstream grants each one (see
// TakePermit).
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
	case !e.active(now):
		return Removed
	case e.Draining || e.reported.leaving:
		return Leaving
	case now < e.reported.pausedUntil:
		return Paused
	case !e.reported.limit.NeedsPermit():
		return Admitted
	case now < e.permitsAt:
		return Limited
	default:
		return NeedsPermit
	}
}

// ApplyNotice records a notice from a response of the upstream and reports whether it
// changed anything. A leaving notice holds until the upstream's process restarts. A pause
// also outlasts a restart, because the load that caused it may persist. A limit is set by
// the responses to requests that were placed since it last changed.
func (p *Pool) ApplyNotice(u Upstream, n Notice, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[u.ID]
	if !ok {
		return false
	}
	old := e.reported
	e.reported.leaving = old.leaving || n.Leaving && e.StartedAt == u.StartedAt
	if n.Pause > 0 {
		e.reported.pausedUntil = max(old.pausedUntil, now+n.Pause)
	}
	if e.StartedAt == u.StartedAt {
		e.setLimit(old.limit.update(u.LimitRevision, n), now)
	}
	return e.reported != old
}

// Limit returns the limit that an upstream has set, with the zero value if none is known.
func (p *Pool) Limit(id ID) Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		return e.reported.limit
	}
	return Limit{}
}

// ResumesIn returns the time until the first paused or limited upstream of a service
// accepts requests again, or 0 if there is none. If v is not empty, the upstream must run that software.
func (p *Pool) ResumesIn(s route.ServiceName, v software.Version, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Duration
	for _, e := range p.entries {
		if e.Service != s || v != "" && e.Software != v {
			continue
		}
		var at time.Duration
		switch e.verdict(now) {
		case Paused:
			at = e.reported.pausedUntil
		case Limited:
			at = e.permitsAt
		default:
			continue
		}
		if d := at - now; first == 0 || d < first {
			first = d
		}
	}
	return first
}
