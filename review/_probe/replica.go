package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	model     = "base"
	heartbeat = 1200 * time.Millisecond
	loadTime  = 250 * time.Millisecond
	// modelLoadTime is the time that a base model takes from the replica's own disk.
	modelLoadTime = 600 * time.Millisecond
	drainTime     = 2 * time.Second
)

// run is one run of a request at a replica.
type run struct {
	id, replica, adapter string
	tenant               string
	tokens               int
	version              int64
	arrived, began       time.Time
	expected             string
}

// replica stands in for a replica of a service: an engine if it has adapter slots, else an application.
type replica struct {
	id, service, zone, address string
	slots, queue               int
	adapterSlots               int
	// work is how long an application works on a request, pieces and piece what an engine streams.
	work   time.Duration
	pieces int
	piece  time.Duration
	// readRate is the number of prompt tokens that an engine reads in a millisecond, one prompt at a time, or 0.
	readRate float64
	// software is the version of the replica's software.
	software string
	// newest returns the newest version of an adapter.
	newest func(adapter string) int64
	// empty is set until the base model has been loaded, as after a restart.
	empty bool
	// reject has the replica turn requests away as if it were full.
	reject func() bool
	ran    func(run)
	note   func(format string, args ...any)

	store *store
	born  int64

	mu       sync.Mutex
	adapters map[string]int64
	coming   map[string]int64
	using    map[string]int
	seq      int64
	fence    int64
	running  int
	waiting  []chan struct{}
	state    string
	server   *http.Server
	// reading is held while a prompt is read.
	reading sync.Mutex
}

func (r *replica) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.born, r.state = time.Now().UnixMilli(), "ready"
	if r.software == "" {
		r.software = "v1"
	}
	r.using, r.coming = map[string]int{}, map[string]int64{}
	if r.adapters == nil {
		r.adapters = map[string]int64{}
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /api/report", r.report)
	m.HandleFunc("POST /api/order", r.order)
	m.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: m, IdleTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	go func() {
		for {
			r.mu.Lock()
			gone := r.state == "gone"
			r.mu.Unlock()
			if gone {
				return
			}
			r.writeRow()
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// crash ends the replica at once: its connections break, and its row expires after three heartbeats.
func (r *replica) crash() {
	r.mu.Lock()
	r.state = "gone"
	r.mu.Unlock()
	_ = r.server.Close()
	time.AfterFunc(3*heartbeat, func() { r.store.drop("servers", r.id) })
}

func (r *replica) models() []map[string]any {
	if r.empty {
		return []map[string]any{}
	}
	l := []string{}
	for a, v := range r.adapters {
		l = append(l, fmt.Sprintf("%s@%d", a, v))
	}
	slices.Sort(l)
	return []map[string]any{{"name": model, "version": 1, "adapters": l}}
}

func (r *replica) writeRow() {
	r.mu.Lock()
	m := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.software, "slots": r.slots, "state": r.state,
		"cold-left-ms": 0, "seq": r.seq, "born": r.born,
	}
	if r.adapterSlots > 0 {
		m["stage"], m["models"] = "unified", r.models()
	}
	r.mu.Unlock()
	r.store.put("servers", r.id, m)
}

func (r *replica) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	coming := []string{}
	for a, v := range r.coming {
		if a == "" {
			continue
		}
		coming = append(coming, fmt.Sprintf("%s/%s@%d", model, a, v))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "unified", "models": r.models(), "busy": false, "seq": r.seq, "born": r.born, "coming": coming,
		"waiting": len(r.waiting), "running": r.running, "kv-used": 0, "kv-total": 150_000, "handles": 0,
	})
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, Model, Adapter, Holder string
		Version, Expected, Fence   int64
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusOK
	v := max(o.Version, 1)
	if o.Version == 0 {
		v = max(1, r.newest(o.Adapter))
	}
	switch {
	case q.Header.Get("X-Expect-Instance") != "" && q.Header.Get("X-Expect-Instance") != r.id:
		status = http.StatusMisdirectedRequest
	case o.Fence < r.fence:
		status = http.StatusPreconditionFailed
	case o.Expected != r.seq:
		status = http.StatusConflict
	case o.Op == "unload" && r.using[o.Adapter] > 0:
		status = http.StatusAccepted
	case o.Op == "unload":
		r.fence, r.seq = o.Fence, r.seq+1
		delete(r.adapters, o.Adapter)
	case r.empty && (o.Adapter != "" || len(r.coming) > 0):
		status = http.StatusConflict
	case r.empty:
		r.fence, r.seq = o.Fence, r.seq+1
		r.coming[""] = v
		status = http.StatusAccepted
		time.AfterFunc(modelLoadTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.coming, "")
			r.empty = false
		})
	case o.Adapter == "" || r.adapters[o.Adapter] == v:
		r.fence = o.Fence
	default:
		r.fence, r.seq = o.Fence, r.seq+1
		r.coming[o.Adapter] = v
		status = http.StatusAccepted
		go r.load(o.Adapter, v)
	}
	r.note("%s ordered by %s: %s %s@%d, %d", r.id, o.Holder, o.Op, o.Adapter, o.Version, status)
	w.WriteHeader(status)
}

// load loads an adapter. One that replaces another version waits for its runs.
func (r *replica) load(adapter string, v int64) {
	time.Sleep(loadTime)
	for {
		r.mu.Lock()
		if r.using[adapter] == 0 {
			r.adapters[adapter] = v
			delete(r.coming, adapter)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// notRun answers a request that does not run.
func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if x := q.Header.Get("X-Expect-Instance"); x != "" && x != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	if r.reject != nil && r.reject() {
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	_, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	expected := q.Header.Get("X-Expect-Version")
	r.mu.Lock()
	v, there := r.adapters[adapter]
	if r.empty || adapter != "" && (!there || expected != "" && expected != strconv.FormatInt(v, 10)) {
		r.mu.Unlock()
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	var turn chan struct{}
	switch {
	case r.running < r.slots:
		r.running++
	case len(r.waiting) < r.queue:
		turn = make(chan struct{})
		r.waiting = append(r.waiting, turn)
	default:
		r.mu.Unlock()
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	r.using[adapter]++
	r.mu.Unlock()
	defer r.leave(adapter)
	if turn != nil {
		select {
		case <-turn:
		case <-q.Context().Done():
			if !r.cancelWait(turn) {
				r.next()
			}
			return
		}
	}
	defer r.next()
	if q.Context().Err() != nil {
		return
	}
	ms, _ := strconv.Atoi(q.Header.Get("X-Deadline-Ms"))
	deadline := arrived.Add(time.Duration(ms) * time.Millisecond)
	if ms > 0 && time.Now().After(deadline) {
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	tokens := 0
	usage := strings.Split(q.Header.Get("X-Token-Usage"), ",")
	for _, x := range usage {
		n, _ := strconv.Atoi(x)
		tokens += n
	}
	if prompt, _ := strconv.Atoi(usage[0]); r.readRate > 0 {
		r.reading.Lock()
		time.Sleep(time.Duration(float64(prompt) / r.readRate * float64(time.Millisecond)))
		r.reading.Unlock()
		if q.Context().Err() != nil {
			return
		}
	}
	r.ran(run{
		id: id, replica: r.id, adapter: adapter, tenant: q.Header.Get("X-Tenant"), tokens: tokens, version: v, arrived: arrived, began: time.Now(), expected: expected,
	})
	w.Header().Set("X-Server-Stamp", r.id+"."+id)
	if adapter == "" {
		time.Sleep(r.work)
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(v, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	pieces := r.pieces
	if n, err := strconv.Atoi(q.Header.Get("X-Length-Hint")); err == nil {
		pieces = n
	}
	for i := after + 1; i <= pieces; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d by %s, software %s\n\n", i, i, r.id, r.software)
		if http.NewResponseController(w).Flush() != nil || q.Context().Err() != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.piece):
		}
	}
}

func (r *replica) leave(adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.using[adapter]--
}

// next gives the slot of a request that has ended to the one that has waited longest.
func (r *replica) next() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) > 0 {
		close(r.waiting[0])
		r.waiting = r.waiting[1:]
		return
	}
	r.running--
}

// cancelWait ends the wait of a request. It returns false if the request has a slot already.
func (r *replica) cancelWait(turn chan struct{}) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.waiting, turn)
	if i < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	return true
}
