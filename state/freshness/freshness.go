// Package freshness tracks how up to date an instance's copy of a table is: when it was
// last confirmed to be the newest and by whom, and since when newer rows are known to
// exist.
package freshness

import (
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/state/mirror"
)

// Table tracks the freshness of the copy of one table. It is safe for concurrent use. All
// instants are those of timer.Service.Boot.
type Table struct {
	mu sync.Mutex
	// confirmedAt is when confirmedBy last confirmed that the copy was the newest.
	confirmedAt time.Duration
	confirmedBy string
	// newest is the highest version that a peer reported, and reportedBy that peer.
	// behindSince is when a version newer than the copy's was first reported, or 0 if
	// the copy has caught up.
	newest      mirror.Version
	reportedBy  string
	behindSince time.Duration
}

// State is the freshness of a copy.
type State struct {
	// Age is the time since ConfirmedBy last confirmed that the copy was the newest.
	Age         time.Duration
	ConfirmedBy string
	// Behind is the time since newer rows were first reported, or 0 if the copy has
	// caught up. Newest is the highest reported version, and ReportedBy the peer that
	// reported it.
	Behind     time.Duration
	Newest     mirror.Version
	ReportedBy string
}

// ObservePeer records the version of a peer's copy, next to the version of this copy. A
// peer that reads the store confirms this copy if its own is not newer.
func (t *Table) ObservePeer(own, theirs mirror.Version, peer string, readsStore bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case theirs > own:
		if t.behindSince == 0 {
			t.behindSince = now
		}
		if theirs > t.newest {
			t.newest, t.reportedBy = theirs, peer
		}
	case readsStore:
		t.confirmedAt, t.confirmedBy = now, peer
	}
}

// MarkRead records that the copy was just read from the named source, and returns the same
// as Advance.
func (t *Table) MarkRead(own mirror.Version, source string, now time.Duration) (behind time.Duration) {
	t.mu.Lock()
	t.confirmedAt, t.confirmedBy = now, source
	t.mu.Unlock()
	return t.Advance(own, now)
}

// Advance records a new version of the copy. If the copy has now caught up with all
// reported versions, it returns how long it was behind, otherwise 0.
func (t *Table) Advance(own mirror.Version, now time.Duration) (behind time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behindSince == 0 || own < t.newest {
		return 0
	}
	behind, t.behindSince = now-t.behindSince, 0
	return behind
}

// ConfirmedAt returns when the copy was last confirmed to be the newest, or 0 if it never was. Rows that are new to it
// were written later.
func (t *Table) ConfirmedAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// State returns the freshness of the copy.
func (t *Table) State(now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Age: now - t.confirmedAt, ConfirmedBy: t.confirmedBy, Newest: t.newest, ReportedBy: t.reportedBy}
	if t.behindSince != 0 {
		s.Behind = now - t.behindSince
	}
	return s
}
