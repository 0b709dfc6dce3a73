package suspicion_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin/simulation"
	"gentiangauge.example/gentiangauge/state/suspicion"
)

const (
	// contact, toleratedCrashes and toleratedSends are the users' bound: at most three requests
	// later than three seconds after the fifth crash.
	contact          = 3 * time.Second
	toleratedCrashes = 5
	toleratedSends   = 3
	// repeatTime is how long evidence is repeated in heartbeats.
	repeatTime = 4 * time.Second
	downTime   = 3 * time.Second
	// silence is the time after which an instance is taken for gone.
	silence  = 1500 * time.Millisecond
	crashing = "dead"
)

// node is a simulated instance.
type node struct {
	simulation.Node
	ledger *suspicion.Ledger
	trials *suspicion.Trials
	// evidence and sound are what the instance repeats in its heartbeats.
	evidence         []timed[suspicion.Evidence]
	sound            []timed[[]suspicion.Part]
	unavailableSince time.Duration
}

type timed[X any] struct {
	at time.Duration
	x  X
}

// send is a request on an engine.
type send struct {
	node  *node
	names []string
	trial suspicion.Part
	sound bool
}

// engine is a simulated engine.
type engine struct {
	name      string
	startedAt int64
	down      bool
	pending   []*send
}

// fleet simulates instances whose requests may crash engines.
type fleet struct {
	*simulation.Simulation
	t       *testing.T
	nodes   []*node
	engines []*engine
	// stored are the verdicts in the store.
	stored []suspicion.Verdict
	// crashes has the times of crashes by requests, arrivals those of the requests with the
	// crashing part that instances without faults sent.
	crashes, arrivals []time.Duration
	sent, denied      int
}

func newFleet(t *testing.T, size, engines int, seed uint64, loss float64) *fleet {
	f := &fleet{Simulation: simulation.New(size, seed, loss), t: t}
	for i := range size {
		n := &node{Node: simulation.Node{Name: fmt.Sprint("n", i)}}
		f.start(n)
		f.nodes = append(f.nodes, n)
	}
	for i := range engines {
		f.engines = append(f.engines, &engine{name: fmt.Sprint("e", i), startedAt: 1})
	}
	return f
}

// start gives an instance the state of a new process, which reads the store.
func (f *fleet) start(n *node) {
	n.ledger, n.trials, n.evidence, n.sound = suspicion.NewLedger(suspectAfter), suspicion.NewTrials(), nil, nil
	f.readStore(n)
}

func (f *fleet) readStore(n *node) {
	for _, v := range f.stored {
		n.ledger.Merge(v, f.Now)
	}
}

// coordinator returns the instance that grants the trials of a part.
func (f *fleet) coordinator(p suspicion.Part) *node {
	var best *node
	var weight suspicion.Part
	for _, n := range f.nodes {
		if n.Unavailable(f.Now) && f.Now-n.unavailableSince > silence {
			continue
		}
		if w := suspicion.NewPart(n.Name, p.String()); best == nil || w > weight {
			best, weight = n, w
		}
	}
	return best
}

// request sends a request of an instance, as the dispatcher does.
func (f *fleet) request(n *node, names []string) {
	s := &send{node: n, names: names}
	switch st, p := n.ledger.Status(parts(names...), f.Now); st {
	case suspicion.Clean:
		f.send(s)
	case suspicion.Blocked:
		if !slices.Contains(names, crashing) {
			f.denied++
		}
	case suspicion.Suspected:
		c := f.coordinator(p)
		if c == nil {
			return
		}
		f.Message(&n.Node, &c.Node, func() {
			if !c.trials.Take(p, f.Now) {
				return
			}
			f.Message(&c.Node, &n.Node, func() {
				if st, _ := n.ledger.Status(parts(names...), f.Now); st == suspicion.Blocked {
					c.trials.End(p)
					return
				}
				s.trial = p
				f.send(s)
			})
		})
	}
}

func (f *fleet) send(s *send) {
	e := f.engines[f.Random.IntN(len(f.engines))]
	f.After(f.Between(1, 6), func() {
		if e.down {
			return
		}
		if slices.Contains(s.names, crashing) && !s.node.Excused(f.Now) {
			f.arrivals = append(f.arrivals, f.Now)
		}
		e.pending = append(e.pending, s)
		startedAt := e.startedAt
		f.After(f.Between(50, 600), func() {
			switch {
			case e.startedAt != startedAt:
			case slices.Contains(s.names, crashing):
				f.crashes = append(f.crashes, f.Now)
				f.crash(e)
			default:
				f.After(f.Between(30, 60), func() { f.answer(e, startedAt, s) })
			}
		})
	})
}

// answer delivers the second event of a request.
func (f *fleet) answer(e *engine, startedAt int64, s *send) {
	if e.startedAt != startedAt {
		return
	}
	s.sound = true
	f.At(&s.node.Node, f.Between(1, 6), func() {
		n := s.node
		cleared, suspected := n.ledger.Clear(parts(s.names...), f.Now)
		if len(cleared) > 0 {
			n.sound = append(n.sound, timed[[]suspicion.Part]{f.Now, cleared})
		}
		if suspected && len(cleared) > 0 {
			f.announce(n, func(x *node) { x.ledger.Clear(cleared, f.Now) })
		}
		f.endTrial(s)
	})
}

func (f *fleet) endTrial(s *send) {
	if s.trial != 0 {
		if c := f.coordinator(s.trial); c != nil {
			f.Message(&s.node.Node, &c.Node, func() { c.trials.End(s.trial) })
		}
	}
}

func (f *fleet) announce(n *node, do func(x *node)) {
	for _, x := range f.nodes {
		if x != n {
			f.Message(&n.Node, &x.Node, func() { do(x) })
		}
	}
}

// crash ends the process of an engine; the instances with requests there notice.
func (f *fleet) crash(e *engine) {
	x := suspicion.Crash{Upstream: e.name, StartedAt: e.startedAt}
	for _, s := range e.pending {
		if s.sound {
			continue
		}
		f.At(&s.node.Node, f.Between(1, 10), func() { f.recordCrash(x, s) })
	}
	e.pending, e.down = nil, true
	e.startedAt++
	f.After(downTime, func() { e.down = false })
}

func (f *fleet) recordCrash(x suspicion.Crash, s *send) {
	n, v := s.node, suspicion.Evidence{Crash: x, Parts: parts(s.names...)}
	if n.ledger.AddCrash(v, f.Now) {
		n.evidence = append(n.evidence, timed[suspicion.Evidence]{f.Now, v})
		f.announce(n, func(o *node) { o.ledger.AddCrash(v, f.Now) })
	}
	if s.trial == 0 {
		return
	}
	f.At(&n.Node, 100*time.Millisecond, func() {
		if v, ok := n.ledger.Decide(x, parts(s.names...), f.Now); ok {
			f.announce(n, func(o *node) { o.ledger.Merge(v, f.Now) })
			if !n.Cut {
				f.stored = append(f.stored, v)
			}
		}
		f.endTrial(s)
	})
}

// heartbeat repeats what an instance knows to some others.
func (f *fleet) heartbeat(n *node) {
	f.After(f.Between(100, 300), func() { f.heartbeat(n) })
	if n.Down || f.Now < n.FrozenUntil {
		return
	}
	verdicts, from := n.ledger.Verdicts(f.Now), f.Now-repeatTime
	n.evidence = slices.DeleteFunc(n.evidence, func(e timed[suspicion.Evidence]) bool { return e.at < from })
	n.sound = slices.DeleteFunc(n.sound, func(e timed[[]suspicion.Part]) bool { return e.at < from })
	evidence, sound := slices.Clone(n.evidence), slices.Clone(n.sound)
	for range 6 {
		x := f.nodes[f.Random.IntN(len(f.nodes))]
		f.Message(&n.Node, &x.Node, func() {
			for _, e := range evidence {
				x.ledger.AddCrash(e.x, f.Now)
			}
			for _, p := range sound {
				x.ledger.Clear(p.x, f.Now)
			}
			for _, v := range verdicts {
				x.ledger.Merge(v, f.Now)
			}
		})
	}
}

// faults restarts, freezes and cuts off instances, and crashes engines for other reasons, now and
// then several at once.
func (f *fleet) faults() {
	f.After(f.Between(300, 2500), f.faults)
	n := f.nodes[f.Random.IntN(len(f.nodes))]
	if !n.Unavailable(f.Now) {
		n.unavailableSince = f.Now
		f.Fault(&n.Node, func() { f.start(n) }, func() { f.readStore(n) })
	}
	if f.Random.IntN(4) == 0 {
		for range 1 + f.Random.IntN(len(f.engines)/3) {
			if e := f.engines[f.Random.IntN(len(f.engines))]; !e.down {
				f.crash(e)
			}
		}
	}
}

// load sends rate requests a second, one in twenty of them with the crashing part after two seconds.
func (f *fleet) load(rate float64) {
	f.After(time.Duration(f.Random.ExpFloat64()/rate*float64(time.Second)), func() { f.load(rate) })
	n := f.nodes[f.Random.IntN(len(f.nodes))]
	names := []string{fmt.Sprint("shared", f.Random.IntN(3)), fmt.Sprint("subject", f.Random.IntN(270))}
	if f.Now > 2*time.Second && f.Random.IntN(20) == 0 {
		names = append(names[:1], "subject7", crashing)
	}
	f.sent++
	f.At(&n.Node, 0, func() { f.request(n, names) })
}

func (f *fleet) check(what string) {
	f.t.Helper()
	if len(f.crashes) == 0 {
		f.t.Errorf("%s: no engine crashed", what)
		return
	}
	late := 0
	if len(f.crashes) >= toleratedCrashes {
		from := f.crashes[toleratedCrashes-1] + contact
		for _, at := range f.arrivals {
			if at > from {
				late++
			}
		}
	}
	if late > toleratedSends {
		f.t.Errorf("%s: %d requests with the crashing part arrived later than %v after the fifth of %d crashes", what, late, contact, len(f.crashes))
	}
	if f.denied > 5+f.sent/500 {
		f.t.Errorf("%s: %d of %d requests were blocked though they are sound", what, f.denied, f.sent)
	}
}

// TestCrashingPartIsBlockedThroughFaults sends requests with a part that crashes engines to a fleet
// whose instances restart, freeze and are cut off, whose messages get lost and whose engines crash
// for other reasons too.
func TestCrashingPartIsBlockedThroughFaults(t *testing.T) {
	for _, k := range []struct {
		size, engines int
		seeds         uint64
		rate          float64
	}{{13, 12, 40, 80}, {195, 156, 4, 600}} {
		most := 0
		for seed := range k.seeds {
			f := newFleet(t, k.size, k.engines, seed, 0.1)
			for _, n := range f.nodes {
				f.heartbeat(n)
			}
			f.load(k.rate)
			f.After(time.Second, f.faults)
			f.RunUntil(60 * time.Second)
			f.check(fmt.Sprintf("%d instances, seed %d", k.size, seed))
			most = max(most, len(f.crashes))
		}
		t.Logf("%d instances: up to %d crashes by requests", k.size, most)
	}
}
