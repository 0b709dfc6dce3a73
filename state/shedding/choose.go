package shedding

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is used for.
type Phase int

//go:generate go tool stringer -type=Phase -linecomment
const (
	// Opening is the time until the first request has been read.
	Opening Phase = iota // opening
	// Idle is the time between two requests.
	Idle // idle
	// Receiving is the time while the body of a request is read.
	Receiving // receiving
	// Running is the time from the whole request to the end of its answer, and all of the time of a connection
	// that belongs to another instance.
	Running // running
)

const (
	// sampleTime is the shortest time over which the progress of a connection is judged.
	sampleTime = 500 * time.Millisecond
	// minProgress is the number of bytes a second below which a body yields while memory is short.
	minProgress = 32 << 10
	// openingTime is the time after which a connection without a request yields before idle ones.
	openingTime = time.Second
)

// Progress is what is known of a connection at an instant.
type Progress struct {
	Phase Phase
	// Order is lower for a connection that has been in its phase for longer.
	Order int64
	// Observed is the time for which the connection is known to have been in its phase.
	Observed time.Duration
	// Judged is the time over which Received and Blocked were observed.
	Judged time.Duration
	// Received is the data that arrived in that time, in bytes.
	Received Bytes
	// Blocked is set if a write has made no progress in that time.
	Blocked bool
	// Held is the memory that is held for the connection.
	Held Bytes
}

// slow reports whether the client of a connection keeps the instance waiting.
func (p Progress) slow() bool {
	if p.Judged < sampleTime {
		return false
	}
	return p.Blocked || p.Phase == Receiving && float64(p.Received) < minProgress*p.Judged.Seconds()
}

// yieldMemory returns the indices of the connections that yield so that at least need bytes become free, those that hold
// most first. It returns none if they do not hold as much.
//
// Load pattern: bodies that stop just short of their end, or go on by single bytes, and answers that nobody reads.
func yieldMemory(l []Progress, need Bytes) []int {
	var out []int
	for i, p := range l {
		if p.Held > 0 && p.slow() {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(l[b].Held, l[a].Held) })
	for n, i := range out {
		if need -= l[i].Held; need <= 0 {
			return out[:n+1]
		}
	}
	return nil
}

// yieldConnection returns the index of the connection that yields to a new one. Requests that are being read or answered
// yield only if their clients keep the instance waiting.
//
// Load pattern: clients open all connections and send nothing, or less than a request, or stay after an answer.
func yieldConnection(l []Progress) (int, bool) {
	best, rank := -1, 0
	for i, p := range l {
		r := 0
		switch {
		case p.Phase == Opening && p.Observed >= openingTime:
			r = 4
		case p.Phase == Idle:
			r = 3
		case p.slow():
			r = 2
		case p.Phase == Opening:
			r = 1
		}
		if r > rank || r > 0 && r == rank && p.Order < l[best].Order {
			best, rank = i, r
		}
	}
	return best, rank > 0
}
