package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the drill version: the bounds of the pages, a silence of the store no longer than the longest one
// of the site file (6 s), and a process that is back sooner than those of the site file (3.5 s).
const (
	versionTime = 5 * time.Second
	contactTime = 3 * time.Second
	silence     = 6 * time.Second
	killAfter   = 1700 * time.Millisecond
	away        = 500 * time.Millisecond
	chatHost    = "chat.example"
	adapterName = "a1"
	modelName   = "m0"
)

type beginning struct {
	version int
	at      time.Time
}

// chat is the clients and engines of the drill version.
type chat struct {
	record   *record
	sequence atomic.Int64
	served   atomic.Int64
	mu       sync.Mutex
	begun    map[string][]beginning
	sent     map[string]time.Time
	sentTo   map[string]string
}

func newChat(k *record) *chat {
	return &chat{record: k, begun: map[string][]beginning{}, sent: map[string]time.Time{}, sentTo: map[string]string{}}
}

// chatConfig returns a version of the configuration, which has one resumable route with a timeout.
func chatConfig(version, timeoutMs int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"chat","host":%q,"path-prefix":"/chat/","kind":"stream","timeout-ms":%d,"target-latency-ms":800,"priority":1,"service":"llm","max-attempts":2,"no-auth":false,"sticky":true,"resumable":true,"gap-aim-ms":300}],`+
		`"services":[{"name":"llm","health-path":"/healthz","max-conns":771,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity-tokens":150386,"models":[{"name":%q,"weights-mb":65100,"load-s":2.9,"adapters":3000,"adapter-mb":12}],"weights-mb":66500,"adapter-slots":%d,"loads-per-s":4.3}}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":[%q],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":1000000,"burst":1000000}]}`,
		version, chatHost, timeoutMs, modelName, adapterSlots, key)
}

// send sends a request for an adapter to an instance, reads the answer, and reports whether it was served.
func (d *chat) send(i *instance, adapter string) bool {
	id := fmt.Sprintf("%016x", d.sequence.Add(1))
	c, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+i.front+"/chat/c", http.NoBody)
	if err != nil {
		panic(err)
	}
	q.Host = chatHost
	for k, v := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "4000", "Authorization": "Bearer " + key, "X-Model": modelName + "/" + adapter,
		"X-Token-Usage": "2300,24", "X-Prompt-Prefix": "5c1e07a2:568," + id + ":1732",
	} {
		q.Header.Set(k, v)
	}
	d.mu.Lock()
	d.sent[id], d.sentTo[id] = time.Now(), i.name
	d.mu.Unlock()
	d.record.add("request %s for %s sent to %s", id, adapter, i.name)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		d.record.add("request %s gets no answer: %v", id, err)
		return false
	}
	_, err = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	d.record.add("request %s is answered %d, weight version %q, error %v", id, a.StatusCode, a.Header.Get("X-Weight-Versions"), err)
	if a.StatusCode != http.StatusOK || err != nil {
		return false
	}
	d.served.Add(1)
	return true
}

// traffic sends requests for one adapter at a rate until c ends.
func (d *chat) traffic(c context.Context, i *instance, perS float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			go d.send(i, adapterName)
		}
	}
}

// runVersion plays a machine that is killed and starts again while the store is silent. Long before that, a
// new version of an adapter was named.
func runVersion(k *record, folder string, trouble bool) (broken bool, err error) {
	dep, err := readDeployment()
	if err != nil {
		return false, err
	}
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(l, s) }()
	d := newChat(k)
	var engines []*engine
	for n := range 2 {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		e := newEngine(fmt.Sprintf("i-%08x", 200+n), x.Addr().String(), modelName, k)
		e.onBegin = func(id, _ string, v int) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.begun[id] = append(d.begun[id], beginning{version: v, at: time.Now()})
		}
		engines = append(engines, e)
		go func() { _ = http.Serve(x, e) }()
		go beat(c, s, e.id, e.row)
	}
	s.put("op", "config", chatConfig(3, 4000))
	s.put("op", "version/"+modelName+"."+adapterName, []byte(fmt.Sprintf(`{"model":%q,"adapter":%q,"version":1}`, modelName, adapterName)))
	var fleet []*instance
	defer func() {
		for _, i := range fleet {
			i.stop()
		}
	}()
	for n := range 2 {
		i, err := newInstance(dep, folder, fmt.Sprintf("front-%d", n+1), "zone-a", fmt.Sprintf("127.0.78.%d", n+1), l.Addr().String(), k)
		if err != nil {
			return false, err
		}
		fleet = append(fleet, i)
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(fleet); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// So much traffic that both engines get the adapter.
	x, stop := context.WithCancel(c)
	go d.traffic(x, fleet[0], 14)
	go d.traffic(x, fleet[1], 14)
	for end := time.Now().Add(12 * time.Second); engines[0].version(adapterName) == 0 || engines[1].version(adapterName) == 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			stop()
			return false, errors.New("the adapter was not loaded on both engines")
		}
	}
	stop()
	time.Sleep(2 * time.Second)
	s.put("op", "version/"+modelName+"."+adapterName, []byte(fmt.Sprintf(`{"model":%q,"adapter":%q,"version":2}`, modelName, adapterName)))
	named := time.Now()
	k.add("version 2 of %s is named and acknowledged", adapterName)
	go d.traffic(c, fleet[1], 2)
	time.Sleep(versionTime + contactTime)
	k.add("%v after that: %s has version %d, %s has version %d", time.Since(named), engines[0].id, engines[0].version(adapterName), engines[1].id, engines[1].version(adapterName))
	if trouble {
		d.disrupt(k, s, fleet[0])
	}
	returned := time.Now()
	time.Sleep(contactTime)
	inTouch := time.Now()
	k.add("all machines are in touch; the clients of %s send", fleet[0].name)
	go d.traffic(c, fleet[0], 14)
	time.Sleep(3 * time.Second)
	cancel()
	time.Sleep(time.Second)
	n := 0
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.begun {
		for _, b := range l {
			if b.version < 2 && d.sent[id].After(inTouch) && b.at.Sub(named) > versionTime {
				n++
				k.add("VERSION: request %s, sent to %s by its client %.3f s after the store was back, begins on version %d", id, d.sentTo[id], d.sent[id].Sub(returned).Seconds(), b.version)
			}
		}
	}
	k.add("served: %d; begun on the old version: %d, 0 allowed", d.served.Load(), n)
	if d.served.Load() == 0 {
		return false, errors.New("nothing was served")
	}
	return n > 0, nil
}

// disrupt has the store fall silent, and kills a machine's process, which starts again meanwhile. The store
// is back as the new process waits for an answer.
func (d *chat) disrupt(k *record, s *store, i *instance) {
	k.add("the store falls silent")
	s.setSilent(true)
	began := time.Now()
	time.Sleep(killAfter)
	k.add("%s is killed", i.name)
	i.kill()
	time.Sleep(away)
	if err := i.start(); err != nil {
		k.add("%s cannot be started: %v", i.name, err)
	}
	time.Sleep(time.Until(began.Add(silence)))
	s.setSilent(false)
	k.add("the store is back after %v", time.Since(began))
}
