package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// blockedCase: the fronts of a zone are partitioned from all replicas for some seconds. All prompts share their first
// part. Rule DENIED.
//
// All fronts stand in that zone. With ZONES=2 there is one more in another zone, which is killed as the partition
// begins.
func blockedCase(w *world) (string, error) {
	w.store.put("op", "config", config(7))
	replicas, err := w.addReplicas(llmService, modelName, "v1", 8, 64)
	if err != nil {
		return "", err
	}
	zones := []string{"bayern-a", "bayern-a", "bayern-a", "bayern-a"}
	var other *front
	if os.Getenv("ZONES") == "2" {
		zones = append(zones, "bayern-b")
	}
	if err := w.addFrontsIn(zones); err != nil {
		return "", err
	}
	if len(zones) > 4 {
		other = w.fronts[4]
	}
	time.Sleep(10 * time.Second)
	var mu sync.Mutex
	var calls []*streamCall
	stop := time.Now().Add(30 * time.Second)
	for range 40 {
		w.wait.Go(func() {
			time.Sleep(rand.N(2 * time.Second))
			for time.Now().Before(stop) {
				var failed []string
				s := runStream(w.record, streamPlan{
					path: chatPath, key: apiKey, model: modelName, events: 8, gapMs: 75, deadline: 4 * time.Second, retries: 1,
					prompt: fmt.Sprintf("5c1e07a2:341,%08x:227,%08x:1200", rand.IntN(182), rand.Uint32()),
				}, func(_ int, last *front) *front {
					if last != nil {
						failed = append(failed, last.front)
					}
					return resolver{w}.choose(failed)
				})
				mu.Lock()
				calls = append(calls, s)
				mu.Unlock()
				if len(s.attempts) == 0 || s.attempts[len(s.attempts)-1].status != 200 {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	healedAt := w.record.now()
	if w.trouble {
		if other != nil {
			other.kill()
		}
		w.record.say("the fronts are partitioned from all replicas")
		for _, x := range replicas {
			if err := x.partition(true); err != nil {
				return "", err
			}
		}
		time.Sleep(3 * time.Second)
		for _, x := range replicas {
			if err := x.partition(false); err != nil {
				return "", err
			}
		}
		healedAt = w.record.now()
		w.record.say("the partition has healed")
		if other != nil {
			if err := other.start(); err != nil {
				return "", err
			}
		}
	}
	w.wait.Wait()
	all, denied, after, deniedAfter := 0, 0, 0, 0
	for _, s := range calls {
		for _, x := range s.attempts {
			all++
			d := x.status >= 300 && x.status < 500 && x.status != 408 && x.status != 421 && x.status != 429
			if d {
				denied++
			}
			if x.at > healedAt+contactTime {
				after++
				if d {
					deniedAfter++
				}
			}
		}
	}
	w.record.say("%d requests, %d denied; of %d sent later than contact-ms after the partition, %d denied", all, denied, after, deniedAfter)
	if deniedAfter > 5+all/500 {
		return fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 4xx of the system, %d of them later than contact-ms after the partition", denied, all, deniedAfter), nil
	}
	return "", nil
}
