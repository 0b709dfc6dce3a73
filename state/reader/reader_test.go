package reader_test

import (
	"fmt"
	"testing"

	"gentiangauge.example/gentiangauge/state/reader"
)

const zones = 3

// testFleet is a fleet whose instances all have the same view of each other.
type testFleet []reader.Peer

func newFleet(n int) testFleet {
	var f testFleet
	for i := range n {
		f = append(f, reader.Peer{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprint(i % zones), Serving: true, StoreReachable: true, Live: true})
	}
	return f
}

// readers returns the indexes of the live readers of each zone.
func (f testFleet) readers() map[string][]int {
	out := map[string][]int{}
	for i, x := range f {
		peers := append(append(testFleet{}, f[:i]...), f[i+1:]...)
		if x.Live && reader.ShouldRead(reader.Self{Name: x.Name, Zone: x.Zone}, peers) {
			out[x.Zone] = append(out[x.Zone], i)
		}
	}
	return out
}

func TestReadersDoNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{13, 118, 195, 330} {
		for z, l := range newFleet(n).readers() {
			if len(l) != 2 {
				t.Errorf("%d instances: %d readers in zone %s, want 2", n, len(l), z)
			}
		}
	}
}

func TestLoneInstanceReads(t *testing.T) {
	if !reader.ShouldRead(reader.Self{Name: "a", Zone: "z"}, nil) {
		t.Error("an instance without peers does not read")
	}
}

// TestSilentReadersAreReplaced makes the readers of a zone silent, one after the other. A
// live instance must always read.
func TestSilentReadersAreReplaced(t *testing.T) {
	f := newFleet(118)
	for range 30 {
		l := f.readers()["0"]
		if len(l) == 0 {
			t.Fatal("zone 0 has no reader")
		}
		f[l[0]].Live = false
	}
}

// TestFewReadersCallAnUnavailableStore simulates an outage of the store: each reader's
// calls fail and the next instances try, but never the whole fleet.
func TestFewReadersCallAnUnavailableStore(t *testing.T) {
	f := newFleet(195)
	for range 10 {
		for _, l := range f.readers() {
			for _, i := range l {
				f[i].StoreReachable = false
			}
		}
	}
	for z, l := range f.readers() {
		if len(l) != 4 {
			t.Errorf("%d instances of zone %s call an unavailable store, want 4", len(l), z)
		}
	}
}

// TestRejectedReadersAreReplaced has the store reject the first readers of a zone and serve
// the next ones.
func TestRejectedReadersAreReplaced(t *testing.T) {
	f := newFleet(118)
	for _, i := range f.readers()["0"] {
		f[i].StoreReachable = false
	}
	reachable := 0
	for _, i := range f.readers()["0"] {
		if f[i].StoreReachable {
			reachable++
		}
	}
	if reachable != 2 {
		t.Errorf("%d readers reach the store, want 2", reachable)
	}
}
