// Package freshness knows how current an instance's copy of a table is: when it
// was last known to be the newest, by whom, and since when newer rows are known
// that it lacks.
package freshness

import (
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/state/mirror"
)

// Table is what is known of the copy of one table. It is safe for concurrent
// use. All instants are those of timer.Service.Boot.
type Table struct {
	mu sync.Mutex
	// confirmed is the instant at which the copy was last known to be the newest,
	// by confirmedBy.
	confirmed   time.Duration
	confirmedBy string
	// newest is the newest version that was told, by toldBy, and behind the
	// instant since which a newer version than the copy's is known, or 0.
	newest mirror.Version
	toldBy string
	behind time.Duration
}

// State is how current a copy is.
type State struct {
	// Age is the time since the copy was known to be the newest, by ConfirmedBy.
	Age         time.Duration
	ConfirmedBy string
	// Behind is the time since which newer rows are known, or 0. Newest is their
	// version and ToldBy who told of it.
	Behind     time.Duration
	Newest     mirror.Version
	ReportedBy string
}

// ObservePeer notes the version that another instance has, beside the copy's own. It
// confirms the copy if it is no newer and that instance reads the store.
func (t *Table) ObservePeer(own, theirs mirror.Version, by string, reads bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case theirs > own:
		if t.behind == 0 {
			t.behind = now
		}
		if theirs > t.newest {
			t.newest, t.toldBy = theirs, by
		}
	case reads:
		t.confirmed, t.confirmedBy = now, by
	}
}

// MarkRead notes that the copy was read from the store.
func (t *Table) MarkRead(own mirror.Version, from string, now time.Duration) (behind time.Duration) {
	t.mu.Lock()
	t.confirmed, t.confirmedBy = now, from
	t.mu.Unlock()
	return t.Advance(own, now)
}

// Advance notes the version of the copy, and returns how long it was behind if
// it has just caught up with all that was told.
func (t *Table) Advance(own mirror.Version, now time.Duration) (behind time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behind == 0 || own < t.newest {
		return 0
	}
	behind, t.behind = now-t.behind, 0
	return behind
}

// State returns how current the copy is.
func (t *Table) State(now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Age: now - t.confirmed, ConfirmedBy: t.confirmedBy, Newest: t.newest, ReportedBy: t.toldBy}
	if t.behind != 0 {
		s.Behind = now - t.behind
	}
	return s
}
