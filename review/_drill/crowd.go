package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the drill crowd. The limit of a body is that of the pages' example of a configuration, the
// memory that of their machines, the burst the largest one of the site file.
const (
	maxBodyBytes   = 4194304
	memoryLimit    = 206 << 20
	usualClients   = 48
	burstClients   = 124 // 2.6 times as many
	burstTime      = 4900 * time.Millisecond
	usualTime      = 8 * time.Second
	uploadBytes    = 4000000
	loginBytes     = 1000
	uploadPerS     = 1250000
	uploadDeadline = 12 * time.Second
	workTime       = 2 * time.Second
	loginTime      = 20 * time.Millisecond
	// linkUploads is the number of uploads that fill the link of a machine (700 Mbit/s). A machine with more counts as
	// slowed, then and for chokedTime after it.
	linkUploads = 69
	chokedTime  = 5 * time.Second
	// lostAllowed is the number of requests of the rule LOST that may be lost at any time.
	lostAllowed = 3
)

const (
	host = "uploads.example"
	key  = "k3y-of-the-only-tenant"
)

// link is the link of a machine, with the uploads that are on their way.
type link struct {
	mu       sync.Mutex
	uploads  int
	most     int
	chokedAt time.Time
}

func (l *link) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uploads += n
	l.most = max(l.most, l.uploads)
	if l.uploads > linkUploads {
		l.chokedAt = time.Now()
	}
}

// choked reports whether the machine counts as slowed.
func (l *link) choked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.chokedAt.IsZero() && time.Since(l.chokedAt) < chokedTime
}

// slowReader yields size bytes at a rate.
type slowReader struct {
	left  int
	began time.Time
	sent  int
}

func (r *slowReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if r.began.IsZero() {
		r.began = time.Now()
	}
	n := min(len(b), r.left, 32<<10)
	for i := range b[:n] {
		b[i] = 'u'
	}
	r.left, r.sent = r.left-n, r.sent+n
	time.Sleep(time.Until(r.began.Add(time.Duration(float64(r.sent) / uploadPerS * float64(time.Second)))))
	return n, nil
}

// plainReplica is a sound replica of an application that stores uploads.
type plainReplica struct {
	id, address string
	record      *record
	mu          sync.Mutex
	ran         map[string]int
}

func (p *plainReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", p.id)
		return
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.ran[id]++
	p.mu.Unlock()
	p.record.add("request %s runs at replica %s, %d bytes", id, p.id, n)
	work := workTime
	if n <= loginBytes {
		work = loginTime
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Stamp", "stamp."+p.id)
	_, _ = w.Write([]byte(strings.Repeat("s", 800)))
}

// beat writes the row of a replica until c ends.
func beat(c context.Context, s *store, id string, value func() any) {
	for {
		data, err := json.Marshal(value())
		if err != nil {
			panic(err)
		}
		s.put("servers", id, data)
		select {
		case <-c.Done():
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

type crowd struct {
	record   *record
	replicas []*plainReplica
	fronts   []string
	links    map[string]*link
	// excused is the number of requests that were lost at a machine whose link was choked.
	excused   int
	answered  atomic.Int64
	failed    atomic.Int64
	mu        sync.Mutex
	lost      []string
	sequence  atomic.Int64
	statusMu  sync.Mutex
	statusAll map[int]int
}

// client sends one upload after the other until c ends. It keeps its connection while that works, and goes to
// another machine if it does not.
func (d *crowd) client(c context.Context, first int) {
	for k := first; c.Err() == nil; k++ {
		front := d.fronts[k%len(d.fronts)]
		t := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1}
		k := &http.Client{Transport: t}
		for n := 0; c.Err() == nil; n++ {
			if !d.upload(k, front, n > 0) {
				break
			}
			time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
		}
		t.CloseIdleConnections()
		time.Sleep(300 * time.Millisecond)
	}
}

// upload sends one request and reports whether it was answered with success. The first one of a connection is small.
func (d *crowd) upload(k *http.Client, front string, second bool) bool {
	size := loginBytes
	if second {
		size = uploadBytes
	}
	id := fmt.Sprintf("%016x", d.sequence.Add(1))
	x, cancel := context.WithTimeout(context.Background(), uploadDeadline)
	defer cancel()
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused && second }}
	q, err := http.NewRequestWithContext(httptrace.WithClientTrace(x, trace), http.MethodPost, "http://"+front+"/uploads/u", io.NopCloser(&slowReader{left: size}))
	if err != nil {
		panic(err)
	}
	q.ContentLength, q.Host = int64(size), host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(uploadDeadline.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+key)
	d.record.add("request %s sent to %s", id, front)
	l := d.links[front]
	if second {
		l.add(1)
	}
	a, err := k.Do(q)
	if second {
		l.add(-1)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	if err != nil {
		d.failed.Add(1)
		d.record.add("request %s gets no answer, kept connection %v: %v", id, kept, err)
		if kept && x.Err() == nil && d.hasRun(id) {
			d.mu.Lock()
			if l.choked() {
				d.excused++
			} else {
				d.lost = append(d.lost, id)
			}
			d.mu.Unlock()
		}
		return false
	}
	d.statusMu.Lock()
	d.statusAll[a.StatusCode]++
	d.statusMu.Unlock()
	d.record.add("request %s is answered %d", id, a.StatusCode)
	d.answered.Add(1)
	return a.StatusCode == http.StatusOK
}

func (d *crowd) hasRun(id string) bool {
	for _, p := range d.replicas {
		p.mu.Lock()
		n := p.ran[id]
		p.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// runCrowd plays many users that come at once, each with an upload within the limits of the configuration.
func runCrowd(k *record, folder string, trouble bool) (broken bool, err error) {
	dep, err := readDeployment()
	if err != nil {
		return false, err
	}
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newStore()
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(storeListener, s) }()
	d := &crowd{record: k, statusAll: map[int]int{}, links: map[string]*link{}}
	for n := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		p := &plainReplica{id: fmt.Sprintf("i-%08x", 100+n), address: l.Addr().String(), record: k, ran: map[string]int{}}
		d.replicas = append(d.replicas, p)
		go func() { _ = http.Serve(l, p) }()
		born := time.Now().UnixMilli()
		go beat(c, s, p.id, func() any {
			return map[string]any{"service": "app", "address": p.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": time.Now().UnixMilli(), "born": born}
		})
	}
	s.put("op", "config", []byte(`{"version":3,"routes":[{"name":"uploads","host":"`+host+`","path-prefix":"/uploads/","kind":"unsafe","timeout-ms":12000,"target-latency-ms":5000,"priority":1,"service":"app","max-attempts":1,"no-auth":false}],`+
		`"services":[{"name":"app","health-path":"/healthz","max-conns":500,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":`+fmt.Sprint(maxBodyBytes)+`,"header-timeout-ms":3000,"idle-timeout-ms":15000},`+
		`"tenants":[{"name":"tenant-1","api-keys":["`+key+`"],"priority":1}]}`))
	var fleet []*instance
	peaks := []*peakMemory{}
	defer func() {
		for _, i := range fleet {
			i.stop()
		}
	}()
	for n := range 2 {
		i, err := newInstance(dep, folder, fmt.Sprintf("front-%d", n+1), "zone-a", fmt.Sprintf("127.0.77.%d", n+1), storeListener.Addr().String(), k)
		if err != nil {
			return false, err
		}
		fleet = append(fleet, i)
		if err := i.start(); err != nil {
			return false, err
		}
		d.fronts = append(d.fronts, i.front)
		d.links[i.front] = &link{}
		p := &peakMemory{}
		peaks = append(peaks, p)
		go i.supervise(memoryLimit, p)
	}
	if err := awaitReady(fleet); err != nil {
		return false, err
	}
	begin := func(n int, c context.Context) {
		for first := range n {
			go func() {
				time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
				d.client(c, first)
			}()
		}
	}
	begin(usualClients, c)
	time.Sleep(usualTime)
	for n, p := range peaks {
		k.add("before the burst: %s has had at most %d bytes of anonymous memory", fleet[n].name, p.n)
	}
	if trouble {
		x, stop := context.WithTimeout(c, burstTime)
		defer stop()
		more := burstClients - usualClients
		k.add("burst: %d more clients for %v", more, burstTime)
		begin(more, x)
	}
	time.Sleep(burstTime + 6*time.Second)
	cancel()
	kills, threeTimes := 0, 0
	for n, i := range fleet {
		i.mu.Lock()
		kills += i.killedForMemory
		if i.killedForMemory >= 3 {
			threeTimes++
		}
		k.add("%s: killed for its memory %d times, peak %d bytes", i.name, i.killedForMemory, peaks[n].n)
		i.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range fleet {
		l := d.links[i.front]
		l.mu.Lock()
		k.add("%s: at most %d requests with uploads at a time, link full with %d, ever choked: %v", i.name, l.most, linkUploads, !l.chokedAt.IsZero())
		l.mu.Unlock()
	}
	k.add("answered: %v; no answer: %d; LOST: %d requests from kept connections ran at a sound replica and had no answer, %d allowed, %d more at machines that were choked; processes killed for their memory: %d; machines with three such ends: %d",
		d.statusAll, d.failed.Load(), len(d.lost), lostAllowed, d.excused, kills, threeTimes)
	if d.answered.Load() == 0 {
		return false, fmt.Errorf("nothing was answered")
	}
	return len(d.lost) > lostAllowed, nil
}

func awaitReady(fleet []*instance) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, i := range fleet {
			if a, err := http.Get("http://" + i.ready + "/api/ready"); err == nil {
				_ = a.Body.Close()
				if a.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(fleet) {
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready in time")
}
