package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the drill era: the store is away for a moment, and its copy is some seconds old.
const (
	copyAge     = 9 * time.Second
	awayTime    = 1500 * time.Millisecond
	rewriteTime = 300 * time.Millisecond
	applyTime   = 2 * time.Second
	lookTime    = 2 * time.Second
)

// appRoute is a route of the application.
type appRoute struct{ prefix, service string }

// appConfig returns a version of the configuration.
func appConfig(version int, l ...appRoute) []byte {
	routes := ""
	for n, r := range l {
		if n > 0 {
			routes += ","
		}
		routes += fmt.Sprintf(`{"name":"r-%d","host":%q,"path-prefix":%q,"kind":"safe","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":%q,"max-attempts":2,"no-auth":false}`, n, host, r.prefix, r.service)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"old","health-path":"/healthz","max-conns":214,"protocol":"h1","tls":false},{"name":"new","health-path":"/healthz","max-conns":214,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":[%q],"priority":1}]}`, version, routes, key)
}

// look sends a request to an instance and returns the status of the answer, or 0, and the replica that has signed it.
func look(k *record, i *instance, path string) (status int, replica string) {
	c, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+i.front+path, http.NoBody)
	if err != nil {
		panic(err)
	}
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "3000")
	q.Header.Set("Authorization", "Bearer "+key)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		k.add("request %s for %s at %s gets no answer: %v", id, path, i.name, err)
		return 0, ""
	}
	_ = a.Body.Close()
	replica = strings.TrimPrefix(a.Header.Get("X-Server-Stamp"), "stamp.")
	k.add("request %s for %s at %s is answered %d, signed by %q", id, path, i.name, a.StatusCode, replica)
	return a.StatusCode, replica
}

// runEra plays a store that comes back from a copy, and a configuration that is acknowledged after that. The store
// counts how often it has come back, from 0 or from what FIRST_ERA says.
func runEra(k *record, folder string, trouble bool) (broken bool, err error) {
	dep, err := readDeployment()
	if err != nil {
		return false, err
	}
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newStore()
	s.era, _ = strconv.Atoi(os.Getenv("FIRST_ERA"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(l, s) }()
	go s.copyEvery(c, 100*time.Millisecond)
	services := map[string]string{}
	for n := range 4 {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		service := []string{"old", "new"}[n%2]
		p := &plainReplica{id: fmt.Sprintf("i-%08x", 400+n), address: x.Addr().String(), record: k, ran: map[string]int{}}
		services[p.id] = service
		go func() { _ = http.Serve(x, p) }()
		born := time.Now().UnixMilli()
		go beat(c, s, p.id, func() any {
			return map[string]any{"service": service, "address": p.address, "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready", "cold-left-ms": 0, "seq": time.Now().UnixMilli(), "born": born}
		})
	}
	s.put("op", "config", appConfig(3, appRoute{"/first/", "old"}))
	var fleet []*instance
	defer func() {
		for _, i := range fleet {
			i.stop()
		}
	}()
	for n := range 2 {
		i, err := newInstance(dep, folder, fmt.Sprintf("front-%d", n+1), "zone-a", fmt.Sprintf("127.0.80.%d", n+1), l.Addr().String(), k)
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
	time.Sleep(copyAge + time.Second)
	v := s.put("op", "config", appConfig(4, appRoute{"/first/", "old"}))
	k.add("configuration 4, which changes nothing, is acknowledged at version %d", v)
	time.Sleep(time.Second)
	for _, i := range fleet {
		if x, _ := look(k, i, "/first/x"); x != http.StatusOK {
			return false, errors.New("the first route is not served")
		}
	}
	if trouble {
		k.add("the store is away")
		s.setAway(true)
		time.Sleep(awayTime)
		before, after := s.restore(copyAge)
		s.setAway(false)
		k.add("the store is back from a copy that is %v old, in era %d: its version was %d and is %d", copyAge, s.era, before, after)
	}
	returned := time.Now()
	time.Sleep(rewriteTime)
	v = s.put("op", "config", appConfig(4, appRoute{"/first/", "old"}))
	k.add("configuration 4 is written again, at version %d", v)
	time.Sleep(time.Until(returned.Add(contactTime + 200*time.Millisecond)))
	v = s.put("op", "config", appConfig(5, appRoute{"/first/", "new"}, appRoute{"/second/", "new"}))
	acknowledged := time.Now()
	k.add("configuration 5, which moves the route to another service and adds a second one, is acknowledged %.3f s after the store was back, at version %d", acknowledged.Sub(returned).Seconds(), v)
	time.Sleep(applyTime)
	var mu sync.Mutex
	moved, added := map[string]int{}, map[int]int{}
	for end := time.Now().Add(lookTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range fleet {
			go func() {
				_, replica := look(k, i, "/first/x")
				x, _ := look(k, i, "/second/x")
				mu.Lock()
				defer mu.Unlock()
				moved[services[replica]]++
				added[x]++
			}()
		}
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	k.add("CONFIG: requests that were sent later than %v after the acknowledgement: for the route that was moved, by service that ran them: %v; for the new route, by status: %v", applyTime, moved, added)
	return moved["old"] > 0 || added[http.StatusNotFound] > 0, nil
}
