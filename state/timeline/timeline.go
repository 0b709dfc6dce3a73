// Package timeline records the decisions of a process as events that can be
// merged with those of other processes.
package timeline

import (
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/ring"
)

//go:generate go tool stringer -type=Part,Kind -linecomment -output=timeline_string.go

// Part is the part of the process that made a decision.
type Part int

// Parts that record events.
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

// Kind is the kind of decision.
type Kind int

// Kinds of events.
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

// Stamp is a hybrid logical clock reading.
type Stamp struct {
	// Wall is the time in microseconds since the Unix epoch.
	Wall int64
	// Logical orders events with the same wall time.
	Logical int64
}

// Before reports whether s precedes t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Event is one recorded decision. Empty fields do not apply to it.
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

// Recorder keeps the newest events of one process and its clock.
type Recorder struct {
	process string
	now     func() time.Time
	log     *ring.Log[Event]

	mu   sync.Mutex
	last Stamp
}

// New returns a recorder for the named process that keeps n events.
func New(process string, n int, now func() time.Time) *Recorder {
	return &Recorder{process: process, now: now, log: ring.NewLog[Event](n)}
}

// Record stamps and stores an event.
func (r *Recorder) Record(e Event) {
	e.Process = r.process
	e.Stamp = r.Tick()
	r.log.Append(func(sequence uint64) Event {
		e.Sequence = sequence
		return e
	})
}

// Tick returns a stamp that is later than every one returned or observed
// before.
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

// Observe takes in a stamp of another process.
func (r *Recorder) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
}

// Since returns the events from sequence number s on, the next sequence
// number, and how many events were overwritten.
func (r *Recorder) Since(s uint64) (events []Event, next, lost uint64) {
	return r.log.Since(s)
}
