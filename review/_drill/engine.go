package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The speeds of an engine are those of the sheets.
const (
	requestSlots      = 64
	adapterSlots      = 6
	adapterLoadTime   = 250 * time.Millisecond
	promptTokensPerMs = 25.8
	eventGap          = 25 * time.Millisecond
	events            = 8
)

// engine is a sound model replica with one base model.
type engine struct {
	id, address, model string
	// software is the version of its software, length the number of events of a stream.
	software string
	length   int
	born     int64
	record   *record
	onBegin  func(id, adapter string, version int)

	mu       sync.Mutex
	seq      int64
	fence    int64
	adapters map[string]int
	coming   map[string]int
	running  map[string]int
	// prompts serializes the prompts that are read.
	prompts sync.Mutex
}

func newEngine(id, address, model string, k *record) *engine {
	return &engine{id: id, address: address, model: model, software: "v1", length: events, onBegin: func(string, string, int) {}, born: time.Now().UnixMilli(), record: k, adapters: map[string]int{}, coming: map[string]int{}, running: map[string]int{}}
}

func (e *engine) list() []string {
	out := []string{}
	for a, v := range e.adapters {
		out = append(out, fmt.Sprintf("%s@%d", a, v))
	}
	sort.Strings(out)
	return out
}

// row is the entry of the engine in the store.
func (e *engine) row() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": "llm", "address": e.address, "zone": "zone-a", "version": e.software, "slots": requestSlots, "state": "ready", "cold-left-ms": 0, "stage": "unified",
		"models": []any{map[string]any{"name": e.model, "version": 1, "adapters": e.list()}}, "seq": e.seq, "born": e.born,
	}
}

// runs returns the number of requests at the engine. The caller holds the lock.
func (e *engine) runs() int {
	n := 0
	for _, x := range e.running {
		n += x
	}
	return n
}

func (e *engine) version(adapter string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adapters[adapter]
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != e.id {
		e.reject(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
	case "/api/report":
		e.report(w)
	case "/api/order":
		e.order(w, r)
	default:
		e.serve(w, r)
	}
}

// reject answers that the request was not run.
func (e *engine) reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	running, coming := e.runs(), []string{}
	for a, v := range e.coming {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", e.model, a, v))
	}
	m := map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": e.model, "version": 1, "adapters": e.list()}}, "busy": false, "seq": e.seq, "waiting": 0, "running": running,
		"kv-used": 0, "kv-total": 150386, "handles": 0, "coming": coming, "born": e.born,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Op, Model, Adapter, Holder string
		Version                    int
		Expected                   *int64
		Fence                      int64
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusOK
	defer func() {
		e.record.add("order %s %s@%d of %s at %s: %d", q.Op, q.Adapter, q.Version, q.Holder, e.id, status)
		w.WriteHeader(status)
	}()
	v, held := e.adapters[q.Adapter]
	switch {
	case q.Fence < e.fence:
		status = http.StatusPreconditionFailed
		return
	case q.Expected != nil && *q.Expected != e.seq:
		status = http.StatusConflict
		return
	case q.Adapter == "" || q.Model != e.model:
		return
	case q.Op == "load" && held && v == q.Version:
		return
	}
	e.fence = q.Fence
	e.seq++
	if q.Op == "unload" {
		if e.running[q.Adapter] > 0 {
			status = http.StatusAccepted
			return
		}
		delete(e.adapters, q.Adapter)
		return
	}
	status = http.StatusAccepted
	version := max(q.Version, 1)
	e.coming[q.Adapter] = version
	go func() {
		time.Sleep(adapterLoadTime)
		for {
			e.mu.Lock()
			if e.running[q.Adapter] == 0 {
				e.adapters[q.Adapter] = version
				delete(e.coming, q.Adapter)
				e.mu.Unlock()
				return
			}
			e.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

// serve runs a request for an adapter, and streams its events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	in, _, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(in)
	e.mu.Lock()
	_, coming := e.coming[adapter]
	version, held := e.adapters[adapter]
	expect := r.Header.Get("X-Expect-Version")
	switch {
	case coming:
		e.mu.Unlock()
		e.reject(w, r, http.StatusServiceUnavailable)
		return
	case e.runs() >= requestSlots:
		e.mu.Unlock()
		e.reject(w, r, http.StatusServiceUnavailable)
		return
	case !held || expect != "" && expect != strconv.Itoa(version):
		e.mu.Unlock()
		e.reject(w, r, http.StatusMisdirectedRequest)
		return
	}
	e.running[adapter]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running[adapter]--
		e.mu.Unlock()
	}()
	e.prompts.Lock()
	time.Sleep(time.Duration(float64(prompt) / promptTokensPerMs * float64(time.Millisecond)))
	e.prompts.Unlock()
	if r.Context().Err() != nil {
		return
	}
	e.onBegin(id, adapter, version)
	e.record.add("request %s begins at %s on %s@%d, expected version %q", id, e.id, adapter, version, expect)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Stamp", "stamp."+e.id)
	h.Set("X-Weight-Versions", strconv.Itoa(version))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= e.length; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
	}
}
