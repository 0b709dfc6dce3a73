package ownership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin/memory"
)

// faultyFleet is a fleet whose instances freeze, restart and lose the store, and whose heartbeats
// get lost, while the store comes back from copies.
type faultyFleet struct {
	*testFleet
	random *rand.Rand
	frozen map[*node]time.Duration
	copies []memory.Copy
}

const (
	fleetStep = 200 * time.Millisecond
	// lossRate is the share of lost heartbeats, faultRate that of steps with a fault.
	lossRate  = 0.2
	faultRate = 0.15
	// drillRate is the share of steps with a drill.
	drillRate = 0.01
)

// fault injects a random fault.
func (f *faultyFleet) fault() {
	n := f.all[f.random.IntN(len(f.all))]
	switch f.random.IntN(3) {
	case 0:
		n.start()
	case 1:
		f.frozen[n] = f.now + time.Duration(f.random.IntN(10_000))*time.Millisecond
	default:
		n.storeDown = !n.storeDown
	}
}

// step exchanges heartbeats with a few others and steps all instances that are not frozen.
func (f *faultyFleet) step(t *testing.T, faults bool) {
	if f.random.Float64() < 0.2 {
		f.copies = append(f.copies, f.store.Copy())
	}
	if faults && f.random.Float64() < faultRate {
		f.fault()
	}
	if faults && f.random.Float64() < drillRate {
		back := min(len(f.copies), 1+f.random.IntN(10))
		f.store.Restore(f.copies[len(f.copies)-back])
	}
	for _, n := range f.all {
		if f.now < f.frozen[n] {
			continue
		}
		if !n.storeDown {
			n.applyRows()
		}
		for range 8 {
			if o := f.all[f.random.IntN(len(f.all))]; o != n && f.now >= f.frozen[o] && f.random.Float64() >= lossRate {
				n.sendHeartbeat(o)
			}
		}
		n.step()
	}
	f.checkTokens(t.Fatalf)
	f.now += fleetStep
}

// At most one instance gives orders to an upstream at any time, and fencing tokens never fall, in
// fleets of 13 and 195 instances. Once the faults have ended, every upstream has an owner.
func TestOneOwnerInFaultyFleetsWithRestoredStores(t *testing.T) {
	for size, seeds := range map[int]uint64{13: 40, 195: 2} {
		for seed := range seeds {
			f := &faultyFleet{testFleet: newFleet(size), random: rand.New(rand.NewPCG(seed, uint64(size))), frozen: map[*node]time.Duration{}}
			f.copies = append(f.copies, f.store.Copy())
			for range int(60 * time.Second / fleetStep) {
				f.step(t, true)
			}
			for _, n := range f.all {
				n.storeDown = false
			}
			for range int(40 * time.Second / fleetStep) {
				f.step(t, false)
			}
			if got := len(owners(f.testFleet)); got != upstreams {
				t.Errorf("%d instances, seed %d: %d upstreams have an owner after the faults, want %d", size, seed, got, upstreams)
			}
		}
	}
}
