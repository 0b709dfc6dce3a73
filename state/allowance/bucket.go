package allowance

import "time"

// bucket is a token bucket. Its level falls below zero when instances take the same units
// before they receive each other's reports.
type bucket struct {
	// rate is in units per second, size and level are in units.
	rate, size, level float64
}

// fill adds the units of a period in seconds, up to the size plus the units that are
// expected to be charged later.
func (b *bucket) fill(seconds, expected float64) {
	b.level = min(b.size+expected, b.level+seconds*b.rate)
}

// clamp limits the level to the size.
func (b *bucket) clamp() {
	b.level = min(b.size, b.level)
}

// wait returns the time until the level reaches units.
func (b *bucket) wait(units float64) time.Duration {
	return time.Duration((units - b.level) / max(b.rate, 1) * float64(time.Second))
}

// cede leaves a share of the remaining units to other instances.
func (b *bucket) cede(part float64) {
	b.level -= max(0, b.level) * part
}
