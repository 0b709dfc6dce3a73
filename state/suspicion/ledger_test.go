package suspicion_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/state/suspicion"
)

const suspectAfter = 2

func part(name string) suspicion.Part { return suspicion.NewPart("prompt", name) }

func parts(names ...string) []suspicion.Part {
	var out []suspicion.Part
	for _, n := range names {
		out = append(out, part(n))
	}
	return out
}

func crash(n int) suspicion.Crash {
	return suspicion.Crash{Upstream: fmt.Sprint("e", n), StartedAt: 1}
}

// add records crash n with the parts of several requests.
func add(l *suspicion.Ledger, n int, now time.Duration, requests ...[]suspicion.Part) {
	for _, r := range requests {
		l.AddCrash(suspicion.Evidence{Crash: crash(n), Parts: r}, now)
	}
}

func status(l *suspicion.Ledger, now time.Duration, names ...string) suspicion.Status {
	s, _ := l.Status(parts(names...), now)
	return s
}

func expect(t *testing.T, l *suspicion.Ledger, now time.Duration, want suspicion.Status, names ...string) {
	t.Helper()
	if s := status(l, now, names...); s != want {
		t.Errorf("a request with %v is %v, want %v", names, s, want)
	}
}

// Sound requests are on the upstreams too as these crash. An answer to one of them clears its
// parts, also those that it shares with the requests that are the cause.
func TestPartsOfAnsweredRequestsAreCleared(t *testing.T) {
	l := suspicion.NewLedger(suspectAfter)
	expect(t, l, 0, suspicion.Clean, "shared", "dead")
	for n := range 3 {
		add(l, n, 1, parts("shared", "dead"), parts("shared", "s1"), parts("other", fmt.Sprint("s", n)))
	}
	expect(t, l, 2, suspicion.Suspected, "shared", "new")
	l.Clear(parts("shared", "new"), 3)
	l.Clear(parts("other", "new"), 3)
	expect(t, l, 4, suspicion.Clean, "shared", "new")
	expect(t, l, 4, suspicion.Suspected, "shared", "s1")
	expect(t, l, 4, suspicion.Suspected, "other", "dead")
}

// The request with the cause always has the same second part, which is rare. Until a sound
// request with that part has been answered, the verdict blocks only requests with both.
func TestVerdictBlocksOnlyRequestsWithAllPartsThatMayBeTheCause(t *testing.T) {
	l := suspicion.NewLedger(suspectAfter)
	for n := range 3 {
		add(l, n, 1, parts("rare", "dead"))
	}
	v, ok := l.Decide(crash(2), parts("rare", "dead"), 0, 2)
	if !ok || len(v.Parts) != 2 {
		t.Fatalf("verdict %v, %v; want one of both parts", v, ok)
	}
	expect(t, l, 3, suspicion.Blocked, "shared", "rare", "dead")
	expect(t, l, 3, suspicion.Suspected, "rare")
	l.Clear(parts("rare"), 4)
	expect(t, l, 5, suspicion.Clean, "rare")
	expect(t, l, 5, suspicion.Blocked, "dead")
}

// A request that is tried shares the upstream with the cause, which was sent before it was
// suspected. The trial proves nothing.
func TestCrashByAnotherRequestIsNoVerdict(t *testing.T) {
	l := suspicion.NewLedger(suspectAfter)
	for n := range 4 {
		add(l, n, 1, parts("dead"))
	}
	add(l, 2, 1, parts("sound"))
	add(l, 3, 1, parts("sound"))
	add(l, 4, 1, parts("sound"), parts("dead"))
	if v, ok := l.Decide(crash(4), parts("sound"), 0, 2); ok {
		t.Errorf("verdict %v on the request that another one explains", v)
	}
	if _, ok := l.Decide(crash(4), parts("dead"), 0, 2); !ok {
		t.Error("no verdict on the cause")
	}
	expect(t, l, 3, suspicion.Clean, "sound")
}

// A sound part stands beside the cause in each request. A verdict blocks requests with both, and then an
// upstream crashes for another reason while a request with the sound part alone is tried.
func TestCrashesOfAVerdictBlockNoOtherRequest(t *testing.T) {
	l := suspicion.NewLedger(suspectAfter)
	for n := range 3 {
		add(l, n, 1, parts("rare", "dead"))
	}
	if _, ok := l.Decide(crash(2), parts("rare", "dead"), 0, 2); !ok {
		t.Fatal("no verdict")
	}
	add(l, 3, 3, parts("rare"))
	if v, ok := l.Decide(crash(3), parts("rare"), 0, 4); ok {
		t.Errorf("verdict %v after one crash that nothing explains", v)
	}
	add(l, 4, 5, parts("rare"))
	if _, ok := l.Decide(crash(4), parts("rare"), 0, 6); !ok {
		t.Error("no verdict after two such crashes")
	}
}

// A request with the cause has been repeated as it was. The verdict is not on that request alone.
func TestRepeatedRequestIsNotBlockedAlone(t *testing.T) {
	l := suspicion.NewLedger(suspectAfter)
	add(l, 0, 1, parts("dead", "request 1"))
	add(l, 1, 1, parts("dead", "request 2"))
	add(l, 2, 1, parts("dead", "request 2"))
	if _, ok := l.Decide(crash(2), parts("dead", "request 2"), part("request 2"), 2); !ok {
		t.Fatal("no verdict")
	}
	expect(t, l, 3, suspicion.Blocked, "dead", "request 3")
}

// Two parts crash upstreams, and both come beside the same sound part, which has more crashes than each.
func TestPartBesideTwoCausesIsNotBlockedAlone(t *testing.T) {
	l := suspicion.NewLedger(suspectAfter)
	for n := range 2 {
		add(l, n, 1, parts("rare", "dead"))
		add(l, n+2, 1, parts("rare", "deadly"))
	}
	add(l, 4, 2, parts("rare", "dead"))
	if _, ok := l.Decide(crash(4), parts("rare", "dead"), 0, 3); !ok {
		t.Fatal("no verdict")
	}
	expect(t, l, 4, suspicion.Blocked, "rare", "dead")
	expect(t, l, 4, suspicion.Suspected, "rare", "deadly")
	expect(t, l, 4, suspicion.Suspected, "rare")
}

// A verdict on a sound part is withdrawn by an answer, at every instance that learns of it.
func TestWrongVerdictIsWithdrawn(t *testing.T) {
	l, other := suspicion.NewLedger(suspectAfter), suspicion.NewLedger(suspectAfter)
	for n := range 3 {
		add(l, n, 1, parts("sound"))
	}
	v, ok := l.Decide(crash(2), parts("sound"), 0, 2)
	if !ok {
		t.Fatal("no verdict")
	}
	other.Merge(v, 3)
	expect(t, other, 4, suspicion.Blocked, "sound")
	if cleared, _ := l.Clear(parts("sound"), 5); len(cleared) != 1 {
		t.Errorf("cleared %v", cleared)
	}
	for _, x := range l.Verdicts(6) {
		other.Merge(x, 6)
		l.Merge(v, 6)
	}
	expect(t, other, 7, suspicion.Clean, "sound")
	expect(t, l, 7, suspicion.Clean, "sound")
}

// Reports of a crash that arrive after an answer do not make its parts suspected again; a later
// crash does.
func TestLateReportDoesNotUndoAnAnswer(t *testing.T) {
	l := suspicion.NewLedger(suspectAfter)
	add(l, 0, 1, parts("a"))
	add(l, 1, 2, parts("a"))
	l.Clear(parts("a"), 3)
	add(l, 0, 4, parts("a"))
	add(l, 1, 4, parts("a"))
	expect(t, l, 5, suspicion.Clean, "a")
	add(l, 2, 6, parts("a"))
	add(l, 3, 7, parts("a"))
	expect(t, l, 8, suspicion.Suspected, "a")
}

// decided returns a ledger with a verdict on the part dead at time 0.
func decided(t *testing.T) *suspicion.Ledger {
	t.Helper()
	l := suspicion.NewLedger(suspectAfter)
	for n := range 3 {
		add(l, n, 0, parts("dead"))
	}
	if _, ok := l.Decide(crash(2), parts("dead"), 0, 0); !ok {
		t.Fatal("no verdict")
	}
	return l
}

// A verdict holds while such requests come, however long that is.
func TestVerdictHoldsWhileRequestsCome(t *testing.T) {
	l := decided(t)
	now := time.Duration(0)
	for range 100 {
		now += 50 * time.Minute
		if l.Expire(now) != nil {
			t.Fatalf("expired after %v", now)
		}
		expect(t, l, now, suspicion.Blocked, "dead")
	}
	now += 2 * time.Hour
	if l.Expire(now) == nil {
		t.Error("the verdict outlasts two hours without such requests")
	}
	expect(t, l, now, suspicion.Clean, "dead")
}

// Callers send parts of one use each without end, and upstreams crash for other reasons.
func TestPartsOfOneUseRemoveNoVerdict(t *testing.T) {
	l := decided(t)
	for n := range 2000 {
		var many []suspicion.Part
		for i := range 100 {
			many = append(many, part(fmt.Sprint(n, "-", i)))
		}
		add(l, 10+n, time.Duration(n)*time.Millisecond, many)
	}
	expect(t, l, 3*time.Second, suspicion.Blocked, "dead")
	expect(t, l, 3*time.Second, suspicion.Clean, "0-0")
}

// One trial of a part is granted at a time, and another one after its end or a time-out.
func TestOneTrialAtATime(t *testing.T) {
	x := suspicion.NewTrials()
	if !x.Take(1, 0) || x.Take(1, time.Second) || !x.Take(2, time.Second) {
		t.Error("want one trial for each part")
	}
	x.End(1)
	if !x.Take(1, time.Second) || x.Take(2, 2*time.Second) || !x.Take(2, 4*time.Second) {
		t.Error("want another trial after the end and after the time-out")
	}
}

// Instances get copies of a verdict that have lost different parts, in any order.
func TestCopiesOfAVerdictMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := suspicion.VerdictID{Crash: crash(1), Lead: part("a")}
		all := parts("a", "b", "c", "d")
		var copies []suspicion.Verdict
		for range rapid.IntRange(1, 5).Draw(t, "copies") {
			v := suspicion.Verdict{VerdictID: id}
			for _, p := range all {
				if rapid.Bool().Draw(t, "keeps") {
					v.Parts = append(v.Parts, p)
				}
			}
			copies = append(copies, v)
		}
		merge := func(order []int) []suspicion.Part {
			l := suspicion.NewLedger(suspectAfter)
			for _, i := range order {
				l.Merge(copies[i], 0)
			}
			out := slices.Clone(l.Verdicts(0)[0].Parts)
			slices.Sort(out)
			return out
		}
		var order []int
		for i := range copies {
			order = append(order, i)
		}
		other := rapid.Permutation(order).Draw(t, "order")
		if a, b := merge(order), merge(other); !slices.Equal(a, b) {
			t.Fatalf("%v in order, %v in the order %v", a, b, other)
		}
	})
}
