package suspect_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/suspect"
	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/timer"
)

// fleet is two registries of which the first tells the second what it announces.
type fleet struct {
	first, second *suspect.Registry
	now           time.Duration
	// lost is set while announcements get lost.
	lost   bool
	stored []suspicion.Verdict
}

func newFleet() *fleet {
	f := &fleet{}
	t := timer.New()
	t.Boot = func() time.Duration { return f.now }
	f.second = suspect.New(2, suspect.Services{Timer: t, Log: zap.NewNop(), Announce: func(context.Context, []byte) {}})
	f.first = suspect.New(2, suspect.Services{
		Timer: t, Log: zap.NewNop(),
		Announce: func(_ context.Context, data []byte) {
			if !f.lost {
				f.second.Apply("first", data)
			}
		},
		Store: func(_ context.Context, v suspicion.Verdict) { f.stored = append(f.stored, v) },
	})
	return f
}

var dead = []suspicion.Part{7, 9}

// crash has the first instance report crashes of a number of upstreams, the last one on trial.
func (f *fleet) crash(n int) {
	for i := range n {
		x := suspicion.Crash{Upstream: string(rune('a' + i)), StartedAt: 1}
		f.first.RecordCrash(context.Background(), x, dead, i == n-1 && n > 2)
	}
}

func expectStatus(t *testing.T, r *suspect.Registry, what string, want suspicion.Status) {
	t.Helper()
	if s, _ := r.Status(dead); s != want {
		t.Errorf("%s: the request is %v, want %v", what, s, want)
	}
}

func TestCrashesAndVerdictsReachTheOtherInstances(t *testing.T) {
	f := newFleet()
	f.crash(2)
	expectStatus(t, f.second, "after two crashes", suspicion.Suspected)
	f.crash(3)
	expectStatus(t, f.second, "after a trial", suspicion.Blocked)
	if len(f.stored) != 1 || len(f.stored[0].Parts) != 2 {
		t.Errorf("stored verdicts %v, want one", f.stored)
	}
	f.first.RecordSound(context.Background(), dead[:1])
	if v := f.second.Verdicts(); len(v) != 1 || len(v[0].Parts) != 1 || v[0].Parts[0] != dead[1] {
		t.Errorf("verdicts %v at the other instance, want one without the part that was answered", v)
	}
}

// Announcements get lost; heartbeats repeat them for some seconds, and verdicts for as long as they
// are known.
func TestHeartbeatsRepeatLostAnnouncements(t *testing.T) {
	f := newFleet()
	f.lost = true
	f.crash(2)
	f.second.Apply("first", f.first.Payload())
	expectStatus(t, f.second, "after a heartbeat", suspicion.Suspected)
	f.first.RecordSound(context.Background(), dead)
	f.second.Apply("first", f.first.Payload())
	expectStatus(t, f.second, "after an answer", suspicion.Clean)
	f.now += time.Minute
	if p := f.first.Payload(); p != nil {
		t.Errorf("%d bytes are still repeated", len(p))
	}
	f = newFleet()
	f.lost = true
	f.crash(3)
	f.now += time.Minute
	f.second.Apply("first", f.first.Payload())
	expectStatus(t, f.second, "a minute later", suspicion.Blocked)
}

func TestMalformedAnnouncementsChangeNothing(t *testing.T) {
	f := newFleet()
	f.second.Apply("first", []byte{0xff, 0x01, 0x02})
	f.second.Apply("first", nil)
	// A verdict without a crash.
	f.second.Apply("first", []byte{0x1a, 0x00})
	if v := f.second.Verdicts(); len(v) != 0 {
		t.Errorf("verdicts %v", v)
	}
}

// An upstream crashes with hundreds of requests whose prompts have many parts. What the heartbeats
// repeat must leave room for the rest of a heartbeat in a datagram of 32 KB.
func TestRepeatedCrashesFitIntoAHeartbeat(t *testing.T) {
	f := newFleet()
	for i := range 300 {
		var many []suspicion.Part
		for j := range 64 {
			many = append(many, suspicion.Part(100*i+j))
		}
		f.first.RecordCrash(context.Background(), suspicion.Crash{Upstream: "an-upstream-with-a-long-name", StartedAt: int64(i)}, many, false)
	}
	if n := len(f.first.Payload()); n == 0 || n > 16<<10 {
		t.Errorf("%d bytes are repeated", n)
	}
}

// Each instance hears of an upstream that has ended, so that it need not find out by a connection
// of its own.
func TestCrashIsReportedAtEachInstance(t *testing.T) {
	f := newFleet()
	var heard []suspicion.Crash
	f.second.OnCrash = func(x suspicion.Crash) { heard = append(heard, x) }
	f.crash(1)
	if len(heard) != 1 || heard[0] != (suspicion.Crash{Upstream: "a", StartedAt: 1}) {
		t.Errorf("the second instance heard of %v", heard)
	}
}

// A request that crashes upstreams goes on coming for longer than its verdict is stored. Instances that start then
// must find the verdict; one that blocks nothing any more expires at each instance.
func TestVerdictIsStoredForAsLongAsItBlocks(t *testing.T) {
	f := newFleet()
	f.crash(3)
	expectStatus(t, f.first, "after the verdict", suspicion.Blocked)
	f.stored = nil
	for range 15 {
		f.now += time.Minute
		expectStatus(t, f.first, "while it comes", suspicion.Blocked)
		f.first.Maintain(t.Context())
	}
	if len(f.stored) != 15 {
		t.Errorf("stored %d times in 15 minutes, want each minute", len(f.stored))
	}
	f.now += 2 * time.Hour
	f.first.Maintain(t.Context())
	if len(f.stored) != 15 || len(f.first.Verdicts()) != 0 {
		t.Errorf("stored %d times, %d verdicts after two quiet hours", len(f.stored), len(f.first.Verdicts()))
	}
}
