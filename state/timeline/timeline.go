// Package timeline records the decisions of a process as events. Their timestamps come from a
// hybrid logical clock, so that the events of several processes can be merged in causal order.
package timeline

import (
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/ring"
)

//go:generate go tool stringer -type=Part,Kind -linecomment -output=timeline_string.go

// Part is the part of the process that recorded an event.
type Part int

// Values of Part.
const (
	Caller    Part = iota // caller
	Lease                 // lease
	Fleet                 // fleet
	Catalog               // catalog
	Quota                 // quota
	Placement             // placement
	Booking               // booking
	Suspect               // suspect
	Process               // process
)

// Kind is the kind of an event.
type Kind int

// Values of Kind.
const (
	Started           Kind = iota // started
	Stopping                      // stopping
	Stopped                       // stopped
	Admitted                      // admitted
	Refused                       // refused
	Settled                       // settled
	Dispatched                    // dispatched
	Answered                      // answered
	Truncated                     // cut
	Installed                     // installed
	KeyClosed                     // key-closed
	LeaseGained                   // lease-gained
	LeaseLost                     // lease-lost
	Joined                        // joined
	Removed                       // removed
	Denied                        // denied
	SeatPassed                    // seat-passed
	Acquired                      // acquired
	Released                      // released
	UseGranted                    // use-granted
	UseEnded                      // use-ended
	LoadOrdered                   // load-ordered
	LoadDone                      // load-done
	LoadFailed                    // load-failed
	Evicted                       // evicted
	UpstreamLost                  // upstream-lost
	UpstreamRecovered             // upstream-found
	IntentWritten                 // intent-written
	AnswerRecorded                // answer-recorded
	Replayed                      // replayed
	Suspected                     // suspected
	Blocked                       // blocked
	Cleared                       // cleared
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// Wall is the time in microseconds since the Unix epoch.
	Wall int64
	// Logical orders the stamps with the same wall time.
	Logical int64
}

// Before reports whether s precedes t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Event is one recorded decision. Fields that do not apply to its kind are empty.
type Event struct {
	Stamp     Stamp
	Process   string
	Sequence  uint64
	Part      Part
	Kind      Kind
	Request   string
	Workspace string
	Adapter   string
	Upstream  string
	Detail    string
}

// Recorder stores the latest events of one process and holds its hybrid logical clock. It
// is safe for concurrent use.
type Recorder struct {
	process string
	now     func() time.Time
	log     *ring.Log[Event]

	mu   sync.Mutex
	last Stamp
}

// New returns a recorder for the named process that keeps the latest n events. now
// returns the wall time.
func New(process string, n int, now func() time.Time) *Recorder {
	return &Recorder{process: process, now: now, log: ring.NewLog[Event](n)}
}

// Record adds the process, the stamp and the sequence number to e and stores it.
func (r *Recorder) Record(e Event) {
	e.Process = r.process
	e.Stamp = r.Tick()
	r.log.Append(func(sequence uint64) Event {
		e.Sequence = sequence
		return e
	})
}

// Tick advances the clock and returns a stamp that is later than every stamp returned or
// observed before.
func (r *Recorder) Tick() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.now().UnixMicro()
	if w > r.last.Wall {
		r.last = Stamp{Wall: w}
	} else {
		r.last.Logical++
	}
	return r.last
}

// Observe advances the clock to a stamp received from another process, so that later
// events here are ordered after it.
func (r *Recorder) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
}

// Since returns the stored events from sequence number s on, the sequence number to
// continue from, and the number of events from s on that were already overwritten.
func (r *Recorder) Since(s uint64) (events []Event, next, lost uint64) {
	return r.log.Since(s)
}
