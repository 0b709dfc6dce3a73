// Package lease decides whether an instance may still act on what it
// believes.
//
// It holds the decision logic only: every function takes the instant at which
// it is asked. The fleet package feeds it with the answers of the platform and
// of the peers.
package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SeatID names a place in the roster. A process that joins gets a new seat;
// an instance that is replaced during an outage may pass its seat on.
type SeatID string

// Epoch numbers the versions of the roster.
type Epoch int64

// Member is the holder of a seat.
type Member struct {
	Seat SeatID
	// Generation counts how often the seat was passed on.
	Generation int64
	Instance   string
	Zone       string
	// Address, Mesh and Operator are IP numbers with ports.
	Address  string
	Mesh     string
	Operator string
	// Leaving is set when the member owns nothing any more but still votes.
	Leaving bool
}

// Roster is the list of members at one epoch.
type Roster struct {
	Epoch   Epoch
	Members []Member
	// Purged is set when this epoch removed members that the platform listed
	// as ended. Their silence proves nothing, so the epoch settles by time.
	Purged bool
}

// Majority is the smallest number of members that is more than half.
func (r Roster) Majority() int {
	return len(r.Members)/2 + 1
}

// Member returns the holder of a seat.
func (r Roster) Member(s SeatID) (Member, bool) {
	for _, m := range r.Members {
		if m.Seat == s {
			return m, true
		}
	}
	return Member{}, false
}

// Candidates returns the members that may own name, best first, by rendezvous
// hashing.
func (r Roster) Candidates(name string) []Member {
	type ranked struct {
		member Member
		weight uint64
	}
	all := make([]ranked, 0, len(r.Members))
	for _, m := range r.Members {
		if !m.Leaving {
			all = append(all, ranked{m, weight(m.Seat, name)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		default:
			return 0
		}
	})
	members := make([]Member, len(all))
	for i, x := range all {
		members[i] = x.member
	}
	return members
}

func weight(s SeatID, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(s))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
