package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// abandonTime is how long a client waits for the next event of the stream.
const abandonTime = 3200 * time.Millisecond

// lostRowCase: replicas of two software versions serve side by side, and those of one are nearly full, so that
// streams begin at the other one. A front loses power and is back; then the store comes back from a copy that is
// older than that. Rule ORDER on streams with events of two versions.
func lostRowCase(w *world) (string, error) {
	w.store.put("op", "config", config(7))
	if _, err := w.addReplicas(llmService, modelName, "v1", 4, 8); err != nil {
		return "", err
	}
	if _, err := w.addReplicas(llmService, modelName, "v2", 4, 64); err != nil {
		return "", err
	}
	if err := w.addFronts(3); err != nil {
		return "", err
	}
	// The versions have served side by side for longer than any stream lasts.
	time.Sleep(24 * time.Second)
	var mu sync.Mutex
	var calls []*streamCall
	var dark *front
	play := func() {
		var failed []string
		s := runStream(w.record, streamPlan{
			path: chatPath, key: apiKey, model: modelName, events: 57, gapMs: 210, deadline: 15 * time.Second, retries: 3,
			// The client of a machine without power sees no end of its connection.
			notice: func(f *front, last time.Duration) {
				mu.Lock()
				silent := f == dark
				mu.Unlock()
				if silent && last > 0 {
					time.Sleep(last + abandonTime - w.record.now())
				}
			},
		}, func(_ int, last *front) *front {
			if last != nil {
				failed = append(failed, last.front)
			}
			return resolver{w}.choose(failed)
		})
		mu.Lock()
		calls = append(calls, s)
		mu.Unlock()
	}
	stop := time.Now().Add(16500 * time.Millisecond)
	for range 240 {
		w.wait.Go(func() {
			time.Sleep(rand.N(8 * time.Second))
			for time.Now().Before(stop) {
				play()
			}
		})
	}
	time.Sleep(12 * time.Second)
	x := w.store.copy()
	time.Sleep(4 * time.Second)
	if w.trouble {
		f := w.fronts[0]
		w.record.say("%s loses power", f.name)
		mu.Lock()
		dark = f
		mu.Unlock()
		f.signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		f.kill()
		if err := f.start(); err != nil {
			return "", err
		}
		time.Sleep(700 * time.Millisecond)
		if os.Getenv("DRILL") != "0" {
			w.record.say("the store is away")
			w.store.leave()
			time.Sleep(500 * time.Millisecond)
			w.store.restore(x)
			w.store.put("op", "config", config(7))
			w.record.say("the store is back from a copy that is 7 s old")
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
