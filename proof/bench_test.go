package proof_test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ticksPerSecond is the unit of the processor times in /proc: USER_HZ, 100 on Linux.
const ticksPerSecond = 100

// cpuTime returns the user and system time that a process has used.
func cpuTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Skip("no processor times in /proc")
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')'):]))
	user, _ := strconv.Atoi(fields[12])
	system, _ := strconv.Atoi(fields[13])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// BenchmarkOverhead sends the same requests directly to an engine and through an instance,
// in alternating batches. It reports the ratio and the difference of their latencies and
// the processor time of the instance for each request.
func BenchmarkOverhead(b *testing.B) {
	for _, kind := range []string{"plain", "streamed"} {
		b.Run(kind, func(b *testing.B) { benchmarkOverhead(b, kind == "streamed") })
	}
}

func benchmarkOverhead(b *testing.B, stream bool) {
	w := newHarness(b, options{engines: 1, slots: 4, checksFencing: true, concurrency: 64, stepTime: time.Millisecond})
	n := w.startProcess("instance-1")
	w.waitReady(n)
	key := w.applyPlans(planSpec{"alpha", 100000000, 100000000, []string{"raven@1"}})["alpha"]
	body := chatBody("raven@1", 20, "hello")
	if stream {
		body = streamedChatBody("raven@1", 20, "hello")
	}
	engine := &node{address: w.servers["engine-1"].Listener.Addr().String()}
	if a := w.send(n, http.MethodPost, chatPath, key, body); a.status != http.StatusOK {
		b.Fatal(a.body)
	}
	direct, through := hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
	began := cpuTime(b, n.process.Process.Pid)
	requests := 0
	for b.Loop() {
		requests += 8
		timeBatch(w, engine, "", body, direct)
		timeBatch(w, n, key, body, through)
	}
	spent := cpuTime(b, n.process.Process.Pid) - began
	for _, p := range []float64{50, 99} {
		b.ReportMetric(float64(through.ValueAtPercentile(p))/float64(direct.ValueAtPercentile(p)), fmt.Sprintf("ratio-p%.0f", p))
		b.ReportMetric(float64(through.ValueAtPercentile(p)-direct.ValueAtPercentile(p))/1e3, fmt.Sprintf("added-us-p%.0f", p))
	}
	b.ReportMetric(float64(spent.Microseconds())/float64(requests), "instance-cpu-us/request")
}

// timeBatch sends eight concurrent requests and records their latencies.
func timeBatch(w *harness, n *node, key, body string, h *hdrhistogram.Histogram) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			began := time.Now()
			w.send(n, http.MethodPost, chatPath, key, body)
			d := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(d))
		})
	}
	wait.Wait()
}

// BenchmarkAddresses measures GET /v1/instances, which tells a caller the address to use,
// at several sizes of the fleet.
func BenchmarkAddresses(b *testing.B) {
	for _, size := range []int{1, 3, 9} {
		b.Run(fmt.Sprint("instances-", size), func(b *testing.B) {
			w := newHarness(b, options{engines: 0, slots: 1})
			for i := range size {
				w.startProcess(fmt.Sprintf("instance-%d", i+1))
			}
			w.waitReady(w.nodes...)
			key := w.applyPlans(planSpec{"alpha", 1000, 1000, []string{"raven@1"}})["alpha"]
			pid := w.nodes[0].process.Process.Pid
			began, n := cpuTime(b, pid), 0
			for b.Loop() {
				n++
				if a := w.send(w.nodes[0], http.MethodGet, "/v1/instances", key, ""); a.status != http.StatusOK {
					b.Fatal(a.body)
				}
			}
			b.ReportMetric(float64((cpuTime(b, pid)-began).Microseconds())/float64(n), "instance-cpu-us/answer")
		})
	}
}
