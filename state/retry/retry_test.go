package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
)

const (
	ratio   = 0.2
	burst   = 430
	service = pool.Tag(7)
	// windowTicks is the window of the limit promised to the users, in ticks of 0.1 s.
	windowTicks = 100
)

// fleet is a number of instances that receive each other's reports with a delay.
type fleet struct {
	budgets []*retry.Budget
	draw    *rand.Rand
	// reportInterval is the number of ticks between two reports.
	reportInterval int
	// requests and retries are the numbers sent in each tick.
	requests, retries []int
}

func newFleet(n, interval int) *fleet {
	f := &fleet{draw: rand.New(rand.NewPCG(20261204, 1)), reportInterval: interval}
	for range n {
		b := retry.New()
		b.SetLimits(ratio, burst)
		b.SetMembers(n)
		f.budgets = append(f.budgets, b)
	}
	return f
}

// tick sends requests to random instances. Each request needs wanted retries on average;
// wanted may be greater than 1.
func (f *fleet) tick(requests int, wanted float64) (asked, got int) {
	t := len(f.requests)
	for k, b := range f.budgets {
		if (t+k)%f.reportInterval == 0 {
			c := b.Counts()
			for i, o := range f.budgets {
				if i != k {
					o.ApplyReport(retry.Instance{Name: fmt.Sprint(k), Run: 1}, c)
				}
			}
		}
	}
	for range requests {
		k := f.draw.IntN(len(f.budgets))
		f.budgets[k].RecordRequest(service)
		for w := wanted; w > 0; w-- {
			if f.draw.Float64() >= w {
				break
			}
			asked++
			if f.budgets[k].Spend(service) {
				got++
			}
		}
	}
	f.requests, f.retries = append(f.requests, requests), append(f.retries, got)
	return asked, got
}

// maxExcess returns by how much the retries of any window exceed ratio times its
// requests.
func (f *fleet) maxExcess() float64 {
	worst := 0.0
	for from := range f.requests {
		requests, retries := 0, 0
		for t := from; t < min(from+windowTicks, len(f.requests)); t++ {
			requests += f.requests[t]
			retries += f.retries[t]
		}
		worst = max(worst, float64(retries)-ratio*float64(requests))
	}
	return worst
}

// TestFewInstancesMayUseTheWholeBudget replays wtw-prod-large scale-1, where one in eight
// arrivals was rejected and 1,081 requests failed for lack of retries although the fleet
// had used a sixth of them.
func TestFewInstancesMayUseTheWholeBudget(t *testing.T) {
	f := newFleet(195, 15)
	asked, got := 0, 0
	for range 300 {
		a, g := f.tick(77, 0.14)
		asked, got = asked+a, got+g
	}
	if got < asked*9/10 {
		t.Errorf("%d of %d retries were allowed", got, asked)
	}
	if f.maxExcess() > burst {
		t.Errorf("%v retries beyond the ratio, limit is %d", f.maxExcess(), burst)
	}
}

// TestFleetStaysWithinTheBudget has every upstream fail for seconds, so that all
// instances retry all requests.
func TestFleetStaysWithinTheBudget(t *testing.T) {
	for _, c := range []struct{ n, interval int }{{13, 2}, {118, 10}, {195, 15}, {330, 15}} {
		f := newFleet(c.n, c.interval)
		for i := range 600 {
			wanted := 0.02
			if i%200 > 100 {
				wanted = 3
			}
			f.tick(77, wanted)
		}
		if f.maxExcess() > burst {
			t.Errorf("%d instances: %v retries beyond the ratio, limit is %d", c.n, f.maxExcess(), burst)
		}
	}
}

// TestRestartedFleetStaysWithinTheBudget restarts all instances while upstreams fail.
func TestRestartedFleetStaysWithinTheBudget(t *testing.T) {
	f := newFleet(195, 15)
	for i := range 100 {
		if i == 50 {
			f.budgets = newFleet(195, 15).budgets
		}
		f.tick(77, 3)
	}
	if f.maxExcess() > burst {
		t.Errorf("%v retries beyond the ratio, limit is %d", f.maxExcess(), burst)
	}
}

func ExampleBudget_Spend() {
	b := retry.New()
	b.SetLimits(0.2, 10)
	for range 9 {
		fmt.Print(b.Spend(service), " ")
	}
	// Output: true true true true true true true true false
}
