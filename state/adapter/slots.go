// Package adapter decides which adapters are loaded on an upstream, which are evicted, which
// request is served next and on which upstream. It sends no orders and does not read the clock.
package adapter

import (
	"maps"
	"math"
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// UpstreamID is the id of an upstream in the list of the platform.
type UpstreamID string

// UseID is the id of the use of an adapter by one request.
type UseID string

// Holder is the name of the instance that holds a use.
type Holder string

// Incarnation identifies one run of an engine by its start time, in microseconds since the Unix
// epoch.
type Incarnation int64

// Use is the permission for one request to run with an adapter on an upstream. The adapter is
// not evicted until the use ends.
type Use struct {
	ID       UseID
	Upstream UpstreamID
	// Incarnation is the run of the engine for which the use was granted, or 0 while the
	// grant is pending.
	Incarnation Incarnation
	Address     string
	Adapter     lists.Adapter
	Workspace   lists.WorkspaceID
	// Exclusive asks that no other request runs on the upstream at the same time.
	Exclusive bool
	// LoadWait is the time for which the request waited for a load.
	LoadWait time.Duration
	Holder   Holder
	Since    time.Time
}

//go:generate go tool stringer -type=State -linecomment -output=slots_string.go

// State is the state of an adapter on an upstream.
type State int

// States of adapters. Pending: waits for a load permit and has no slot yet. EvictionUnknown: the
// outcome of its eviction is not known.
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

// useScore measures recent use: the number of uses, halved every scoreHalfLife.
type useScore struct {
	value float64
	at    time.Time
}

const (
	scoreHalfLife = 30 * time.Second
	// Above maxScores adapters, scores below minScore are dropped to bound the memory.
	maxScores = 4096
	minScore  = 0.01
)

// decayed returns the score at time t.
func (h useScore) decayed(t time.Time) float64 {
	return h.value * math.Exp2(-t.Sub(h.at).Seconds()/scoreHalfLife.Seconds())
}

// Slots tracks the adapters and running requests of one upstream for its owner. It is not safe
// for concurrent use.
type Slots struct {
	capacity    int
	concurrency int
	incarnation Incarnation
	adapters    map[lists.Adapter]*slot
	pending     map[lists.Adapter]bool
	scores      map[lists.Adapter]useScore
	uses        map[UseID]Use
	exclusive   bool
	changeCount int
	// noEvictionsUntil is the time up to which uses may exist that this owner does not know.
	noEvictionsUntil time.Time
}

// NewSlots returns empty slots for one run of an engine. Concurrency is the number of requests
// that the engine runs at the same time.
func NewSlots(capacity, concurrency int, i Incarnation) *Slots {
	s := &Slots{capacity: capacity, concurrency: concurrency, scores: map[lists.Adapter]useScore{}}
	s.Reset(i)
	return s
}

// Reset clears the slots for a new run of the engine. All uses ended with the previous run.
func (s *Slots) Reset(i Incarnation) {
	s.incarnation = i
	s.adapters = map[lists.Adapter]*slot{}
	s.pending = map[lists.Adapter]bool{}
	s.uses = map[UseID]Use{}
	s.exclusive = false
	s.noEvictionsUntil = time.Time{}
	s.changeCount++
}

// Incarnation returns the run of the engine.
func (s *Slots) Incarnation() Incarnation {
	return s.incarnation
}

// Concurrency returns the number of requests that the upstream runs at the same time.
func (s *Slots) Concurrency() int {
	return s.concurrency
}

// ChangeCount returns the number of changes to the adapters. A report that was requested before
// a change can be recognized by it.
func (s *Slots) ChangeCount() int {
	return s.changeCount
}

// State returns the state of an adapter on the upstream.
func (s *Slots) State(a lists.Adapter) State {
	if x, ok := s.adapters[a]; ok {
		return x.state
	}
	if s.pending[a] {
		return Pending
	}
	return Absent
}

// Uses returns the known uses.
func (s *Slots) Uses() []Use {
	return slices.Collect(maps.Values(s.uses))
}

// Running returns the number of known uses.
func (s *Slots) Running() int {
	return len(s.uses)
}

// UsesByAdapter returns the number of uses of each loaded or loading adapter.
func (s *Slots) UsesByAdapter() map[lists.Adapter]int {
	all := map[lists.Adapter]int{}
	for a, x := range s.adapters {
		if x.state == Ready || x.state == Loading {
			all[a] = x.uses
		}
	}
	return all
}

// FreeSlots returns the number of slots available to a new adapter: free ones and those of idle
// adapters.
func (s *Slots) FreeSlots() int {
	free := s.capacity
	for _, x := range s.adapters {
		if x.uses > 0 || x.state == Loading {
			free--
		}
	}
	return free
}

// ForbidEvictions forbids evictions up to time t, because uses may exist that are not known.
func (s *Slots) ForbidEvictions(t time.Time) {
	s.noEvictionsUntil = t
}

// AllowEvictions allows evictions again.
func (s *Slots) AllowEvictions() {
	s.noEvictionsUntil = time.Time{}
}

// Restore adds the adapters that an engine reports and the uses that the members report.
func (s *Slots) Restore(loaded []lists.Adapter, uses []Use) {
	for _, a := range loaded {
		s.adapters[a] = &slot{state: Ready}
	}
	for _, u := range uses {
		// An adapter that is not loaded cannot be in use.
		if s.adapters[u.Adapter] != nil {
			s.add(u)
		}
	}
}

// Reconcile applies a report of the engine that was read while no order was in flight: it adds the
// adapters in the report and removes idle ones that are missing from it.
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

// Converged reports whether no order is in flight.
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
	s.exclusive = s.exclusive || u.Exclusive
}

// hasCapacity reports whether the upstream can run one more request.
func (s *Slots) hasCapacity(exclusive bool) bool {
	if s.exclusive || (exclusive && len(s.uses) > 0) {
		return false
	}
	return len(s.uses) < s.concurrency
}

// Begin grants a use if the adapter is ready and the upstream can run one more request.
func (s *Slots) Begin(u Use, now time.Time) bool {
	if s.State(u.Adapter) != Ready || !s.hasCapacity(u.Exclusive) {
		return false
	}
	u.Since = now
	s.add(u)
	s.recordUse(u.Adapter, now)
	return true
}

// recordUse adds one use to the score of an adapter.
func (s *Slots) recordUse(a lists.Adapter, now time.Time) {
	s.scores[a] = useScore{value: s.scores[a].decayed(now) + 1, at: now}
	if len(s.scores) > maxScores {
		maps.DeleteFunc(s.scores, func(_ lists.Adapter, h useScore) bool { return h.decayed(now) < minScore })
	}
}

// End ends a use. It has no effect on a use that has ended already.
func (s *Slots) End(id UseID) {
	u, ok := s.uses[id]
	if !ok {
		return
	}
	delete(s.uses, id)
	if u.Exclusive {
		s.exclusive = false
	}
	if x, ok := s.adapters[u.Adapter]; ok {
		x.uses--
	}
}

// AwaitPermit records that the load of an adapter waits for a permit.
func (s *Slots) AwaitPermit(a lists.Adapter) {
	s.pending[a] = true
}

// CanLoad reports whether a load could get a slot now. Adapters for which wanted returns true are
// not evicted.
func (s *Slots) CanLoad(wanted func(lists.Adapter) bool, now time.Time) bool {
	_, ok := s.victim(wanted, now)
	return ok
}

// StartLoad reserves a slot for an adapter. The adapter that it returns, if any, has to be evicted
// first. It returns false if no slot can be freed.
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
	s.changeCount++
	return evict, true
}

// FinishEviction records the outcome of an eviction. If the eviction was not confirmed, the
// adapter receives no requests until the next report of the engine.
func (s *Slots) FinishEviction(a lists.Adapter, done bool) {
	s.changeCount++
	if done {
		delete(s.adapters, a)
		return
	}
	if x, ok := s.adapters[a]; ok {
		x.state = EvictionUnknown
	}
}

// FinishLoad records the outcome of a load.
func (s *Slots) FinishLoad(a lists.Adapter, done bool) {
	delete(s.pending, a)
	s.changeCount++
	x, ok := s.adapters[a]
	switch {
	case ok && done:
		x.state = Ready
	case ok:
		delete(s.adapters, a)
	}
}

// victim finds a slot for an adapter that is not loaded: a free one, or that of the idle adapter
// with the lowest use score. It never returns an adapter in use.
func (s *Slots) victim(wanted func(lists.Adapter) bool, now time.Time) (lists.Adapter, bool) {
	if len(s.adapters) < s.capacity {
		return "", true
	}
	if now.Before(s.noEvictionsUntil) {
		return "", false
	}
	var idle lists.Adapter
	least := math.Inf(1)
	for a, x := range s.adapters {
		if x.state != Ready || x.uses > 0 || wanted(a) {
			continue
		}
		if h := s.scores[a].decayed(now); h < least || (h == least && a < idle) {
			idle, least = a, h
		}
	}
	return idle, idle != ""
}
