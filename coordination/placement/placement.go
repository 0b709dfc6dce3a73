// Package placement decides on which upstream a request runs, keeps adapters
// that are in use where they are, and orders loads within the limits of the
// weight store.
package placement

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/protoadapt"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/protocol/engine"
	"gentiangauge.example/gentiangauge/ring"
	"gentiangauge.example/gentiangauge/settings"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
	"gentiangauge.example/gentiangauge/worker"
)

// Config sets the placement part.
type Config struct {
	Pool  settings.Pool
	Loads settings.Loads
	// Policy is affinity, hash or any.
	Policy         string
	SpreadRequests int
	// QueueTimeout is the longest wait of a request for a use.
	QueueTimeout time.Duration
	// CallTimeout is the longest time that a request runs.
	CallTimeout time.Duration
	// LoadTimeout is the longest time of one load.
	LoadTimeout time.Duration
	// LeaseDuration is the duration of a lease, for which a new owner waits before it
	// orders an engine that ignores fencing numbers.
	LeaseDuration time.Duration
}

// Services are the parts that the placement part works with.
type Services struct {
	Timer    *timer.Service
	Fleet    *fleet.Fleet
	Mesh     *mesh.Mesh
	Engines  *engine.Client
	Recorder *timeline.Recorder
	Log      *zap.Logger
}

// Errors of Acquire.
var (
	// ErrNoUpstream says that no upstream is there.
	ErrNoUpstream = eris.New("no upstream can run the request")
	// ErrLoadFailed says that the adapter could not be loaded.
	ErrLoadFailed = eris.New("the adapter could not be loaded")
)

type heardView struct {
	view adapter.View
	from lease.SeatID
	at   time.Time
}

// Placement is the placement part of one instance: owner of some upstreams,
// and client of all.
type Placement struct {
	config Config
	Services
	life    context.Context
	owner   *worker.Worker[ownerState]
	permits *worker.Worker[adapter.Permits]
	// permitWork wakes the goroutine that grants permits.
	permitWork *ring.Ring[struct{}]
	choose     adapter.Chooser

	sequence atomic.Int64
	// permitsEpoch is the epoch of the roster in which this instance last owned
	// the permits.
	permitsEpoch atomic.Int64

	mu    sync.Mutex
	uses  map[adapter.UseID]adapter.Use
	began map[adapter.UseID]time.Time
	held  map[string]bool
	heard map[adapter.UpstreamID]heardView
	lost  map[adapter.UpstreamID]time.Time
}

const (
	workerRing    = 8192
	callTimeout   = 500 * time.Millisecond
	retryInterval = 50 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	// reportInterval is the age of an engine's report after which it is asked
	// again. A request that fails has it asked at once.
	reportInterval = 2 * time.Second
	checkAge       = 3 * time.Second
	lostTime       = time.Second
)

// New starts the placement part. It ends with c.
func New(c context.Context, g Config, s Services) *Placement {
	s.Log = s.Log.Named("placement")
	p := &Placement{
		config:   g,
		Services: s,

		permitWork: ring.New[struct{}](1),

		life:   c,
		choose: policy(g),
		uses:   map[adapter.UseID]adapter.Use{},
		began:  map[adapter.UseID]time.Time{},
		held:   map[string]bool{},
		heard:  map[adapter.UpstreamID]heardView{},
		lost:   map[adapter.UpstreamID]time.Time{},
	}
	p.owner = worker.Start(c, workerRing, &ownerState{upstreams: map[adapter.UpstreamID]*upstream{}, opening: map[adapter.UpstreamID]time.Time{}})
	p.permits = worker.Start(c, workerRing, adapter.NewPermits(g.Loads.RatePerSecond, g.Loads.InFlight, g.LoadTimeout))
	p.registerOwner()
	p.registerPermits()
	p.registerHolder()
	return p
}

func policy(g Config) adapter.Chooser {
	switch g.Policy {
	case "any":
		return adapter.ChooseLeastLoaded
	case "hash":
		return adapter.ChooseHash
	default:
		return adapter.ChooseAffinity(g.SpreadRequests)
	}
}

// Run polls owned upstreams, checks uses and grants permits until c ends.
func (p *Placement) Run(c context.Context) {
	var w sync.WaitGroup
	w.Go(func() { p.runPermits(c) })
	w.Go(func() { p.Timer.Subscribe(c, pollInterval, func(now time.Time) { p.pollAll(c, now) }) })
	w.Go(func() { p.Timer.Subscribe(c, checkAge, func(time.Time) { p.checkUses(c) }) })
	w.Wait()
}

// gather calls a method of every peer at once. The answer of a peer that did
// not answer is nil.
func gather[Q, R any, PQ interface {
	*Q
	protoadapt.MessageV1
}, PR interface {
	*R
	protoadapt.MessageV1
}](c context.Context, p *Placement, method string, q *Q) map[lease.SeatID]*R {
	peers := p.Fleet.Peers()
	out := make(map[lease.SeatID]*R, len(peers))
	var mu sync.Mutex
	var w sync.WaitGroup
	for _, m := range peers {
		w.Go(func() {
			r, err := mesh.Call[Q, R, PQ, PR](c, p.Mesh, m.Mesh, method, q)
			mu.Lock()
			defer mu.Unlock()
			out[m.Seat] = nil
			if err == nil {
				out[m.Seat] = r
			}
		})
	}
	w.Wait()
	return out
}

// engines returns the listed engines that take new work.
func (p *Placement) engines() []provider.Instance {
	var all []provider.Instance
	for _, l := range p.Fleet.ListedInstances() {
		if l.Kind == provider.KindUpstream && l.Pool == p.config.Pool.Name && !l.Leaving() {
			all = append(all, l)
		}
	}
	return all
}

// pollAll opens the engines that this instance has come to own, reads the
// reports of the others from time to time, and closes those that it lost.
func (p *Placement) pollAll(c context.Context, now time.Time) {
	open := map[adapter.UpstreamID]bool{}
	_ = p.owner.Do(c, func(s *ownerState) {
		for id, u := range s.upstreams {
			if p.owned(s, id) == nil {
				p.close(u)
				delete(s.upstreams, id)
				continue
			}
			open[id] = now.Sub(u.reported) < reportInterval
			if len(u.silent) > 0 {
				go p.askSilent(c, id, slices.Clone(u.silent))
			}
			p.advance(u)
		}
	})
	for _, l := range p.engines() {
		id := adapter.UpstreamID(l.ID)
		if _, ok := p.Fleet.Owns(OwnershipName(id)); ok && !open[id] {
			go p.pollOne(c, id)
		}
	}
}

// close sends the waiters of an upstream to its new owner.
func (p *Placement) close(u *upstream) {
	for {
		w := u.queue.Pop(func(*adapter.Waiter) bool { return true })
		if w == nil {
			break
		}
		w.Answer <- adapter.Outcome{Result: adapter.NotOwner}
	}
	p.record(timeline.Released, adapter.Use{Upstream: u.id}, "")
}

func (p *Placement) pollOne(c context.Context, id adapter.UpstreamID) {
	l, ok := p.listed(id)
	if !ok {
		return
	}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	r, err := p.Engines.Report(x, l.Address)
	_ = p.owner.Do(c, func(s *ownerState) {
		u := p.owned(s, id)
		if u == nil {
			if err == nil {
				p.startOpen(c, s, id)
			}
			return
		}
		p.noteReport(u, r, err)
	})
}

func (p *Placement) noteReport(u *upstream, r engine.Report, err error) {
	if err == nil {
		u.reported = p.Timer.Now()
	}
	if err != nil {
		if !u.down {
			p.record(timeline.UpstreamLost, adapter.Use{Upstream: u.id}, "")
		}
		u.down = true
		for {
			w := u.queue.Pop(func(*adapter.Waiter) bool { return true })
			if w == nil {
				return
			}
			w.Answer <- adapter.Outcome{Result: adapter.Busy}
		}
	}
	if u.down {
		p.record(timeline.UpstreamRecovered, adapter.Use{Upstream: u.id}, "")
	}
	u.down = false
	if r.Incarnation != u.slots.Incarnation() {
		p.record(timeline.UpstreamRecovered, adapter.Use{Upstream: u.id}, "restarted empty")
		u.slots.Reset(r.Incarnation)
	}
	p.advance(u)
}

// checkUses asks the holders of older uses whether they still hold them, so
// that a lost release does not keep an adapter for ever.
func (p *Placement) checkUses(c context.Context) {
	holders := map[adapter.Holder][]adapter.Use{}
	now := p.Timer.Now()
	_ = p.owner.Do(c, func(s *ownerState) {
		for _, u := range s.upstreams {
			for _, x := range u.slots.Uses() {
				if now.Sub(x.Since) > checkAge {
					holders[x.Holder] = append(holders[x.Holder], x)
				}
			}
		}
	})
	for holder, uses := range holders {
		held, ok := p.askHolder(c, holder, uses)
		p.endUnheld(c, uses, held, ok, now)
	}
}

func (p *Placement) askHolder(c context.Context, holder adapter.Holder, uses []adapter.Use) (map[adapter.UseID]bool, bool) {
	q := &checkQuery{}
	for _, u := range uses {
		q.IDs = append(q.IDs, string(u.ID))
	}
	seat := lease.SeatID(holder)
	var r *checkReply
	if seat == p.Fleet.Self() {
		r = p.checkHeld(q)
	} else {
		m, ok := p.Fleet.Roster().Member(seat)
		if !ok {
			return nil, false
		}
		x, cancel := context.WithTimeout(c, callTimeout)
		defer cancel()
		var err error
		r, err = mesh.Call[checkQuery, checkReply](x, p.Mesh, m.Mesh, checkMethod, q)
		if err != nil {
			return nil, false
		}
	}
	held := map[adapter.UseID]bool{}
	for _, id := range r.Held {
		held[adapter.UseID(id)] = true
	}
	return held, true
}

// endUnheld ends the uses that their holder does not hold. Those of a holder
// that does not answer last for as long as a call may.
func (p *Placement) endUnheld(c context.Context, uses []adapter.Use, held map[adapter.UseID]bool, answered bool, now time.Time) {
	_ = p.owner.Do(c, func(s *ownerState) {
		for _, x := range uses {
			u := s.upstreams[x.Upstream]
			if u == nil || held[x.ID] || (!answered && now.Sub(x.Since) < p.config.CallTimeout) {
				continue
			}
			u.slots.End(x.ID)
			p.advance(u)
		}
	})
}
