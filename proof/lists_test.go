package proof_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin"
	"gentiangauge.example/gentiangauge/state/lists"
)

var ravens = planSpec{"alpha", 100000, 100000, []string{"raven@1"}}

// threeInside starts three instances inside this process.
func threeInside(t *testing.T, o options) (*world, map[string]string) {
	w := newWorld(t, o)
	for i := range 3 {
		w.startInside(fmt.Sprintf("instance-%d", i+1))
	}
	w.ready(w.nodes...)
	return w, w.apply(ravens, planSpec{"beta", 100000, 100000, []string{"duck@1"}})
}

func TestWithdrawnKeyEndsRunningStreamsEverywhere(t *testing.T) {
	w, keys := threeInside(t, options{engines: 2, slots: 4, checks: true, tokenTime: 20 * time.Millisecond})
	answers := make(chan answer, len(w.nodes))
	for _, n := range w.nodes {
		go func() {
			answers <- w.send(n, http.MethodPost, chatPath, keys["alpha"], streamed("raven", 2000, "long"))
		}()
	}
	other := make(chan answer, 1)
	go func() {
		other <- w.send(w.nodes[0], http.MethodPost, chatPath, keys["beta"], streamed("duck", 100, "x"))
	}()
	eventually(t, "the streams run", func() bool { return len(w.runs()) == 4 })
	w.withdraw("key-alpha")
	for range w.nodes {
		a := <-answers
		if a.whole || !strings.Contains(a.body, "event: error") || !strings.Contains(a.body, "key-withdrawn") {
			t.Errorf("stream of the withdrawn key ended with %d whole=%t %.200s", a.status, a.whole, a.body)
		}
	}
	if a := <-other; !a.whole || !strings.Contains(a.body, "[DONE]") {
		t.Errorf("the other workspace's stream was cut: %v %.200s", a.err, a.body)
	}
	for _, n := range w.nodes {
		if a := w.chat(n, keys["alpha"], "raven", 2); a.status != http.StatusUnauthorized || a.code() != "key-withdrawn" {
			t.Errorf("%s answers the withdrawn key with %d %s", n.name, a.status, a.code())
		}
	}
}

func TestIsolatedInstanceStopsAndTheOthersServe(t *testing.T) {
	w, keys := threeInside(t, options{engines: 2, slots: 4, checks: true})
	alone := w.nodes[0]
	// The account is in use, and its standby has a confirmed floor.
	for _, n := range w.nodes {
		if a := w.chat(n, keys["beta"], "duck", 2); a.status != http.StatusOK {
			t.Fatal(a.body)
		}
	}
	w.isolate(alone, true)
	w.withdraw("key-alpha")
	end := time.Now().Add(2 * leaseTime)
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
	}
	if a := w.chat(alone, keys["alpha"], "raven", 2); a.code() != "lease-lapsed" || a.run() != "not-run" || a.header.Get("Retry-After") == "" {
		t.Errorf("the isolated instance answers %d %s", a.status, a.body)
	}
	for _, n := range w.nodes[1:] {
		if a := w.chat(n, keys["beta"], "duck", 2); a.status != http.StatusOK {
			t.Errorf("%s refuses the other workspace: %s", n.name, a.body)
		}
	}
	w.isolate(alone, false)
	eventually(t, "the instance serves again and knows the withdrawal", func() bool {
		return w.chat(alone, keys["alpha"], "raven", 2).code() == "key-withdrawn"
	})
}

func TestWholeTableOutageServesOnWithTheMajority(t *testing.T) {
	w, keys := threeInside(t, options{engines: 2, slots: 4, checks: true})
	w.platform.SetTableFault(standin.Fault{Down: true})
	end := time.Now().Add(4 * leaseTime)
	asked := 0
	for time.Now().Before(end) {
		for _, n := range w.nodes {
			asked++
			if a := w.chat(n, keys["alpha"], "raven", 2); a.status != http.StatusOK {
				t.Fatalf("%s refuses during the outage: %d %s", n.name, a.status, a.body)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if a := w.send(w.nodes[0], http.MethodPost, "/orders/book", keys["alpha"], "{}", "Idempotency-Key", "o1"); a.code() != "store-unavailable" || a.run() != "not-run" {
		t.Errorf("a booking during the outage got %d %s", a.status, a.body)
	}
	w.platform.SetTableFault(standin.Fault{})
	if a := w.send(w.nodes[1], http.MethodPost, "/orders/book", keys["alpha"], "{}", "Idempotency-Key", "o1"); a.status != http.StatusOK || w.service.RunCount("o1") != 1 {
		t.Errorf("the booking after the outage got %d %s, ran %d times", a.status, a.body, w.service.RunCount("o1"))
	}
	t.Logf("asked %d times in %s without the table, refused 0", asked, 4*leaseTime)
}

func TestFrozenInstanceNeverActsOnAWithdrawnKey(t *testing.T) {
	w := newWorld(t, options{engines: 2, slots: 4, checks: true})
	for i := range 3 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.ready(w.nodes...)
	keys := w.apply(ravens)
	frozen := w.nodes[0]
	if a := w.chat(frozen, keys["alpha"], "raven", 2); a.status != http.StatusOK {
		t.Fatalf("before the freeze: %s", a.body)
	}
	frozen.signal(syscall.SIGSTOP)
	answers := make(chan answer, 20)
	for range cap(answers) {
		go func() { answers <- w.chat(frozen, keys["alpha"], "raven", 2) }()
	}
	w.withdraw("key-alpha")
	time.Sleep(2 * leaseTime)
	before := len(w.runs())
	frozen.signal(syscall.SIGCONT)
	for range cap(answers) {
		if a := <-answers; a.status == http.StatusOK || a.run() != "not-run" {
			t.Errorf("a request that waited through the freeze got %d %s", a.status, a.body)
		}
	}
	if n := len(w.runs()); n != before {
		t.Errorf("%d requests of the withdrawn key ran after the freeze", n-before)
	}
}

func TestAllInstancesReplacedDuringAnOutage(t *testing.T) {
	w, keys := threeInside(t, options{engines: 2, slots: 4, checks: true})
	w.withdraw("key-beta")
	w.installed(2)
	w.platform.SetTableFault(standin.Fault{Down: true})
	old := append([]*node(nil), w.nodes...)
	for i, leaving := range old {
		next := w.startInside(fmt.Sprintf("replacement-%d", i+1))
		w.list(leaving, "leaving")
		leaving.stop()
		<-leaving.ended
		w.list(leaving, "gone")
		eventually(t, "the replacement serves", func() bool {
			s, ok := w.status(next)
			return ok && s.Serving && s.Seat != ""
		})
	}
	for _, n := range w.nodes[len(old):] {
		eventually(t, "the replacement runs a request", func() bool {
			return w.chat(n, keys["alpha"], "raven", 2).status == http.StatusOK
		})
		if a := w.chat(n, keys["beta"], "duck", 2); a.code() != "key-withdrawn" {
			t.Errorf("%s answers the withdrawn key with %d %s", n.name, a.status, a.body)
		}
	}
	w.platform.SetTableFault(standin.Fault{})
	eventually(t, "the roster in the table names the replacements", func() bool {
		s, ok := w.status(w.nodes[len(old)])
		return ok && s.Epoch > 4 && s.Members == len(old)
	})
}

func TestAcceptedVersionNeverRevertsAndReachesAll(t *testing.T) {
	w, _ := threeInside(t, options{engines: 1, slots: 4, checks: true})
	c, stop := context.WithCancel(context.Background())
	defer stop()
	reverted := make(chan string, 1)
	go func() {
		last := map[string]int64{}
		for c.Err() == nil {
			for _, n := range w.nodes[:3] {
				s, ok := w.status(n)
				if ok && s.Version < last[n.name] {
					reverted <- fmt.Sprintf("%s from %d to %d", n.name, last[n.name], s.Version)
					return
				}
				last[n.name] = max(last[n.name], s.Version)
			}
		}
		close(reverted)
	}()
	for i := range 100 {
		switch i % 10 {
		case 3:
			w.platform.SetTableFault(standin.Fault{DropAnswers: 1})
		case 6:
			w.isolate(w.nodes[i%3], true)
		case 8:
			w.isolate(w.nodes[(i-2)%3], false)
		}
		_, err := w.writer().Commit(c, func(*lists.State) ([]lists.Step, error) {
			return []lists.Step{{Action: lists.PutPlan, Plan: "plan-alpha", Rate: lists.TokensPerSecond(100 + i), Burst: 100000}}, nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	w.installed(101)
	stop()
	if s, ok := <-reverted; ok {
		t.Errorf("a version reverted: %s", s)
	}
	fresh := w.startInside("instance-4")
	eventually(t, "a new instance has the newest version", func() bool {
		s, ok := w.status(fresh)
		return ok && s.Version == 101
	})
}

// TestJoinsWithLostAnswersLeaveNoEmptySeat loses the answer of each
// instance's first write, and with it the table for a moment.
func TestJoinsWithLostAnswersLeaveNoEmptySeat(t *testing.T) {
	w := newWorld(t, options{engines: 1, slots: 4, checks: true})
	w.loseFirst = 600 * time.Millisecond
	for i := range 4 {
		w.startInside(fmt.Sprintf("instance-%d", i+1))
	}
	w.ready(w.nodes...)
}
