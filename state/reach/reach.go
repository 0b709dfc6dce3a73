// Package reach decides by which path an instance sends to an upstream: directly, or through another
// instance that reaches it.
package reach

import (
	"cmp"
	"slices"
	"time"
)

const (
	// evidenceTime is how long after a failure to connect directly a connection through another instance
	// shows that the upstream lives, and after that a further failure that the direct path is cut.
	evidenceTime = 2 * time.Second
	// minCut is the number of upstreams that must be cut off, without a direct connection to any other
	// since, before all are taken to be.
	minCut = 3
	// cutProbeInterval is the time between two direct connections to an upstream that is cut off, and
	// soundProbeInterval that to others while nothing is heard.
	cutProbeInterval   = 500 * time.Millisecond
	soundProbeInterval = time.Second
	// maxProbes bounds the connections that are tried at a time.
	maxProbes = 16
)

// target is what is known of the direct path to an upstream.
type target struct {
	connectedAt, failedAt, cutAt, probedAt time.Duration
	// suspectedAt is when another instance could connect after this one had failed to, or 0.
	suspectedAt time.Duration
	cut         bool
}

// Reach is the state of the direct paths of an instance, by the address of the upstream. It is not safe
// for concurrent use.
//
// Load patterns: an instance is partitioned from all upstreams for seconds, while callers and the other
// instances still reach it, or from all but a few of them; upstreams end, which is the same for all
// instances; connections hang, or are refused while older ones live on.
type Reach struct {
	targets map[string]*target
	// connectedAt is when any direct connection was opened last.
	connectedAt time.Duration
}

// New returns a Reach that knows no upstream.
func New() *Reach { return &Reach{targets: map[string]*target{}} }

// SetTargets sets the addresses of the upstreams. Others are forgotten.
func (r *Reach) SetTargets(addresses []string) {
	known := map[string]*target{}
	for _, a := range addresses {
		known[a] = r.targets[a]
		if known[a] == nil {
			known[a] = &target{}
		}
	}
	r.targets = known
}

// RecordDirect records whether a direct connection could be opened.
func (r *Reach) RecordDirect(address string, ok bool, now time.Duration) {
	t := r.targets[address]
	switch {
	case t == nil:
	case ok:
		t.connectedAt, t.failedAt, t.suspectedAt, t.cut, r.connectedAt = now, 0, 0, false, now
	default:
		t.failedAt = now
		if !t.cut && t.suspectedAt != 0 && now-t.suspectedAt < evidenceTime {
			t.cut, t.cutAt = true, now
		}
	}
}

// RecordIndirect records that a connection could be opened through another instance. It returns true if a
// direct one is to be tried again at once: if that fails, the direct path is cut, else the upstream was only
// silent for a while.
func (r *Reach) RecordIndirect(address string, now time.Duration) bool {
	t := r.targets[address]
	if t == nil || t.cut || t.failedAt == 0 || now-t.failedAt >= evidenceTime {
		return false
	}
	verify := t.suspectedAt == 0 || now-t.suspectedAt >= evidenceTime
	t.suspectedAt = now
	return verify
}

// Indirect reports whether requests to an upstream go through another instance.
func (r *Reach) Indirect(address string) bool {
	t := r.targets[address]
	return t != nil && (t.cut || r.cutSinceConnected() >= min(minCut, len(r.targets)))
}

// cutSinceConnected returns the number of upstreams that were found to be cut off since any direct
// connection was opened.
func (r *Reach) cutSinceConnected() int {
	n := 0
	for _, t := range r.targets {
		if t.cut && t.cutAt > r.connectedAt {
			n++
		}
	}
	return n
}

// Stranded reports whether the instance is cut off from all upstreams, or from most of them.
func (r *Reach) Stranded() bool {
	n := 0
	for _, t := range r.targets {
		if t.cut {
			n++
		}
	}
	return n > 0 && (2*n > len(r.targets) || r.cutSinceConnected() >= min(minCut, len(r.targets)))
}

// Probes returns the upstreams to which direct connections are to be tried now: those that are cut off
// and, while requests wait and nothing is heard of any upstream, a few others, which may be busy. Once one of
// them is cut off, the rest is tried.
func (r *Reach) Probes(silent bool, now time.Duration) []string {
	most := minCut
	if r.cutSinceConnected() > 0 {
		silent, most = true, maxProbes
	}
	var out []string
	for a, t := range r.targets {
		if t.cut && now-t.probedAt >= cutProbeInterval || !t.cut && silent && now-max(t.probedAt, t.connectedAt) >= soundProbeInterval {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.targets[a].probedAt, r.targets[b].probedAt), cmp.Compare(a, b))
	})
	sound := 0
	out = slices.DeleteFunc(out, func(a string) bool {
		if !r.targets[a].cut {
			sound++
		}
		return !r.targets[a].cut && sound > most
	})
	out = out[:min(len(out), maxProbes)]
	for _, a := range out {
		r.targets[a].probedAt = now
	}
	return out
}
