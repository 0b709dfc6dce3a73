package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// flapCase: a replica goes down and up by turns, and comes back with other software under the id that it had.
// Rule ORDER on streams with events of two software versions.
func flapCase(w *world) (string, error) {
	k := config(7)
	k["routes"] = append(k["routes"].([]any), map[string]any{
		"name": "tracking", "host": "shop.example", "path-prefix": "/track/", "kind": "stream", "timeout-ms": 15000, "target-latency-ms": 800, "priority": 1,
		"service": appService, "max-attempts": 2, "no-auth": false, "resumable": true, "gap-aim-ms": 300,
	})
	w.store.put("op", "config", k)
	replicas, err := w.addReplicas(appService, "", "v1", 3, 16)
	if err != nil {
		return "", err
	}
	if err := w.addFronts(3); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	var mu sync.Mutex
	var calls []*streamCall
	stop := time.Now().Add(40 * time.Second)
	choose := func(_ int, last *front) *front {
		for {
			if f := w.fronts[rand.IntN(len(w.fronts))]; f != last {
				return f
			}
		}
	}
	for range 24 {
		w.wait.Go(func() {
			time.Sleep(rand.N(5 * time.Second))
			for time.Now().Before(stop) {
				s := runStream(w.record, streamPlan{path: "/track/7f", key: apiKey, events: 30, gapMs: 150, deadline: 15 * time.Second, retries: 2}, choose)
				mu.Lock()
				calls = append(calls, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		r := replicas[0]
		for range 3 {
			r.crash()
			time.Sleep(2500 * time.Millisecond)
			if err := r.start("v2", true); err != nil {
				return "", err
			}
			time.Sleep(4 * time.Second)
		}
		r.crash()
	}
	w.wait.Wait()
	mixed, torn := 0, 0
	for _, s := range calls {
		if v := s.software(); len(v) > 1 {
			mixed++
			w.record.add("mixed: versions %v over attempts %+v", v, s.attempts)
		}
		if t := s.checkOrder(); t != "" {
			torn++
			w.record.add("torn: %s", t)
		}
	}
	w.record.say("%d streams, %d with events of two software versions, %d with a wrong number", len(calls), mixed, torn)
	if mixed > 2 || torn > 0 {
		return fmt.Sprintf("ORDER: %d streams hold events of two software versions, %d have a wrong number", mixed, torn), nil
	}
	return "", nil
}
