// Package simulation runs the decisions of many instances in virtual time, with delayed and lost
// messages, restarts, freezes and cuts.
package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Excuse is how long after a fault of an instance its requests do not count.
const Excuse = 3 * time.Second

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (l events) Len() int           { return len(l) }
func (l events) Less(i, j int) bool { return l[i].at < l[j].at }
func (l events) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *events) Push(x any)        { *l = append(*l, x.(event)) }
func (l *events) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

// Node is a simulated instance.
type Node struct {
	Name string
	// Run changes with each start, which loses everything the instance knew.
	Run         int
	Down, Cut   bool
	FrozenUntil time.Duration
	// ExcusedUntil is the end of the time for which its requests do not count.
	ExcusedUntil time.Duration
}

// Unavailable reports whether a fault of the instance lasts.
func (n *Node) Unavailable(now time.Duration) bool {
	return n.Down || n.Cut || now < n.FrozenUntil
}

// Excused reports whether a fault of the instance lasts or has just ended.
func (n *Node) Excused(at time.Duration) bool {
	return n.Unavailable(at) || at < n.ExcusedUntil
}

// Simulation is a fleet in virtual time.
type Simulation struct {
	Random *rand.Rand
	Now    time.Duration
	// Loss is the share of messages that are lost.
	Loss   float64
	events events
}

// New returns a simulation at time 0. Equal seeds and sizes give equal runs.
func New(size int, seed uint64, loss float64) *Simulation {
	return &Simulation{Random: rand.New(rand.NewPCG(seed, uint64(size))), Loss: loss}
}

// After calls do after a time.
func (s *Simulation) After(d time.Duration, do func()) {
	heap.Push(&s.events, event{at: s.Now + d, do: do})
}

// Between returns a random duration of some milliseconds.
func (s *Simulation) Between(low, high int) time.Duration {
	return time.Duration(low+s.Random.IntN(high-low)) * time.Millisecond
}

// At runs do on an instance: after it thaws, and not if it has been restarted.
func (s *Simulation) At(n *Node, d time.Duration, do func()) {
	run := n.Run
	s.After(d, func() {
		switch {
		case n.Down || n.Run != run:
		case s.Now < n.FrozenUntil:
			s.At(n, n.FrozenUntil-s.Now, do)
		default:
			do()
		}
	})
}

// Message delivers a message between two instances, unless it is lost.
func (s *Simulation) Message(from, to *Node, do func()) {
	if from.Cut || to.Cut || s.Random.Float64() < s.Loss {
		return
	}
	s.At(to, s.Between(1, 20), do)
}

// Fault restarts, freezes or cuts off an instance for up to six seconds. The functions started
// and healed are called at the end of a restart and of a cut.
func (s *Simulation) Fault(n *Node, started, healed func()) {
	d := s.Between(200, 6000)
	n.ExcusedUntil = s.Now + d + Excuse
	switch s.Random.IntN(3) {
	case 0:
		n.Down = true
		s.After(d, func() { n.Down = false; n.Run++; started() })
	case 1:
		n.FrozenUntil = s.Now + d
	default:
		n.Cut = true
		s.After(d, func() { n.Cut = false; healed() })
	}
}

// RunUntil runs the simulation until a time.
func (s *Simulation) RunUntil(end time.Duration) {
	for s.Now < end {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.do()
	}
}
