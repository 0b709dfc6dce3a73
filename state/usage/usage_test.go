package usage_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/usage"
)

func work(n int) []pool.Work {
	return []pool.Work{{Upstream: 1, Adapter: 2, Usage: pool.Usage{Running: n, PrefillTokens: 1000 * n, Tokens: 2000 * n}}}
}

func TestChangesAndTheEndAreReported(t *testing.T) {
	r := usage.New()
	now := time.Hour
	due := func(w map[string][]pool.Work) int {
		now += usage.Interval
		return len(r.Due(w, now))
	}
	busy := map[string][]pool.Work{"owner": work(1)}
	for i, want := range []int{1, 0, 0} {
		if got := due(busy); got != want {
			t.Errorf("check %d of the same work: %d reports, want %d", i, got, want)
		}
	}
	if due(map[string][]pool.Work{"owner": work(2)}) != 1 {
		t.Error("a change is not reported")
	}
	if got := r.Reported("owner", 1); got.Running != 2 {
		t.Errorf("%d requests were reported to the owner, want 2", got.Running)
	}
	ends := 0
	for range 10 {
		ends += due(nil)
	}
	if ends < 2 || ends > 5 {
		t.Errorf("the end is reported %d times, want 2 to 5", ends)
	}
}

func TestUnchangedWorkIsReportedAgain(t *testing.T) {
	r := usage.New()
	reported := 0
	for now := time.Hour; now < time.Hour+2*time.Second; now += usage.Interval {
		reported += len(r.Due(map[string][]pool.Work{"owner": work(1)}, now))
	}
	if reported < 3 {
		t.Errorf("reported %d times in 2 s, want at least 3 to make up for lost reports", reported)
	}
}

// TestUnusedGrantIsReportedAtOnce has an owner grant a request that then runs elsewhere:
// the owner counts it until the next report, which must be due at the next check.
func TestUnusedGrantIsReportedAtOnce(t *testing.T) {
	r := usage.New()
	r.MarkRequested("owner")
	l := r.Due(nil, time.Hour)
	if x, ok := l["owner"]; !ok || len(x.Work) != 0 {
		t.Errorf("reports %v, want one without work", l)
	}
}

func TestInstanceWithoutReportsExpires(t *testing.T) {
	r := usage.New()
	r.Received("a", time.Hour)
	r.Received("b", time.Hour+1500*time.Millisecond)
	if got := r.Expired(time.Hour + 2500*time.Millisecond); len(got) != 1 || got[0] != "a" {
		t.Errorf("expired %v, want a", got)
	}
}

// TestOwnerConvergesAfterLostReports loses, duplicates and delays reports: once they
// arrive again, the owner knows the work within a second.
func TestOwnerConvergesAfterLostReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := usage.New()
		known, newest := 0, int64(0)
		var late []usage.Report
		take := func(x usage.Report) {
			if x.Sequence <= newest {
				return
			}
			newest, known = x.Sequence, 0
			for _, w := range x.Work {
				known += w.Running
			}
		}
		n, now := 0, time.Hour
		step := func(faults bool) {
			now += usage.Interval
			w := map[string][]pool.Work{}
			if n > 0 {
				w["owner"] = work(n)
			}
			for _, x := range r.Due(w, now) {
				if !faults {
					take(x)
					continue
				}
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0:
					take(x)
				case 1:
					take(x)
					take(x)
				case 2:
					late = append(late, x)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n = rapid.IntRange(0, 3).Draw(t, "requests")
			step(true)
		}
		n = rapid.IntRange(1, 3).Draw(t, "at the end")
		for range 10 {
			step(false)
		}
		for _, x := range late {
			take(x)
		}
		if known != n {
			t.Fatalf("the owner knows of %d requests, want %d", known, n)
		}
	})
}

func ExampleReports_Due() {
	r := usage.New()
	w := map[string][]pool.Work{"owner": {{Upstream: 1, Usage: pool.Usage{Running: 1}}}}
	fmt.Println(len(r.Due(w, time.Second)), len(r.Due(w, time.Second+usage.Interval)))
	// Output: 1 0
}
