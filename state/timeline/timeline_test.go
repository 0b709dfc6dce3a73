package timeline_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/timeline"
)

func TestStampsFollowObservedStamp(t *testing.T) {
	slow := timeline.New("slow", 10, func() time.Time { return time.UnixMicro(100) })
	slow.Observe(timeline.Stamp{Wall: 5000, Logical: 3})
	a := slow.Tick()
	b := slow.Tick()
	if !(timeline.Stamp{Wall: 5000, Logical: 3}).Before(a) || !a.Before(b) {
		t.Errorf("stamps %v and %v are not in order after the observed stamp", a, b)
	}
}

func ExampleRecorder_Since() {
	r := timeline.New("one", 2, time.Now)
	for i := range 5 {
		r.Record(timeline.Event{Kind: timeline.Admitted, Detail: fmt.Sprint(i)})
	}
	events, next, lost := r.Since(1)
	fmt.Println(events[0].Detail, events[1].Detail, next, lost)
	// Output: 3 4 5 2
}

func BenchmarkRecord(b *testing.B) {
	r := timeline.New("one", 65536, time.Now)
	e := timeline.Event{Part: timeline.Caller, Kind: timeline.Admitted, Request: "2afd011d47fddecf-2", Workspace: "gravur-vorschau", Detail: "65 tokens"}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(e)
	}
}

// BenchmarkMemory measures the memory per event of a full log.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprint("events-", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var r *timeline.Recorder
			for b.Loop() {
				r = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				r = timeline.New("one", n, time.Now)
				for i := range n {
					r.Record(timeline.Event{Request: fmt.Sprintf("2afd011d47fddecf-%d", i), Workspace: "gravur-vorschau", Detail: fmt.Sprint(i, " tokens")})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/event")
			runtime.KeepAlive(r)
		})
	}
}
