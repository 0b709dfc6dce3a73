package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of the drill takeup: the deadline and the retries of crafter-chat and resumen-franquicia, the time
// without an event after which their clients leave, and the dose of srv_crash: one of six engines, for 4.5 s.
const (
	takeUpDeadline = 15 * time.Second
	patience       = 3200 * time.Millisecond
	crashTime      = 4500 * time.Millisecond
	streamEvents   = 110
	streamsPerS    = 90
	streamAdapters = 33
	loadTime       = 14 * time.Second
	minTakenUp     = 12
)

// takeUp counts the streams that begin, and those that clients take up after they broke off.
type takeUp struct {
	chat                       *chat
	fleet                      []*instance
	mu                         sync.Mutex
	counting                   bool
	sent, begun, taken, wentOn int
}

// attempt is a request of a client for a stream, or for the rest of one.
type attempt struct {
	id, adapter   string
	last, resumes string
}

// outcome is what a client has got of a stream.
type outcome struct {
	events   int
	last     string
	complete bool
	status   int
}

// read sends an attempt and reads its events. The client leaves if none comes for longer than its patience.
func (d *takeUp) read(i *instance, x attempt) outcome {
	c, cancel := context.WithTimeout(context.Background(), takeUpDeadline)
	defer cancel()
	leave := time.AfterFunc(patience, cancel)
	defer leave.Stop()
	q, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+i.front+"/chat/c", http.NoBody)
	if err != nil {
		panic(err)
	}
	q.Host = chatHost
	for k, v := range map[string]string{
		"X-Request-Id": x.id, "X-Deadline-Ms": fmt.Sprint(takeUpDeadline.Milliseconds()), "Authorization": "Bearer " + key,
		"X-Model": modelName + "/" + x.adapter, "X-Token-Usage": "1460,170", "X-Prompt-Prefix": "5c1e07a2:350," + x.id + ":1110",
	} {
		q.Header.Set(k, v)
	}
	if x.last != "" {
		q.Header.Set("Last-Event-Id", x.last)
		q.Header.Set("Resumes", x.resumes)
	}
	o := outcome{last: x.last}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return o
	}
	defer a.Body.Close()
	o.status = a.StatusCode
	if o.status != http.StatusOK {
		return o
	}
	for s := bufio.NewScanner(a.Body); s.Scan(); {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			leave.Reset(patience)
			o.events, o.last = o.events+1, id
		}
	}
	o.complete = o.last == fmt.Sprint(streamEvents)
	return o
}

// client sends a request for a stream, and takes the stream up once, at another machine, if it breaks off.
func (d *takeUp) client(adapter string) {
	id := fmt.Sprintf("%016x", d.chat.sequence.Add(1))
	k := rand.IntN(len(d.fleet))
	d.mu.Lock()
	counted := d.counting
	if counted {
		d.sent++
	}
	d.mu.Unlock()
	o := d.read(d.fleet[k], attempt{id: id, adapter: adapter})
	if counted && o.events > 0 {
		d.mu.Lock()
		d.begun++
		d.mu.Unlock()
	}
	if o.events == 0 {
		d.chat.record.add("stream %s for %s at %s doesn't begin, status %d", id, adapter, d.fleet[k].name, o.status)
		return
	}
	if o.complete {
		return
	}
	i := d.fleet[(k+1)%len(d.fleet)]
	next := fmt.Sprintf("%016x", d.chat.sequence.Add(1))
	d.mu.Lock()
	counted = d.counting
	d.mu.Unlock()
	n := d.read(i, attempt{id: next, adapter: adapter, last: o.last, resumes: id})
	d.chat.record.add("stream %s for %s broke off after event %s; taken up as %s at %s: status %d, %d more events", id, adapter, o.last, next, i.name, n.status, n.events)
	if counted {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.taken++
		if n.events > 0 {
			d.wentOn++
		}
	}
}

// count begins or ends the time in which streams are counted.
func (d *takeUp) count(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counting = on
}

// runTakeUp plays the crash of an engine, while engines of two software versions serve and the places for adapters of
// all engines are in use.
func runTakeUp(k *record, folder string, trouble bool) (broken bool, err error) {
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
	var engines []*engine
	// end ends the process of an engine.
	end := map[string]func(){}
	startEngine := func(n int) error {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		e := newEngine(fmt.Sprintf("i-%08x", 500+n), x.Addr().String(), modelName, k)
		e.software, e.length = []string{"v1", "v1.1"}[n%2], streamEvents
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(x) }()
		y, stop := context.WithCancel(c)
		go beat(y, s, e.id, e.row)
		engines, end[e.id] = append(engines, e), func() { stop(); _ = server.Close() }
		return nil
	}
	for n := range 6 {
		if err := startEngine(n); err != nil {
			return false, err
		}
	}
	s.put("op", "config", chatConfig(3, 15000))
	d := &takeUp{chat: newChat(k)}
	defer func() {
		for _, i := range d.fleet {
			i.stop()
		}
	}()
	for n := range 3 {
		i, err := newInstance(dep, folder, fmt.Sprintf("front-%d", n+1), "zone-a", fmt.Sprintf("127.0.83.%d", n+1), l.Addr().String(), k)
		if err != nil {
			return false, err
		}
		d.fleet = append(d.fleet, i)
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(d.fleet); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	go func() {
		t := time.NewTicker(time.Second / streamsPerS)
		defer t.Stop()
		for {
			select {
			case <-c.Done():
				return
			case <-t.C:
				go d.client(fmt.Sprintf("a%d", 1+rand.IntN(streamAdapters)))
			}
		}
	}()
	time.Sleep(loadTime)
	for _, e := range engines {
		e.mu.Lock()
		k.add("%s of software %s runs %d requests and holds %d adapters", e.id, e.software, e.runs(), len(e.adapters))
		e.mu.Unlock()
	}
	d.count(true)
	if trouble {
		k.add("%s crashes", engines[0].id)
		end[engines[0].id]()
	}
	time.Sleep(crashTime)
	d.count(false)
	if trouble {
		if err := startEngine(6); err != nil {
			return false, err
		}
	}
	time.Sleep(patience + time.Second)
	cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	k.add("LOST: in %v %d of %d new streams began; %d of %d that clients took up went on", crashTime, d.begun, d.sent, d.wentOn, d.taken)
	if d.begun == 0 {
		return false, errors.New("no stream began")
	}
	return d.taken >= minTakenUp && 2*d.wentOn*d.sent < d.begun*d.taken, nil
}
