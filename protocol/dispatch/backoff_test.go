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

// waitingRequest is a request for an adapter that no engine holds.
type waitingRequest struct {
	arrived, retryAt time.Duration
}

// TestBackoffFavoursRequestsThatCanMeetObjective simulates the start of traffic: 70
// adapters a second are requested, and the weight store delivers 28 of them. Three of four
// loads must go to requests that then meet their objective.
func TestBackoffFavoursRequestsThatCanMeetObjective(t *testing.T) {
	const (
		objective = 800 * time.Millisecond
		load      = 270 * time.Millisecond
		step      = time.Millisecond
		span      = 4 * time.Second
	)
	draw := rand.New(rand.NewPCG(20261204, 6))
	var waiting []waitingRequest
	loads, onTime := 0, 0
	for now, free := time.Duration(0), time.Duration(0); now < span; now += step {
		if draw.Float64() < 70*step.Seconds() {
			waiting = append(waiting, waitingRequest{now, now})
		}
		for i := 0; i < len(waiting); i++ {
			k := &waiting[i]
			if k.retryAt > now {
				continue
			}
			if free > now {
				w := dispatch.PlacementRetry{Waited: now - k.arrived, Objective: objective, Load: load}
				k.retryAt = now + time.Duration((0.5+draw.Float64())*float64(w.Backoff()))
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

// TestRefusedCallerHasTimeToRetry keeps every engine full: a caller must be refused
// with half of its timeout left, so that it can retry.
func TestRefusedCallerHasTimeToRetry(t *testing.T) {
	b := newHarness(3)
	b.load = func() (time.Duration, error) { return 0, orders.ErrFull }
	// Each pause advances the clock at once. The request's deadline timer, which
	// is longer, never fires.
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
	if used := now - began; used > callerTimeout/2 {
		t.Errorf("refused after %v of %v", used, callerTimeout)
	}
}

func ExamplePlacementRetry_Backoff() {
	w := dispatch.PlacementRetry{Objective: 800 * time.Millisecond, Load: 250 * time.Millisecond}
	early := w.Backoff()
	w.Waited = 600 * time.Millisecond
	fmt.Println(early, w.Backoff())
	// Output: 20ms 250ms
}
