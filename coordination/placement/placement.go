// Package placement selects the upstream on which a request runs, protects adapters in use
// from eviction, and loads adapters within the rate limits of the weight store.
//
// Each upstream has one owner among the instances. The owner queues requests, loads adapters
// and grants uses: the right of one request to run with an adapter on the upstream, which
// keeps the adapter from eviction. The other instances request uses from it.
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

// Config configures the placement of requests.
type Config struct {
	Pool  settings.Pool
	Loads settings.Loads
	// Policy is affinity, hash or any.
	Policy string
	// SpreadRequests is the number of running requests of an adapter on one upstream from
	// which the affinity policy may load a second copy elsewhere.
	SpreadRequests int
	// QueueTimeout is the longest time that a request waits for a use, and that a load
	// waits for a permit.
	QueueTimeout time.Duration
	// CallTimeout is the longest time that a request runs on an upstream.
	CallTimeout time.Duration
	// LoadTimeout is the longest time that one load or eviction takes.
	LoadTimeout time.Duration
	// LeaseDuration is the duration of a lease. A new owner waits for so long before it
	// loads an adapter on an engine that ignores fencing tokens.
	LeaseDuration time.Duration
}

// Services are the dependencies of a Placement.
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
	// ErrNoUpstream is returned when no upstream is available.
	ErrNoUpstream = eris.New("no upstream can run the request")
	// ErrLoadFailed is returned when the adapter could not be loaded.
	ErrLoadFailed = eris.New("the adapter could not be loaded")
)

// upstreamReport is the state of an upstream that its owner last gossiped.
type upstreamReport struct {
	view adapter.View
	from lease.SeatID
	at   time.Time
}

// Placement places the requests of one instance. It is the owner of some upstreams and a
// client of the owners of all.
type Placement struct {
	config Config
	Services
	lifetime context.Context
	owner    *worker.Worker[ownerState]
	permits  *worker.Worker[adapter.Permits]
	// permitWork wakes the goroutine that grants permits.
	permitWork *ring.Ring[struct{}]
	choose     adapter.Chooser

	sequence atomic.Int64
	// permitsEpoch is the roster epoch in which this instance last owned the permits.
	permitsEpoch atomic.Int64

	mu          sync.Mutex
	uses        map[adapter.UseID]adapter.Use
	useStarted  map[adapter.UseID]time.Time
	permitsHeld map[string]bool
	reports     map[adapter.UpstreamID]upstreamReport
	failedAt    map[adapter.UpstreamID]time.Time
}

const (
	workerQueueSize = 8192
	callTimeout     = 500 * time.Millisecond
	retryInterval   = 50 * time.Millisecond
	pollInterval    = 500 * time.Millisecond
	// reportInterval is the age of an engine's report after which the engine is polled
	// again. After a failed request it is polled at once.
	reportInterval = 2 * time.Second
	// useCheckInterval is how often an owner verifies uses with their holders. Only uses
	// older than this are verified.
	useCheckInterval = 3 * time.Second
	// failureBackoff is how long an instance sends nothing to an upstream after a failed
	// request.
	failureBackoff = time.Second
)

// New returns a Placement and registers its RPC handlers. Its goroutines end with c.
func New(c context.Context, g Config, s Services) *Placement {
	s.Log = s.Log.Named("placement")
	p := &Placement{
		config:   g,
		Services: s,

		permitWork: ring.New[struct{}](1),

		lifetime:    c,
		choose:      chooserFor(g),
		uses:        map[adapter.UseID]adapter.Use{},
		useStarted:  map[adapter.UseID]time.Time{},
		permitsHeld: map[string]bool{},
		reports:     map[adapter.UpstreamID]upstreamReport{},
		failedAt:    map[adapter.UpstreamID]time.Time{},
	}
	p.owner = worker.Start(c, workerQueueSize, &ownerState{upstreams: map[adapter.UpstreamID]*upstream{}, recovering: map[adapter.UpstreamID]time.Time{}})
	p.permits = worker.Start(c, workerQueueSize, adapter.NewPermits(g.Loads.RatePerSecond, g.Loads.InFlight, g.LoadTimeout))
	p.registerOwnerHandlers()
	p.registerPermitHandlers()
	p.registerHolderHandlers()
	return p
}

func chooserFor(g Config) adapter.Chooser {
	switch g.Policy {
	case "any":
		return adapter.ChooseLeastLoaded
	case "hash":
		return adapter.ChooseHash
	default:
		return adapter.ChooseAffinity(g.SpreadRequests)
	}
}

// Run polls the owned upstreams, verifies uses with their holders and grants load permits
// until c ends.
func (p *Placement) Run(c context.Context) {
	var w sync.WaitGroup
	w.Go(func() { p.runPermits(c) })
	w.Go(func() { p.Timer.Subscribe(c, pollInterval, func(now time.Time) { p.pollAll(c, now) }) })
	w.Go(func() { p.Timer.Subscribe(c, useCheckInterval, func(time.Time) { p.checkUses(c) }) })
	w.Wait()
}

// callPeers calls a method of every peer in parallel. The reply of a peer whose call has
// failed is nil.
func callPeers[Q, R any, PQ interface {
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
			r, err := fleet.Call[Q, R, PQ, PR](c, p.Fleet, m, method, q)
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

// activeEngines returns the engines of the pool that accept new requests.
func (p *Placement) activeEngines() []provider.Instance {
	var all []provider.Instance
	for _, l := range p.Fleet.ListedInstances() {
		if l.Kind == provider.KindUpstream && l.Pool == p.config.Pool.Name && !l.Leaving() {
			all = append(all, l)
		}
	}
	return all
}

// pollAll removes the upstreams that this instance no longer owns, and polls the owned
// engines that were not yet recovered or whose last report is older than reportInterval.
func (p *Placement) pollAll(c context.Context, now time.Time) {
	fresh := map[adapter.UpstreamID]bool{}
	_ = p.owner.Do(c, func(s *ownerState) {
		for id, u := range s.upstreams {
			if p.owned(s, id) == nil {
				p.rejectWaiters(u)
				delete(s.upstreams, id)
				continue
			}
			fresh[id] = now.Sub(u.reportedAt) < reportInterval
			if len(u.unreported) > 0 {
				go p.queryUnreported(c, id, slices.Clone(u.unreported))
			}
			p.schedule(u)
		}
	})
	for _, l := range p.activeEngines() {
		id := adapter.UpstreamID(l.ID)
		if _, ok := p.Fleet.Owns(OwnershipName(id)); ok && !fresh[id] {
			go p.poll(c, id)
		}
	}
}

// rejectWaiters answers all queued requests of an upstream that this instance no longer
// owns with NotOwner, so that they retry with the new owner.
func (p *Placement) rejectWaiters(u *upstream) {
	for {
		w := u.queue.Pop(func(*adapter.Waiter) bool { return true })
		if w == nil {
			break
		}
		w.Answer <- adapter.Outcome{Result: adapter.NotOwner}
	}
	p.record(timeline.Released, adapter.Use{Upstream: u.id}, "")
}

// poll reads the report of an engine, and starts the recovery of an upstream whose
// ownership this instance has just gained.
func (p *Placement) poll(c context.Context, id adapter.UpstreamID) {
	l, ok := p.findInstance(id)
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
				p.startRecovery(c, s, id)
			}
			return
		}
		p.applyReport(u, r, err)
	})
}

// applyReport records the outcome of a poll. An engine that did not answer is down and its
// queued requests are answered with Busy. One with a new incarnation has restarted without
// adapters.
func (p *Placement) applyReport(u *upstream, r engine.Report, err error) {
	if err == nil {
		u.reportedAt = p.Timer.Now()
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
	p.schedule(u)
}

// checkUses asks the holders of older uses whether they still hold them. Otherwise a
// release that was lost would protect an adapter from eviction indefinitely.
func (p *Placement) checkUses(c context.Context) {
	holders := map[adapter.Holder][]adapter.Use{}
	now := p.Timer.Now()
	_ = p.owner.Do(c, func(s *ownerState) {
		for _, u := range s.upstreams {
			for _, x := range u.slots.Uses() {
				if now.Sub(x.Since) > useCheckInterval {
					holders[x.Holder] = append(holders[x.Holder], x)
				}
			}
		}
	})
	for holder, uses := range holders {
		held, ok := p.queryHolder(c, holder, uses)
		p.endUnheldUses(c, uses, held, ok, now)
	}
}

// queryHolder returns which of the uses their holder still holds, and false if it did not
// answer.
func (p *Placement) queryHolder(c context.Context, holder adapter.Holder, uses []adapter.Use) (map[adapter.UseID]bool, bool) {
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
		r, err = fleet.Call[checkQuery, checkReply](x, p.Fleet, m, checkMethod, q)
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

// endUnheldUses ends the uses that their holder no longer holds. If the holder did not
// answer, a use ends after CallTimeout, the longest time that its request can run.
func (p *Placement) endUnheldUses(c context.Context, uses []adapter.Use, held map[adapter.UseID]bool, answered bool, now time.Time) {
	_ = p.owner.Do(c, func(s *ownerState) {
		for _, x := range uses {
			u := s.upstreams[x.Upstream]
			if u == nil || held[x.ID] || (!answered && now.Sub(x.Since) < p.config.CallTimeout) {
				continue
			}
			u.slots.End(x.ID)
			p.schedule(u)
		}
	})
}
