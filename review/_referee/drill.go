package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// drillCase: the store comes back from a copy that is some seconds old; seconds later a front is killed, and the
// clients of its streams take them up at the others. Rule LOST on streams that clients take up again.
func drillCase(w *world) (string, error) {
	w.store.put("op", "config", config(7))
	if _, err := w.addReplicas(llmService, modelName, "v1", 4, 64); err != nil {
		return "", err
	}
	if err := w.addFronts(4); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	var mu sync.Mutex
	var calls []*streamCall
	var killedAt time.Duration
	killed := w.fronts[0]
	var down bool
	stop := time.Now().Add(34 * time.Second)
	choose := func(n int, last *front) *front {
		mu.Lock()
		defer mu.Unlock()
		for {
			f := w.fronts[rand.IntN(len(w.fronts))]
			if (f != killed || !down) && f != last {
				return f
			}
		}
	}
	for range 60 {
		w.wait.Go(func() {
			time.Sleep(rand.N(8 * time.Second))
			for time.Now().Before(stop) {
				s := runStream(w.record, streamPlan{path: chatPath, key: apiKey, model: modelName, events: 57, gapMs: 150, deadline: 15 * time.Second, retries: 3}, choose)
				mu.Lock()
				calls = append(calls, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(12 * time.Second)
	if w.trouble {
		x := w.store.copy()
		time.Sleep(3 * time.Second)
		w.record.say("the store is away")
		w.store.leave()
		time.Sleep(time.Second)
		w.store.restore(x)
		w.record.say("the store is back from a copy that is 4 s old")
		w.store.put("op", "config", config(7))
		time.Sleep(5 * time.Second)
	} else {
		time.Sleep(9 * time.Second)
	}
	if w.trouble {
		mu.Lock()
		down, killedAt = true, w.record.now()
		mu.Unlock()
		killed.kill()
		time.Sleep(time.Second)
		if err := killed.start(); err != nil {
			return "", err
		}
	}
	w.wait.Wait()
	begun, began, taken, on := 0, 0, 0, 0
	for _, s := range calls {
		if len(s.attempts) == 0 {
			continue
		}
		a := s.attempts[0]
		if a.at > killedAt && killedAt > 0 && a.at < killedAt+10*time.Second {
			begun++
			if a.events > 0 {
				began++
			}
		}
		up, went := false, false
		for i, x := range s.attempts[1:] {
			if x.after > 0 && s.attempts[i].front == killed.name || x.after > 0 && up {
				up = true
				went = went || x.events > 0 || x.complete
			}
		}
		if up {
			taken++
			if went {
				on++
			}
		}
	}
	w.record.say("streams begun after the kill: %d, of which began: %d; taken up again: %d, of which went on: %d", begun, began, taken, on)
	if taken >= 12 && begun > 0 && float64(on)/float64(taken) < 0.5*float64(began)/float64(begun) {
		return fmt.Sprintf("LOST: %d of %d streams that clients took up again went on, while %d of %d new ones began", on, taken, began, begun), nil
	}
	return "", nil
}
