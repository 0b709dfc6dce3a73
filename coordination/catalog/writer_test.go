package catalog_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/standin"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// operation is an operator's action: increment the rate, or read it.
type operation struct {
	write bool
}

// observed is the result of an operation.
type observed struct {
	rate    int64
	unknown bool
	failed  bool
}

// counter is the model: a register that each accepted change increments.
var counter = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		n := state.(int64)
		in, out := input.(operation), output.(observed)
		switch {
		case out.failed:
			return true, n
		case in.write && out.unknown:
			return true, n + 1
		case in.write:
			return out.rate == n+1, n + 1
		default:
			return out.rate == n, n
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %v", input, output) },
}

// variants returns the possible histories: a change with an unknown outcome may or may not
// have been accepted.
func variants(history []porcupine.Operation) [][]porcupine.Operation {
	all := [][]porcupine.Operation{nil}
	for _, o := range history {
		var next [][]porcupine.Operation
		for _, v := range all {
			next = append(next, append(append([]porcupine.Operation(nil), v...), o))
			if o.Output.(observed).unknown {
				next = append(next, v)
			}
		}
		all = next
	}
	return all
}

func open(t *testing.T) (*standin.Platform, *provider.Table, *provider.Objects) {
	t.Helper()
	p := standin.NewPlatform()
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)
	a := s.Listener.Addr().String()
	return p, provider.NewTable(a, 200*time.Millisecond), provider.NewObjects(a, 200*time.Millisecond)
}

const plan = lists.PlanID("p")

func increment(w *catalog.Writer, rate *int64) (lists.Version, error) {
	return w.Commit(context.Background(), func(s *lists.State) ([]lists.Step, error) {
		*rate = int64(s.Plans[plan].Rate) + 1
		return []lists.Step{{Action: lists.PutPlan, Plan: plan, Rate: lists.TokensPerSecond(*rate), Burst: 1000}}, nil
	})
}

func TestConcurrentOperatorsWithLostAnswersAreLinearizable(t *testing.T) {
	p, table, objects := open(t)
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	start := time.Now()
	for client := range 6 {
		wait.Go(func() {
			w := catalog.NewWriter(table, objects)
			r := rand.New(rand.NewPCG(20261204, uint64(client)))
			for range 12 {
				if r.IntN(4) == 0 {
					p.SetTableFault(standin.Fault{DropAnswers: 1 + r.IntN(2)})
				}
				in := operation{write: r.IntN(3) > 0}
				var out observed
				call := time.Since(start)
				if in.write {
					_, err := increment(w, &out.rate)
					out.unknown = errors.Is(err, catalog.ErrOutcomeUnknown) || errors.Is(err, provider.ErrUnavailable)
					out.failed = err != nil && !out.unknown
				} else {
					s, _, err := w.Read(context.Background())
					out.failed = err != nil
					if err == nil {
						out.rate = int64(s.Plans[plan].Rate)
					}
				}
				back := time.Since(start)
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.Nanoseconds(), Return: back.Nanoseconds()})
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	unknown, writes := 0, 0
	for _, o := range history {
		if o.Input.(operation).write {
			writes++
		}
		if o.Output.(observed).unknown {
			unknown++
		}
	}
	t.Logf("%d operations, %d writes, %d with an unknown outcome", len(history), writes, unknown)
	const maxUnknown = 8
	if unknown > maxUnknown {
		t.Fatalf("%d outcomes are unknown, want at most %d", unknown, maxUnknown)
	}
	for _, v := range variants(history) {
		if porcupine.CheckOperations(counter, v) {
			return
		}
	}
	t.Error("the history of concurrent operators is not linearizable")
}

func TestLostAnswerOfAnAcceptedChangeIsResolved(t *testing.T) {
	p, table, objects := open(t)
	w := catalog.NewWriter(table, objects)
	var rate int64
	for range 5 {
		p.SetTableFault(standin.Fault{DropAnswers: 1})
		if _, err := increment(w, &rate); err != nil {
			t.Fatal(err)
		}
	}
	s, _, err := w.Read(context.Background())
	if err != nil || s.Version != 5 || s.Plans[plan].Rate != 5 {
		t.Errorf("after 5 changes with lost answers: version %d, rate %d, error %v", s.Version, s.Plans[plan].Rate, err)
	}
}

func TestNewInstanceStartsFromTheSnapshot(t *testing.T) {
	_, table, objects := open(t)
	w := catalog.NewWriter(table, objects)
	var rate int64
	for range 150 {
		if _, err := increment(w, &rate); err != nil {
			t.Fatal(err)
		}
	}
	row, err := table.Get(context.Background(), catalog.HeadRow)
	if err != nil {
		t.Fatal(err)
	}
	head, err := catalog.DecodeHead(row.Value)
	if err != nil || head.SnapshotVersion != 128 {
		t.Fatalf("head %+v, error %v, want snapshot version 128", head, err)
	}
	c := catalog.New(table, objects, timeline.New("test", 100, time.Now))
	if err := c.CatchUp(context.Background(), head); err != nil {
		t.Fatal(err)
	}
	if s := c.State(); s.Version != 150 || s.Plans[plan].Rate != 150 {
		t.Errorf("version %d, rate %d, want 150 and 150", s.Version, s.Plans[plan].Rate)
	}
}

func TestConflictErrorListsTheOtherChanges(t *testing.T) {
	_, table, objects := open(t)
	w := catalog.NewWriter(table, objects)
	var rate int64
	if _, err := increment(w, &rate); err != nil {
		t.Fatal(err)
	}
	steps, err := w.StepsSince(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	conflict := &catalog.ConflictError{Base: 0, Current: 1, Steps: steps}
	want := "the lists changed since they were read:\n  put-plan p rate-tokens-per-second=1 burst-tokens=1000"
	if conflict.Error() != want {
		t.Errorf("got %q, want %q", conflict.Error(), want)
	}
}
