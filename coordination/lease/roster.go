// Package lease decides whether an instance may still serve with its installed lists, and
// which member of the fleet owns a name, from the votes of the members.
//
// It contains the decision logic only and reads no clock: its methods take the present
// instant as an argument. The fleet package supplies the replies of the platform's table
// and of the peers.
package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SeatID identifies a seat, which is the place of a member in the roster. A process that
// joins gets a new seat; an instance that is replaced while the table is unavailable may
// pass its seat on to its replacement.
type SeatID string

// Epoch is the version number of the roster.
type Epoch int64

// Member is the present holder of a seat.
type Member struct {
	Seat SeatID
	// Generation counts how often the seat was passed on to another instance.
	Generation int64
	Instance   string
	Zone       string
	// Address, Mesh and Operator are the addresses (IP and port) for callers, for peers
	// and for operators.
	Address  string
	Mesh     string
	Operator string
	// Leaving is set when the member may own no names any more but still votes.
	Leaving bool
}

// Roster is the list of members at one epoch.
type Roster struct {
	Epoch   Epoch
	Members []Member
	// Purged is set when this epoch removed members that the platform listed as ended. A
	// missing reply does not prove that such a member stopped owning names, so earlier
	// epochs expire only with time (see State.EarlierEpochsExpired).
	Purged bool
}

// Majority returns the smallest number of members that is more than half.
func (r Roster) Majority() int {
	return len(r.Members)/2 + 1
}

// Member returns the holder of seat s.
func (r Roster) Member(s SeatID) (Member, bool) {
	for _, m := range r.Members {
		if m.Seat == s {
			return m, true
		}
	}
	return Member{}, false
}

// Candidates returns the members that may own name, highest ranked first, by rendezvous
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
