package pool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin"
	"gentiangauge.example/gentiangauge/state/pool"
)

const (
	limitedID = pool.ID("s0")
	// takeover is how long an owner must be unavailable before another one takes its place.
	takeover = 8 * time.Second
	// excuse is how long after a fault of an instance its requests do not count.
	excuse = 3 * time.Second
	// callTimeout is the time after which a permit that was not granted is asked for again.
	callTimeout = 250 * time.Millisecond
)

// limitEvent is something that happens in the simulated fleet.
type limitEvent struct {
	at time.Duration
	do func()
}

type limitEvents []limitEvent

func (l limitEvents) Len() int           { return len(l) }
func (l limitEvents) Less(i, j int) bool { return l[i].at < l[j].at }
func (l limitEvents) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *limitEvents) Push(x any)        { *l = append(*l, x.(limitEvent)) }
func (l *limitEvents) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

// limitNode is a simulated instance.
type limitNode struct {
	name string
	pool *pool.Pool
	// run changes with each start, which loses everything the instance knew.
	run int
	// owner is the owner of the upstream that the instance knows of.
	owner           int
	down, cut       bool
	frozenUntil     time.Duration
	unavailableFrom time.Duration
	excusedUntil    time.Duration
}

// limitFleet simulates instances that send to one upstream, with delayed and lost messages.
type limitFleet struct {
	random    *rand.Rand
	now       time.Duration
	events    limitEvents
	nodes     []*limitNode
	limits    *standin.RateLimits
	startedAt int64
	// owner is the owner according to the store.
	owner    int
	loss     float64
	arrivals int
}

func newLimitFleet(size int, seed uint64, loss float64) *limitFleet {
	f := &limitFleet{random: rand.New(rand.NewPCG(seed, uint64(size))), loss: loss, startedAt: 1}
	f.limits = standin.NewRateLimits(func() time.Duration { return f.now })
	f.limits.Excused = func(instance string, at time.Duration) bool {
		for _, n := range f.nodes {
			if n.name == instance {
				return n.unavailable(at) || at < n.excusedUntil
			}
		}
		return false
	}
	for i := range size {
		n := &limitNode{name: fmt.Sprint("n", i)}
		f.start(n)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// start gives an instance the state of a new process.
func (f *limitFleet) start(n *limitNode) {
	n.pool, n.run, n.owner = pool.New(), n.run+1, f.owner
	n.pool.Put(f.row())
}

func (f *limitFleet) row() pool.Upstream {
	return pool.Upstream{ID: limitedID, Service: "orders", Address: "127.0.0.1:1", Slots: 64, StartedAt: f.startedAt}
}

func (n *limitNode) unavailable(now time.Duration) bool {
	return n.down || n.cut || now < n.frozenUntil
}

func (f *limitFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, limitEvent{at: f.now + d, do: do})
}

// between returns a random duration of some milliseconds.
func (f *limitFleet) between(low, high int) time.Duration {
	return time.Duration(low+f.random.IntN(high-low)) * time.Millisecond
}

// at runs do on an instance: after it thaws, and not if it has been restarted.
func (f *limitFleet) at(n *limitNode, d time.Duration, do func()) {
	run := n.run
	f.after(d, func() {
		switch {
		case n.down || n.run != run:
		case f.now < n.frozenUntil:
			f.at(n, n.frozenUntil-f.now, do)
		default:
			do()
		}
	})
}

// message delivers a message between two instances, unless it is lost.
func (f *limitFleet) message(from, to *limitNode, do func()) {
	if from.cut || to.cut || f.random.Float64() < f.loss {
		return
	}
	f.at(to, f.between(1, 20), do)
}

// request sends a request of an instance to the upstream, as admission does.
func (f *limitFleet) request(n *limitNode) {
	u, ok := n.pool.Get(limitedID, f.now)
	if !ok {
		return
	}
	switch n.pool.Admits(u, f.now) {
	case pool.Admitted:
		f.send(n, u)
	case pool.NeedsPermit:
		f.askForPermit(n, u)
	}
}

func (f *limitFleet) askForPermit(n *limitNode, u pool.Upstream) {
	owner := f.nodes[n.owner]
	if owner == n {
		f.finishPermit(n, u, n.pool.TakePermit(limitedID, f.now))
		return
	}
	answered, run := false, n.run
	known := pool.UpstreamLimit{Upstream: limitedID.Tag(), StartedAt: u.StartedAt, Limit: n.pool.Limit(limitedID)}
	f.message(n, owner, func() {
		v, ok := owner.pool.Get(limitedID, f.now)
		if f.nodes[owner.owner] != owner || !ok || v.StartedAt != u.StartedAt {
			return
		}
		owner.pool.MergeLimit(known, f.now)
		a := owner.pool.TakePermit(limitedID, f.now)
		l := pool.UpstreamLimit{Upstream: limitedID.Tag(), StartedAt: v.StartedAt, Limit: owner.pool.Limit(limitedID)}
		f.message(owner, n, func() {
			if answered || n.run != run {
				return
			}
			answered = true
			n.pool.MergeLimit(l, f.now)
			f.finishPermit(n, u, a)
		})
	})
	f.at(n, 150*time.Millisecond, func() {
		if !answered {
			answered = true
			n.pool.DeferPermit(limitedID, f.now+callTimeout)
		}
	})
}

func (f *limitFleet) finishPermit(n *limitNode, u pool.Upstream, a pool.PermitAnswer) {
	if !a.Granted {
		n.pool.DeferPermit(limitedID, f.now+a.Wait)
		return
	}
	if n.pool.Admits(u, f.now).Available() {
		f.send(n, u)
	}
}

// send delivers a request, some of them late, and the response.
func (f *limitFleet) send(n *limitNode, u pool.Upstream) {
	d := f.between(1, 6)
	if f.random.IntN(20) == 0 {
		d = f.between(10, 400)
	}
	f.after(d, func() {
		f.arrivals++
		f.limits.Arrive(n.name)
		m := pool.Notice{StatesLimit: true}
		if h := f.limits.Header(n.name); h != "" {
			rate, _ := strconv.ParseFloat(h, 64)
			m.Limit = pool.RequestsPerSecond(rate)
		}
		startedAt := f.startedAt
		f.at(n, f.between(5, 300), func() {
			before := n.pool.Limit(limitedID)
			if u.StartedAt != startedAt || !n.pool.ApplyNotice(u, m, f.now) || n.pool.Limit(limitedID) == before {
				return
			}
			l := pool.UpstreamLimit{Upstream: limitedID.Tag(), StartedAt: u.StartedAt, Limit: n.pool.Limit(limitedID)}
			for _, x := range f.nodes {
				f.message(n, x, func() { x.pool.MergeLimit(l, f.now) })
			}
		})
	})
}

// heartbeat sends the limits that an instance knows to some others.
func (f *limitFleet) heartbeat(n *limitNode) {
	f.after(f.between(100, 300), func() { f.heartbeat(n) })
	if n.down || f.now < n.frozenUntil {
		return
	}
	l := n.pool.Limits(f.now)
	for range 6 {
		x := f.nodes[f.random.IntN(len(f.nodes))]
		f.message(n, x, func() {
			for _, y := range l {
				x.pool.MergeLimit(y, f.now)
			}
		})
	}
}

// setOwner changes the owner in the store; instances learn it one after the other.
func (f *limitFleet) setOwner(owner int) {
	f.owner = owner
	for _, n := range f.nodes {
		f.at(n, f.between(1, 1000), func() {
			if !n.cut {
				n.owner = f.owner
			}
		})
	}
}

// watchOwner replaces an owner that has been unavailable for too long.
func (f *limitFleet) watchOwner() {
	f.after(200*time.Millisecond, f.watchOwner)
	o := f.nodes[f.owner]
	if !o.unavailable(f.now) {
		o.unavailableFrom = f.now
		return
	}
	if f.now-o.unavailableFrom > takeover {
		f.setOwner(f.random.IntN(len(f.nodes)))
	}
}

// fault restarts, freezes, cuts off or replaces a random instance, the owner most often.
func (f *limitFleet) fault() {
	f.after(f.between(300, 2500), f.fault)
	n := f.nodes[f.random.IntN(len(f.nodes))]
	if f.random.IntN(2) == 0 {
		n = f.nodes[f.owner]
	}
	if n.unavailable(f.now) {
		return
	}
	d := f.between(200, 6000)
	n.excusedUntil = f.now + d + excuse
	switch f.random.IntN(4) {
	case 0:
		n.down = true
		f.after(d, func() { n.down = false; f.start(n) })
	case 1:
		n.frozenUntil = f.now + d
	case 2:
		n.cut = true
		f.after(d, func() { n.cut, n.owner = false, f.owner })
	default:
		// A planned stop hands the upstream over.
		f.setOwner(f.random.IntN(len(f.nodes)))
	}
}

// changeLimit starts, changes or ends the limit, or restarts the upstream.
func (f *limitFleet) changeLimit() {
	f.after(f.between(2000, 9000), f.changeLimit)
	rates := []float64{0, 0.3, 1, 1.7, 2.7, 5, 20}
	if f.random.IntN(6) > 0 {
		f.limits.Set(rates[f.random.IntN(len(rates))])
		return
	}
	f.limits.Set(0)
	f.startedAt++
	for _, n := range f.nodes {
		f.at(n, f.between(1, 1500), func() { n.pool.Put(f.row()) })
	}
}

// begin starts the heartbeats, and rate requests a second of the fleet.
func (f *limitFleet) begin(rate float64) {
	for _, n := range f.nodes {
		f.heartbeat(n)
	}
	var next func()
	next = func() {
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
		n := f.nodes[f.random.IntN(len(f.nodes))]
		f.at(n, 0, func() { f.request(n) })
	}
	next()
	f.watchOwner()
}

// runUntil runs the fleet until an instant.
func (f *limitFleet) runUntil(end time.Duration) {
	for f.now < end {
		e := heap.Pop(&f.events).(limitEvent)
		f.now = e.at
		e.do()
	}
}

// TestLimitHoldsThroughFaults has instances be restarted, frozen and cut off and lose
// datagrams while the upstream that they send to sets, changes and ends limits.
func TestLimitHoldsThroughFaults(t *testing.T) {
	for size, seeds := range map[int]uint64{13: 60, 195: 12} {
		for seed := range seeds {
			f := newLimitFleet(size, seed, 0.1)
			f.after(0, f.fault)
			f.after(time.Second, f.changeLimit)
			f.begin(120)
			f.runUntil(90 * time.Second)
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
		f.after(time.Second, func() { f.limits.Set(rate) })
		f.begin(120)
		f.runUntil(5 * time.Second)
		before := f.arrivals
		f.runUntil(5*time.Second + length)
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
