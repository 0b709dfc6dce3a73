// Package adapter holds the decisions about adapters on upstreams: which are
// there, which may go, which request is next, and where it should run. It
// gives no orders and never asks for the time.
package adapter

import (
	"maps"
	"math"
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// UpstreamID names an upstream in the platform's list.
type UpstreamID string

// UseID names the use of an adapter on an upstream by one request.
type UseID string

// Holder names the member that holds a use.
type Holder string

// Incarnation tells one run of an engine from the next: its start time in
// microseconds since the Unix epoch.
type Incarnation int64

// Use is the right of one request to run on an adapter of an upstream. The
// adapter is not evicted while it lasts.
type Use struct {
	ID       UseID
	Upstream UpstreamID
	// Incarnation is the run of the engine for which the use was granted. It
	// is 0 while the grant is under way.
	Incarnation Incarnation
	Address     string
	Adapter     lists.Adapter
	Workspace   lists.WorkspaceID
	// Exclusive asks that no other request runs on the upstream meanwhile.
	Exclusive bool
	// LoadWait is how long the request waited because of a load.
	LoadWait time.Duration
	Holder   Holder
	Since    time.Time
}

//go:generate go tool stringer -type=State -linecomment -output=slots_string.go

// State is what an upstream has of an adapter.
type State int

// States of adapters. A pending one waits for a load permit and holds no slot
// yet. An unsure one was evicted with an unknown outcome.
const (
	Absent          State = iota // absent
	Pending                      // pending
	Loading                      // loading
	Ready                        // ready
	Evicting                     // evicting
	EvictionUnknown              // unsure
)

type slot struct {
	state State
	uses  int
}

// heat is how much an adapter was used lately. It halves every halfLife.
type heat struct {
	value float64
	at    time.Time
}

const (
	halfLife   = 30 * time.Second
	maxHeats   = 4096
	coldAmount = 0.01
)

func (h heat) now(t time.Time) float64 {
	return h.value * math.Exp2(-t.Sub(h.at).Seconds()/halfLife.Seconds())
}

// Slots are the adapters and running requests of one upstream, as its owner
// sees them. They are not safe for concurrent use.
type Slots struct {
	capacity    int
	concurrency int
	incarnation Incarnation
	adapters    map[lists.Adapter]*slot
	pending     map[lists.Adapter]bool
	heats       map[lists.Adapter]heat
	uses        map[UseID]Use
	alone       bool
	changes     int
	// evictAfter is the instant before which unknown uses may exist.
	evictAfter time.Time
}

// NewSlots returns the empty slots of one run of an engine.
func NewSlots(capacity, concurrency int, i Incarnation) *Slots {
	s := &Slots{capacity: capacity, concurrency: concurrency, heats: map[lists.Adapter]heat{}}
	s.Reset(i)
	return s
}

// Reset empties the slots for a new run of the engine. The uses of the
// earlier run have ended with it.
func (s *Slots) Reset(i Incarnation) {
	s.incarnation = i
	s.adapters = map[lists.Adapter]*slot{}
	s.pending = map[lists.Adapter]bool{}
	s.uses = map[UseID]Use{}
	s.alone = false
	s.evictAfter = time.Time{}
	s.changes++
}

// Incarnation returns the run of the engine.
func (s *Slots) Incarnation() Incarnation {
	return s.incarnation
}

// Concurrency returns how many requests the upstream runs at once.
func (s *Slots) Concurrency() int {
	return s.concurrency
}

// ChangeCount counts what was done to the adapters, so that a report that was
// asked for before a change is recognized.
func (s *Slots) ChangeCount() int {
	return s.changes
}

// State returns what the upstream has of an adapter.
func (s *Slots) State(a lists.Adapter) State {
	if x, ok := s.adapters[a]; ok {
		return x.state
	}
	if s.pending[a] {
		return Pending
	}
	return Absent
}

// Uses returns the uses that are known.
func (s *Slots) Uses() []Use {
	return slices.Collect(maps.Values(s.uses))
}

// Running returns the number of known uses.
func (s *Slots) Running() int {
	return len(s.uses)
}

// UsesByAdapter returns the adapters that are there or being loaded, with the
// number of their uses.
func (s *Slots) UsesByAdapter() map[lists.Adapter]int {
	all := map[lists.Adapter]int{}
	for a, x := range s.adapters {
		if x.state == Ready || x.state == Loading {
			all[a] = x.uses
		}
	}
	return all
}

// FreeSlots returns the number of slots that a new adapter could take.
func (s *Slots) FreeSlots() int {
	room := s.capacity
	for _, x := range s.adapters {
		if x.uses > 0 || x.state == Loading {
			room--
		}
	}
	return room
}

// ForbidEvictions forbids evictions until t, because unknown uses may exist.
func (s *Slots) ForbidEvictions(t time.Time) {
	s.evictAfter = t
}

// AllowEvictions allows evictions again.
func (s *Slots) AllowEvictions() {
	s.evictAfter = time.Time{}
}

// Restore takes in the adapters that an engine reports and the uses that the
// members report.
func (s *Slots) Restore(loaded []lists.Adapter, uses []Use) {
	for _, a := range loaded {
		s.adapters[a] = &slot{state: Ready}
	}
	for _, u := range uses {
		// An adapter that is not there cannot be in use.
		if s.adapters[u.Adapter] != nil {
			s.add(u)
		}
	}
}

// Reconcile takes in what an engine reports while no order is under way: adapters
// that it has, and adapters that it lost.
func (s *Slots) Reconcile(loaded []lists.Adapter) {
	for a, x := range s.adapters {
		x.state = Ready
		if x.uses == 0 && !slices.Contains(loaded, a) {
			delete(s.adapters, a)
		}
	}
	for _, a := range loaded {
		if s.adapters[a] == nil {
			s.adapters[a] = &slot{state: Ready}
		}
	}
}

// Converged reports whether no order is under way.
func (s *Slots) Converged() bool {
	for _, x := range s.adapters {
		if x.state == Loading || x.state == Evicting {
			return false
		}
	}
	return true
}

func (s *Slots) add(u Use) {
	if _, ok := s.uses[u.ID]; ok {
		return
	}
	s.adapters[u.Adapter].uses++
	s.uses[u.ID] = u
	s.alone = s.alone || u.Exclusive
}

// hasRoom reports whether the upstream can run one more request.
func (s *Slots) hasRoom(alone bool) bool {
	if s.alone || (alone && len(s.uses) > 0) {
		return false
	}
	return len(s.uses) < s.concurrency
}

// Begin grants a use of a ready adapter if there is room.
func (s *Slots) Begin(u Use, now time.Time) bool {
	if s.State(u.Adapter) != Ready || !s.hasRoom(u.Exclusive) {
		return false
	}
	u.Since = now
	s.add(u)
	s.warm(u.Adapter, now)
	return true
}

// warm counts a use of an adapter.
func (s *Slots) warm(a lists.Adapter, now time.Time) {
	s.heats[a] = heat{value: s.heats[a].now(now) + 1, at: now}
	if len(s.heats) > maxHeats {
		maps.DeleteFunc(s.heats, func(_ lists.Adapter, h heat) bool { return h.now(now) < coldAmount })
	}
}

// End ends a use. Ending it again changes nothing.
func (s *Slots) End(id UseID) {
	u, ok := s.uses[id]
	if !ok {
		return
	}
	delete(s.uses, id)
	if u.Exclusive {
		s.alone = false
	}
	if x, ok := s.adapters[u.Adapter]; ok {
		x.uses--
	}
}

// AwaitPermit notes that the load of an adapter waits for a permit.
func (s *Slots) AwaitPermit(a lists.Adapter) {
	s.pending[a] = true
}

// CanLoad reports whether a load could get a slot now.
func (s *Slots) CanLoad(wanted func(lists.Adapter) bool, now time.Time) bool {
	_, ok := s.victim(wanted, now)
	return ok
}

// StartLoad takes a slot for an adapter. The adapter that it returns, if any,
// has to be evicted first. It returns false when every slot is in use.
func (s *Slots) StartLoad(a lists.Adapter, wanted func(lists.Adapter) bool, now time.Time) (lists.Adapter, bool) {
	evict, ok := s.victim(wanted, now)
	if !ok {
		return "", false
	}
	if evict != "" {
		s.adapters[evict].state = Evicting
	}
	delete(s.pending, a)
	s.adapters[a] = &slot{state: Loading}
	s.changes++
	return evict, true
}

// FinishEviction notes the outcome of an eviction. Without a good one the
// adapter gets no request until the engine has reported.
func (s *Slots) FinishEviction(a lists.Adapter, done bool) {
	s.changes++
	if done {
		delete(s.adapters, a)
		return
	}
	if x, ok := s.adapters[a]; ok {
		x.state = EvictionUnknown
	}
}

// FinishLoad notes the outcome of a load.
func (s *Slots) FinishLoad(a lists.Adapter, done bool) {
	delete(s.pending, a)
	s.changes++
	x, ok := s.adapters[a]
	switch {
	case ok && done:
		x.state = Ready
	case ok:
		delete(s.adapters, a)
	}
}

// victim finds a slot for an adapter that is not there: a free one, or that
// of the idle adapter that was used least lately. It never chooses one in use.
func (s *Slots) victim(wanted func(lists.Adapter) bool, now time.Time) (lists.Adapter, bool) {
	if len(s.adapters) < s.capacity {
		return "", true
	}
	if now.Before(s.evictAfter) {
		return "", false
	}
	var idle lists.Adapter
	least := math.Inf(1)
	for a, x := range s.adapters {
		if x.state != Ready || x.uses > 0 || wanted(a) {
			continue
		}
		if h := s.heats[a].now(now); h < least || (h == least && a < idle) {
			idle, least = a, h
		}
	}
	return idle, idle != ""
}
