package main

import (
	"bufio"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the case order. On the site wtw-prod, platform_lost loses the answers of up to 0.35 of the writes for
// 4.5 s, and with how = late does these 1 to 6 s later. Here it loses one answer. The writes of lostFor are recorded.
const (
	lostFor   = 4500 * time.Millisecond
	lateBy    = 3 * time.Second
	stopAfter = 3500 * time.Millisecond
	// settled is the time after which the assignment of streams to software versions is old enough for all
	// streams that may be taken up: the longest timeout of a stream, and some seconds.
	settled = 21 * time.Second
)

// stream is a stream as its client receives it, over all tries.
type stream struct {
	id     string
	last   string
	events map[string]int
	tries  []string
	// prompt and output are the numbers of tokens that the request states.
	prompt, output int
}

var eventPattern = regexp.MustCompile(`software (\S+)`)

// receiveStream sends a request for a stream and takes it up once at another machine if its connection breaks.
func (s *scene) receiveStream(x *stream, all []*machine, at int, adapter string) {
	const deadline = 15 * time.Second
	began := time.Now()
	for try := range 3 {
		m := all[(at+try)%len(all)]
		id := x.id
		if try > 0 {
			id = fmt.Sprintf("%s-again-%d", x.id, try)
		}
		left := deadline - time.Since(began)
		s.note("client sends %s to %s, last event %q", id, m.name, x.last)
		status, wait, err := s.readEvents(x, m, id, adapter, left)
		s.note("client of %s: status %d, last event %s, error %v", id, status, x.last, err)
		x.tries = append(x.tries, fmt.Sprintf("%s %d", m.name, status))
		if status == http.StatusOK && err == nil || left < time.Second {
			return
		}
		time.Sleep(wait)
	}
}

func (s *scene) readEvents(x *stream, m *machine, id, adapter string, left time.Duration) (status int, wait time.Duration, err error) {
	c, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	r, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+m.front+"/chat/x", strings.NewReader("body of "+x.id))
	if err != nil {
		return 0, 0, err
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	r.Header.Set("Authorization", "Bearer key-guild")
	r.Header.Set("X-Model", model+"/"+adapter)
	r.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", x.prompt, x.output))
	r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:400,%x:%d", x.id, x.prompt-400))
	if x.last != "" {
		r.Header.Set("Last-Event-Id", x.last)
		r.Header.Set("Resumes", x.id)
	}
	k := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := k.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		var seconds float64
		_, _ = fmt.Sscan(a.Header.Get("Retry-After"), &seconds)
		return a.StatusCode, time.Duration(seconds * float64(time.Second)), nil
	}
	lines := bufio.NewScanner(a.Body)
	event, next := "", ""
	for lines.Scan() {
		l := lines.Text()
		if v, ok := strings.CutPrefix(l, "id: "); ok {
			next = v
		}
		event += l + "\n"
		if l == "" {
			if v := eventPattern.FindStringSubmatch(event); v != nil {
				x.events[v[1]]++
				x.last = next
			}
			event = ""
		}
	}
	return a.StatusCode, 0, lines.Err()
}

// order plays streams that begin at another software version than the planned one while the store loses the answer
// of a write, and the planned end of the process that began them.
func order(s *scene) (int, error) {
	began := make(chan time.Time, 1)
	return s.playStreams(func() {
		if s.trouble {
			s.loseAnswer(began)
		}
	}, func(all []*machine) error {
		since := time.Now()
		if s.trouble {
			select {
			case since = <-began:
			case <-time.After(3 * time.Second):
				return errors.New("no stream needed a record")
			}
		}
		time.Sleep(time.Until(since.Add(stopAfter)))
		s.note("%s gets SIGTERM", all[0].name)
		return all[0].terminate()
	})
}

// playStreams plays streams that begin at another software version than the planned one. It calls before ahead of
// the first one, and after once all are sent, and judges what the clients have received.
func (s *scene) playStreams(before func(), after func(all []*machine) error) (int, error) {
	s.putStreamConfig(64)
	for i := range 4 {
		r := s.newEngine(fmt.Sprintf("e%d", i+1), i, []string{"v1", "v1.1"}[i/2])
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
	time.Sleep(settled)
	adapter, err := s.findAdapter(all[1])
	if err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	before()
	var w sync.WaitGroup
	var streams []*stream
	for i := range 14 {
		x := &stream{id: fmt.Sprintf("s%d", i), events: map[string]int{}, prompt: 6000, output: 360}
		streams = append(streams, x)
		w.Go(func() { s.receiveStream(x, all, 0, adapter) })
		time.Sleep(8 * time.Millisecond)
	}
	if err := after(all); err != nil {
		return failed, err
	}
	w.Wait()
	mixed := 0
	for _, x := range streams {
		if len(x.events) > 1 {
			mixed++
			s.note("%s holds events of several software versions: %v (tries %v)", x.id, x.events, x.tries)
		}
	}
	s.note("%d of %d streams hold events of several software versions; more than 2 break the rule", mixed, len(streams))
	if mixed > 2 {
		return broken, nil
	}
	return held, nil
}

// putStreamConfig writes a configuration with one route of streams that may be resumed.
func (s *scene) putStreamConfig(slots int) {
	s.store.put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "chat", "host": host, "path-prefix": "/chat/", "kind": "stream", "timeout-ms": 15000, "target-latency-ms": 800, "priority": 0,
			"service": "models", "max-attempts": 2, "no-auth": false, "sticky": true, "resumable": true, "gap-aim-ms": 300,
		}},
		"services": []map[string]any{{"name": "models", "health-path": "/healthz", "max-conns": 780, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": slots, "kv-capacity-tokens": 151353, "models": []map[string]any{{"name": model, "weights-mb": 72700, "load-s": 4.3, "adapters": 3000, "adapter-mb": 66}},
			"weights-mb": 74600, "adapter-slots": 6, "loads-per-s": 2.9,
		}}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "guild", "api-keys": []string{"key-guild"}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 200000, "burst": 200000}},
	})
}

// newEngine returns an engine that holds all adapters and is not started. The parameter i chooses its zone.
func (s *scene) newEngine(id string, i int, software string) *replica {
	return &replica{
		id: id, service: "models", zone: fmt.Sprintf("zone-%c", 'a'+i%2), address: "127.0.0.1:0", slots: 64, queue: 192, adapterSlots: 6, piece: 60 * time.Millisecond, pieces: 200,
		readRate: 25.8, software: software, newest: func(string) int64 { return 1 }, ran: s.ran, note: s.note, store: s.store, adapters: map[string]int64{"a1": 1, "a2": 1, "a3": 1, "a4": 1},
	}
}

// findAdapter finds an adapter whose streams begin at v1 while nothing else runs.
func (s *scene) findAdapter(m *machine) (string, error) {
	adapter := ""
	for _, a := range []string{"a1", "a2", "a3", "a4"} {
		x := &stream{id: "probe-" + a, events: map[string]int{}, prompt: 6000, output: 360}
		status, _, err := s.probeStream(x, m, a)
		s.note("probe of %s: status %d, events %v, error %v", a, status, x.events, err)
		if status == http.StatusOK && x.events["v1"] > 0 && adapter == "" {
			adapter = a
		}
	}
	if adapter == "" {
		return "", errors.New("no adapter's streams begin at v1")
	}
	return adapter, nil
}

// probeStream reads the first events of a stream and leaves.
func (s *scene) probeStream(x *stream, m *machine, adapter string) (int, time.Duration, error) {
	return s.readEvents(x, m, x.id, adapter, 700*time.Millisecond)
}

// noteRecords notes the records of streams in the store.
func (s *scene) noteRecords() {
	rows := s.store.copyRows().rows
	n := 0
	for _, x := range rows {
		if x.Table == "streams" && !x.Tombstone {
			n++
			v, _ := base64.StdEncoding.DecodeString(x.Value)
			s.note("the store has %s/%s version %d: %s", x.Table, x.Key, x.Ver, v)
		}
	}
	s.note("the store has %d rows of records of streams", n)
}

// loseAnswer has the store lose the answer of the first record of streams, and do that write later.
func (s *scene) loseAnswer(began chan<- time.Time) {
	var mu sync.Mutex
	var since time.Time
	n := 0
	s.store.lose = func(writes []row) (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		record := slices.ContainsFunc(writes, func(w row) bool { return w.Table == "streams" })
		if since.IsZero() {
			if !record {
				return false, 0
			}
			since = time.Now()
			began <- since
		}
		if time.Since(since) > lostFor {
			return false, 0
		}
		lost := n == 0
		n++
		for _, w := range writes {
			v, _ := base64.StdEncoding.DecodeString(w.Value)
			s.note("write %d of %s/%s, answer lost: %v: %.300s", n, w.Table, w.Key, lost, v)
		}
		return lost, lateBy
	}
}

func init() { cases["order"] = order }
