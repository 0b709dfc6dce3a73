package bucket_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/bucket"
)

// BenchmarkReserve measures one reservation and its settlement while others are open.
func BenchmarkReserve(b *testing.B) {
	for _, open := range []int{0, 16, 128} {
		b.Run(fmt.Sprint("open-", open), func(b *testing.B) {
			now := time.Unix(1000, 0)
			x := bucket.New(1e9, 1e9, 1e9, now)
			for i := range open {
				x.Reserve(bucket.RequestID(fmt.Sprint("open-", i)), 1, now)
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				id := bucket.RequestID(fmt.Sprint(i))
				x.Reserve(id, 10, now)
				x.Settle(id, 5, now)
			}
		})
	}
}

// BenchmarkMemory measures the memory of idle buckets.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("buckets-", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var all []*bucket.Bucket
			for b.Loop() {
				all = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range n {
					all = append(all, bucket.New(1000, 8000, 8000, time.Unix(1000, 0)))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/bucket")
			runtime.KeepAlive(all)
		})
	}
}
