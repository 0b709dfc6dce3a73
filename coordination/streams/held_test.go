package streams_test

import (
	"fmt"
	"testing"
	"time"
)

// Streams of a service with a short timeout begin while those of one with a long timeout last. The instance forgot the
// latter, its next write left their records out, and they were taken to have begun as planned (review/11).
func TestStreamsOfAnotherServiceDoNotShortenRecords(t *testing.T) {
	f, a, b := newMixedFleet(t)
	x := deviating(a, "s")
	a.Begin(x)
	f.awaitRecord(t, "a", 1)
	f.advance(10 * time.Second)
	y := stream("other", v2)
	y.Service = string(shortService)
	a.Begin(y)
	a.Step(t.Context())
	f.awaitRecord(t, "a", 2)
	f.leave("a")
	if v, ok := find(t, b, x); !ok || v != x.Version {
		t.Errorf("found at %q, %v; it began at %q", v, ok, x.Version)
	}
}

// More streams need a record than a row has room for, or more are begun than an instance holds. Those that are left
// out are asked for, and unknown once nobody is left who knows them; they were taken to have begun as planned.
func TestStreamsWithoutRoomAreNotTakenForPlanned(t *testing.T) {
	for _, n := range []int{2_500, 18_000} {
		t.Run(fmt.Sprint(n, " streams"), func(t *testing.T) {
			f, a, b := newMixedFleet(t)
			first := deviating(a, "first")
			a.Begin(first)
			for i := range n {
				a.Begin(deviating(a, fmt.Sprint("s", i)))
			}
			last := deviating(a, "last")
			a.Begin(last)
			f.awaitRow(t, "a", func(m recordRow) bool { _, ok := m.Streams[last.ID.String()]; return ok })
			held := n < 16_000
			if v, ok := find(t, b, first); ok != held || ok && v != first.Version {
				t.Errorf("found at %q, %v, began at %q", v, ok, first.Version)
			}
			if v, ok := find(t, a, first); ok != held || ok && v != first.Version {
				t.Errorf("found at %q, %v by the instance that began it, at %q", v, ok, first.Version)
			}
			f.leave("a")
			if v, ok := find(t, b, first); ok {
				t.Errorf("found at %q, though nobody is left who knows it; it began at %q", v, first.Version)
			}
			planned := stream("planned", v1)
			f.advance(2 * f.lifetime)
			if p, _ := b.Planned(service, planned.Slot); p == v2 {
				planned.Version = v2
			}
			eventuallyFound(t, b, planned)
		})
	}
}
