package reader

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// minSourceUptime is the uptime from which an instance is asked for rows. By then, the
// readers have read the rows that it wrote at its start, such as its own member row.
const minSourceUptime = 5 * time.Second

// Source is an instance that may be asked for rows.
type Source struct {
	Name   string
	Zone   string
	Uptime time.Duration
	// ReadsStore is set if the instance reads the tables from the store, and
	// StoreReachable if the store answers it.
	ReadsStore     bool
	StoreReachable bool
	// RecentlyFailed is set if the last request to the instance failed a short while
	// ago.
	RecentlyFailed bool
}

// EligibleFor reports whether an instance with the given uptime may take rows from the
// source. A source that has just started is not eligible, unless it is a reader: it has
// read the tables at its start and thus seems to be ahead of all others. Instances that
// have just started may ask each other, so that a restarted fleet can exchange rows.
//
// Load pattern: one instance starts in a fleet of hundreds. If all of them asked it for
// rows, its network link and its processor would be busy for seconds.
func (s Source) EligibleFor(uptime time.Duration) bool {
	return s.ReadsStore || s.Uptime >= minSourceUptime || uptime < minSourceUptime
}

// less reports whether x is preferred to y: first an instance that has not failed lately,
// then one in this zone, as traffic between zones is paid for, then one that the store
// answers. Ties are broken by a hash that differs between the asking instances, which
// spreads their requests.
func (s Self) less(x, y Source) bool {
	switch {
	case x.RecentlyFailed != y.RecentlyFailed:
		return y.RecentlyFailed
	case (x.Zone == s.Zone) != (y.Zone == s.Zone):
		return x.Zone == s.Zone
	case x.StoreReachable != y.StoreReachable:
		return x.StoreReachable
	}
	return s.tieBreak(x.Name) > s.tieBreak(y.Name)
}

func (s Self) tieBreak(name string) uint64 {
	return xxhash.Sum64String("source/" + s.Name + "/" + name)
}

// ChooseSource returns the instance to ask for rows among those that have newer ones, and
// false if there is none.
func (s Self) ChooseSource(sources []Source) (Source, bool) {
	var best Source
	found := false
	for _, x := range sources {
		if !found || s.less(x, best) {
			best, found = x, true
		}
	}
	return best, found
}
