// Package paths finds out which upstreams an instance reaches directly, and opens connections to the
// others through instances that reach them.
package paths

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"gentiangauge.example/gentiangauge/state/reach"
	"gentiangauge.example/gentiangauge/timer"
)

const (
	stepInterval = 200 * time.Millisecond
	// silentTime is the time without any data of an upstream, while responses are due, after which direct
	// connections are tried. A sound upstream may be silent for longer, which these then show.
	silentTime = 400 * time.Millisecond
	// probeTimeout bounds the attempt to connect directly, indirectTimeout that through another instance.
	probeTimeout    = 250 * time.Millisecond
	indirectTimeout = 600 * time.Millisecond
	// maxForwarders is the number of instances that are asked for one connection.
	maxForwarders = 3
	// cutOffTime is how long a forwarder is asked last after it could not connect.
	cutOffTime = 2 * time.Second
)

// Forwarder is another instance that opens connections to upstreams for this one.
type Forwarder struct {
	Name string
	// Near is set if it is in the same availability zone.
	Near bool
	Dial func(c context.Context, address string) (net.Conn, error)
}

// Services are the dependencies of Paths.
type Services struct {
	Timer *timer.Service
	Log   *zap.Logger
	// Dial opens a direct connection.
	Dial func(c context.Context, network, address string) (net.Conn, error)
	// Forwarders returns other instances that serve, the best one first.
	Forwarders func() []Forwarder
	// OnStranded is called as Stranded changes. It must not call the Paths.
	OnStranded func(stranded bool)
	// Addresses returns the addresses of the upstreams.
	Addresses func() []string
}

// Paths knows the paths of an instance. It is safe for concurrent use.
type Paths struct {
	Services
	mu    sync.Mutex
	reach *reach.Reach
	// cutOff has the forwarders that could not connect to an upstream to which another one could, with the
	// time until which they are asked last.
	cutOff   map[string]time.Duration
	stranded atomic.Bool
	// waiting is the number of responses that are due, heard counts reads of data of upstreams.
	waiting, heard atomic.Int64
	// lastHeard is the value of heard that was last seen to change, at lastHeardAt. Only step uses them.
	lastHeard   int64
	lastHeardAt time.Duration
	// questions are those whether a process has ended, by its address.
	questions singleflight.Group
}

// New returns the Paths of an instance that has sent nothing yet.
func New(s Services) *Paths {
	s.Log = s.Log.Named("paths")
	return &Paths{Services: s, reach: reach.New(), cutOff: map[string]time.Duration{}}
}

// Run tries direct connections as needed until c ends.
func (p *Paths) Run(c context.Context) {
	p.Timer.Subscribe(c, stepInterval, func(time.Time) { p.step(c) })
}

// Stranded reports whether this instance is cut off from all upstreams, or from most of them.
func (p *Paths) Stranded() bool { return p.stranded.Load() }

// Indirect reports whether requests to an upstream go through another instance.
func (p *Paths) Indirect(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.Indirect(address)
}

// Begin records that a response of an upstream is due, until the returned function is called.
func (p *Paths) Begin() (end func()) {
	p.waiting.Add(1)
	return sync.OnceFunc(func() { p.waiting.Add(-1) })
}

// Heard records that data of an upstream has arrived directly.
func (p *Paths) Heard() { p.heard.Add(1) }

// RecordDirect records the outcome of an attempt to connect directly.
func (p *Paths) RecordDirect(address string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	p.record(address, func(now time.Duration) { p.reach.RecordDirect(address, err == nil, now) })
}

func (p *Paths) record(address string, f func(now time.Duration)) {
	p.mu.Lock()
	before := p.reach.Indirect(address)
	f(p.Timer.Boot())
	after := p.reach.Indirect(address)
	p.updateStranded()
	p.mu.Unlock()
	if before != after {
		p.Log.Info("path to upstream", zap.String("address", address), zap.Bool("through-others", after))
	}
}

func (p *Paths) updateStranded() {
	if s := p.reach.Stranded(); p.stranded.Swap(s) != s {
		p.Log.Warn("cut off from the upstreams", zap.Bool("cut", s))
		p.OnStranded(s)
	}
}

// DialIndirect opens a connection to an upstream through another instance. It fails with the error of the
// last instance that was asked.
func (p *Paths) DialIndirect(c context.Context, _, address string) (net.Conn, error) {
	c, cancel := context.WithTimeout(c, indirectTimeout)
	defer cancel()
	var err error = &net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}
	var failed []string
	for _, f := range p.forwarders(true, maxForwarders) {
		n, x := f.Dial(c, address)
		if x == nil {
			p.recordIndirect(address, failed)
			return n, nil
		}
		err, failed = x, append(failed, f.Name)
		if c.Err() != nil {
			break
		}
	}
	return nil, err
}

// recordIndirect records that an instance could connect to an upstream to which some could not.
func (p *Paths) recordIndirect(address string, failed []string) {
	p.record(address, func(now time.Duration) {
		if p.reach.RecordIndirect(address, now) {
			go p.verify(address)
		}
		for _, name := range failed {
			p.cutOff[name] = now + cutOffTime
		}
	})
}

// forwarders returns the instances to ask for one connection, and most of them at most. The first two are of different availability
// zones, since the links of a whole zone may be cut, the first one of this zone if near is set.
func (p *Paths) forwarders(near bool, most int) []Forwarder {
	all, now := p.Forwarders(), p.Timer.Boot()
	p.mu.Lock()
	defer p.mu.Unlock()
	var first, second, last []Forwarder
	for _, f := range all {
		switch {
		case now < p.cutOff[f.Name]:
			last = append(last, f)
		case f.Near == near:
			first = append(first, f)
		default:
			second = append(second, f)
		}
	}
	if len(first) > 1 {
		second = append(second, first[1:]...)
		first = first[:1]
	}
	out := append(append(first, second...), last...)
	return out[:min(len(out), most)]
}

const (
	// minRefusals is the number of other instances whose connections the host of an ended process must refuse, if
	// this instance cannot reach that host.
	minRefusals = 2
	// maxWitnesses is the number of instances that are asked whether a process has ended, all at once: some may
	// stand still, or be connected by connections that are silent.
	maxWitnesses = 5
	// witnessSettle is how long the others may still contradict those that suffice.
	witnessSettle = 150 * time.Millisecond
	// maxReferences is the number of other upstreams that are tried if no instance answers.
	maxReferences = 3
)

// HasEnded reports whether the process at an address has ended: its host refuses connections, also those of
// other instances, if there are any. Calls at the same time for one address share the answer.
//
// Load patterns: requests that crash upstreams come at instances that are cut off from them, whose direct
// connections hang; other instances stand still meanwhile.
func (p *Paths) HasEnded(c context.Context, address string) bool {
	x := make(chan bool, 1)
	go func() {
		v, _, _ := p.questions.Do(address, func() (any, error) { return p.askEnded(context.WithoutCancel(c), address), nil })
		ended, _ := v.(bool)
		x <- ended
	}()
	select {
	case ended := <-x:
		return ended
	case <-c.Done():
		return false
	}
}

func (p *Paths) askEnded(c context.Context, address string) bool {
	refused := false
	// A direct connection that is known to hang would only take time, in which the process may start again.
	if !p.Indirect(address) {
		err := p.try(c, address)
		if err == nil {
			return false
		}
		p.RecordDirect(address, err)
		refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	if refused && len(p.Forwarders()) == 0 {
		return true
	}
	connected, refusals, silent := p.askWitnesses(c, address, refused)
	switch {
	case connected:
		return false
	case refused && silent:
		// This instance is the only witness, and a cut might have its connections refused.
		return p.reachesAnother(c, address)
	}
	return refused && refusals > 0 || refusals >= minRefusals
}

// try opens a direct connection and closes it.
func (p *Paths) try(c context.Context, address string) error {
	x, cancel := context.WithTimeout(c, probeTimeout)
	defer cancel()
	n, err := p.Dial(x, "tcp", address)
	if err == nil {
		_ = n.Close()
	}
	return err
}

// askWitnesses has other instances connect to an upstream. It returns whether one has, the number of those whose
// connection was refused, and whether none has answered at all. It ends early once the refusals suffice.
func (p *Paths) askWitnesses(c context.Context, address string, refused bool) (connected bool, refusals int, silent bool) {
	c, cancel := context.WithTimeout(c, indirectTimeout)
	defer cancel()
	witnesses := p.forwarders(false, maxWitnesses)
	answers := make(chan error, len(witnesses))
	for _, f := range witnesses {
		go func() {
			n, err := f.Dial(c, address)
			if err == nil {
				_ = n.Close()
			}
			answers <- err
		}()
	}
	enough := minRefusals
	if refused {
		enough = 1
	}
	var settled <-chan struct{}
	for range witnesses {
		select {
		case err := <-answers:
			switch {
			case err == nil:
				p.recordIndirect(address, nil)
				return true, refusals, false
			case errors.Is(err, syscall.ECONNREFUSED):
				refusals++
			}
		case <-settled:
			return false, refusals, false
		case <-c.Done():
			return false, refusals, refusals == 0
		}
		if refusals >= enough && settled == nil {
			x, stop := context.WithTimeout(c, witnessSettle)
			defer stop()
			settled = x.Done()
		}
	}
	return false, refusals, refusals == 0
}

// reachesAnother reports whether a direct connection to another upstream can be opened.
func (p *Paths) reachesAnother(c context.Context, address string) bool {
	others := slices.DeleteFunc(slices.Clone(p.Addresses()), func(a string) bool { return a == address })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxReferences)]
	answers := make(chan error, len(others))
	for _, a := range others {
		go func() { answers <- p.try(c, a) }()
	}
	for range others {
		if <-answers == nil {
			return true
		}
	}
	return false
}

// verify tries a direct connection once more, and records its outcome.
func (p *Paths) verify(address string) {
	p.RecordDirect(address, p.try(context.Background(), address))
}

func (p *Paths) step(c context.Context) {
	now, addresses := p.Timer.Boot(), p.Addresses()
	if h := p.heard.Load(); h != p.lastHeard || p.waiting.Load() == 0 {
		p.lastHeard, p.lastHeardAt = h, now
	}
	p.mu.Lock()
	p.reach.SetTargets(addresses)
	p.updateStranded()
	probes := p.reach.Probes(now-p.lastHeardAt >= silentTime, now)
	p.mu.Unlock()
	for _, a := range probes {
		go p.probe(c, a)
	}
}

// probe tries a direct connection and, if that fails for the first time, one through another instance.
func (p *Paths) probe(c context.Context, address string) {
	err := p.try(c, address)
	p.RecordDirect(address, err)
	if err == nil || p.Indirect(address) {
		return
	}
	if n, err := p.DialIndirect(c, "tcp", address); err == nil {
		_ = n.Close()
	}
}
