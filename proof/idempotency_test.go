package proof_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin"
)

// book sends a booking to a route that requires an idempotency key. The service runs it,
// and counts its runs by that key.
func (w *harness) book(n *node, key, id, query string) response {
	return w.send(n, http.MethodPost, "/orders/book"+query, key, `{"towers":12}`, "Idempotency-Key", id)
}

// sendBookings retries each of count calls through changing instances until it is answered
// or its outcome is reported as unknown. It then checks that each call ran at most once and
// that no response contradicts the number of runs.
func (w *harness) sendBookings(t *testing.T, key string, count int, alive func() []*node) {
	t.Helper()
	var wait sync.WaitGroup
	var answered, unknown atomic.Int64
	h := newHistory()
	for i := range count {
		wait.Go(func() {
			id := fmt.Sprintf("call-%d", i)
			time.Sleep(time.Duration(i) * 15 * time.Millisecond)
			for attempt := range 40 {
				nodes := alive()
				began := time.Now()
				a := w.book(nodes[(i+attempt)%len(nodes)], key, id, "?delay-milliseconds=20")
				h.add(i, callInput{id: id}, outcomeOf(a), began)
				switch {
				case a.status == http.StatusOK:
					answered.Add(1)
					if w.service.RunCount(id) != 1 || !strings.Contains(a.body, `"run":1`) {
						t.Errorf("%s got the response %s, but ran %d times", id, a.body, w.service.RunCount(id))
					}
					return
				case a.code() == "outcome-unknown":
					unknown.Add(1)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			t.Errorf("%s got no final response in 40 attempts", id)
		})
	}
	wait.Wait()
	for i := range count {
		id := fmt.Sprintf("call-%d", i)
		n := w.service.RunCount(id)
		h.add(i, callInput{id: id, count: true}, callOutput{runs: n}, time.Now())
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	h.checkCalls(t)
	t.Logf("%d calls: %d answered, %d unknown", count, answered.Load(), unknown.Load())
	if answered.Load() == 0 {
		t.Error("no call was answered")
	}
}

// A write to the table takes effect, but its response is lost. The instance must not run
// the call again because it takes the write for failed.
func TestBookingRunsOnceWithLostTableResponses(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 1, slots: 4, checksFencing: true})
	c, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for i := 0; c.Err() == nil; i++ {
			w.platform.SetTableFault(standin.Fault{DropAnswers: 3, Down: i%8 == 7})
			time.Sleep(40 * time.Millisecond)
		}
	}()
	w.sendBookings(t, keys["alpha"], 60, func() []*node { return w.nodes })
}

// An instance is killed between sending a call to the service and recording its response.
// The retry through another instance must not run the call again.
func TestBookingRunsOnceWhenInstancesAreKilled(t *testing.T) {
	w := newHarness(t, options{engines: 1, slots: 4, checksFencing: true})
	for i := range 5 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.waitReady(w.nodes...)
	keys := w.applyPlans(alphaPlan)
	var killed atomic.Int64
	alive := func() []*node { return w.nodes[killed.Load():5] }
	go func() {
		for i := range 2 {
			time.Sleep(150 * time.Millisecond)
			w.nodes[i].signal(syscall.SIGKILL)
			time.Sleep(30 * time.Millisecond)
			killed.Add(1)
		}
	}()
	w.sendBookings(t, keys["alpha"], 60, alive)
}

// A call waits in a frozen instance while the caller sends it again through another one.
// The first instance must not run it after it continues.
func TestBookingRunsOnceWhenInstanceFreezes(t *testing.T) {
	w := newHarness(t, options{engines: 1, slots: 4, checksFencing: true})
	for i := range 3 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.waitReady(w.nodes...)
	keys := w.applyPlans(alphaPlan)
	frozen := w.nodes[0]
	frozen.freeze(t)
	go func() { _ = w.book(frozen, keys["alpha"], "frozen", "") }()
	time.Sleep(100 * time.Millisecond)
	if a := w.book(w.nodes[1], keys["alpha"], "frozen", ""); a.status != http.StatusOK {
		t.Errorf("the retried call got %d %s", a.status, a.body)
	}
	frozen.signal(syscall.SIGCONT)
	time.Sleep(2 * leaseTime)
	if n := w.service.RunCount("frozen"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

// The service runs a call, but its response is lost. The caller must learn that the outcome
// is unknown, also on a retry, and the call must not run again.
func TestLostServiceResponseIsReportedAsUnknown(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 1, slots: 4, checksFencing: true})
	first := w.book(w.nodes[0], keys["alpha"], "lost", "?lose=yes")
	if first.code() != "outcome-unknown" || first.run() != "unknown" {
		t.Errorf("got %d %s", first.status, first.body)
	}
	again := w.book(w.nodes[1], keys["alpha"], "lost", "?lose=yes")
	if again.code() != "outcome-unknown" || w.service.RunCount("lost") != 1 {
		t.Errorf("retry got %d %s, ran %d times", again.status, again.body, w.service.RunCount("lost"))
	}
}

// An idempotency key belongs to one call of one workspace: another call with it is refused,
// and other workspaces may use the same key.
func TestSameKeyForAnotherCallIsRefused(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 1, slots: 4, checksFencing: true})
	_ = w.book(w.nodes[0], keys["alpha"], "same", "")
	a := w.book(w.nodes[1], keys["alpha"], "same", "?other=1")
	if a.code() != "idempotency-key-conflict" || w.service.RunCount("same") != 1 {
		t.Errorf("got %d %s, ran %d times", a.status, a.body, w.service.RunCount("same"))
	}
	b := w.book(w.nodes[2], keys["beta"], "same", "")
	if b.status != http.StatusOK {
		t.Errorf("another workspace's call with the same key got %s", b.body)
	}
}

// Duplicates that arrive while the call runs wait for its response instead of being refused
// or run again.
func TestConcurrentDuplicatesShareOneRun(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 1, slots: 4, checksFencing: true})
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			a := w.book(w.nodes[i%3], keys["alpha"], "joined", "?delay-milliseconds=300")
			if a.status != http.StatusOK || !strings.Contains(a.body, `"run":1`) {
				t.Errorf("got %d %s", a.status, a.body)
			}
		})
	}
	wait.Wait()
	if n := w.service.RunCount("joined"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// A request that crashes every engine it reaches must not take the whole fleet down by its
// retries. It is blocked after two crashes, also on instances that join later, and the
// requests that ran on the crashed engines are retried.
func TestPoisonRequestIsBlockedAndOtherRequestsAreAnswered(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 4, slots: 4, checksFencing: true, stepTime: 10 * time.Millisecond})
	if a := w.sendChat(w.nodes[0], keys["alpha"], "raven", 2); a.status != http.StatusOK {
		t.Fatal(a.body)
	}
	responses := make(chan response, 12)
	for i := range cap(responses) {
		go func() {
			responses <- w.send(w.nodes[i%3], http.MethodPost, chatPath, keys["alpha"], chatBody("raven", 30, fmt.Sprintf("neighbour %d", i)))
		}()
	}
	time.Sleep(100 * time.Millisecond)
	poison := chatBody("raven", 30, standin.CrashMarker)
	for i := range 6 {
		a := w.send(w.nodes[i%3], http.MethodPost, chatPath, keys["alpha"], poison)
		if a.code() != "request-blocked" {
			t.Errorf("attempt %d got %d %s", i, a.status, a.body)
		}
	}
	for range cap(responses) {
		if a := <-responses; a.status != http.StatusOK {
			t.Errorf("another request got %d %s", a.status, a.body)
		}
	}
	if n := w.sumEngineStats("crashes"); n != 2 {
		t.Errorf("the request crashed %d engines, want 2", n)
	}
	fresh := w.startInProcess("instance-4")
	eventually(t, "a new instance knows the blocked request", func() bool {
		s, ok := w.status(fresh)
		return ok && s.Serving && s.Seat != ""
	})
	if a := w.send(fresh, http.MethodPost, chatPath, keys["alpha"], poison); a.code() != "request-blocked" {
		t.Errorf("the new instance answered %d %s", a.status, a.body)
	}
}

// TestNotRunIsNotReportedAfterAnAttemptThatMayHaveRun makes the engine that the request
// reaches first break off, and the others unreachable for the retry. The failure of the
// last attempt must not hide that the first one may have run.
func TestNotRunIsNotReportedAfterAnAttemptThatMayHaveRun(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 2, slots: 4, checksFencing: true, callerSettings: "queue-milliseconds = 2000"})
	if a := w.sendChat(w.nodes[0], keys["alpha"], "raven", 2); a.status != http.StatusOK {
		t.Fatal(a.body)
	}
	usedEngine := ""
	for name := range w.engines {
		if n, _ := w.engineStats(name)["requests"].(float64); n > 0 {
			usedEngine = name
		}
	}
	w.engines[usedEngine].SetFault(standin.Fault{Down: true})
	for name, s := range w.servers {
		if name != usedEngine {
			s.Close()
		}
	}
	if a := w.sendChat(w.nodes[0], keys["alpha"], "raven", 3); a.status == http.StatusOK || a.run() != "unknown" {
		t.Errorf("got %d %s", a.status, a.body)
	}
}

// An engine crashes in the middle of a stream. The caller must be able to tell that the
// response is truncated: it ends with an error event and without [DONE].
func TestTruncatedResponseIsNeverReportedComplete(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 1, slots: 4, checksFencing: true, stepTime: 10 * time.Millisecond})
	done := make(chan response, 1)
	go func() {
		done <- w.send(w.nodes[0], http.MethodPost, chatPath, keys["alpha"], streamedChatBody("raven", 500, "x"))
	}()
	eventually(t, "the stream runs", func() bool { return len(w.engineRuns()) == 1 })
	time.Sleep(100 * time.Millisecond)
	w.engines["engine-1"].Crash()
	if a := <-done; a.complete || strings.Contains(a.body, "[DONE]") || !strings.Contains(a.body, "event: error") {
		t.Errorf("got complete=%t %.300s", a.complete, a.body)
	}
}

// An engine answers for another model, or with the response of another request. Neither may
// reach the caller.
func TestResponseToAnotherRequestIsNeverForwarded(t *testing.T) {
	w, keys := newThreeInstances(t, options{engines: 1, slots: 4, checksFencing: true})
	if a := w.sendChat(w.nodes[0], keys["alpha"], "raven", 2); a.status != http.StatusOK {
		t.Fatal(a.body)
	}
	bodies := []string{chatBody("raven", 4, "x"), streamedChatBody("raven", 4, "x")}
	w.engines["engine-1"].SetFault(standin.Fault{WrongModel: true})
	for _, body := range bodies {
		a := w.send(w.nodes[0], http.MethodPost, chatPath, keys["alpha"], body)
		if a.code() != "upstream-mismatch" || a.run() != "ran" || strings.Contains(a.body, "model=") {
			t.Errorf("wrong model: got %d %s", a.status, a.body)
		}
	}
	// A response with the ID of the previous request is retried; the retry may get the
	// request's own response.
	w.engines["engine-1"].SetFault(standin.Fault{AnswerWithPreviousID: true})
	for _, body := range bodies {
		a := w.send(w.nodes[0], http.MethodPost, chatPath, keys["alpha"], body)
		matches := strings.Contains(a.body, "request="+a.header.Get("X-Request-Id")+" ")
		if !matches && a.code() != "upstream-mismatch" {
			t.Errorf("ID of the previous request: got %d %s", a.status, a.body)
		}
	}
}

// TestRollingReplacementFailsNoRequest replaces every instance under load. Callers keep
// using an address for its time to live, so that they still send to instances that are
// leaving.
func TestRollingReplacementFailsNoRequest(t *testing.T) {
	w := newHarness(t, options{engines: 3, slots: 4, checksFencing: true, stepTime: 2 * time.Millisecond})
	for i := range 3 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.waitReady(w.nodes...)
	keys := w.applyPlans(alphaPlan)
	c, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var sent, failed atomic.Int64
	for i := range 6 {
		wait.Go(func() { w.runCaller(c, t, keys["alpha"], i, &sent, &failed) })
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 3 {
		next := w.startProcess(fmt.Sprintf("replacement-%d", i+1))
		eventually(t, "the replacement serves", func() bool {
			s, ok := w.status(next)
			return ok && s.Serving && s.Seat != ""
		})
		old := w.nodes[i]
		w.setDirectoryState(old, "leaving")
		old.signal(syscall.SIGTERM)
		<-old.exited
		w.setDirectoryState(old, "gone")
	}
	stop()
	wait.Wait()
	t.Logf("%d requests sent, %d refused or truncated", sent.Load(), failed.Load())
	if failed.Load() != 0 || sent.Load() < 100 {
		t.Errorf("%d of %d requests were refused or truncated, want 0 of at least 100", failed.Load(), sent.Load())
	}
}

// runCaller sends one request after the other until c ends. It requests an address from
// the fleet and uses it for its time to live (1 s in settingsTemplate).
func (w *harness) runCaller(c context.Context, t *testing.T, key string, i int, sent, failed *atomic.Int64) {
	address, until := w.nodes[i%3].address, time.Now().Add(time.Second)
	for c.Err() == nil {
		n := &node{address: address}
		if time.Now().After(until) {
			if a := w.send(n, http.MethodGet, "/v1/instances", key, ""); a.status == http.StatusOK {
				_, rest, _ := strings.Cut(a.body, `"address":"`)
				address, _, _ = strings.Cut(rest, `"`)
				until = time.Now().Add(time.Second)
				n = &node{address: address}
			}
		}
		body := chatBody("raven", 20, "x")
		if i%2 == 0 {
			body = streamedChatBody("raven", 20, "x")
		}
		a := w.send(n, http.MethodPost, chatPath, key, body)
		sent.Add(1)
		if a.status != http.StatusOK || !a.complete {
			failed.Add(1)
			t.Logf("caller %d at %s: %d %v %s", i, address, a.status, a.err, a.body)
		}
	}
}
