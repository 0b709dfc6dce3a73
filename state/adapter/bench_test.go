package adapter_test

import (
	"fmt"
	"runtime"
	"testing"

	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/lists"
)

func manyViews(n int) []adapter.View {
	views := make([]adapter.View, n)
	for i := range views {
		views[i] = adapter.View{ID: adapter.UpstreamID(fmt.Sprint("engine-", i)), Running: i % 7, FreeSlots: 2, Adapters: map[lists.Adapter]int{name(i % 40): 1}}
	}
	return views
}

// BenchmarkChoose measures the choice of an upstream for one request.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 120, 350, 2100} {
		b.Run(fmt.Sprint("upstreams-", n), func(b *testing.B) {
			views := manyViews(n)
			choose := adapter.ChooseAffinity(8)
			for b.Loop() {
				choose("a1@1", views)
			}
		})
	}
}

// BenchmarkUse measures the start and end of one use of a ready adapter.
func BenchmarkUse(b *testing.B) {
	s := adapter.NewSlots(16, 64, 1)
	s.Restore([]lists.Adapter{name(1)}, nil)
	for b.Loop() {
		s.Begin(adapter.Use{ID: "u", Adapter: name(1)}, start)
		s.End("u")
	}
}

// BenchmarkSlotsMemory measures the memory per upstream with sixteen adapters.
func BenchmarkSlotsMemory(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("upstreams-", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var all []*adapter.Slots
			for b.Loop() {
				all = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range n {
					s := adapter.NewSlots(16, 16, 1)
					for j := range 16 {
						s.Restore([]lists.Adapter{name(100*i + j)}, nil)
					}
					all = append(all, s)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/upstream")
			runtime.KeepAlive(all)
		})
	}
}
