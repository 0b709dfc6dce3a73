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
	// upstreamSlots is the number of requests that the upstream states to run at a time.
	upstreamSlots = 16
	// takeover is how long an owner must be unavailable before another one takes its place.
	takeover = 8 * time.Second
	// callTimeout is the time after which a permit that was not granted is asked for again.
	callTimeout = 250 * time.Millisecond
	// requestTimeout is the longest, workTime the mean time that a request runs at an upstream with bounded
	// room.
	requestTimeout = 3 * time.Second
	workTime       = 100 * time.Millisecond
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
	// room is the room of the upstream, or nil if it has any. downUntil is the end of the time for which it
	// is down, served the number of requests that it ran, rejected and falls what it had to.
	room                    *standin.Room
	downUntil               time.Duration
	served, rejected, falls int
}

func newLimitFleet(size int, seed uint64, loss float64) *limitFleet {
	f := &limitFleet{Simulation: simulation.New(size, seed, loss), startedAt: 1}
	f.limits = standin.NewRateLimits(func() time.Duration { return f.Now })
	f.limits.Excused = f.excused
	for i := range size {
		n := &limitNode{Node: simulation.Node{Name: fmt.Sprint("n", i)}}
		f.start(n)
		f.nodes = append(f.nodes, n)
	}
	return f
}

func (f *limitFleet) excused(instance string, at time.Duration) bool {
	for _, n := range f.nodes {
		if n.Name == instance {
			return n.Excused(at)
		}
	}
	return false
}

// start gives an instance the state of a new process.
func (f *limitFleet) start(n *limitNode) {
	n.pool, n.owner = pool.New(), f.owner
	n.pool.Put(f.row())
}

func (f *limitFleet) row() pool.Upstream {
	return pool.Upstream{ID: limitedID, Service: "orders", Address: "127.0.0.1:1", Slots: upstreamSlots, StartedAt: f.startedAt}
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
		f.finishPermit(n, u, n.pool.TakePermit(limitedID, f.need(n), f.Now))
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
		a := owner.pool.TakePermit(limitedID, f.need(n), f.Now)
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

func (f *limitFleet) need(n *limitNode) pool.Need {
	return pool.Need{From: n.Name, Work: true, Lifetime: requestTimeout, Peers: len(f.nodes)}
}

func (f *limitFleet) finishPermit(n *limitNode, u pool.Upstream, a pool.PermitAnswer) {
	if !a.Granted {
		n.pool.DeferPermit(limitedID, f.Now+a.Wait)
		return
	}
	if n.pool.Admits(u, f.Now).Available() {
		f.send(n, u)
	} else {
		f.endRoom(n, false)
	}
}

// endRoom tells the owner that a request has ended.
func (f *limitFleet) endRoom(n *limitNode, rejected bool) {
	owner := f.nodes[n.owner]
	if owner == n {
		n.pool.FinishRoom(limitedID, n.Name, rejected, f.Now)
		return
	}
	f.Message(&n.Node, &owner.Node, func() { owner.pool.FinishRoom(limitedID, n.Name, rejected, f.Now) })
}

// enter has a request run at the upstream, if there is room. It returns when the response comes, and false if
// none does.
func (f *limitFleet) enter(n *limitNode) (response time.Duration, rejected, ok bool) {
	if f.room == nil {
		return f.Between(5, 300), false, true
	}
	if f.Now < f.downUntil {
		return 0, false, false
	}
	in, fell := f.room.Enter(n.Name)
	if fell {
		f.falls++
		f.downUntil = f.Now + 2*time.Second
		f.replaceUpstream()
	}
	if !in {
		f.rejected++
		return f.Between(1, 6), true, true
	}
	d, startedAt := time.Duration(f.Random.ExpFloat64()*float64(workTime)), f.startedAt
	f.After(d, func() {
		if f.startedAt == startedAt {
			f.served++
			f.room.Leave()
		}
	})
	return d, false, true
}

// replaceUpstream has the upstream start again; instances learn of it one after the other.
func (f *limitFleet) replaceUpstream() {
	f.startedAt++
	for _, n := range f.nodes {
		f.At(&n.Node, f.Between(1, 1500), func() { n.pool.Put(f.row()) })
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
		if f.room != nil {
			m.StatesBrittle, m.Brittle = true, f.room.Header() != ""
		}
		startedAt := f.startedAt
		response, rejected, ok := f.enter(n)
		if !ok {
			f.At(&n.Node, 0, func() { f.endRoom(n, false) })
			return
		}
		f.At(&n.Node, response, func() {
			f.endRoom(n, rejected)
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
	f.replaceUpstream()
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

// brittlePeriod is how long the upstream is brittle.
const brittlePeriod = 20 * time.Second

// TestBrittleUpstreamIsKeptStanding has a fleet send twice what a brittle upstream can run, while instances
// are restarted, frozen and cut off and datagrams are lost. It falls over no more often than the users allow.
func TestBrittleUpstreamIsKeptStanding(t *testing.T) {
	for size, seeds := range map[int]uint64{13: 40, 195: 8} {
		for seed := range seeds {
			f := newLimitFleet(size, seed, 0.05)
			f.room = standin.NewRoom(upstreamSlots, 4, func() time.Duration { return f.Now })
			f.room.Excused = f.excused
			f.After(0, f.fault)
			f.begin(2 * upstreamSlots / workTime.Seconds())
			f.RunUntil(3 * time.Second)
			for range 3 {
				f.room.SetBrittle(3)
				f.RunUntil(f.Now + brittlePeriod)
				if n := f.room.Falls(); n > 2 {
					t.Errorf("%d instances, seed %d: the upstream fell over %d times", size, seed, n)
				}
				f.room.EndBrittle()
				f.RunUntil(f.Now + f.Between(100, 4000))
			}
		}
	}
}

// TestBrittleUpstreamIsUsed has a calm fleet send twice what a brittle upstream can run. Its room must not be
// wasted, and nothing is rejected.
func TestBrittleUpstreamIsUsed(t *testing.T) {
	for _, size := range []int{13, 195} {
		f := newLimitFleet(size, 1, 0)
		f.room = standin.NewRoom(upstreamSlots, 4, func() time.Duration { return f.Now })
		f.begin(2 * upstreamSlots / workTime.Seconds())
		f.RunUntil(time.Second)
		f.room.SetBrittle(3)
		f.RunUntil(f.Now + standin.BrittleContact)
		f.served, f.rejected = 0, 0
		f.RunUntil(f.Now + brittlePeriod)
		most := upstreamSlots * brittlePeriod.Seconds() / workTime.Seconds()
		t.Logf("%d instances: %d of %v requests served, %d rejected", size, f.served, most, f.rejected)
		if float64(f.served) < most/2 || f.rejected > 0 {
			t.Errorf("%d instances: %d requests served, the upstream can run %v; %d rejected", size, f.served, most, f.rejected)
		}
	}
}
