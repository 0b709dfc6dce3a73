// Package reader decides which instances of a large fleet read a table that
// changes all the time, and when the others do.
//
// Load pattern: hundreds of engines change their rows at each heartbeat, for
// hundreds of instances.
package reader

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiangauge.example/gentiangauge/state/mirror"
)

const (
	// from is the number of peers from which on some instances read for all. In
	// smaller fleets the calls cost little.
	from = 40
	// maxIdle is the longest time between two reads of an instance; the store
	// keeps twice as much history.
	maxIdle = 8 * time.Second
)

// Large reports whether some instances of the fleet read for all.
func Large(peers int) bool {
	return peers >= from
}

// Peer is what an instance knows of another one.
type Peer struct {
	Name string
	Zone string
	// News is the version of the newest row that matters and that it knows.
	News mirror.Version
	// Reads is set if it can read: it serves and reaches the store.
	Reads bool
	// Fresh is set if it was heard lately.
	Fresh bool
}

// Self is the instance that asks.
type Self struct {
	Name string
	Zone string
	News mirror.Version
	// Idle is the time since its last read.
	Idle time.Duration
}

func weight(name string) uint64 { return xxhash.Sum64String("reader/" + name) }

// Due reports whether an instance reads now: it is the reader of its zone,
// hears of none, a peer knows news, or its last read is long ago.
func Due(s Self, peers []Peer) bool {
	if !Large(len(peers)) || s.Idle > maxIdle {
		return true
	}
	heard := false
	for _, p := range peers {
		if p.News > s.News {
			return true
		}
		if p.Reads && p.Fresh && p.Zone == s.Zone && weight(p.Name) > weight(s.Name) {
			heard = true
		}
	}
	return !heard
}
