package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// resolver answers where to connect, as the directory of a front that runs tells.
type resolver struct {
	w *world
}

// choose returns a front at random among the addresses of an answer, without those that have failed the client.
func (x resolver) choose(failed []string) *front {
	k := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(x.w.fronts))[:min(3, len(x.w.fronts))] {
		a, err := k.Get("http://" + x.w.fronts[i].directory + "/api/resolve?name=shop.example&region=bayern&zone=" + x.w.fronts[i].zone)
		if err != nil {
			continue
		}
		var m struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(a.Body).Decode(&m)
		_ = a.Body.Close()
		if err != nil || len(m.Addresses) == 0 {
			continue
		}
		left := slices.DeleteFunc(m.Addresses, func(s string) bool { return slices.Contains(failed, s) })
		if len(left) == 0 {
			continue
		}
		s := left[rand.IntN(len(left))]
		for _, f := range x.w.fronts {
			if f.front == s {
				return f
			}
		}
	}
	return nil
}

// disturbed has the times from and to which a front is not in touch, without contact-ms after it.
type disturbed struct{ from, to time.Duration }

const contactTime = 3 * time.Second

// rejoinCase: in a drill the store has come back from a copy, some time before the fleet is started. A front is killed
// while the others have run for some seconds. Rule LOST on streams that clients take up again.
func rejoinCase(w *world) (string, error) {
	w.store.put("op", "config", config(7))
	if os.Getenv("DRILL") != "0" {
		x := w.store.copy()
		w.store.put("op", "config", config(8))
		w.store.leave()
		time.Sleep(time.Second)
		w.store.restore(x)
	}
	w.store.put("op", "config", config(8))
	if _, err := w.addReplicas(llmService, modelName, "v1", 4, 64); err != nil {
		return "", err
	}
	started := time.Now()
	if err := w.addFronts(4); err != nil {
		return "", err
	}
	time.Sleep(10*time.Second - time.Since(started))
	var mu sync.Mutex
	var calls []*streamCall
	trouble := map[string]disturbed{}
	stop := time.Now().Add(12 * time.Second)
	for range 100 {
		w.wait.Go(func() {
			time.Sleep(rand.N(1500 * time.Millisecond))
			for time.Now().Before(stop) {
				var failed []string
				s := runStream(w.record, streamPlan{path: chatPath, key: apiKey, model: modelName, events: 57, gapMs: 150, deadline: 15 * time.Second, retries: 3}, func(_ int, last *front) *front {
					if last != nil {
						failed = append(failed, last.front)
					}
					return resolver{w}.choose(failed)
				})
				mu.Lock()
				calls = append(calls, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		f := w.fronts[0]
		from := w.record.now()
		mu.Lock()
		trouble[f.name] = disturbed{from, time.Hour}
		mu.Unlock()
		f.kill()
		time.Sleep(time.Second)
		if err := f.start(); err != nil {
			return "", err
		}
		mu.Lock()
		trouble[f.name] = disturbed{from, w.record.now()}
		mu.Unlock()
	}
	w.wait.Wait()
	inTouch := func(name string, at time.Duration) bool {
		d, ok := trouble[name]
		return !ok || at < d.from || at > d.to+contactTime
	}
	begun, began, taken, on, refused := 0, 0, 0, 0, 0
	for _, s := range calls {
		up, went := false, false
		for i, x := range s.attempts {
			switch {
			case i == 0 && inTouch(x.front, x.at):
				begun++
				if x.events > 0 {
					began++
				}
			case x.after > 0 && (x.status != 0 || x.err == nil) && inTouch(x.front, x.at):
				up = true
				if x.status == http.StatusServiceUnavailable {
					refused++
				}
			}
			went = went || x.after > 0 && (x.events > 0 || x.complete)
		}
		if up {
			taken++
			if went {
				on++
			}
		}
	}
	w.record.say("at machines in touch: %d streams begun, of which %d began; %d taken up again (%d refusals), of which %d went on", begun, began, taken, refused, on)
	if taken >= 12 && begun > 0 && float64(on)/float64(taken) < 0.5*float64(began)/float64(begun) {
		return fmt.Sprintf("LOST: %d of %d streams that clients took up again at machines in touch went on, while %d of %d new ones began", on, taken, began, begun), nil
	}
	return "", nil
}
