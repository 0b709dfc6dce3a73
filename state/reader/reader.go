// Package reader decides which instances of an availability zone read the tables of the
// store. The other instances get the rows from them.
//
// Load pattern: the store answers every waiting call when a row changes, and each call is
// paid for, also while the store is unavailable. The number of calls must not grow with
// the number of instances.
package reader

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerZone is the number of readers in an availability zone whose calls the
	// store answers. There are two, as one may be frozen or cut off from the network.
	readersPerZone = 2
	// maxReadersPerZone is the number of instances in a zone that call a store that does
	// not answer: it may reject some instances and serve others.
	maxReadersPerZone = 4
)

// Peer is another instance, as its heartbeats describe it.
type Peer struct {
	Name string
	Zone string
	// Serving is set if the peer accepts requests from callers.
	Serving bool
	// StoreReachable is set if the store answers the peer, or if the peer does not read
	// from it.
	StoreReachable bool
	// Live is set if a heartbeat of the peer has arrived lately.
	Live bool
}

// Self is this instance.
type Self struct {
	Name string
	Zone string
}

func weight(name string) uint64 { return xxhash.Sum64String("reader/" + name) }

// ShouldRead reports whether this instance reads the tables itself. Instances are ordered
// by their rendezvous hash; an instance reads if few enough live instances of its zone
// come before it.
func ShouldRead(s Self, peers []Peer) bool {
	before, reachable := 0, 0
	own := weight(s.Name)
	for _, p := range peers {
		if !p.Serving || !p.Live || p.Zone != s.Zone || weight(p.Name) <= own {
			continue
		}
		before++
		if p.StoreReachable {
			reachable++
		}
	}
	return reachable < readersPerZone && before < maxReadersPerZone
}
