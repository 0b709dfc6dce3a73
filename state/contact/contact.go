// Package contact decides for how long a row that is missing from a table of the
// store may come back: rows of living upstreams lapse while the store is away, and
// return within two seconds after that.
//
// Load patterns: the store is away for everyone, and rows lapse by the hundred; the
// store is there, and single instances do not reach it, or have just begun to read,
// when an upstream ends.
package contact

import "time"

// SettleTime is how long after an outage of the store rows of living upstreams may be
// missing: two seconds, as the platform states it, and the delay of a call.
const SettleTime = 2300 * time.Millisecond

// Contact is how an instance has reached the store. Instants are those of
// timer.Service.Boot.
type Contact struct {
	// Reached is set by the first answer, Failing from a failed call to the next
	// answer.
	Reached, Failing bool
	// Since is the start of the present contact, and Cause what began it.
	Since time.Duration
	Cause Cause
}

//go:generate go tool stringer -type=Cause -linecomment

// Cause is what began a contact with the store.
type Cause int

// Causes. Regained is the first answer after failed calls, Resumed the first reading
// after others had read for this instance.
const (
	Started  Cause = iota // started
	Regained              // regained
	Resumed               // resumed
)

// Unstable reports whether the store fails, or has lately, as this instance found.
func (k Contact) Unstable(now time.Duration) bool {
	return !k.Reached || k.Failing || k.Cause == Regained && now-k.Since < SettleTime
}

// Confirms reports whether the instance can tell that the store was not away.
func (k Contact) Confirms(now time.Duration) bool {
	return k.Reached && !k.Failing && now-k.Since >= SettleTime
}

// Peers counts the other instances that read the store: those that vouch for it and
// those that find it unsteady.
type Peers struct {
	Confirming, Unstable int
}

// SettlesIn returns the time for which a row that is missing now may come back, or
// 0. What this instance found alone is its own trouble if most others vouch for the
// store.
func (k Contact) SettlesIn(p Peers, now time.Duration) time.Duration {
	left := SettleTime
	if k.Reached && !k.Failing {
		left -= now - k.Since
	}
	switch {
	case left <= 0:
		return 0
	case k.Unstable(now) && p.Confirming <= p.Unstable+1:
		return left
	case !k.Unstable(now) && k.Cause == Resumed && p.Unstable > 0 && p.Confirming <= p.Unstable:
		return left
	default:
		return 0
	}
}
