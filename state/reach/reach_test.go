package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/reach"
)

const (
	tick        = 50 * time.Millisecond
	contact     = 3 * time.Second
	dialTimeout = 8
)

// instance simulates one instance that sends requests, each over a new connection, at a rate.
type instance struct {
	reach   *reach.Reach
	now     time.Duration
	targets []string
	// cut are the upstreams to which direct connections fail, dead those that have ended for all.
	cut, dead map[string]bool
	// refuses is set if connections fail at once instead of after dialTimeout ticks.
	refuses bool
	pending map[time.Duration][]string
	// failed counts requests that went nowhere though the upstream lives.
	failed, sent int
}

func newInstance(upstreams int) *instance {
	x := &instance{reach: reach.New(), now: time.Hour, cut: map[string]bool{}, dead: map[string]bool{}, pending: map[time.Duration][]string{}}
	for i := range upstreams {
		x.targets = append(x.targets, fmt.Sprint("u", i))
	}
	x.reach.SetTargets(x.targets)
	return x
}

// connect tries a direct connection, and one through another instance once that has failed.
func (x *instance) connect(a string) {
	if !x.cut[a] && !x.dead[a] {
		x.reach.RecordDirect(a, true, x.now)
		return
	}
	at := x.now
	if !x.refuses {
		at += dialTimeout * tick
	}
	x.pending[at] = append(x.pending[at], a)
}

// indirect opens a connection through another instance.
func (x *instance) indirect(a string) {
	if x.reach.RecordIndirect(a, x.now) {
		x.connect(a)
	}
}

func (x *instance) run(d time.Duration, random *rand.Rand) {
	for end := x.now + d; x.now < end; x.now += tick {
		a := x.targets[random.IntN(len(x.targets))]
		x.sent++
		if x.reach.Indirect(a) {
			if !x.dead[a] {
				x.indirect(a)
			}
		} else {
			if x.cut[a] && !x.dead[a] && !x.refuses {
				x.failed++
			}
			x.connect(a)
		}
		for _, p := range x.reach.Probes(false, x.now) {
			x.connect(p)
		}
		for _, f := range x.pending[x.now] {
			x.reach.RecordDirect(f, false, x.now)
			if !x.dead[f] {
				x.indirect(f)
			}
		}
		delete(x.pending, x.now)
	}
}

// An instance is cut off from all upstreams or from all but a few, with connections that hang or are
// refused, before few and many upstreams. It uses other instances within the contact time, and no longer
// than that after the cut has ended.
func TestCutInstanceUsesOthers(t *testing.T) {
	for _, n := range []int{2, 21, 161} {
		for _, reached := range []int{0, 1, n / 10} {
			for _, refuses := range []bool{false, true} {
				t.Run(fmt.Sprint(n, "/", reached, "/", refuses), func(t *testing.T) {
					random := rand.New(rand.NewPCG(uint64(n), uint64(reached)))
					x := newInstance(n)
					x.refuses = refuses
					x.run(2*time.Second, random)
					for _, a := range x.targets[reached:] {
						x.cut[a] = true
					}
					x.run(contact, random)
					if reached == 0 && !x.reach.Stranded() {
						t.Error("the instance does not know that it is cut off")
					}
					x.failed, x.sent = 0, 0
					x.run(contact, random)
					if limit := x.sent / 3; x.failed > limit {
						t.Errorf("%d of %d requests wait for direct connections, want at most %d", x.failed, x.sent, limit)
					}
					clear(x.cut)
					x.run(contact, random)
					for _, a := range x.targets {
						if n < 100 && x.reach.Indirect(a) {
							t.Errorf("%s is used through others %v after the cut", a, contact)
						}
					}
					if x.reach.Stranded() {
						t.Error("the instance takes itself to be cut off after the cut")
					}
				})
			}
		}
	}
}

// Upstreams end for all instances, up to a whole service. No instance takes that for a cut.
func TestEndedUpstreamsAreNoCut(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, ended := range []int{1, 18, 21} {
		x := newInstance(21)
		x.refuses = true
		for _, a := range x.targets[:ended] {
			x.dead[a] = true
		}
		x.run(3*contact, random)
		if x.reach.Stranded() {
			t.Errorf("%d of 21 upstreams have ended: the instance takes itself to be cut off", ended)
		}
		for _, a := range x.targets {
			if x.reach.Indirect(a) {
				t.Errorf("%d ended: %s is used through others", ended, a)
			}
		}
	}
}

// All upstreams are silent for a second, so that direct connections do not open in time, and go on just as
// others are tried through another instance. The instance is not cut off.
func TestSecondOfSilenceIsNoCut(t *testing.T) {
	r := reach.New()
	r.SetTargets([]string{"a", "b", "c", "d"})
	now := time.Hour
	for _, a := range []string{"a", "b", "c", "d"} {
		r.RecordDirect(a, true, now)
		r.RecordDirect(a, false, now+time.Second)
		if !r.RecordIndirect(a, now+1100*time.Millisecond) || r.Indirect(a) || r.Stranded() {
			t.Errorf("%s is taken to be cut off", a)
		}
		r.RecordDirect(a, true, now+1200*time.Millisecond)
	}
	if r.Stranded() {
		t.Error("the instance takes itself to be cut off")
	}
}
