// Package contact tracks whether the store has been reachable, and derives how long a row
// that is missing from one of its tables may still reappear. Rows of live upstreams
// expire while the store is unavailable, and return within two seconds after that.
//
// Load patterns: the store is unavailable for all instances, and rows expire by the
// hundred; the store is available, but single instances cannot reach it or have just
// begun to read when an upstream stops.
package contact

import "time"

// SettleTime is how long rows of live upstreams may be missing after an outage of the
// store: the two seconds that the platform documents, plus the delay of a call.
const SettleTime = 2300 * time.Millisecond

// Contact is an instance's record of its calls to the store. Instants are those of
// timer.Service.Boot.
type Contact struct {
	// Reached is set by the first answer. Failing is set from a failed call until the
	// next answer.
	Reached, Failing bool
	// Since is the start of the present period of contact, and Cause is what began it.
	Since time.Duration
	Cause Cause
	// RestoredAt is when this instance learned, from the store or from another instance, that the
	// store has come back from a copy. It is 0 if the store never has.
	RestoredAt time.Duration
}

//go:generate go tool stringer -type=Cause -linecomment

// Cause is what began a period of contact with the store.
type Cause int

// Causes: Started is the first answer, Regained the first answer after failed calls, and Resumed
// the start of reading after other instances had read for this one.
const (
	Started  Cause = iota // started
	Regained              // regained
	Resumed               // resumed
)

// RestoreSettlesIn returns the time during which rows are unreliable because the store has come
// back from a copy, or 0: missing ones are written again, and those of ended upstreams expire.
func (k Contact) RestoreSettlesIn(now time.Duration) time.Duration {
	if k.RestoredAt == 0 {
		return 0
	}
	return max(0, SettleTime-(now-k.RestoredAt))
}

// Unstable reports whether this instance's calls to the store fail, or failed until less
// than SettleTime ago.
func (k Contact) Unstable(now time.Duration) bool {
	return !k.Reached || k.Failing || k.Cause == Regained && now-k.Since < SettleTime || k.RestoreSettlesIn(now) > 0
}

// Confirms reports whether the instance has reached the store for long enough to rule out
// that missing rows are due to an outage.
func (k Contact) Confirms(now time.Duration) bool {
	return k.Reached && !k.Failing && now-k.Since >= SettleTime && k.RestoreSettlesIn(now) == 0
}

// Peers counts the other instances that read the store: those that confirm that it was
// available, and those that found it unstable.
type Peers struct {
	Confirming, Unstable int
}

// SettlesIn returns the time during which a row that is missing now may still reappear,
// or 0. If most other readers confirm that the store was available, failures that only
// this instance saw are its own and do not count. If this instance has just resumed
// reading, the other readers alone decide. After the store has come back from a copy they do
// not, because the copy is the same for all of them.
func (k Contact) SettlesIn(p Peers, now time.Duration) time.Duration {
	if d := k.RestoreSettlesIn(now); d > 0 {
		return d
	}
	remaining := SettleTime
	if k.Reached && !k.Failing {
		remaining -= now - k.Since
	}
	switch {
	case remaining <= 0:
		return 0
	case k.Unstable(now) && p.Confirming <= p.Unstable+1:
		return remaining
	case !k.Unstable(now) && k.Cause == Resumed && p.Unstable > 0 && p.Confirming <= p.Unstable:
		return remaining
	default:
		return 0
	}
}
