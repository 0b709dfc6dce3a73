package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	drawings = "drawings"
	archive  = "archive"
	// encoded is the path of the drawing old/17, whose name is one segment. The slash in it is no delimiter.
	encoded = "/files/old%2F17"
)

// split plays a route that is split by a new configuration. Clients send requests to both routes, and to a path with
// an encoded slash.
func split(s *scene) (int, error) {
	routes := []map[string]any{fileRoute("files", "/files/", drawings)}
	s.putSplit(1, routes)
	for i := range 4 {
		r := &replica{
			id: fmt.Sprintf("%s-%d", []string{drawings, archive}[i%2], i/2+1), service: []string{drawings, archive}[i%2], zone: fmt.Sprintf("zone-%c", 'a'+i/2), address: "127.0.0.1:0", slots: 16, queue: 16,
			work: 20 * time.Millisecond, newest: func(string) int64 { return 1 }, ran: s.ran, note: s.note, store: s.store,
		}
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
	time.Sleep(time.Second)
	paths := map[string]string{}
	s.askFiles("before", all, paths)
	if s.trouble {
		routes = append(routes, fileRoute("old-files", "/files/old/", archive))
		s.putSplit(2, routes)
		s.note("configuration 2 is acknowledged")
	}
	// config-apply-ms is 2,000.
	time.Sleep(4 * time.Second)
	s.askFiles("after", all, paths)
	wrong := 0
	for _, x := range s.allRuns() {
		service, _, _ := strings.Cut(x.replica, "-")
		if p := paths[x.id]; !allows(routes, p, service) {
			s.note("%s with path %s was run by service %s, to which no configuration sends it", x.id, p, service)
			wrong++
		}
	}
	s.note("%d requests were run by a service to which no configuration sends them", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

func fileRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "kind": "unsafe", "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2,
		"service": service, "max-attempts": 1, "no-auth": false, "sticky": false, "resumable": false,
	}
}

// putSplit writes a configuration with some routes.
func (s *scene) putSplit(version int, routes []map[string]any) {
	services := []map[string]any{}
	for _, n := range []string{drawings, archive} {
		services = append(services, map[string]any{"name": n, "health-path": "/healthz", "max-conns": 780, "protocol": "h1", "tls": false})
	}
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "guild", "api-keys": []string{"key-guild"}, "priority": 1, "unit": "requests", "plain-tokens": 1, "rate-per-s": 1000, "burst": 1000}},
	})
}

// askFiles sends requests to all machines, and adds their paths by their ids.
func (s *scene) askFiles(when string, all []*machine, paths map[string]string) {
	for i, p := range []string{"/files/new/17", "/files/old/17", encoded} {
		for _, m := range all {
			id := fmt.Sprintf("%s-%d-%s", when, i, m.name)
			paths[id] = p
			a := s.send(m.front, request{method: http.MethodPost, path: p, id: id, key: "key-guild", deadline: 3 * time.Second})
			s.note("client sends %s to %s, POST %s: status %d, stamp %s, error %v", id, m.name, p, a.status, a.header.Get("X-Server-Stamp"), a.err)
		}
	}
}

// allows reports whether any configuration sends a path to a service: the first one has the first route alone, the
// newest one all. The route is the one with the longest prefix that begins the path.
func allows(routes []map[string]any, path, service string) bool {
	for n := 1; n <= len(routes); n++ {
		best, to := 0, ""
		for _, r := range routes[:n] {
			if p := r["path-prefix"].(string); strings.HasPrefix(path, p) && len(p) > best {
				best, to = len(p), r["service"].(string)
			}
		}
		if to == service {
			return true
		}
	}
	return false
}

func init() { cases["split"] = split }
