package reader_test

import (
	"fmt"
	"testing"

	"gentiangauge.example/gentiangauge/state/reader"
)

const zones = 3

// zoneFleet is a fleet whose instances know the same of each other.
type zoneFleet []reader.Peer

func newFleet(n int) zoneFleet {
	var f zoneFleet
	for i := range n {
		f = append(f, reader.Peer{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprint(i % zones), Serving: true, StoreReachable: true, Live: true})
	}
	return f
}

// readers returns the readers of each zone, of those that are fresh.
func (f zoneFleet) readers() map[string][]int {
	out := map[string][]int{}
	for i, x := range f {
		peers := append(append(zoneFleet{}, f[:i]...), f[i+1:]...)
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
		t.Error("an instance that hears nobody does not read")
	}
}

// TestZoneWithoutAReaderReadsItself has the readers of a zone fall silent, or
// lose the store, one after the other: some living one always reads.
func TestZoneWithoutAReaderReadsItself(t *testing.T) {
	f := newFleet(118)
	for range 30 {
		l := f.readers()["0"]
		if len(l) == 0 {
			t.Fatal("nobody reads")
		}
		f[l[0]].Live = false
	}
}

// TestStoreThatIsAwayIsAskedByFew replays an outage of the store: each reader
// finds that it fails, and the next ones try, but not the whole fleet.
func TestStoreThatIsAwayIsAskedByFew(t *testing.T) {
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
			t.Errorf("%d instances of zone %s ask a store that is away, want 4", len(l), z)
		}
	}
}

// TestStoreThatTurnsSomeAwayIsReadByOthers has the store turn away the first
// readers of a zone and serve the next ones.
func TestStoreThatTurnsSomeAwayIsReadByOthers(t *testing.T) {
	f := newFleet(118)
	for _, i := range f.readers()["0"] {
		f[i].StoreReachable = false
	}
	steady := 0
	for _, i := range f.readers()["0"] {
		if f[i].StoreReachable {
			steady++
		}
	}
	if steady != 2 {
		t.Errorf("%d readers reach the store, want 2", steady)
	}
}
