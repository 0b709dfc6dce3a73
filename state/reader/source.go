package reader

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// settledTime is the uptime from which on an instance is asked for rows. Until
// then the readers have read what it wrote at its start, such as its own row.
const settledTime = 5 * time.Second

// Source is an instance that may be asked for rows.
type Source struct {
	Name   string
	Zone   string
	Uptime time.Duration
	// ReadsStore is set if it reads the tables, and Steady if the store answers it.
	ReadsStore     bool
	StoreReachable bool
	// RecentlyFailed is set if it did not answer lately.
	RecentlyFailed bool
}

// EligibleFor reports whether what another instance knows counts as news for one with
// some uptime. An instance that has just started has read the tables itself and
// seems to know more than all others. Of a fleet that starts anew, all tell.
//
// Load pattern: an instance starts beside hundreds. If each of them asked it for
// rows, its link and its processor would be taken for seconds.
func (s Source) EligibleFor(uptime time.Duration) bool {
	return s.ReadsStore || s.Uptime >= settledTime || uptime < settledTime
}

// less reports whether x is asked before y: one that answered lately, then one of
// the own zone, as bytes between zones are paid for, then one that the store
// answers. The rest is spread over the instances that ask.
func (s Self) less(x, y Source) bool {
	switch {
	case x.RecentlyFailed != y.RecentlyFailed:
		return y.RecentlyFailed
	case (x.Zone == s.Zone) != (y.Zone == s.Zone):
		return x.Zone == s.Zone
	case x.StoreReachable != y.StoreReachable:
		return x.StoreReachable
	}
	return s.spread(x.Name) > s.spread(y.Name)
}

func (s Self) spread(name string) uint64 { return xxhash.Sum64String("source/" + s.Name + "/" + name) }

// ChooseSource returns the instance to ask for rows, of those that know newer ones, and
// false if there is none.
func (s Self) ChooseSource(ahead []Source) (Source, bool) {
	var best Source
	found := false
	for _, x := range ahead {
		if !found || s.less(x, best) {
			best, found = x, true
		}
	}
	return best, found
}
