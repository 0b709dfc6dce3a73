package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// CrashMarker makes an engine crash when a prompt contains it.
const CrashMarker = "crash-the-engine"

const (
	// restartTime is how long an engine is unreachable after a crash.
	restartTime     = 400 * time.Millisecond
	maxOutputTokens = 4096
)

// EngineConfig configures an engine.
type EngineConfig struct {
	// WeightsAddress is the host and port of the weight store.
	WeightsAddress string
	// Slots is the number of adapters that can be loaded at a time.
	Slots int
	// StepTime is the duration of a decoding step with one adapter in the batch. Each
	// further adapter adds a tenth.
	StepTime time.Duration
	// ChecksFencing makes the engine reject load and unload requests with a stale fencing
	// number.
	ChecksFencing bool
	// ReportLag has no effect: the engine reports its current load.
	ReportLag time.Duration
}

// engineStats are the counts since the engine was created; crashes do not reset them. The Step
// counts grow once for each decoding step of each running request: StepRequests and StepAdapters
// by the requests and the adapters in the batch.
type engineStats struct {
	Requests        int64            `json:"requests"`
	Crashes         int64            `json:"crashes"`
	EvictedInUse    int64            `json:"evicted-in-use"`
	KeysSeen        int64            `json:"keys-seen"`
	Steps           int64            `json:"steps"`
	StepRequests    int64            `json:"step-requests"`
	StepAdapters    int64            `json:"step-adapters"`
	Loads           int64            `json:"loads"`
	StaleRequests   int64            `json:"old-orders"`
	MaxFencing      int64            `json:"max-fencing"`
	RequestsByModel map[string]int64 `json:"requests-by-name"`
}

// Engine stands in for a model engine with vLLM's HTTP API.
type Engine struct {
	// OnRequest is called when a completion request begins, with the request id, the model
	// and the number of prompt and output tokens. Tests replace it to observe requests.
	OnRequest func(id, model string, tokens int)

	config EngineConfig
	faults faultState

	mu           sync.Mutex
	started      time.Time
	downUntil    time.Time
	crash        context.CancelFunc
	process      context.Context
	loaded       map[string]bool
	running      map[string]int
	stats        engineStats
	previousID   string
	metrics      *prometheus.Registry
	startGauge   prometheus.Gauge
	runningGauge prometheus.Gauge
}

// NewEngine returns an engine without adapters.
func NewEngine(c EngineConfig) *Engine {
	e := &Engine{OnRequest: func(string, string, int) {}, config: c, metrics: prometheus.NewRegistry()}
	e.startGauge = prometheus.NewGauge(prometheus.GaugeOpts{Name: "process_start_time_seconds"})
	e.runningGauge = prometheus.NewGauge(prometheus.GaugeOpts{Name: "vllm:num_requests_running"})
	e.metrics.MustRegister(e.startGauge, e.runningGauge)
	e.stats.RequestsByModel = map[string]int64{}
	e.restart(clock.Now())
	return e
}

// restart begins a new engine process, without adapters, that reports at as its start time.
func (e *Engine) restart(at time.Time) {
	e.process, e.crash = context.WithCancel(context.Background())
	e.started = at
	e.startGauge.Set(float64(at.UnixMicro()) / 1e6)
	e.loaded = map[string]bool{}
	e.running = map[string]int{}
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/load_lora_adapter", e.guard(e.load))
	m.HandleFunc("POST /v1/unload_lora_adapter", e.guard(e.unload))
	m.HandleFunc("POST /v1/chat/completions", e.guard(e.complete))
	m.HandleFunc("POST /v1/completions", e.guard(e.complete))
	m.HandleFunc("GET /v1/models", e.guard(e.models))
	m.HandleFunc("GET /metrics", e.guard(e.serveMetrics))
	m.HandleFunc("POST /fault", e.faults.serveSetFault)
	m.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	m.HandleFunc("GET /stats", e.serveStats)
	return m
}

// guard wraps h with the current fault, drops connections while the engine restarts after a
// crash, and counts requests that carry a caller's key, which must not reach an engine.
func (e *Engine) guard(h http.HandlerFunc) http.HandlerFunc {
	return e.faults.wrap(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := clock.Now().Before(e.downUntil)
		if r.Header.Get("Authorization") != "" {
			e.stats.KeysSeen++
		}
		e.mu.Unlock()
		if down {
			dropConnection(w)
			return
		}
		h(w, r)
	})
}

// Crash aborts all running requests, unloads all adapters and makes the engine unreachable
// for restartTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.crash()
	e.downUntil = clock.Now().Add(restartTime)
	e.restart(e.downUntil)
}

// SetFault sets the fault of the engine.
func (e *Engine) SetFault(f Fault) {
	e.faults.set(f)
}

func (e *Engine) serveMetrics(w http.ResponseWriter, r *http.Request) {
	promhttp.HandlerFor(e.metrics, promhttp.HandlerOpts{}).ServeHTTP(w, r)
}

// loraRequest is the body of a request to load or unload an adapter.
type loraRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// decodeLoraRequest decodes a load or unload request and checks its fencing number. If it
// returns false, it has already answered the request with an error.
func (e *Engine) decodeLoraRequest(w http.ResponseWriter, r *http.Request) (loraRequest, bool) {
	var o loraRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	n, _ := strconv.ParseInt(r.Header.Get("Fencing-Number"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if n < e.stats.MaxFencing {
		e.stats.StaleRequests++
		if e.config.ChecksFencing {
			http.Error(w, "old fencing number", http.StatusConflict)
			return o, false
		}
	}
	e.stats.MaxFencing = max(e.stats.MaxFencing, n)
	return o, true
}

// load loads an adapter. If the engine crashes in the meantime, the connection is dropped.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	o, ok := e.decodeLoraRequest(w, r)
	if !ok {
		return
	}
	process := e.processContext()
	if e.faults.takeFailedLoad() || !e.readWeights(r.Context(), o.Name) {
		http.Error(w, "load failed", http.StatusInternalServerError)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case process.Err() != nil:
		dropConnection(w)
	case !e.loaded[o.Name] && len(e.loaded) >= e.config.Slots:
		http.Error(w, "no free adapter slot", http.StatusBadRequest)
	default:
		e.loaded[o.Name] = true
		e.stats.Loads++
		fmt.Fprintf(w, "Success: LoRA adapter '%s' added successfully.", o.Name)
	}
}

// processContext returns the context of the current engine process; a crash cancels it.
func (e *Engine) processContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// readWeights reads the weights of an adapter and reports whether that succeeded.
func (e *Engine) readWeights(c context.Context, name string) bool {
	r, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+e.config.WeightsAddress+"/weights/"+name, nil)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// unload unloads an adapter. Requests that still use it go on, and EvictedInUse counts the case.
func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := e.decodeLoraRequest(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[o.Name] > 0 {
		e.stats.EvictedInUse++
	}
	delete(e.loaded, o.Name)
	fmt.Fprintf(w, "Success: LoRA adapter '%s' removed successfully.", o.Name)
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := modelList{Object: "list", Data: []modelEntry{}}
	for name := range e.loaded {
		l.Data = append(l.Data, modelEntry{ID: name, Object: "model"})
	}
	slices.SortFunc(l.Data, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, l)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.stats)
}
