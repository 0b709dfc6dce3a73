package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// version plays the announcement of a new version of an adapter while requests wait at its engine.
func version(s *scene) (int, error) {
	const objective = 2 * time.Second
	s.config = map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "inlay", "host": host, "path-prefix": "/inlay/", "kind": "stream", "timeout-ms": 15000, "target-latency-ms": objective.Milliseconds(), "priority": 1,
			"service": "models", "max-attempts": 1, "no-auth": false, "sticky": true, "resumable": false, "gap-aim-ms": 300,
		}},
		"services": []map[string]any{{"name": "models", "health-path": "/healthz", "max-conns": 780, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 4, "kv-capacity-tokens": 151353, "models": []map[string]any{{"name": model, "weights-mb": 72700, "load-s": 4.3, "adapters": 3000, "adapter-mb": 66}},
			"weights-mb": 74600, "adapter-slots": 6, "loads-per-s": 2.9,
		}}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "guild", "api-keys": []string{"key-guild"}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 95715, "burst": 95715}},
	}
	s.store.put("op", "config", s.config)
	var mu sync.Mutex
	newest := int64(1)
	for i := range 2 {
		r := &replica{
			id: fmt.Sprintf("e%d", i+1), service: "models", zone: fmt.Sprintf("zone-%c", 'a'+i), address: "127.0.0.1:0", slots: 4, queue: 16, adapterSlots: 6, piece: 140 * time.Millisecond, pieces: 8,
			newest: func(string) int64 { mu.Lock(); defer mu.Unlock(); return newest }, ran: s.ran, note: s.note, store: s.store, adapters: map[string]int64{"a1": 1},
		}
		if err := r.start(); err != nil {
			return failed, err
		}
	}
	all, err := newMachines(3, s.folder, s.store.address, nil)
	if err != nil {
		return failed, err
	}
	for _, m := range all {
		defer m.kill()
		if err := m.start(); err != nil {
			return failed, err
		}
	}
	if err := awaitReady(all); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	var w sync.WaitGroup
	ask := func(id, pieces string, m *machine) {
		w.Go(func() {
			s.note("client sends %s to %s", id, m.name)
			a := s.send(m.front, request{
				method: http.MethodPost, path: "/inlay/x", id: id, key: "key-guild", adapter: "a1", tokens: "400,150", deadline: 15 * time.Second, gap: 4 * objective,
				header: map[string]string{"X-Length-Hint": pieces, "X-Prompt-Prefix": "5c1e07a2:200,91bd3f06:200"},
			})
			s.note("client of %s: status %d, version %s, %d bytes, error %v", id, a.status, a.header.Get("X-Weight-Versions"), len(a.body), a.err)
		})
	}
	// Long answers take all slots of both engines.
	for i := range 8 {
		ask(fmt.Sprintf("long-%d", i), "50", all[i%3])
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range 6 {
		ask(fmt.Sprintf("waits-%d", i), "8", all[i%3])
	}
	time.Sleep(300 * time.Millisecond)
	var announced time.Time
	if s.trouble {
		s.store.put("op", "version/"+model+".a1", map[string]any{"model": model, "adapter": "a1", "version": 2})
		announced = time.Now()
		mu.Lock()
		newest = 2
		mu.Unlock()
		s.note("version 2 of a1 is acknowledged")
	}
	w.Wait()
	if announced.IsZero() {
		return held, nil
	}
	result := held
	for _, x := range s.allRuns() {
		if late := x.began.Sub(announced); x.version < 2 && late > 5*time.Second {
			s.note("%s began on version %d of %s, %.3f s after version 2 was acknowledged", x.id, x.version, x.adapter, late.Seconds())
			result = broken
		}
	}
	return result, nil
}

func init() { cases["version"] = version }
