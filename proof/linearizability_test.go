package proof_test

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// history records what concurrent callers saw, for a checker.
type history struct {
	mu    sync.Mutex
	start time.Time
	all   []porcupine.Operation
}

func newHistory() *history {
	return &history{start: time.Now()}
}

func (h *history) add(client int, input, output any, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, porcupine.Operation{
		ClientId: client, Input: input, Output: output,
		Call: began.Sub(h.start).Nanoseconds(), Return: time.Since(h.start).Nanoseconds(),
	})
}

// callStep is a sending of a call, or a count of its runs at the end.
type callStep struct {
	id    string
	count bool
}

// callSeen is what a sending brought: an answer, "not-run" or "unknown"; or
// the count.
type callSeen struct {
	run  string
	runs int
}

// onceModel says how a call that runs at most once may look: the state is
// how often it ran. An unknown outcome may or may not have run it.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		ran, in, out := state.(int), input.(callStep), output.(callSeen)
		switch {
		case in.count && out.runs == ran:
			return []any{ran}
		case in.count:
			return nil
		case out.run == "ok":
			return []any{1}
		case out.run == "not-run":
			return []any{ran}
		default:
			return []any{ran, 1}
		}
	},
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, o := range all {
			id := o.Input.(callStep).id
			byID[id] = append(byID[id], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byID {
			parts = append(parts, p)
		}
		return parts
	},
	Equal: func(a, b any) bool { return a == b },
}

func (h *history) checkCalls(t *testing.T) {
	t.Helper()
	if !porcupine.CheckOperations(onceModel.ToModel(), h.all) {
		t.Error("the history of calls shows one that ran twice, or one that ran and was said not to have run")
	}
}

func seen(a answer) callSeen {
	switch {
	case a.status == http.StatusOK:
		return callSeen{run: "ok"}
	case a.run() == "not-run":
		return callSeen{run: "not-run"}
	default:
		return callSeen{run: "unknown"}
	}
}

// keyModel says how a key may look: it counts until it is withdrawn and never
// again. The state is whether it was withdrawn.
var keyModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		withdrawn := state.(bool)
		if input.(string) == "withdraw" {
			return true, true
		}
		switch output.(string) {
		case "ok":
			return !withdrawn, withdrawn
		case "key-withdrawn":
			return withdrawn, withdrawn
		default:
			return true, withdrawn
		}
	},
}

// TestKeyIsNeverHonouredAfterItsWithdrawalIsInForce lets the operator's
// command withdraw a key while callers use it through three instances, one of
// which is frozen meanwhile.
func TestKeyIsNeverHonouredAfterItsWithdrawalIsInForce(t *testing.T) {
	w := newWorld(t, options{engines: 2, slots: 4, checks: true})
	for i := range 3 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.ready(w.nodes...)
	key := w.apply(ravens)["alpha"]
	eventually(t, "the adapter is loaded", func() bool { return w.chat(w.nodes[0], key, "raven", 2).status == http.StatusOK })
	h := newHistory()
	c, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range 9 {
		wait.Go(func() {
			for c.Err() == nil {
				began := time.Now()
				a := w.chat(w.nodes[i%3], key, "raven", 2)
				out := a.code()
				if a.status == http.StatusOK {
					out = "ok"
				}
				h.add(i, "request", out, began)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	w.nodes[0].signal(syscall.SIGSTOP)
	began := time.Now()
	out, err := exec.Command(binary, "key", "withdraw", "key-alpha", "--table", w.address).CombinedOutput()
	h.add(100, "withdraw", "", began)
	if err != nil {
		t.Errorf("key withdraw: %v\n%s", err, out)
	}
	inForce := time.Since(began)
	w.nodes[0].signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	stop()
	wait.Wait()
	counts := map[string]int{}
	for _, o := range h.all {
		if s, ok := o.Output.(string); ok {
			counts[s]++
		}
	}
	t.Logf("in force after %s with one instance frozen; %v", inForce.Round(time.Millisecond), counts)
	if !porcupine.CheckOperations(keyModel, h.all) {
		t.Error("a key was honoured after its withdrawal was in force")
	}
	if counts["ok"] == 0 || counts["key-withdrawn"] == 0 {
		t.Errorf("the history shows too little: %v", counts)
	}
}
