package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/allowance"
)

const (
	rate  = 10_000.0
	burst = 10_000.0
	size  = 1_500.0
	// over and slack are the tolerance of the users' promise on a window.
	over   = 0.1
	slack  = 17_000.0
	window = 8 * time.Second
	// beat is the time between reports of instances of other zones.
	beat = 600 * time.Millisecond
)

var plan = allowance.Plan{Rate: rate, Burst: burst, Window: window}

// fleet is a number of instances that tell each other what they let through.
type fleet struct {
	plans []*allowance.Allowance
	// beat is the time between two reports of an instance.
	beat time.Duration
	// cut are the instances that hear nobody and are not heard.
	cut map[int]bool
	// taken are the units let through at each instant.
	taken map[time.Duration]float64
}

func newFleet(n int) *fleet {
	f := &fleet{beat: beat, cut: map[int]bool{}, taken: map[time.Duration]float64{}}
	for range n {
		f.plans = append(f.plans, allowance.New(plan, 0))
	}
	return f
}

func (f *fleet) tell(now time.Duration) {
	for i, a := range f.plans {
		for k, b := range f.plans {
			if i != k && !f.cut[i] && !f.cut[k] {
				b.Heard(allowance.Instance{Name: fmt.Sprint(i), Run: 1}, a.Spent(), now)
			}
		}
	}
}

// run sends demand units a second over all instances until the end.
func (f *fleet) run(from, to time.Duration, demand float64, draw *rand.Rand) (asked, granted int) {
	const step = 10 * time.Millisecond
	owed := 0.0
	for now := from; now < to; now += step {
		if now%f.beat < step {
			f.tell(now)
		}
		for owed += demand * step.Seconds(); owed >= size; owed -= size {
			asked++
			if _, ok := f.plans[draw.IntN(len(f.plans))].Take(size, now); ok {
				granted++
				f.taken[now] += size
			}
		}
	}
	return asked, granted
}

// worst returns the most units in any window.
func (f *fleet) worst(to time.Duration) float64 {
	worst := 0.0
	for from := time.Duration(0); from < to; from += 100 * time.Millisecond {
		sum := 0.0
		for at, n := range f.taken {
			if at >= from && at < from+window {
				sum += n
			}
		}
		worst = max(worst, sum)
	}
	return worst
}

func limit() float64 {
	return (rate*window.Seconds()+burst)*(1+over) + slack
}

// TestLoudWorkspaceStaysInItsPlan replays a workspace that sends seven and a
// half times its usual to 13 instances.
func TestLoudWorkspaceStaysInItsPlan(t *testing.T) {
	f := newFleet(13)
	draw := rand.New(rand.NewPCG(20261204, 1))
	f.run(0, 10*time.Second, 0, draw)
	f.run(10*time.Second, 14*time.Second, rate/1.8, draw)
	f.run(14*time.Second, 24*time.Second, 7.5*rate/1.8, draw)
	if got := f.worst(24 * time.Second); got > limit() {
		t.Errorf("%v units in a window, the plan allows %v", got, limit())
	}
}

// TestUsualLoadIsNotRefused sends a workspace's usual load, which its plan
// allows, in uneven parts.
func TestUsualLoadIsNotRefused(t *testing.T) {
	f := newFleet(13)
	draw := rand.New(rand.NewPCG(20261204, 2))
	f.run(0, 3*time.Second, 0, draw)
	asked, granted := f.run(3*time.Second, 20*time.Second, rate/1.8, draw)
	if granted != asked {
		t.Errorf("%d of %d granted", granted, asked)
	}
}

// TestCutInstancesStayInThePlan cuts a sixth of the instances off while the
// workspace is loud: each side must leave room for the other.
func TestCutInstancesStayInThePlan(t *testing.T) {
	f := newFleet(13)
	draw := rand.New(rand.NewPCG(20261204, 3))
	f.run(0, 10*time.Second, rate/1.8, draw)
	f.cut[3], f.cut[9] = true, true
	f.run(10*time.Second, 16*time.Second, 7.5*rate/1.8, draw)
	clear(f.cut)
	f.run(16*time.Second, 22*time.Second, 7.5*rate/1.8, draw)
	if got := f.worst(22 * time.Second); got > limit() {
		t.Errorf("%v units in a window, the plan allows %v", got, limit())
	}
}

// TestLargeFleetStaysInThePlan replays the loud workspace at 118 instances,
// which report each 1.9 s only, and then its usual load.
func TestLargeFleetStaysInThePlan(t *testing.T) {
	f := newFleet(118)
	f.beat = 1900 * time.Millisecond
	for _, a := range f.plans {
		a.SetSilence(5 * time.Second)
	}
	draw := rand.New(rand.NewPCG(20261204, 5))
	f.run(0, 10*time.Second, 0, draw)
	asked, granted := f.run(10*time.Second, 14*time.Second, rate/1.8, draw)
	if granted != asked {
		t.Errorf("%d of %d granted within the rate", granted, asked)
	}
	f.run(14*time.Second, 24*time.Second, 7.5*rate/1.8, draw)
	if got := f.worst(24 * time.Second); got > limit() {
		t.Errorf("%v units in a window, the plan allows %v", got, limit())
	}
}

// TestFleetThatStartsAgainGrantsNoSecondBurst kills all instances while the
// workspace is loud.
func TestFleetThatStartsAgainGrantsNoSecondBurst(t *testing.T) {
	f := newFleet(13)
	draw := rand.New(rand.NewPCG(20261204, 4))
	f.run(0, 10*time.Second, 7.5*rate/1.8, draw)
	for i := range f.plans {
		f.plans[i] = allowance.New(plan, 10*time.Second)
	}
	f.run(10*time.Second, 20*time.Second, 7.5*rate/1.8, draw)
	if got := f.worst(20 * time.Second); got > limit() {
		t.Errorf("%v units in a window, the plan allows %v", got, limit())
	}
}

func TestUnitsOfARequestThatDidNotRunComeBack(t *testing.T) {
	a := allowance.New(plan, 0)
	if _, ok := a.Take(burst, time.Second); !ok {
		t.Fatal("a full bucket refused its burst")
	}
	wait, ok := a.Take(size, time.Second)
	if ok || wait <= 0 {
		t.Fatalf("an empty bucket granted, or named no time: %v", wait)
	}
	a.Return(burst, time.Second)
	if _, ok := a.Take(size, time.Second); !ok {
		t.Error("returned units were refused")
	}
}

func ExampleAllowance_Take() {
	a := allowance.New(allowance.Plan{Rate: 1000, Burst: 500}, 0)
	wait, ok := a.Take(800, time.Second/4)
	fmt.Println(ok, wait)
	// Output: false 400ms
}
