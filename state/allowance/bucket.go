package allowance

import "time"

// bucket is a token bucket. Its level falls below zero when instances took the
// same units before they heard of each other.
type bucket struct {
	// rate is in units a second, size and level are in units.
	rate, size, level float64
}

// fill adds the units of a time in seconds, up to the size and the units that
// are expected to be taken off yet.
func (b *bucket) fill(seconds, expected float64) {
	b.level = min(b.size+expected, b.level+seconds*b.rate)
}

// bound keeps the level within the size.
func (b *bucket) bound() {
	b.level = min(b.size, b.level)
}

// wait returns the time until units are left.
func (b *bucket) wait(units float64) time.Duration {
	return time.Duration((units - b.level) / max(b.rate, 1) * float64(time.Second))
}

// share leaves a part of the units that are left to others.
func (b *bucket) share(part float64) {
	b.level -= max(0, b.level) * part
}
