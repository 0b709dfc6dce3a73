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

func (w *world) book(n *node, key, id, query string) answer {
	return w.send(n, http.MethodPost, "/orders/book"+query, key, `{"towers":12}`, "Idempotency-Key", id)
}

// bookings sends each call again and again through changing instances until
// it is answered or its outcome is said to be unknown, and then checks that
// it ran at most once and that every statement about it was true.
func (w *world) bookings(t *testing.T, key string, count int, alive func() []*node) {
	t.Helper()
	var wait sync.WaitGroup
	var answered, unknown atomic.Int64
	h := newHistory()
	for i := range count {
		wait.Go(func() {
			id := fmt.Sprintf("call-%d", i)
			time.Sleep(time.Duration(i) * 15 * time.Millisecond)
			for try := range 40 {
				nodes := alive()
				began := time.Now()
				a := w.book(nodes[(i+try)%len(nodes)], key, id, "?delay-milliseconds=20")
				h.add(i, callStep{id: id}, seen(a), began)
				switch {
				case a.status == http.StatusOK:
					answered.Add(1)
					if w.service.RunCount(id) != 1 || !strings.Contains(a.body, `"run":1`) {
						t.Errorf("%s answered %s, ran %d times", id, a.body, w.service.RunCount(id))
					}
					return
				case a.code() == "outcome-unknown":
					unknown.Add(1)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			t.Errorf("%s got no final answer", id)
		})
	}
	wait.Wait()
	for i := range count {
		id := fmt.Sprintf("call-%d", i)
		n := w.service.RunCount(id)
		h.add(i, callStep{id: id, count: true}, callSeen{runs: n}, time.Now())
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

func TestBookingRunsOnceWithLostTableAnswers(t *testing.T) {
	w, keys := threeInside(t, options{engines: 1, slots: 4, checks: true})
	c, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for i := 0; c.Err() == nil; i++ {
			w.platform.SetTableFault(standin.Fault{DropAnswers: 3, Down: i%8 == 7})
			time.Sleep(40 * time.Millisecond)
		}
	}()
	w.bookings(t, keys["alpha"], 60, func() []*node { return w.nodes })
}

func TestBookingRunsOnceWhenInstancesDie(t *testing.T) {
	w := newWorld(t, options{engines: 1, slots: 4, checks: true})
	for i := range 5 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.ready(w.nodes...)
	keys := w.apply(ravens)
	var dead atomic.Int64
	alive := func() []*node { return w.nodes[dead.Load():5] }
	go func() {
		for i := range 2 {
			time.Sleep(150 * time.Millisecond)
			w.nodes[i].signal(syscall.SIGKILL)
			time.Sleep(30 * time.Millisecond)
			dead.Add(1)
		}
	}()
	w.bookings(t, keys["alpha"], 60, alive)
}

func TestBookingRunsOnceThroughAFreeze(t *testing.T) {
	w := newWorld(t, options{engines: 1, slots: 4, checks: true})
	for i := range 3 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.ready(w.nodes...)
	keys := w.apply(ravens)
	frozen := w.nodes[0]
	frozen.signal(syscall.SIGSTOP)
	go func() { _ = w.book(frozen, keys["alpha"], "frozen", "") }()
	time.Sleep(100 * time.Millisecond)
	if a := w.book(w.nodes[1], keys["alpha"], "frozen", ""); a.status != http.StatusOK {
		t.Errorf("the resent call got %d %s", a.status, a.body)
	}
	frozen.signal(syscall.SIGCONT)
	time.Sleep(2 * leaseTime)
	if n := w.service.RunCount("frozen"); n != 1 {
		t.Errorf("the call ran %d times", n)
	}
}

func TestLostServiceAnswerIsSaidToBeUnknown(t *testing.T) {
	w, keys := threeInside(t, options{engines: 1, slots: 4, checks: true})
	first := w.book(w.nodes[0], keys["alpha"], "lost", "?lose=yes")
	if first.code() != "outcome-unknown" || first.run() != "unknown" {
		t.Errorf("got %d %s", first.status, first.body)
	}
	again := w.book(w.nodes[1], keys["alpha"], "lost", "?lose=yes")
	if again.code() != "outcome-unknown" || w.service.RunCount("lost") != 1 {
		t.Errorf("sent again: %d %s, ran %d times", again.status, again.body, w.service.RunCount("lost"))
	}
}

func TestSameKeyForAnotherCallIsRefused(t *testing.T) {
	w, keys := threeInside(t, options{engines: 1, slots: 4, checks: true})
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

func TestConcurrentDuplicatesJoin(t *testing.T) {
	w, keys := threeInside(t, options{engines: 1, slots: 4, checks: true})
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

func TestRequestThatCrashesEnginesIsRefusedAndNeighboursAreAnswered(t *testing.T) {
	w, keys := threeInside(t, options{engines: 4, slots: 4, checks: true, tokenTime: 10 * time.Millisecond})
	if a := w.chat(w.nodes[0], keys["alpha"], "raven", 2); a.status != http.StatusOK {
		t.Fatal(a.body)
	}
	answers := make(chan answer, 12)
	for i := range cap(answers) {
		go func() {
			answers <- w.send(w.nodes[i%3], http.MethodPost, chatPath, keys["alpha"], chat("raven", 30, fmt.Sprintf("neighbour %d", i)))
		}()
	}
	time.Sleep(100 * time.Millisecond)
	poison := chat("raven", 30, standin.CrashMarker)
	for i := range 6 {
		a := w.send(w.nodes[i%3], http.MethodPost, chatPath, keys["alpha"], poison)
		if a.code() != "request-blocked" {
			t.Errorf("sending %d got %d %s", i, a.status, a.body)
		}
	}
	for range cap(answers) {
		if a := <-answers; a.status != http.StatusOK {
			t.Errorf("a neighbour got %d %s", a.status, a.body)
		}
	}
	if n := w.engineSum("crashes"); n != 2 {
		t.Errorf("the request crashed %d engines, want 2", n)
	}
	fresh := w.startInside("instance-4")
	eventually(t, "a new instance knows the blocked request", func() bool {
		s, ok := w.status(fresh)
		return ok && s.Serving && s.Seat != ""
	})
	if a := w.send(fresh, http.MethodPost, chatPath, keys["alpha"], poison); a.code() != "request-blocked" {
		t.Errorf("a new instance answers %d %s", a.status, a.body)
	}
}

// TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun lets the first engine break
// off and the others be out of reach.
func TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun(t *testing.T) {
	w, keys := threeInside(t, options{engines: 2, slots: 4, checks: true, extra: "queue-milliseconds = 2000"})
	if a := w.chat(w.nodes[0], keys["alpha"], "raven", 2); a.status != http.StatusOK {
		t.Fatal(a.body)
	}
	ran := ""
	for name := range w.engines {
		if n, _ := w.engineStats(name)["requests"].(float64); n > 0 {
			ran = name
		}
	}
	w.engines[ran].SetFault(standin.Fault{Down: true})
	for name, s := range w.servers {
		if name != ran {
			s.Close()
		}
	}
	if a := w.chat(w.nodes[0], keys["alpha"], "raven", 3); a.status == http.StatusOK || a.run() != "unknown" {
		t.Errorf("got %d %s", a.status, a.body)
	}
}

func TestCutAnswerIsNeverPassedOffAsWhole(t *testing.T) {
	w, keys := threeInside(t, options{engines: 1, slots: 4, checks: true, tokenTime: 10 * time.Millisecond})
	done := make(chan answer, 1)
	go func() {
		done <- w.send(w.nodes[0], http.MethodPost, chatPath, keys["alpha"], streamed("raven", 500, "x"))
	}()
	eventually(t, "the stream runs", func() bool { return len(w.runs()) == 1 })
	time.Sleep(100 * time.Millisecond)
	w.engines["engine-1"].Crash()
	if a := <-done; a.whole || strings.Contains(a.body, "[DONE]") || !strings.Contains(a.body, "event: error") {
		t.Errorf("got whole=%t %.300s", a.whole, a.body)
	}
}

func TestAnswerToAnotherRequestIsNeverPassedOn(t *testing.T) {
	w, keys := threeInside(t, options{engines: 1, slots: 4, checks: true})
	if a := w.chat(w.nodes[0], keys["alpha"], "raven", 2); a.status != http.StatusOK {
		t.Fatal(a.body)
	}
	bodies := []string{chat("raven", 4, "x"), streamed("raven", 4, "x")}
	w.engines["engine-1"].SetFault(standin.Fault{WrongModel: true})
	for _, body := range bodies {
		a := w.send(w.nodes[0], http.MethodPost, chatPath, keys["alpha"], body)
		if a.code() != "upstream-mismatch" || a.run() != "ran" || strings.Contains(a.body, "model=") {
			t.Errorf("wrong model: got %d %s", a.status, a.body)
		}
	}
	// A crossed answer is tried again, and then is the request's own.
	w.engines["engine-1"].SetFault(standin.Fault{AnswerWithPreviousID: true})
	for _, body := range bodies {
		a := w.send(w.nodes[0], http.MethodPost, chatPath, keys["alpha"], body)
		own := strings.Contains(a.body, "request="+a.header.Get("X-Request-Id")+" ")
		if !own && a.code() != "upstream-mismatch" {
			t.Errorf("crossed: got %d %s", a.status, a.body)
		}
	}
}

// TestRollingReplacementCutsNoRequest replaces every instance under load with
// callers that keep an old address for the stated time to live.
func TestRollingReplacementCutsNoRequest(t *testing.T) {
	w := newWorld(t, options{engines: 3, slots: 4, checks: true, tokenTime: 2 * time.Millisecond})
	for i := range 3 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.ready(w.nodes...)
	keys := w.apply(ravens)
	c, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var sent, cut atomic.Int64
	for i := range 6 {
		wait.Go(func() { w.caller(c, t, keys["alpha"], i, &sent, &cut) })
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 3 {
		next := w.startProcess(fmt.Sprintf("replacement-%d", i+1))
		eventually(t, "the replacement serves", func() bool {
			s, ok := w.status(next)
			return ok && s.Serving && s.Seat != ""
		})
		old := w.nodes[i]
		w.list(old, "leaving")
		old.signal(syscall.SIGTERM)
		<-old.ended
		w.list(old, "gone")
	}
	stop()
	wait.Wait()
	t.Logf("%d requests sent, %d cut or refused", sent.Load(), cut.Load())
	if cut.Load() != 0 || sent.Load() < 100 {
		t.Errorf("%d of %d requests were cut or refused", cut.Load(), sent.Load())
	}
}

// caller asks for an address, keeps the answer for its time to live, and
// sends one request after the other.
func (w *world) caller(c context.Context, t *testing.T, key string, i int, sent, cut *atomic.Int64) {
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
		body := chat("raven", 20, "x")
		if i%2 == 0 {
			body = streamed("raven", 20, "x")
		}
		a := w.send(n, http.MethodPost, chatPath, key, body)
		sent.Add(1)
		if a.status != http.StatusOK || !a.whole {
			cut.Add(1)
			t.Logf("caller %d at %s: %d %v %s", i, address, a.status, a.err, a.body)
		}
	}
}
