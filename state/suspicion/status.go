package suspicion

//go:generate go tool stringer -type=Status -linecomment

// Status is the status of a request by its parts.
type Status int

// Statuses. A suspected request contains a part that was on several upstreams as they crashed and
// on none that answered since. A blocked one contains all parts of a verdict.
const (
	Clean     Status = iota // clean
	Suspected               // suspected
	Blocked                 // blocked
)
