package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

const noticeService = "avisos"

// forgottenCase: replicas of two software versions serve side by side, and those of one are nearly full, so that
// streams begin at the other one. A second service has streams with a shorter timeout. A front is killed. Rule ORDER
// on streams with events of two versions.
func forgottenCase(w *world) (string, error) {
	k := config(7)
	timeout := 4000
	if os.Getenv("SAME") != "" {
		timeout = 15000
	}
	k["routes"] = append(k["routes"].([]any), map[string]any{
		"name": "notice", "host": "shop.example", "path-prefix": "/notice/", "kind": "stream", "timeout-ms": timeout, "target-latency-ms": 800, "priority": 1,
		"service": noticeService, "max-attempts": 2, "no-auth": false, "resumable": true, "gap-aim-ms": 300,
	})
	k["services"] = append(k["services"].([]any), map[string]any{"name": noticeService, "health-path": "/healthz", "max-conns": 780, "protocol": "h1", "tls": false})
	w.store.put("op", "config", k)
	if _, err := w.addReplicas(llmService, modelName, "v1", 4, 8); err != nil {
		return "", err
	}
	if _, err := w.addReplicas(llmService, modelName, "v2", 4, 64); err != nil {
		return "", err
	}
	if _, err := w.addReplicas(noticeService, "", "n1", 2, 64); err != nil {
		return "", err
	}
	if err := w.addFronts(3); err != nil {
		return "", err
	}
	// The versions have served side by side for longer than any stream lasts.
	time.Sleep(24 * time.Second)
	var mu sync.Mutex
	var calls []*streamCall
	play := func(path, model string, events, gap int) {
		var failed []string
		s := runStream(w.record, streamPlan{path: path, key: apiKey, model: model, events: events, gapMs: gap, deadline: 15 * time.Second, retries: 3}, func(_ int, last *front) *front {
			if last != nil {
				failed = append(failed, last.front)
			}
			return resolver{w}.choose(failed)
		})
		mu.Lock()
		calls = append(calls, s)
		mu.Unlock()
	}
	stop := time.Now().Add(22 * time.Second)
	for range 160 {
		w.wait.Go(func() {
			time.Sleep(rand.N(8 * time.Second))
			for time.Now().Before(stop) {
				play(chatPath, modelName, 57, 210)
			}
		})
	}
	for range 9 {
		w.wait.Go(func() {
			for time.Now().Before(stop) {
				play("/notice/7f", "", 3, 100)
				time.Sleep(rand.N(300 * time.Millisecond))
			}
		})
	}
	time.Sleep(18 * time.Second)
	if w.trouble {
		f := w.fronts[0]
		f.kill()
		time.Sleep(time.Second)
		if err := f.start(); err != nil {
			return "", err
		}
	}
	w.wait.Wait()
	mixed, torn, taken, on := 0, 0, 0, 0
	for _, s := range calls {
		if v := s.software(); len(v) > 1 {
			mixed++
			w.record.add("mixed: versions %v over the attempts %+v", v, s.attempts)
		}
		if t := s.checkOrder(); t != "" {
			torn++
			w.record.add("torn: %s", t)
		}
		up, went := false, false
		for _, x := range s.attempts {
			up = up || x.after > 0
			went = went || x.after > 0 && (x.events > 0 || x.complete)
		}
		if up {
			taken++
		}
		if went {
			on++
		}
	}
	w.record.say("%d streams, %d taken up again, of which %d went on; %d with events of two software versions, %d with a wrong number", len(calls), taken, on, mixed, torn)
	if mixed > 2 || torn > 0 {
		return fmt.Sprintf("ORDER: %d streams hold events of two software versions of one service, %d have a wrong number", mixed, torn), nil
	}
	return "", nil
}
