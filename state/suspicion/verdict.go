package suspicion

import (
	"slices"
	"time"
)

// VerdictID identifies a verdict by the crash that led to it and by one of its parts.
type VerdictID struct {
	Crash
	Lead Part
}

// Verdict blocks the requests that contain all of its parts. It has several parts while the
// crashes do not tell which of them is the cause. Parts are only ever removed, so that instances
// can merge their copies in any order; a verdict without parts has been withdrawn.
type Verdict struct {
	VerdictID
	Parts []Part
	// Quiet is the time since a request was last blocked by the verdict.
	Quiet time.Duration
}

type verdict struct {
	parts     []Part
	lastMatch time.Duration
}

// blocks reports whether a verdict has parts and contains returns true for all of them.
func (v *verdict) blocks(contains func(p Part) bool) bool {
	return len(v.parts) > 0 && !slices.ContainsFunc(v.parts, func(p Part) bool { return !contains(p) })
}

// Decide returns the verdict on a request that was sent although it was suspected, after the
// upstream crashed. It blocks requests with all suspected parts of that one: a sound part beside the
// cause may stand in more crashes than the cause, and is removed once an upstream has answered it.
//
// It returns false if the request may be sound: a part of another request on that upstream has nearly as
// many crashes, or verdicts explain most of the crashes. One unresolved trial is not enough.
//
// The part whole stands for the request itself. It is left out if another part has more crashes: other
// requests crash upstreams, too, and this one has only been repeated.
func (l *Ledger) Decide(x Crash, parts []Part, whole Part, now time.Duration) (Verdict, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.crashes[x]
	worst, most := l.worst(parts)
	needed := l.suspectAfter + 1
	if x.IsUnresolved() {
		needed++
	}
	if !ok || !k.parts[worst] || most < needed || l.unexplained(worst) < l.suspectAfter {
		return Verdict{}, false
	}
	for p, suspect := range k.parts {
		if suspect && !slices.Contains(parts, p) && l.counts[p] >= max(l.suspectAfter, most-1) {
			return Verdict{}, false
		}
	}
	v := Verdict{VerdictID: VerdictID{Crash: x, Lead: worst}}
	for _, p := range parts {
		if n := l.counts[p]; n == most || n >= l.suspectAfter && p != whole {
			v.Parts = append(v.Parts, p)
		}
	}
	l.addVerdict(v, now)
	return v, true
}

// unexplained returns the number of crashes of a part that no verdict explains.
func (l *Ledger) unexplained(p Part) int {
	n := 0
	for _, x := range l.crashes {
		if x.parts[p] && len(x.explained) == 0 {
			n++
		}
	}
	return n
}

func (l *Ledger) addVerdict(v Verdict, now time.Duration) {
	if len(l.verdicts) >= maxVerdicts {
		var quietest VerdictID
		at := time.Duration(-1)
		for k, x := range l.verdicts {
			if at < 0 || x.lastMatch < at {
				quietest, at = k, x.lastMatch
			}
		}
		delete(l.verdicts, quietest)
	}
	l.verdicts[v.VerdictID] = &verdict{parts: slices.Clone(v.Parts), lastMatch: now - v.Quiet}
	l.counts = nil
}

// Merge applies a verdict that another instance knows, and reports whether it changed anything.
func (l *Ledger) Merge(v Verdict, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.verdicts[v.VerdictID]
	if !ok {
		if v.Quiet > verdictRetention {
			return false
		}
		l.addVerdict(v, now)
		return true
	}
	x.lastMatch = max(x.lastMatch, now-v.Quiet)
	before := len(x.parts)
	x.parts = slices.DeleteFunc(slices.Clone(x.parts), func(p Part) bool { return !slices.Contains(v.Parts, p) })
	if len(x.parts) == before {
		return false
	}
	l.counts = nil
	return true
}

// Verdicts returns all verdicts, withdrawn ones too.
func (l *Ledger) Verdicts(now time.Duration) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Verdict
	for k, v := range l.verdicts {
		out = append(out, Verdict{VerdictID: k, Parts: v.parts, Quiet: now - v.lastMatch})
	}
	return out
}
