package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/refusal"
)

// cold is a request for an adapter that no engine has.
type cold struct {
	arrived, look time.Duration
}

// TestLoadsGoToRequestsThatCanBeOnTime replays the start of traffic: 70
// adapters a second are asked for, of which the weight store hands out 28. Of
// the loads, three of four must go to requests that are then on time.
func TestLoadsGoToRequestsThatCanBeOnTime(t *testing.T) {
	const (
		objective = 800 * time.Millisecond
		load      = 270 * time.Millisecond
		step      = time.Millisecond
		span      = 4 * time.Second
	)
	draw := rand.New(rand.NewPCG(20261204, 6))
	var waiting []cold
	loads, onTime := 0, 0
	for now, free := time.Duration(0), time.Duration(0); now < span; now += step {
		if draw.Float64() < 70*step.Seconds() {
			waiting = append(waiting, cold{now, now})
		}
		for i := 0; i < len(waiting); i++ {
			k := &waiting[i]
			if k.look > now {
				continue
			}
			if free > now {
				w := dispatch.PlacementRetry{Waited: now - k.arrived, Objective: objective, Load: load}
				k.look = now + time.Duration((0.5+draw.Float64())*float64(w.Backoff()))
				continue
			}
			free = now + time.Second/28
			loads++
			if now-k.arrived+load <= objective {
				onTime++
			}
			waiting = append(waiting[:i], waiting[i+1:]...)
			i--
		}
	}
	if onTime*4 < loads*3 {
		t.Errorf("%d of %d loads were for requests on time", onTime, loads)
	}
}

// TestRefusedCallerCanComeBack keeps every engine full: a caller must have half
// of its patience left when it is told, so that it can ask again.
func TestRefusedCallerCanComeBack(t *testing.T) {
	b := newBench(3)
	b.load = func() (time.Duration, error) { return 0, orders.ErrFull }
	// The clock moves on by each pause at once; the end of the request's time,
	// which is further away, does not come.
	began := b.timer.Boot()
	now := began
	b.timer.Boot = func() time.Duration { return now }
	b.timer.Notify = func(d time.Duration) (<-chan time.Time, func() bool) {
		n := make(chan time.Time, 1)
		if d < time.Second {
			now += d
			n <- time.Time{}
		}
		return n, func() bool { return true }
	}
	_, err := b.serve("/chat/x")
	if r := refusal.As(err); r.Code != refusal.Overloaded || r.Run != refusal.NotRun || r.RetryAfter <= 0 {
		t.Errorf("refused with %v", err)
	}
	if used := now - began; used > patience/2 {
		t.Errorf("%v of %v were used", used, patience)
	}
}

func ExamplePlacementRetry_Backoff() {
	w := dispatch.PlacementRetry{Objective: 800 * time.Millisecond, Load: 250 * time.Millisecond}
	early := w.Backoff()
	w.Waited = 600 * time.Millisecond
	fmt.Println(early, w.Backoff())
	// Output: 20ms 250ms
}
