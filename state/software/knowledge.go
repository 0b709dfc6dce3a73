package software

import "time"

//go:generate go tool stringer -type=Knowledge -linecomment

// Knowledge is what a split tells of the version at which a stream began.
type Knowledge int

// Kinds of knowledge. With Stale, others may begin streams by a newer split. With NeedsRecords, a stream may
// have begun at another version than the assigned one, which its record tells.
const (
	Stale        Knowledge = iota // stale
	NeedsRecords                  // needs records
	Known                         // known
)

const (
	// MaxAge is the age from which on a split may have been replaced by one that others already use.
	MaxAge = 2500 * time.Millisecond
	// SwitchDelay is the time from the change of a split to its use, within which all instances learn of it.
	// Those that have not for MaxAge know that they do not.
	SwitchDelay = 3 * time.Second
	// maxSingleAge is the age up to which a single version is the answer without a look at the records. It is
	// below MaxAge because streams begin elsewhere at once when the last upstreams of a version leave.
	maxSingleAge = time.Second
)

// Knowledge returns what the split tells of the streams of its service that are not older than d. The parameter
// age is the time for which it has not been known to be the newest.
//
// Load pattern: an instance stands still or is cut off from the others while upstreams of a new version join,
// and callers take up at that instance what others have begun.
func (s Split) Knowledge(age, now, d time.Duration) Knowledge {
	switch {
	case age > MaxAge:
		return Stale
	case age <= maxSingleAge && s.Single(now, d):
		return Known
	default:
		return NeedsRecords
	}
}
