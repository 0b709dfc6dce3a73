package proof_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin"
	"gentiangauge.example/gentiangauge/state/lists"
)

// alphaPlan is a plan with a rate that no test reaches.
var alphaPlan = planSpec{"alpha", 100000, 100000, []string{"raven@1"}}

// newThreeInstances starts three instances in the test process and returns the keys of the
// workspaces alpha and beta, which may use the adapters raven and duck.
func newThreeInstances(t *testing.T, o options) (*harness, map[string]string) {
	w := newHarness(t, o)
	for i := range 3 {
		w.startInProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.waitReady(w.nodes...)
	return w, w.applyPlans(alphaPlan, planSpec{"beta", 100000, 100000, []string{"duck@1"}})
}

// Instances check the key when a request begins. A revocation must also end the streams
// that are already running, on every instance, and leave those of other workspaces alone.
func TestWithdrawnKeyEndsRunningStreamsEverywhere(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 2, slots: 4, checksFencing: true, stepTime: 20 * time.Millisecond})
	// begun counts the streams whose first part has reached its caller. One that is ended
	// before gets a whole answer, which says that the key was withdrawn.
	var begun atomic.Int64
	c, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c = httptrace.WithClientTrace(c, &httptrace.ClientTrace{GotFirstResponseByte: func() { begun.Add(1) }})
	responses := make(chan response, len(w.nodes))
	for _, n := range w.nodes {
		go func() {
			responses <- w.sendWith(c, n, http.MethodPost, chatPath, keys["alpha"], streamedChatBody("raven", 2000, "long"))
		}()
	}
	other := make(chan response, 1)
	go func() {
		other <- w.sendWith(c, w.nodes[0], http.MethodPost, chatPath, keys["beta"], streamedChatBody("duck", 100, "x"))
	}()
	eventually(t, "the streams run", func() bool { return len(w.engineRuns()) == 4 && begun.Load() == 4 })
	w.revokeKey("key-alpha")
	for range w.nodes {
		a := <-responses
		if a.complete || !strings.Contains(a.body, "event: error") || !strings.Contains(a.body, "key-withdrawn") {
			t.Errorf("stream of the revoked key ended with %d complete=%t %.200s", a.status, a.complete, a.body)
		}
	}
	if a := <-other; !a.complete || !strings.Contains(a.body, "[DONE]") {
		t.Errorf("the other workspace's stream was truncated: %v %.200s", a.err, a.body)
	}
	for _, n := range w.nodes {
		if a := w.sendChat(n, keys["alpha"], "raven", 2); a.status != http.StatusUnauthorized || a.code() != "key-withdrawn" {
			t.Errorf("%s answered the revoked key with %d %s", n.name, a.status, a.code())
		}
	}
}

// An instance that reaches neither the table nor its peers cannot learn of a revoked key. It
// must refuse requests once its lease has expired, while the others keep serving.
func TestIsolatedInstanceStopsServingAndOthersContinue(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 2, slots: 4, checksFencing: true})
	isolated := w.nodes[0]
	// Use the account of beta first, so that its standby has a confirmed floor when the
	// owner may become unreachable.
	for _, n := range w.nodes {
		if a := w.sendChat(n, keys["beta"], "duck", 2); a.status != http.StatusOK {
			t.Fatal(a.body)
		}
	}
	w.isolate(isolated, true)
	w.revokeKey("key-alpha")
	end := time.Now().Add(2 * leaseTime)
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
	}
	if a := w.sendChat(isolated, keys["alpha"], "raven", 2); a.code() != "lease-lapsed" || a.run() != "not-run" || a.header.Get("Retry-After") == "" {
		t.Errorf("the isolated instance answered %d %s", a.status, a.body)
	}
	for _, n := range w.nodes[1:] {
		if a := w.sendChat(n, keys["beta"], "duck", 2); a.status != http.StatusOK {
			t.Errorf("%s refused the other workspace: %s", n.name, a.body)
		}
	}
	w.isolate(isolated, false)
	eventually(t, "the instance serves again and refuses the revoked key", func() bool {
		return w.sendChat(isolated, keys["alpha"], "raven", 2).code() == "key-withdrawn"
	})
}

// While the table is unavailable, the instances keep their leases by the confirmations of a
// majority and keep answering model requests. Calls that need a write are refused as not run.
func TestMajorityKeepsServingDuringTableOutage(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 2, slots: 4, checksFencing: true})
	w.platform.SetTableFault(standin.Fault{Down: true})
	end := time.Now().Add(4 * leaseTime)
	sent := 0
	for time.Now().Before(end) {
		for _, n := range w.nodes {
			sent++
			if a := w.sendChat(n, keys["alpha"], "raven", 2); a.status != http.StatusOK {
				t.Fatalf("%s refused a request during the outage: %d %s", n.name, a.status, a.body)
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
	t.Logf("%d requests sent in %s without the table, 0 refused", sent, 4*leaseTime)
}

// Requests wait in an instance that is frozen while their key is revoked. After it continues
// the instance must not run them with its stale lists.
func TestFrozenInstanceNeverHonoursARevokedKey(t *testing.T) {
	w := newHarness(t, options{engines: 2, slots: 4, checksFencing: true})
	for i := range 3 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.waitReady(w.nodes...)
	keys := w.applyPlans(alphaPlan)
	frozen := w.nodes[0]
	if a := w.sendChat(frozen, keys["alpha"], "raven", 2); a.status != http.StatusOK {
		t.Fatalf("before the freeze: %s", a.body)
	}
	frozen.signal(syscall.SIGSTOP)
	responses := make(chan response, 20)
	for range cap(responses) {
		go func() { responses <- w.sendChat(frozen, keys["alpha"], "raven", 2) }()
	}
	w.revokeKey("key-alpha")
	time.Sleep(2 * leaseTime)
	before := len(w.engineRuns())
	frozen.signal(syscall.SIGCONT)
	for range cap(responses) {
		if a := <-responses; a.status == http.StatusOK || a.run() != "not-run" {
			t.Errorf("a request that waited during the freeze got %d %s", a.status, a.body)
		}
	}
	if n := len(w.engineRuns()); n != before {
		t.Errorf("%d requests with the revoked key ran after the freeze", n-before)
	}
}

// All instances are replaced while the table is unavailable. The replacements must join by
// their peers and take over the lists, with the revoked key.
func TestAllInstancesReplacedDuringAnOutage(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 2, slots: 4, checksFencing: true})
	w.revokeKey("key-beta")
	w.waitInstalled(2)
	w.platform.SetTableFault(standin.Fault{Down: true})
	old := append([]*node(nil), w.nodes...)
	for i, leaving := range old {
		next := w.startInProcess(fmt.Sprintf("replacement-%d", i+1))
		w.setDirectoryState(leaving, "leaving")
		leaving.cancel()
		<-leaving.exited
		w.setDirectoryState(leaving, "gone")
		eventually(t, "the replacement serves", func() bool {
			s, ok := w.status(next)
			return ok && s.Serving && s.Seat != ""
		})
	}
	for _, n := range w.nodes[len(old):] {
		eventually(t, "the replacement runs a request", func() bool {
			return w.sendChat(n, keys["alpha"], "raven", 2).status == http.StatusOK
		})
		if a := w.sendChat(n, keys["beta"], "duck", 2); a.code() != "key-withdrawn" {
			t.Errorf("%s answered the revoked key with %d %s", n.name, a.status, a.body)
		}
	}
	w.platform.SetTableFault(standin.Fault{})
	eventually(t, "the roster in the table names the replacements", func() bool {
		s, ok := w.status(w.nodes[len(old)])
		return ok && s.Epoch > 4 && s.Members == len(old)
	})
}

// Lost responses of the table and isolated instances must neither make an instance go back
// to an older version nor keep it from the newest one.
func TestAcceptedVersionNeverRevertsAndReachesAll(t *testing.T) {
	w, _ := newThreeInstances(t, options{engines: 1, slots: 4, checksFencing: true})
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
	w.waitInstalled(101)
	stop()
	if s, ok := <-reverted; ok {
		t.Errorf("a version reverted: %s", s)
	}
	fresh := w.startInProcess("instance-4")
	eventually(t, "a new instance has the newest version", func() bool {
		s, ok := w.status(fresh)
		return ok && s.Version == 101
	})
}

// TestJoinsWithLostTableResponsesLeaveNoEmptySeat drops the response to the first write of
// each instance and keeps the table unreachable for a moment. An instance that joins again
// must not leave the seat of its first write in the roster, which no instance would hold.
func TestJoinsWithLostTableResponsesLeaveNoEmptySeat(t *testing.T) {
	w := newHarness(t, options{engines: 1, slots: 4, checksFencing: true})
	w.loseFirstWrite = 600 * time.Millisecond
	for i := range 4 {
		w.startInProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.waitReady(w.nodes...)
}
