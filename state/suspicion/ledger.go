package suspicion

import (
	"slices"
	"sync"
	"time"
)

const (
	// evidenceRetention is how long a crash counts. maxCrashes bounds their number and
	// maxCrashParts the parts of each: the requests that fit on one upstream.
	evidenceRetention = 10 * time.Minute
	maxCrashes        = 256
	maxCrashParts     = 1024
	// verdictRetention is how long a verdict holds after the last request that it blocked.
	verdictRetention = time.Hour
	maxVerdicts      = 64
	// soundRetention is how long a cleared part is remembered, for reports of an earlier crash
	// that arrive late.
	soundRetention = 30 * time.Second
)

// Crash identifies a process of an upstream that ended while requests ran on it.
type Crash struct {
	Upstream string
	// StartedAt distinguishes the processes of the upstream.
	StartedAt int64
}

// NewUnresolved returns what stands for the crash of an upstream if a request on trial broke off there, for a
// reason that is not known.
func NewUnresolved(upstream string, at time.Duration) Crash {
	return Crash{Upstream: upstream, StartedAt: -at.Milliseconds()}
}

// IsUnresolved reports whether a trial broke off and the upstream may not have crashed.
func (c Crash) IsUnresolved() bool { return c.StartedAt < 0 }

// Evidence is a crash with the parts of requests that had no answer from the upstream yet.
type Evidence struct {
	Crash
	Parts []Part
}

// crash is a known crash. A part is mapped to false once it has been cleared.
type crash struct {
	parts   map[Part]bool
	knownAt time.Duration
	// explained are the parts of the verdicts that explain the crash, as of the last count.
	explained []Part
}

// counts reports whether the crash counts for a part that has not been cleared.
func (x *crash) counts(p Part) bool {
	return len(x.explained) == 0 || slices.Contains(x.explained, p)
}

// Ledger holds the evidence and the verdicts that an instance knows. It is safe for concurrent
// use. All instants are those of timer.Service.Boot.
//
// Load pattern: a few requests in a hundred share a part that crashes each upstream as it begins
// to answer, while the sound requests beside them share their other parts.
type Ledger struct {
	suspectAfter int
	mu           sync.Mutex
	crashes      map[Crash]*crash
	verdicts     map[VerdictID]*verdict
	soundAt      map[Part]time.Duration
	// standing is the number of crashes in which each part has not been cleared.
	standing map[Part]int
	// counts is the number of those that count, or nil after a change that concerns verdicts.
	counts map[Part]int
}

// NewLedger returns an empty ledger, in which a part is suspected after a number of crashes.
func NewLedger(suspectAfter int) *Ledger {
	return &Ledger{suspectAfter: suspectAfter, crashes: map[Crash]*crash{}, verdicts: map[VerdictID]*verdict{}, soundAt: map[Part]time.Duration{}, standing: map[Part]int{}}
}

// AddCrash records the parts that one instance had on an upstream as it crashed. It reports
// whether that is new.
func (l *Ledger) AddCrash(e Evidence, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.crashes[e.Crash]
	if !ok {
		l.makeRoom()
		x = &crash{parts: map[Part]bool{}, knownAt: now}
		l.crashes[e.Crash] = x
	}
	changed := !ok
	for _, p := range e.Parts {
		if _, known := x.parts[p]; known || len(x.parts) >= maxCrashParts {
			continue
		}
		at, sound := l.soundAt[p]
		x.parts[p] = !sound || at < x.knownAt
		if x.parts[p] {
			l.addCount(x, p)
		}
		changed = true
	}
	return changed
}

// addCount counts a crash for a part.
func (l *Ledger) addCount(x *crash, p Part) {
	l.standing[p]++
	switch {
	case l.inVerdict(p):
		l.counts = nil
	case l.counts != nil && x.counts(p):
		l.counts[p]++
	}
}

// removeCount stops counting a crash for a part.
func (l *Ledger) removeCount(x *crash, p Part) {
	if l.standing[p]--; l.standing[p] == 0 {
		delete(l.standing, p)
	}
	switch {
	case l.inVerdict(p):
		l.counts = nil
	case l.counts != nil && x.counts(p):
		l.counts[p]--
	}
}

func (l *Ledger) inVerdict(p Part) bool {
	for _, v := range l.verdicts {
		if slices.Contains(v.parts, p) {
			return true
		}
	}
	return false
}

// makeRoom removes the oldest crash if there are maxCrashes.
func (l *Ledger) makeRoom() {
	if len(l.crashes) < maxCrashes {
		return
	}
	var oldest Crash
	at := time.Duration(-1)
	for k, x := range l.crashes {
		if at < 0 || x.knownAt < at {
			oldest, at = k, x.knownAt
		}
	}
	l.removeCrash(oldest)
}

func (l *Ledger) removeCrash(k Crash) {
	x := l.crashes[k]
	for p, suspect := range x.parts {
		if suspect {
			l.removeCount(x, p)
		}
	}
	delete(l.crashes, k)
}

// Status returns the status of a request with some parts and, for a suspected one, the part with
// the most crashes. A blocked request extends the verdict.
func (l *Ledger) Status(parts []Part, now time.Duration) (Status, Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	blocked := false
	for _, v := range l.verdicts {
		if v.blocks(func(p Part) bool { return slices.Contains(parts, p) }) {
			v.lastMatch, blocked = now, true
		}
	}
	if blocked {
		return Blocked, 0
	}
	if worst, n := l.worst(parts); n >= l.suspectAfter {
		return Suspected, worst
	}
	return Clean, 0
}

// Quiet reports whether neither a crash nor a verdict is known.
func (l *Ledger) Quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes)+len(l.verdicts) == 0
}

// worst returns the part with the most crashes, the higher one of two equals, and their number.
func (l *Ledger) worst(parts []Part) (worst Part, most int) {
	l.count()
	for _, p := range parts {
		if n := l.counts[p]; n > most || n == most && n > 0 && p > worst {
			worst, most = p, n
		}
	}
	return worst, most
}

// count counts the crashes of each part. A crash that a verdict explains does not count for the
// parts of other requests. It goes on counting for the parts of the verdict, which may turn out
// to be too many.
func (l *Ledger) count() {
	if l.counts != nil {
		return
	}
	l.counts = map[Part]int{}
	for _, x := range l.crashes {
		x.explained = nil
		for _, v := range l.verdicts {
			if v.blocks(func(p Part) bool { return x.parts[p] }) {
				x.explained = append(x.explained, v.parts...)
			}
		}
		for p, suspect := range x.parts {
			if suspect && x.counts(p) {
				l.counts[p]++
			}
		}
	}
}

// Clear records that an upstream answered a request with some parts and did not crash. It returns
// the parts that were on an upstream as it crashed before, and whether that made any of them
// suspected. All verdicts lose these parts.
func (l *Ledger) Clear(parts []Part, now time.Duration) (cleared []Part, suspected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return l.standing[p] == 0 && !l.inVerdict(p) })
	if len(known) == 0 {
		return nil, false
	}
	if _, n := l.worst(known); n >= l.suspectAfter {
		suspected = true
	}
	for _, p := range known {
		if l.clear(p) {
			cleared = append(cleared, p)
			l.soundAt[p] = now
		}
	}
	return cleared, suspected
}

// clear removes a part from all crashes and verdicts, and reports whether it stood in any.
func (l *Ledger) clear(p Part) bool {
	found := false
	for _, x := range l.crashes {
		if x.parts[p] {
			x.parts[p], found = false, true
			l.removeCount(x, p)
		}
	}
	for _, v := range l.verdicts {
		if i := slices.Index(v.parts, p); i >= 0 {
			v.parts, found = slices.Delete(slices.Clone(v.parts), i, i+1), true
			l.counts = nil
		}
	}
	return found
}

// Expire removes old evidence, and returns the verdicts that no request has matched for
// verdictRetention, which it removes too.
func (l *Ledger) Expire(now time.Duration) []VerdictID {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, x := range l.crashes {
		if now-x.knownAt > evidenceRetention {
			l.removeCrash(k)
		}
	}
	for p, at := range l.soundAt {
		if now-at > soundRetention {
			delete(l.soundAt, p)
		}
	}
	var out []VerdictID
	for k, v := range l.verdicts {
		if now-v.lastMatch > verdictRetention {
			delete(l.verdicts, k)
			out = append(out, k)
			l.counts = nil
		}
	}
	return out
}
