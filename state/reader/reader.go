// Package reader decides which instances of an availability zone read the
// tables of the store. The others take the rows from them.
//
// Load pattern: every change of a row answers every call that waits for it, and
// each call is paid for, also those to a store that is away. The calls must not
// grow with the number of instances.
package reader

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// perZone is the number of readers of an availability zone while the store
	// answers them: one may be frozen or cut off.
	perZone = 2
	// maxPerZone is the number of instances that try while the store does not
	// answer: it may turn some away and serve others.
	maxPerZone = 4
)

// Peer is what an instance knows of another one.
type Peer struct {
	Name string
	Zone string
	// Serving is set if the peer takes callers, and Steady if the store
	// answers it, or if it does not read.
	Serving        bool
	StoreReachable bool
	// Live is set if the peer was heard lately.
	Live bool
}

// Self is the instance that asks.
type Self struct {
	Name string
	Zone string
}

func weight(name string) uint64 { return xxhash.Sum64String("reader/" + name) }

// ShouldRead reports whether an instance reads the tables itself: too few living
// instances of its zone come before it in the order of readers.
func ShouldRead(s Self, peers []Peer) bool {
	before, steady := 0, 0
	own := weight(s.Name)
	for _, p := range peers {
		if !p.Serving || !p.Live || p.Zone != s.Zone || weight(p.Name) <= own {
			continue
		}
		before++
		if p.StoreReachable {
			steady++
		}
	}
	return steady < perZone && before < maxPerZone
}
