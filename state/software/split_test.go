package software_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/state/software"
)

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261205")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	learn    = 3 * time.Second
	lifetime = 4 * time.Second
	key      = "m/a1"
)

// drawServing draws the numbers of upstreams that serve each of up to three versions.
func drawServing(t *rapid.T) map[software.Version]int {
	out := map[software.Version]int{}
	for i := range 3 {
		if n := rapid.IntRange(-6, 20).Draw(t, "upstreams"); n > 0 {
			out[software.Stated(fmt.Sprint("v", i))] = n
		}
	}
	return out
}

// Upstreams of up to three versions come and leave. Each version that serves gets a share of the slots
// like its share of the upstreams, no other one gets any, and a slot that keeps its version keeps its
// time.
func TestSplitFollowsTheUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s software.Split
		for now := time.Second; now < 12*time.Second; now += time.Second {
			serving := drawServing(t)
			next, changed := s.Next(serving, now)
			if changed == (next == s) {
				t.Fatalf("changed is %v", changed)
			}
			for i := range next {
				if next[i] != s[i] && (next[i].Version == s[i].Version || next[i].Since != now && next[i].Since != 0) {
					t.Fatalf("slot %d: %v becomes %v at %v", i, s[i], next[i], now)
				}
			}
			total, have := 0, next.Counts()
			for _, n := range serving {
				total += n
			}
			for v, n := range serving {
				if share := len(next) * n / total; have[v] < max(1, share-6) || have[v] > share+7 {
					t.Fatalf("%d of %d upstreams run %s, which has %d slots", n, total, v, have[v])
				}
			}
			for v := range have {
				if v != "" && total > 0 && serving[v] == 0 {
					t.Fatalf("no upstream runs %s, which has %d slots", v, have[v])
				}
			}
			s = next
		}
	})
}

// Instances learn a changed split some time later, and all of them are killed. What the split tells of
// a stream that may still be taken up is the version at which it began, or nothing.
func TestSplitNeverTellsAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 500 * time.Millisecond
		var history []software.Split
		var s software.Split
		for now := step; now < 30*time.Second; now += step {
			if len(history) == 0 || rapid.IntRange(0, 5).Draw(t, "release") == 0 {
				s, _ = s.Next(drawServing(t), now)
			}
			history = append(history, s)
			x := software.SlotOf(rapid.StringMatching("[a-f]{4}").Draw(t, "key"))
			told, ok := s.Begun(x, now, learn+lifetime)
			if !ok {
				continue
			}
			// The stream began within lifetime, at an instance whose split was up to learn old.
			for i := len(history) - 1; i >= max(0, len(history)-1-int((learn+lifetime)/step)); i-- {
				if v := history[i][x].Version; v != "" && v != told {
					t.Fatalf("%v: slot %d is told to have begun at %s, a stream of it began at %s", now, x, told, v)
				}
			}
		}
	})
}

// With one version since the first split, streams are known at once.
func TestSingleVersionIsKnownAtOnce(t *testing.T) {
	s, _ := software.Split{}.Next(map[software.Version]int{software.Stated("v1"): 18}, time.Minute)
	if v, ok := s.Begun(software.SlotOf(key), time.Minute, learn+lifetime); !ok || v != software.Stated("v1") || !s.Single(time.Minute, learn) {
		t.Errorf("%q, %v", v, ok)
	}
}

// A version that is not stated is that of one process only.
func TestUnstatedVersionsDiffer(t *testing.T) {
	a, b := software.Unstated("e1", 1000), software.Unstated("e1", 2000)
	if a == b || a == software.Unstated("e2", 1000) || a.IsStated() || software.Stated("") == a || !software.Stated("").IsStated() {
		t.Errorf("%q and %q", a, b)
	}
}

// Streams without end are begun by callers; what is held of them is bounded.
func TestHeldStreamsAreBounded(t *testing.T) {
	s := software.NewStreams()
	for i := range 40_000 {
		s.Add(software.Stream{ID: software.NewStreamID("guild", fmt.Sprint(i)), BegunAt: time.Duration(i)})
	}
	if n := len(s.Since(0)); n > 20_000 {
		t.Errorf("%d streams are held", n)
	}
	if _, ok := s.Get(software.NewStreamID("guild", "39999")); !ok {
		t.Error("the newest stream is not held")
	}
	if _, ok := s.Get(software.NewStreamID("shop", "39999")); ok {
		t.Error("a stream of another workspace is found")
	}
	s.Add(software.Stream{ID: 1, BegunAt: time.Hour})
	s.Drop("", time.Hour)
	if n := len(s.Since(0)); n != 1 {
		t.Errorf("%d streams are held after the lifetime of all others", n)
	}
}

// A service has streams that may be taken up for longer than those of another, which begin all the time. None was held
// for longer than those of the service whose stream began last (review/11).
func TestStreamsOfOneServiceAreHeldWhateverOthersBegin(t *testing.T) {
	s := software.NewStreams()
	s.Add(software.Stream{ID: 1, Service: "long", BegunAt: time.Second})
	for i := range 40_000 {
		now := time.Second + time.Duration(i)*time.Millisecond
		s.Add(software.Stream{ID: software.StreamID(i + 2), Service: "short", BegunAt: now})
		if i < 20_000 {
			s.Drop("short", now-4*time.Second)
		}
	}
	if _, ok := s.Get(1); !ok {
		t.Error("the stream of the service with few streams is not held")
	}
	if !s.LacksSince(24*time.Second) || s.LacksSince(40*time.Second) {
		t.Error("streams have been dropped for want of room, and that is not told, or is told for too long")
	}
	s.Drop("long", 2*time.Second)
	if _, ok := s.Get(1); ok {
		t.Error("a stream is held after its lifetime")
	}
}
