package software

import "time"

// MaxLifetime bounds the lifetime of streams. A longer one counts as this.
const MaxLifetime = 24 * time.Hour

// lifetimeUnit is the unit of the time in the row, to which the configured one is rounded up.
const lifetimeUnit = time.Millisecond

// Lifetime is how long after their begin the streams of a service may be taken up. A stream keeps the time that was
// configured as it began, so a longer one counts for as long as such streams may last. The row of the split has the
// time, too, for instances that start later. Instants are those of the own clock. The zero value is a service
// without such streams.
//
// Load pattern: a configuration shortens the timeout of a route or removes it, upstreams of a new version join, and
// an instance ends.
type Lifetime struct {
	// configured is by the configuration in force, stored by the row.
	configured, stored time.Duration
	// earlier is the longest one of earlier configurations. It counts until the instant until.
	earlier, until time.Duration
	// outdatedAt is since when the row has had a longer time than the configuration, or 0.
	outdatedAt time.Duration
}

// Configure sets the lifetime by the configuration in force, or 0. Other instances may begin streams by the one
// before until they have learned of it.
func (l *Lifetime) Configure(d, now time.Duration) {
	d = min((d + lifetimeUnit - 1).Truncate(lifetimeUnit), MaxLifetime)
	if d < l.configured {
		earlier, until := l.configured, now+SwitchDelay+l.configured
		if now <= l.until {
			earlier, until = max(earlier, l.earlier), max(until, l.until)
		}
		l.earlier, l.until = earlier, until
	}
	l.configured = d
	l.compare(now)
}

// Store sets the lifetime of the row, which is 0 if it has none.
func (l *Lifetime) Store(d, now time.Duration) {
	l.stored = min(d, MaxLifetime)
	l.compare(now)
}

func (l *Lifetime) compare(now time.Duration) {
	switch {
	case l.stored <= l.configured:
		l.outdatedAt = 0
	case l.outdatedAt == 0:
		l.outdatedAt = now
	}
}

// own returns the lifetime by the configurations that this instance has seen.
func (l *Lifetime) own(now time.Duration) time.Duration {
	if now <= l.until {
		return max(l.configured, l.earlier)
	}
	return l.configured
}

// At returns the longest time after their begin for which streams may be taken up now.
func (l *Lifetime) At(now time.Duration) time.Duration { return max(l.own(now), l.stored) }

// ToStore returns the lifetime that the row should have, and whether it has another one. A longer one is lowered
// once no stream can be left that has it.
func (l *Lifetime) ToStore(now time.Duration) (d time.Duration, differs bool) {
	own := l.own(now)
	outdated := l.outdatedAt != 0 && now-l.outdatedAt > SwitchDelay+l.stored
	if own > l.stored || own < l.stored && outdated {
		return own, true
	}
	return l.stored, false
}
