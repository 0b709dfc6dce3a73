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
	contact = 3 * time.Second
	// The third crash counts if whole requests cause them.
	toleratedCrashes        = 5
	toleratedRequestCrashes = 3
	toleratedSends          = 3
	// repeatTime is how long evidence is repeated in heartbeats.
	repeatTime = 4 * time.Second
	downTime   = 3 * time.Second
	// silence is the time after which an instance is taken for gone.
	silence = 1500 * time.Millisecond
)

// scenario is what crashes the engines of a fleet.
type scenario struct {
	// crashing are the parts of requests that crash engines. If alone is set, each is a whole request, which
	// comes again.
	crashing []string
	alone    bool
	// sameSubject is set if all crashing parts come beside the same sound part, and not each beside its own.
	sameSubject bool
	// unseen is the share of the crashes that an instance with requests there does not notice, because the
	// engine fell silent or was back at once.
	unseen float64
}

var onePart = scenario{crashing: []string{"dead"}}

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
	scenario
	t       *testing.T
	nodes   []*node
	engines []*engine
	// stored are the verdicts in the store.
	stored []suspicion.Verdict
	// crashes has, by part, the times of crashes by requests, arrivals those of the requests with the
	// crashing part that instances without faults sent.
	crashes, arrivals map[string][]time.Duration
	sent, denied      int
}

func newFleet(t *testing.T, k scenario, size, engines int, seed uint64, loss float64) *fleet {
	f := &fleet{Simulation: simulation.New(size, seed, loss), scenario: k, t: t, crashes: map[string][]time.Duration{}, arrivals: map[string][]time.Duration{}}
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

// crashingPart returns the part of a request that crashes engines, or an empty text.
func (f *fleet) crashingPart(names []string) string {
	for _, x := range f.crashing {
		if slices.Contains(names, x) {
			return x
		}
	}
	return ""
}

// beside returns the sound part that comes beside the i-th crashing part.
func (k scenario) beside(i int) string {
	if k.sameSubject {
		i = 0
	}
	return fmt.Sprint("subject", 7+i)
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
		if f.crashingPart(names) == "" {
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
		part := f.crashingPart(s.names)
		if part != "" && !s.node.Excused(f.Now) {
			f.arrivals[part] = append(f.arrivals[part], f.Now)
		}
		e.pending = append(e.pending, s)
		startedAt := e.startedAt
		f.After(f.Between(50, 600), func() {
			switch {
			case e.startedAt != startedAt:
			case part != "":
				f.crashes[part] = append(f.crashes[part], f.Now)
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
		if f.unseen > 0 && f.Random.Float64() < f.unseen {
			if s.trial != 0 {
				f.At(&s.node.Node, f.Between(1, 10), func() { f.recordCrash(suspicion.NewUnresolved(e.name, f.Now), s) })
			}
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
		if v, ok := n.ledger.Decide(x, parts(s.names...), 0, f.Now); ok {
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
	if f.alone {
		names = []string{fmt.Sprint("request", f.sent)}
	}
	if f.Now > 2*time.Second && f.Random.IntN(20) == 0 {
		i := f.Random.IntN(len(f.crashing))
		part := f.crashing[i]
		names = append(names[:1], f.beside(i), part)
		if f.alone {
			names = []string{part}
		}
	}
	f.sent++
	f.At(&n.Node, 0, func() { f.request(n, names) })
}

func (f *fleet) check(what string) {
	f.t.Helper()
	tolerated := toleratedCrashes
	if f.alone {
		tolerated = toleratedRequestCrashes
	}
	for _, part := range f.crashing {
		if len(f.crashes[part]) == 0 {
			f.t.Errorf("%s: no engine crashed by %s", what, part)
		}
		if len(f.crashes[part]) < tolerated {
			continue
		}
		from, late := f.crashes[part][tolerated-1]+contact, 0
		for _, at := range f.arrivals[part] {
			if at > from {
				late++
			}
		}
		if late > toleratedSends {
			f.t.Errorf("%s: %d requests with %s arrived later than %v after crash %d of %d", what, late, part, contact, tolerated, len(f.crashes[part]))
		}
	}
	if f.denied > 5+f.sent/500 {
		f.t.Errorf("%s: %d of %d requests were blocked though they are sound", what, f.denied, f.sent)
	}
}

// run simulates fleets of two sizes through faults.
func (k scenario) run(t *testing.T, small, large uint64) {
	for _, x := range []struct {
		size, engines int
		seeds         uint64
		rate          float64
	}{{13, 12, small, 80}, {195, 156, large, 600}} {
		most := 0
		for seed := range x.seeds {
			f := newFleet(t, k, x.size, x.engines, seed, 0.1)
			for _, n := range f.nodes {
				f.heartbeat(n)
			}
			f.load(x.rate)
			f.After(time.Second, f.faults)
			f.RunUntil(60 * time.Second)
			f.check(fmt.Sprintf("%d instances, seed %d", x.size, seed))
			for _, l := range f.crashes {
				most = max(most, len(l))
			}
		}
		t.Logf("%d instances: up to %d crashes by requests with one part", x.size, most)
	}
}

// TestCrashingPartIsBlockedThroughFaults sends requests with a part that crashes engines to a fleet
// whose instances restart, freeze and are cut off, whose messages get lost and whose engines crash
// for other reasons too.
func TestCrashingPartIsBlockedThroughFaults(t *testing.T) { onePart.run(t, 40, 4) }

// Two parts crash engines at the same time.
func TestTwoCrashingPartsAreBlockedThroughFaults(t *testing.T) {
	scenario{crashing: []string{"dead", "deadly"}}.run(t, 30, 2)
}

// Two parts crash engines at the same time, and always come beside the same sound part.
func TestTwoCrashingPartsBesideOneSoundPart(t *testing.T) {
	scenario{crashing: []string{"dead", "deadly"}, sameSubject: true}.run(t, 30, 0)
}

// The same whole requests come again, and crash each engine that runs them.
func TestCrashingRequestsAreBlockedThroughFaults(t *testing.T) {
	scenario{crashing: []string{"dead", "deadly"}, alone: true}.run(t, 30, 2)
}

// Half of the crashes are not noticed: engines fall silent as they end, or are back before a connection to
// them is refused.
func TestCrashingPartIsBlockedThoughCrashesAreMissed(t *testing.T) {
	scenario{crashing: []string{"dead"}, unseen: 0.5}.run(t, 30, 2)
}
