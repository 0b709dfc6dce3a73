package streams_test

import (
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/state/software"
)

// A configuration shortens the timeout of a route, or removes the route, while upstreams of another version join.
// Streams that began before may be taken up for as long as the earlier configuration allowed, at instances that knew
// it and at those that did not; each of them was taken to have begun at the new version (review/13).
func TestStreamsKeepTheLifetimeOfTheConfigurationTheyBeganBy(t *testing.T) {
	for name, next := range map[string][]time.Duration{
		"shortened": {4 * time.Second}, "removed": {0}, "shortened twice": {4 * time.Second, time.Second}, "longer for a moment": {time.Hour, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f, a, b := newFleetBeforeRelease(t)
			var begun []software.Stream
			for _, n := range []string{"s", "t", "u", "v"} {
				x := stream(n, v1)
				x.Upstream = "e0"
				a.Begin(x)
				begun = append(begun, x)
			}
			f.release(t, a, b)
			for _, d := range next {
				f.configure(d)
			}
			f.advance(10 * time.Second)
			// The row is written anew.
			a.Begin(stream("later", v1))
			f.awaitRecord(t, "a", len(begun)+1)
			c := f.add(t, "c")
			f.leave("a")
			for _, r := range []*streams.Registry{b, c} {
				for _, x := range begun {
					if v, ok := find(t, r, x); !ok || v != v1 {
						t.Errorf("a stream of v1 is found at %q, %v", v, ok)
					}
				}
			}
		})
	}
}

// newFleetBeforeRelease returns two instances that know of one version.
func newFleetBeforeRelease(t *testing.T) (f *fleet, a, b *streams.Registry) {
	f = newFleet()
	f.store.InjectFault = f.injectFault
	f.serving = map[software.Version]int{v1: 9}
	a = f.add(t, "a")
	a.Step(t.Context())
	return f, a, f.add(t, "b")
}

// release has another version replace all upstreams.
func (f *fleet) release(t *testing.T, a, b *streams.Registry) {
	f.serving = map[software.Version]int{v2: 9}
	f.advance(2 * time.Second)
	a.Step(t.Context())
	f.read(t, b)
}
