package bucket_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/bucket"
	"gentiangauge.example/gentiangauge/state/lists"
)

// strategy is a way for a fleet of 15 instances to limit one workspace to its rate.
type strategy struct {
	name string
	// shares is the number of instances that each hold an equal part of the bucket.
	shares int
	// start returns the initial level of a new owner, given the last level of the failed
	// owner.
	start func(level float64) float64
}

const (
	compareRate   = 1000
	compareBurst  = 8000
	fleetSize     = 15
	takeoverGap   = 3 * time.Second
	chunkFraction = 0.1
)

var strategies = []strategy{
	{"even-split", fleetSize, nil},
	{"owner-starts-empty", 1, func(float64) float64 { return 0 }},
	{"owner-starts-full", 1, func(float64) float64 { return compareBurst }},
	{"owner-starts-at-floor", 1, func(l float64) float64 { return max(0, l-chunkFraction*compareBurst) }},
}

type arrival struct {
	at       time.Time
	tokens   int64
	instance int
}

// arrivals returns requests of 100 to 1,500 tokens at load times the rate. If load is at
// most 1, requests that a single bucket would reject are left out.
func arrivals(seed uint64, span time.Duration, load float64) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	now := time.Unix(1000, 0)
	end := now.Add(span)
	reference := bucket.New(compareRate, compareBurst, compareBurst, now)
	var all []arrival
	for now.Before(end) {
		tokens := 100 + r.Int64N(1400)
		now = now.Add(time.Duration(r.ExpFloat64() * 800 / (load * compareRate) * float64(time.Second)))
		if _, ok := reference.Reserve(bucket.RequestID(fmt.Sprint(len(all))), lists.Tokens(tokens), now); ok || load > 1 {
			all = append(all, arrival{now, tokens, r.IntN(fleetSize)})
		}
	}
	return all
}

// replay returns the number of requests that a strategy rejects, and the most tokens that
// any window used above the rate.
func replay(w strategy, all []arrival, failures []time.Duration) (rejected int, worst float64) {
	start := time.Unix(1000, 0)
	buckets := make([]*bucket.Bucket, w.shares)
	for i := range buckets {
		buckets[i] = bucket.New(lists.TokensPerSecond(compareRate/w.shares), lists.Tokens(compareBurst/w.shares), compareBurst, start)
	}
	var used []admission
	opened := start
	for n, a := range all {
		at := a.at
		if w.start != nil && len(failures) > 0 && at.Sub(start) > failures[0] {
			level := buckets[0].Level(start.Add(failures[0]))
			opened = start.Add(failures[0] + takeoverGap)
			buckets[0] = bucket.New(compareRate, compareBurst, w.start(level), opened)
			failures = failures[1:]
		}
		if at.Before(opened) {
			// The request waits for the new owner.
			at = opened
		}
		b := buckets[a.instance%w.shares]
		if _, ok := b.Reserve(bucket.RequestID(fmt.Sprint(n)), lists.Tokens(a.tokens), at); !ok {
			rejected++
			continue
		}
		used = append(used, admission{at, a.tokens})
	}
	for i := range used {
		sum := 0.0
		for j := i; j < len(used); j++ {
			sum += float64(used[j].used)
			worst = max(worst, sum-compareRate*used[j].at.Sub(used[i].at).Seconds())
		}
	}
	return rejected, worst
}

// compare replays a strategy with many seeds.
func compare(w strategy, load float64) (sent, rejected int, worst float64) {
	failures := []time.Duration{60 * time.Second, 150 * time.Second, 240 * time.Second}
	for seed := range uint64(20) {
		all := arrivals(seed, 5*time.Minute, load)
		r, x := replay(w, all, failures)
		sent += len(all)
		rejected += r
		worst = max(worst, x)
	}
	return sent, rejected, worst
}

func TestFloorRejectsFewerRequestsWithoutExceedingTheBurst(t *testing.T) {
	rejections, windows := map[string]int{}, map[string]float64{}
	for _, w := range strategies {
		sent, rejected, _ := compare(w, 0.7)
		_, _, worst := compare(w, 3)
		t.Logf("%-22s rejected %d of %d within rate; at 3 times the rate the largest window used %.0f of %d", w.name, rejected, sent, worst, compareBurst)
		rejections[w.name], windows[w.name] = rejected, worst
	}
	if windows["owner-starts-at-floor"] > compareBurst {
		t.Errorf("the floor strategy lets a window use %.0f tokens", windows["owner-starts-at-floor"])
	}
	if rejections["owner-starts-at-floor"] >= rejections["owner-starts-empty"] || rejections["owner-starts-at-floor"] >= rejections["even-split"] {
		t.Errorf("the floor strategy does not reject fewer requests than the others: %v", rejections)
	}
	if windows["owner-starts-full"] <= compareBurst {
		t.Error("a new owner that starts full was expected to exceed the burst")
	}
}
