package pool

import (
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/state/route"
)

// Versions knows the newest announced version of each adapter, and whether requests may still be sent to the one
// before. It is safe for concurrent use. Instants are those of timer.Service.Boot.
//
// Load pattern: an instance starts or hears of the store again long after a version was announced, while engines still
// hold older ones.
type Versions struct {
	mu    sync.Mutex
	known map[Adapter]announcement
}

// announcement is the announcement of the newest version of an adapter.
type announcement struct {
	newest, previous route.Version
	// after is an instant at which the newest was known not to be announced yet, or 0 if none is known.
	after time.Duration
}

// NewVersions returns no versions.
func NewVersions() *Versions { return &Versions{known: map[Adapter]announcement{}} }

// Announce records a version of an adapter, and reports whether it is the newest. The announcement came later than the
// instant after, which is 0 if the announcements were never known before: it may have come at any time then.
func (v *Versions) Announce(a Adapter, x route.Version, after time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.known[a]
	if x <= s.newest {
		return false
	}
	v.known[a] = announcement{newest: x, previous: s.newest, after: after}
	return true
}

// versionMargin is how long before the end of the time for older versions their responses must begin: what another
// instance knows of the announcements is some 0.1 s old, and a request that is cancelled may still begin while the
// engine hears of that.
const versionMargin = 500 * time.Millisecond

// Usable returns the newest version of an adapter, the oldest one that requests may still be sent to, and the instant
// by which a response of an older one than the newest must begin. The versions are 0 if none was announced. Older
// versions may be used for the time limit after an announcement; requests are sent to the previous one in its first
// half. Of an announcement that may have come at any time, the limit has passed.
func (v *Versions) Usable(a Adapter, limit, now time.Duration) (newest, oldest route.Version, oldUntil time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.known[a]
	if s.after == 0 {
		return s.newest, s.newest, now
	}
	oldUntil = s.after + limit - versionMargin
	if now-s.after < limit/2 {
		return s.newest, s.previous, oldUntil
	}
	return s.newest, s.newest, oldUntil
}
