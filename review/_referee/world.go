package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is a small deployment: the platform's store, replicas and fronts.
type world struct {
	root, dir string
	record    *record
	store     *platformStore
	replicas  []*replica
	fronts    []*front
	// trouble is false if the disruption is left out.
	trouble bool
	wait    sync.WaitGroup
	closing sync.Once
}

func newWorld(folder string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "referee-")
	if err != nil {
		return nil, err
	}
	s, err := startStore(r)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, record: r, store: s, trouble: os.Getenv("TROUBLE") != "0"}
	r.add("trouble: %v", w.trouble)
	return w, nil
}

// close ends all processes.
func (w *world) close() { w.closing.Do(w.closeOnce) }

func (w *world) closeOnce() {
	for _, f := range w.fronts {
		if os.Getenv("KEEP") != "" {
			if b, err := os.ReadFile(f.log); err == nil {
				_ = os.WriteFile(filepath.Join(os.Getenv("KEEP"), f.name+".log"), b, 0o600)
			}
		}
		f.kill()
	}
	w.record.close()
	_ = os.RemoveAll(w.dir)
}

// addFronts starts n fronts in three zones, and waits until they are ready.
func (w *world) addFronts(n int) error {
	zones := []string{"bayern-a", "bayern-b", "bayern-c"}
	var out []string
	for i := range n {
		out = append(out, zones[i%len(zones)])
	}
	return w.addFrontsIn(out)
}

// addFrontsIn starts a front in each of the zones, and waits until all are ready.
func (w *world) addFrontsIn(zones []string) error {
	for i, z := range zones {
		f, err := newFront(w.root, w.dir, fmt.Sprintf("front-%d", i+1), z, w.store.address, w.record)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
	}
	for _, f := range w.fronts {
		if err := f.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, f := range w.fronts {
			if f.isReady() {
				ready++
			}
		}
		if ready == len(w.fronts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d fronts are ready", ready, len(w.fronts))
		}
	}
}

// addReplicas adds and starts n replicas of a service.
func (w *world) addReplicas(service, model, software string, n, slots int) ([]*replica, error) {
	zones := []string{"bayern-a", "bayern-b", "bayern-c"}
	var out []*replica
	for i := range n {
		x, err := newReplica(w.store, w.record, fmt.Sprintf("i-%s-%d", service, len(w.replicas)+1), service, zones[i%len(zones)], model, slots)
		if err != nil {
			return nil, err
		}
		if err := x.start(software, true); err != nil {
			return nil, err
		}
		w.replicas, out = append(w.replicas, x), append(out, x)
	}
	return out, nil
}

// addEmptyReplica adds and starts a replica that holds no model yet.
func (w *world) addEmptyReplica(service, model, software string, slots int) (*replica, error) {
	x, err := newReplica(w.store, w.record, fmt.Sprintf("i-%s-%d", service, len(w.replicas)+1), service, "bayern-a", model, slots)
	if err != nil {
		return nil, err
	}
	w.replicas = append(w.replicas, x)
	return x, x.start(software, false)
}

const (
	apiKey     = "i9n73hh2b9wu3fexd9dn"
	chatPath   = "/chat/7f"
	orderPath  = "/order/7f"
	readPath   = "/read/7f"
	modelName  = "daka510000"
	llmService = "turmgeist"
	appService = "werkbank"
)

// config returns a configuration like those of the deployments.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, aim, attempts int, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": "shop.example", "path-prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": aim, "priority": 1, "service": service, "max-attempts": attempts, "no-auth": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("crafter-chat", "/chat/", "stream", llmService, 15000, 800, 2, map[string]any{"sticky": true, "resumable": true, "gap-aim-ms": 300}),
			route("order-deposit", "/order/", "unsafe", appService, 1500, 300, 1, nil),
			route("catalogue-read", "/read/", "safe", appService, 1500, 300, 2, nil),
		},
		"services": []any{
			map[string]any{"name": llmService, "health-path": "/healthz", "max-conns": 780, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv-capacity-tokens": 151353, "kv-token-bytes": 327680, "link-mbps": 370000.0, "moves": true, "backups": true, "stride": 3, "cap": 12,
				"host-mb": 140000.0, "disk-mb": 400000.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0,
				"models":     []any{map[string]any{"name": modelName, "weights-mb": 72700.0, "load-s": 4.3, "adapters": 3000, "adapter-mb": 66.0, "warm-s": 0.6, "disk-s": 1.7}},
				"weights-mb": 74600.0, "adapter-slots": 6, "loads-per-s": 2.9,
			}},
			map[string]any{"name": appService, "health-path": "/healthz", "max-conns": 208, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{apiKey}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 957150, "burst": 957150}},
	}
}
