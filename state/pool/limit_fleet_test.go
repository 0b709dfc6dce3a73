package pool_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin"
	"gentiangauge.example/gentiangauge/standin/simulation"
	"gentiangauge.example/gentiangauge/state/pool"
)

const (
	limitedID = pool.ID("s0")
	// takeover is how long an owner must be unavailable before another one takes its place.
	takeover = 8 * time.Second
	// callTimeout is the time after which a permit that was not granted is asked for again.
	callTimeout = 250 * time.Millisecond
)

// limitNode is a simulated instance.
type limitNode struct {
	simulation.Node
	pool *pool.Pool
	// owner is the owner of the upstream that the instance knows of.
	owner           int
	unavailableFrom time.Duration
}

// limitFleet simulates instances that send to one upstream, with delayed and lost messages.
type limitFleet struct {
	*simulation.Simulation
	nodes     []*limitNode
	limits    *standin.RateLimits
	startedAt int64
	// owner is the owner according to the store.
	owner    int
	arrivals int
}

func newLimitFleet(size int, seed uint64, loss float64) *limitFleet {
	f := &limitFleet{Simulation: simulation.New(size, seed, loss), startedAt: 1}
	f.limits = standin.NewRateLimits(func() time.Duration { return f.Now })
	f.limits.Excused = func(instance string, at time.Duration) bool {
		for _, n := range f.nodes {
			if n.Name == instance {
				return n.Excused(at)
			}
		}
		return false
	}
	for i := range size {
		n := &limitNode{Node: simulation.Node{Name: fmt.Sprint("n", i)}}
		f.start(n)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// start gives an instance the state of a new process.
func (f *limitFleet) start(n *limitNode) {
	n.pool, n.owner = pool.New(), f.owner
	n.pool.Put(f.row())
}

func (f *limitFleet) row() pool.Upstream {
	return pool.Upstream{ID: limitedID, Service: "orders", Address: "127.0.0.1:1", Slots: 64, StartedAt: f.startedAt}
}

// request sends a request of an instance to the upstream, as admission does.
func (f *limitFleet) request(n *limitNode) {
	u, ok := n.pool.Get(limitedID, f.Now)
	if !ok {
		return
	}
	switch n.pool.Admits(u, f.Now) {
	case pool.Admitted:
		f.send(n, u)
	case pool.NeedsPermit:
		f.askForPermit(n, u)
	}
}

func (f *limitFleet) askForPermit(n *limitNode, u pool.Upstream) {
	owner := f.nodes[n.owner]
	if owner == n {
		f.finishPermit(n, u, n.pool.TakePermit(limitedID, f.Now))
		return
	}
	answered, run := false, n.Run
	known := pool.UpstreamLimit{Upstream: limitedID.Tag(), StartedAt: u.StartedAt, Limit: n.pool.Limit(limitedID)}
	f.Message(&n.Node, &owner.Node, func() {
		v, ok := owner.pool.Get(limitedID, f.Now)
		if f.nodes[owner.owner] != owner || !ok || v.StartedAt != u.StartedAt {
			return
		}
		owner.pool.MergeLimit(known, f.Now)
		a := owner.pool.TakePermit(limitedID, f.Now)
		l := pool.UpstreamLimit{Upstream: limitedID.Tag(), StartedAt: v.StartedAt, Limit: owner.pool.Limit(limitedID)}
		f.Message(&owner.Node, &n.Node, func() {
			if answered || n.Run != run {
				return
			}
			answered = true
			n.pool.MergeLimit(l, f.Now)
			f.finishPermit(n, u, a)
		})
	})
	f.At(&n.Node, 150*time.Millisecond, func() {
		if !answered {
			answered = true
			n.pool.DeferPermit(limitedID, f.Now+callTimeout)
		}
	})
}

func (f *limitFleet) finishPermit(n *limitNode, u pool.Upstream, a pool.PermitAnswer) {
	if !a.Granted {
		n.pool.DeferPermit(limitedID, f.Now+a.Wait)
		return
	}
	if n.pool.Admits(u, f.Now).Available() {
		f.send(n, u)
	}
}

// send delivers a request, some of them late, and the response.
func (f *limitFleet) send(n *limitNode, u pool.Upstream) {
	d := f.Between(1, 6)
	if f.Random.IntN(20) == 0 {
		d = f.Between(10, 400)
	}
	f.After(d, func() {
		f.arrivals++
		f.limits.Arrive(n.Name)
		m := pool.Notice{StatesLimit: true}
		if h := f.limits.Header(n.Name); h != "" {
			rate, _ := strconv.ParseFloat(h, 64)
			m.Limit = pool.RequestsPerSecond(rate)
		}
		startedAt := f.startedAt
		f.At(&n.Node, f.Between(5, 300), func() {
			before := n.pool.Limit(limitedID)
			if u.StartedAt != startedAt || !n.pool.ApplyNotice(u, m, f.Now) || n.pool.Limit(limitedID) == before {
				return
			}
			l := pool.UpstreamLimit{Upstream: limitedID.Tag(), StartedAt: u.StartedAt, Limit: n.pool.Limit(limitedID)}
			for _, x := range f.nodes {
				f.Message(&n.Node, &x.Node, func() { x.pool.MergeLimit(l, f.Now) })
			}
		})
	})
}

// heartbeat sends the limits that an instance knows to some others.
func (f *limitFleet) heartbeat(n *limitNode) {
	f.After(f.Between(100, 300), func() { f.heartbeat(n) })
	if n.Down || f.Now < n.FrozenUntil {
		return
	}
	l := n.pool.Limits(f.Now)
	for range 6 {
		x := f.nodes[f.Random.IntN(len(f.nodes))]
		f.Message(&n.Node, &x.Node, func() {
			for _, y := range l {
				x.pool.MergeLimit(y, f.Now)
			}
		})
	}
}

// setOwner changes the owner in the store; instances learn it one after the other.
func (f *limitFleet) setOwner(owner int) {
	f.owner = owner
	for _, n := range f.nodes {
		f.At(&n.Node, f.Between(1, 1000), func() {
			if !n.Cut {
				n.owner = f.owner
			}
		})
	}
}

// watchOwner replaces an owner that has been unavailable for too long.
func (f *limitFleet) watchOwner() {
	f.After(200*time.Millisecond, f.watchOwner)
	o := f.nodes[f.owner]
	if !o.Unavailable(f.Now) {
		o.unavailableFrom = f.Now
		return
	}
	if f.Now-o.unavailableFrom > takeover {
		f.setOwner(f.Random.IntN(len(f.nodes)))
	}
}

// fault restarts, freezes, cuts off or replaces a random instance, the owner most often.
func (f *limitFleet) fault() {
	f.After(f.Between(300, 2500), f.fault)
	n := f.nodes[f.Random.IntN(len(f.nodes))]
	if f.Random.IntN(2) == 0 {
		n = f.nodes[f.owner]
	}
	if n.Unavailable(f.Now) {
		return
	}
	if f.Random.IntN(4) == 0 {
		// A planned stop hands the upstream over.
		n.ExcusedUntil = f.Now + simulation.Excuse
		f.setOwner(f.Random.IntN(len(f.nodes)))
		return
	}
	f.Fault(&n.Node, func() { f.start(n) }, func() { n.owner = f.owner })
}

// changeLimit starts, changes or ends the limit, or restarts the upstream.
func (f *limitFleet) changeLimit() {
	f.After(f.Between(2000, 9000), f.changeLimit)
	rates := []float64{0, 0.3, 1, 1.7, 2.7, 5, 20}
	if f.Random.IntN(6) > 0 {
		f.limits.Set(rates[f.Random.IntN(len(rates))])
		return
	}
	f.limits.Set(0)
	f.startedAt++
	for _, n := range f.nodes {
		f.At(&n.Node, f.Between(1, 1500), func() { n.pool.Put(f.row()) })
	}
}

// begin starts the heartbeats, and rate requests a second of the fleet.
func (f *limitFleet) begin(rate float64) {
	for _, n := range f.nodes {
		f.heartbeat(n)
	}
	var next func()
	next = func() {
		f.After(time.Duration(f.Random.ExpFloat64()/rate*float64(time.Second)), next)
		n := f.nodes[f.Random.IntN(len(f.nodes))]
		f.At(&n.Node, 0, func() { f.request(n) })
	}
	next()
	f.watchOwner()
}

// TestLimitHoldsThroughFaults has instances be restarted, frozen and cut off and lose
// datagrams while the upstream that they send to sets, changes and ends limits.
func TestLimitHoldsThroughFaults(t *testing.T) {
	for size, seeds := range map[int]uint64{13: 60, 195: 12} {
		for seed := range seeds {
			f := newLimitFleet(size, seed, 0.1)
			f.After(0, f.fault)
			f.After(time.Second, f.changeLimit)
			f.begin(120)
			f.RunUntil(90 * time.Second)
			if v := f.limits.Violation(); v != "" {
				t.Errorf("%d instances, seed %d: %s", size, seed, v)
			}
		}
	}
}

// TestLimitIsUsed has a calm fleet send far more than the limit of an upstream. The limit
// must not be wasted.
func TestLimitIsUsed(t *testing.T) {
	const rate, length = 2, 40 * time.Second
	for _, size := range []int{13, 118, 195} {
		f := newLimitFleet(size, 1, 0.01)
		f.After(time.Second, func() { f.limits.Set(rate) })
		f.begin(120)
		f.RunUntil(5 * time.Second)
		before := f.arrivals
		f.RunUntil(5*time.Second + length)
		n := float64(f.arrivals - before)
		t.Logf("%d instances: %v requests arrived, %v allowed on average", size, n, rate*length.Seconds())
		if n < 0.75*rate*length.Seconds() || n > 1.1*rate*length.Seconds() {
			t.Errorf("%d instances: %v requests arrived in %v at a limit of %v a second", size, n, length, rate)
		}
		if v := f.limits.Violation(); v != "" {
			t.Errorf("%d instances: %s", size, v)
		}
	}
}
