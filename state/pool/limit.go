package pool

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// Limit is the rate limit that an upstream has set for the requests of all instances
// together. Instances exchange it; a higher revision replaces a lower one.
type Limit struct {
	// Rate is 0 if the upstream has set no limit.
	Rate RequestsPerSecond
	// Revision counts the changes since the process of the upstream started.
	Revision int64
}

// update returns the limit after a response to a request that was placed at a known
// revision. A response to a request that was placed before the present revision was
// known may be older than that revision, and changes nothing.
func (l Limit) update(placedAt int64, n Notice) Limit {
	if !n.StatesLimit || n.Limit == l.Rate || placedAt != l.Revision {
		return l
	}
	return Limit{Rate: n.Limit, Revision: l.Revision + 1}
}
