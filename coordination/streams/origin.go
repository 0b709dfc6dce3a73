package streams

//go:generate go tool stringer -type=origin -linecomment

// origin is what told the version at which a stream began.
type origin int

const (
	fromNothing   origin = iota // nothing
	fromItself                  // itself
	fromRecord                  // record
	fromInstances               // instances
	fromSplit                   // split
)
