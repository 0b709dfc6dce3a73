package lists_test

import (
	"fmt"
	"runtime"
	"testing"

	"gentiangauge.example/gentiangauge/state/lists"
)

const benchPlans = 100

// newLargeState spreads adapters evenly over benchPlans plans, each with one workspace.
func newLargeState(adapters int) *lists.State {
	s := lists.Empty()
	for i := range benchPlans {
		id := lists.PlanID(fmt.Sprint("plan-", i))
		s.Plans[id] = lists.Plan{ID: id, Rate: 100, Burst: 1000, Adapters: map[string][]string{}}
		s.Workspaces[lists.WorkspaceID(fmt.Sprint("workspace-", i))] = id
	}
	for i := range adapters {
		s.Plans[lists.PlanID(fmt.Sprint("plan-", i%benchPlans))].Adapters[fmt.Sprintf("adapter-%06d", i)] = []string{"1"}
	}
	return s
}

var adapterCounts = []int{3000, 30000, 140000}

func BenchmarkMemory(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint("adapters-", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var s *lists.State
			for b.Loop() {
				s = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				s = newLargeState(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/adapter")
			runtime.KeepAlive(s)
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint("adapters-", n), func(b *testing.B) {
			s := newLargeState(n)
			c := lists.Change{Version: 1, Steps: []lists.Step{{Action: lists.AllowAdapter, Plan: "plan-1", Adapter: "adapter-new@1"}}}
			for b.Loop() {
				if _, err := s.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(lists.EncodeChange(c))), "bytes/change")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint("adapters-", n), func(b *testing.B) {
			data := lists.EncodeState(newLargeState(n))
			for b.Loop() {
				if _, err := lists.DecodeState(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/float64(n), "bytes/adapter")
		})
	}
}
