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

// history records the operations of concurrent callers for porcupine, a checker of
// linearizability.
type history struct {
	mu    sync.Mutex
	start time.Time
	all   []porcupine.Operation
}

func newHistory() *history {
	return &history{start: time.Now()}
}

// add records an operation that began at the given time and ends now.
func (h *history) add(client int, input, output any, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, porcupine.Operation{
		ClientId: client, Input: input, Output: output,
		Call: began.Sub(h.start).Nanoseconds(), Return: time.Since(h.start).Nanoseconds(),
	})
}

// callInput is one attempt of a call, or, if count is set, the count of its runs at the end.
type callInput struct {
	id    string
	count bool
}

// callOutput is the outcome of an attempt, "ok", "not-run" or "unknown", or the count of
// runs.
type callOutput struct {
	run  string
	runs int
}

// atMostOnceModel is the specification of a call that runs at most once. The state is the
// number of its runs. An attempt with an unknown outcome may or may not have run it.
var atMostOnceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		ran, in, out := state.(int), input.(callInput), output.(callOutput)
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
			id := o.Input.(callInput).id
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

// checkCalls checks the history against atMostOnceModel.
func (h *history) checkCalls(t *testing.T) {
	t.Helper()
	if !porcupine.CheckOperations(atMostOnceModel.ToModel(), h.all) {
		t.Error("the history is not linearizable: a call ran twice, or ran and was reported as not run")
	}
}

// outcomeOf returns the outcome that a response reports. Anything that does not say
// "not-run" counts as unknown.
func outcomeOf(a response) callOutput {
	switch {
	case a.status == http.StatusOK:
		return callOutput{run: "ok"}
	case a.run() == "not-run":
		return callOutput{run: "not-run"}
	default:
		return callOutput{run: "unknown"}
	}
}

// revoker is the client of the operator's command in a history of a key. The other clients
// each use one instance, given by instanceOf.
const revoker = 100

func instanceOf(client int) int { return client % 3 }

// keyRevocationModel is the specification of a key: each instance accepts it until it is
// revoked and never afterwards. The state is whether it is revoked. Other refusals are always
// allowed. Instances apply the revocation one after the other while the command runs, so
// that each one's history is checked with the command, and not all of them together.
var keyRevocationModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		out := make([][]porcupine.Operation, 3)
		for _, o := range all {
			for i := range out {
				if o.ClientId == revoker || instanceOf(o.ClientId) == i {
					out[i] = append(out[i], o)
				}
			}
		}
		return out
	},
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		revoked := state.(bool)
		if input.(string) == "withdraw" {
			return true, true
		}
		switch output.(string) {
		case "ok":
			return !revoked, revoked
		case "key-withdrawn":
			return revoked, revoked
		default:
			return true, revoked
		}
	},
}

// A key may be accepted by one instance after another one has refused it, but only until the
// command has returned, and never again by the one that has refused it.
func TestKeyRevocationModel(t *testing.T) {
	op := func(client int, output string, call, end int64) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: "request", Output: output, Call: call, Return: end}
	}
	command := porcupine.Operation{ClientId: revoker, Input: "withdraw", Output: "", Call: 10, Return: 20}
	for name, x := range map[string]struct {
		history []porcupine.Operation
		allowed bool
	}{
		"while it spreads":               {[]porcupine.Operation{command, op(1, "key-withdrawn", 11, 12), op(2, "ok", 13, 14), op(2, "key-withdrawn", 21, 22)}, true},
		"after the command":              {[]porcupine.Operation{command, op(1, "key-withdrawn", 11, 12), op(2, "ok", 21, 22)}, false},
		"again at the same instance":     {[]porcupine.Operation{command, op(1, "key-withdrawn", 11, 12), op(4, "ok", 13, 14)}, false},
		"refused before the command":     {[]porcupine.Operation{command, op(1, "key-withdrawn", 1, 2)}, false},
		"began before the command ended": {[]porcupine.Operation{command, op(1, "ok", 19, 30)}, true},
	} {
		if got := porcupine.CheckOperations(keyRevocationModel, x.history); got != x.allowed {
			t.Errorf("%s: allowed %v, want %v", name, got, x.allowed)
		}
	}
}

// TestKeyIsNeverHonouredAfterItsWithdrawalIsInForce runs the operator's command that
// revokes a key while callers use it through three instances, one of which is frozen. Once
// the command returns, no instance may accept the key, and also the frozen one must not
// when it continues.
func TestKeyIsNeverHonouredAfterItsWithdrawalIsInForce(t *testing.T) {
	w := newHarness(t, options{engines: 2, slots: 4, checksFencing: true})
	for i := range 3 {
		w.startProcess(fmt.Sprintf("instance-%d", i+1))
	}
	w.waitReady(w.nodes...)
	key := w.applyPlans(alphaPlan)["alpha"]
	eventually(t, "the adapter is loaded", func() bool { return w.sendChat(w.nodes[0], key, "raven", 2).status == http.StatusOK })
	h := newHistory()
	c, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range 9 {
		wait.Go(func() {
			for c.Err() == nil {
				began := time.Now()
				a := w.sendChat(w.nodes[instanceOf(i)], key, "raven", 2)
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
	out, err := exec.Command(binary, "key", "withdraw", "key-alpha", "--table", w.platformAddress).CombinedOutput()
	h.add(revoker, "withdraw", "", began)
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
	if !porcupine.CheckOperations(keyRevocationModel, h.all) {
		t.Error("a key was honoured after its revocation was in force")
	}
	if counts["ok"] == 0 || counts["key-withdrawn"] == 0 {
		t.Errorf("want responses both before and after the revocation, got %v", counts)
	}
}
