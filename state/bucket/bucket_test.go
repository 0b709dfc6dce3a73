package bucket_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/state/bucket"
	"gentiangauge.example/gentiangauge/state/lists"
)

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type admission struct {
	at   time.Time
	used int64
}

// checkWindows checks the limit for every window that starts and ends at an admission:
// tokens used <= burst + rate * length.
func checkWindows(t *rapid.T, all []admission, rate, burst int64) {
	for i := range all {
		sum := int64(0)
		for j := i; j < len(all); j++ {
			sum += all[j].used
			length := all[j].at.Sub(all[i].at).Seconds()
			if float64(sum) > float64(burst)+float64(rate)*length+1e-6 {
				t.Fatalf("%d tokens in %.3f s at rate %d and burst %d", sum, length, rate, burst)
			}
		}
	}
}

func TestEveryWindowStaysUnderRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 500).Draw(t, "rate")
		burst := rapid.Int64Range(rate, 5000).Draw(t, "burst")
		now := time.Unix(1000, 0)
		b := bucket.New(lists.TokensPerSecond(rate), lists.Tokens(burst), float64(burst), now)
		var all []admission
		open := map[bucket.RequestID]int{}
		reserved := map[bucket.RequestID]int64{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			for _, id := range slices.Sorted(maps.Keys(open)) {
				n := open[id]
				if rapid.Bool().Draw(t, "settle") {
					all[n].used = rapid.Int64Range(0, reserved[id]).Draw(t, "used")
					b.Settle(id, lists.Tokens(all[n].used), now)
					delete(open, id)
				}
			}
			id := bucket.RequestID(fmt.Sprint(i))
			tokens := rapid.Int64Range(1, burst).Draw(t, "tokens")
			if _, ok := b.Reserve(id, lists.Tokens(tokens), now); ok {
				open[id] = len(all)
				reserved[id] = tokens
				all = append(all, admission{at: now, used: tokens})
			}
		}
		checkWindows(t, all, rate, burst)
	})
}

func TestRequestsWithinTheRateAreNeverRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(10, 500).Draw(t, "rate")
		now := time.Unix(1000, 0)
		b := bucket.New(lists.TokensPerSecond(rate), lists.Tokens(4*rate), 0, now)
		for i := range 50 {
			now = now.Add(time.Second)
			if _, ok := b.Reserve(bucket.RequestID(fmt.Sprint(i)), lists.Tokens(rate), now); !ok {
				t.Fatalf("second %d: rejected %d tokens at rate %d", i, rate, rate)
			}
		}
	})
}

func ExampleBucket_Reserve() {
	now := time.Unix(1000, 0)
	b := bucket.New(100, 1000, 1000, now)
	_, first := b.Reserve("a", 800, now)
	wait, second := b.Reserve("b", 400, now)
	b.Settle("a", 300, now)
	_, third := b.Reserve("b", 400, now)
	fmt.Println(first, second, wait, third)
	// Output: true false 2s true
}
