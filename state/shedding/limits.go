// Package shedding decides what an instance takes from clients and upstreams, which it does not control, while memory
// or connections are short: what is admitted, what waits, and which connections yield.
package shedding

// Bytes is an amount of memory.
type Bytes int64

// Use is what memory is held for.
type Use int

//go:generate go tool stringer -type=Use -linecomment
const (
	// Requests are the bodies of callers' requests, until the request has ended.
	Requests Use = iota // requests
	// Responses are data of upstreams that has not been forwarded.
	Responses // responses
	// Forwarding is the buffers of connections that are forwarded for other instances.
	Forwarding // forwarding

	useCount
)

// Door is a listener of an instance.
type Door int

//go:generate go tool stringer -type=Door -linecomment
const (
	// Callers is the door for requests.
	Callers Door = iota // callers
	// Lookups is the door for address lookups.
	Lookups // lookups
	// Checks is the door for readiness checks.
	Checks // checks
	// Operators is the door for metrics, and for operators of an instance.
	Operators // operators
	// Peers is the door for other instances.
	Peers // peers

	doorCount
)

// Shares of the memory of an instance. The rest is for the instance itself, the stacks and headers of connections, and
// for the garbage collector to work with.
const (
	requestShare    = 0.45
	responseShare   = 0.15
	forwardingShare = 0.25
	// heldShare is the share of all uses together.
	heldShare = 0.6
	// unreadShare is the share of data that has arrived on connections and has not been read.
	unreadShare = 0.15
	// RuntimeShare is the share within which the garbage collector keeps the heap.
	RuntimeShare = 0.7
)

const (
	// UnreadBytes is the most that the kernel keeps of a connection whose data is not read.
	UnreadBytes Bytes = 64 << 10
	// smallBytes is the part of each body that may use the memory that larger bodies leave free.
	smallBytes Bytes = 64 << 10
	// largeShare is the share of a use that larger bodies may take.
	largeShare = 0.9
)

// fileDescriptors is the number of descriptors that are left to files.
const fileDescriptors = 200

// Shares of the descriptors for sockets. Each request of a caller may take another one for its upstream; the rest is for
// connections to the store, to engines and to other instances.
var doorShares = [doorCount]float64{Callers: 0.3, Lookups: 0.06, Checks: 0.02, Operators: 0.02, Peers: 0.1}

// idleUpstreamShare is the share of kept connections to upstreams.
const idleUpstreamShare = 0.1

// Limits bound what an instance holds for clients and upstreams.
type Limits struct {
	// Held bounds each use of memory, Total all of them together.
	Held  [useCount]Bytes
	Total Bytes
	// Connections bounds the open connections of each door.
	Connections [doorCount]int
	// IdleUpstream bounds the kept connections to upstreams.
	IdleUpstream int
}

// NewLimits returns the limits of an instance with an amount of memory and a number of open descriptors.
func NewLimits(memory Bytes, descriptors int) Limits {
	of := func(share float64) Bytes { return Bytes(float64(memory) * share) }
	l := Limits{Total: of(heldShare), Held: [useCount]Bytes{Requests: of(requestShare), Responses: of(responseShare), Forwarding: of(forwardingShare)}}
	sockets := float64(max(descriptors-fileDescriptors, descriptors/2))
	for d, share := range doorShares {
		l.Connections[d] = max(1, int(sockets*share))
	}
	l.Connections[Callers] = min(l.Connections[Callers], max(1, int(of(unreadShare)/UnreadBytes)))
	l.IdleUpstream = max(1, int(sockets*idleUpstreamShare))
	return l
}

// admits reports whether a body that has taken some memory of a use may take more.
//
// Load pattern: many large bodies at once, beside ordinary small ones.
func (l Limits) admits(held [useCount]Bytes, u Use, taken, more Bytes) bool {
	if sum(held)+more > l.Total {
		return false
	}
	bound := l.Held[u]
	if taken+more > smallBytes {
		bound = Bytes(float64(bound) * largeShare)
	}
	return held[u]+more <= bound
}

func sum(held [useCount]Bytes) (n Bytes) {
	for _, x := range held {
		n += x
	}
	return n
}
