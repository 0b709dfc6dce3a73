package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// shorterCase: half of the replicas are replaced by ones of a newer software version, a configuration shortens the
// timeout of the route, and seconds later a front is killed. Rule ORDER on streams with events of two versions.
func shorterCase(w *world) (string, error) {
	w.store.put("op", "config", config(7))
	old, err := w.addReplicas(llmService, modelName, "v1", 4, 64)
	if err != nil {
		return "", err
	}
	if err := w.addFronts(3); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	var mu sync.Mutex
	var calls []*streamCall
	play := func(events int) {
		var failed []string
		s := runStream(w.record, streamPlan{path: chatPath, key: apiKey, model: modelName, events: events, gapMs: 200, deadline: 15 * time.Second, retries: 2}, func(_ int, last *front) *front {
			if last != nil {
				failed = append(failed, last.front)
			}
			return resolver{w}.choose(failed)
		})
		mu.Lock()
		calls = append(calls, s)
		mu.Unlock()
	}
	stop := time.Now().Add(20 * time.Second)
	for range 60 {
		w.wait.Go(func() {
			time.Sleep(rand.N(3 * time.Second))
			play(57)
		})
	}
	for range 12 {
		w.wait.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(rand.N(time.Second))
				play(4)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	// The release: a new replica starts, then an old one says that it leaves. It goes on with its runs.
	w.record.say("the release begins")
	for _, x := range old[:2] {
		if _, err := w.addEmptyReplica(llmService, modelName, "v2", 64); err != nil {
			return "", err
		}
		time.Sleep(500 * time.Millisecond)
		x.drain()
		time.Sleep(500 * time.Millisecond)
	}
	if os.Getenv("SHORTER") != "0" {
		k := config(8)
		k["routes"].([]any)[0].(map[string]any)["timeout-ms"] = 4000
		w.store.put("op", "config", k)
		w.record.say("a configuration shortens the timeout of the route to 4 s")
	} else {
		w.store.put("op", "config", config(8))
	}
	time.Sleep(7 * time.Second)
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
		for _, x := range s.attempts {
			if x.after > 0 {
				taken++
				if x.events > 0 || x.complete {
					on++
				}
				break
			}
		}
	}
	w.record.say("%d streams, %d taken up again, of which %d went on at the first attempt; %d with events of two software versions, %d with a wrong number", len(calls), taken, on, mixed, torn)
	if mixed > 2 || torn > 0 {
		return fmt.Sprintf("ORDER: %d streams hold events of two software versions of one service, %d have a wrong number", mixed, torn), nil
	}
	return "", nil
}
