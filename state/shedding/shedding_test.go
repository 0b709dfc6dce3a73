package shedding_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/shedding"
)

// The smallest machine of the users.
const (
	memory      = 136 << 20
	descriptors = 2870
	bodyLimit   = 4 << 20
)

// world is an account with a clock of its own.
type world struct {
	*shedding.Account
	now time.Duration
	// yielded has how connections yielded: true if as a whole.
	yielded map[string]bool
}

func newWorld() *world {
	w := &world{yielded: map[string]bool{}}
	w.Account = shedding.New(shedding.NewLimits(memory, descriptors), func() time.Duration { return w.now })
	return w
}

func (w *world) open(d shedding.Door, name string, p shedding.Phase) *shedding.Connection {
	k, ok := w.Open(d, func(whole bool) { w.yielded[name] = whole })
	if !ok {
		return nil
	}
	k.SetPhase(p)
	return k
}

// receive has a body of a connection take memory, and reports whether there was enough.
func (w *world) receive(k *shedding.Connection, n shedding.Bytes) bool {
	k.CountReceived(int(n))
	ok, _ := w.Claim(shedding.Requests, k).Grow(n)
	return ok
}

// fill has large bodies take all memory that they may, and returns their connections.
func (w *world) fill() (l []*shedding.Connection) {
	for i := 0; ; i++ {
		k := w.open(shedding.Callers, fmt.Sprint("large", i), shedding.Receiving)
		if !w.receive(k, bodyLimit) {
			return l
		}
		l = append(l, k)
	}
}

// Bodies that have stopped yield to a new one once that is seen, and not before. Small bodies need not wait for that.
func TestStoppedBodiesYieldMemory(t *testing.T) {
	w := newWorld()
	crowd := w.fill()
	if len(crowd) < 2 {
		t.Fatalf("only %d bodies of %d bytes fit", len(crowd), bodyLimit)
	}
	if !w.receive(w.open(shedding.Callers, "small", shedding.Receiving), 32<<10) {
		t.Error("a small body finds no memory beside large ones")
	}
	ordinary := w.open(shedding.Callers, "ordinary", shedding.Receiving)
	if w.receive(ordinary, bodyLimit) || len(w.yielded) > 0 {
		t.Fatalf("%d bodies yielded before anything was known of them", len(w.yielded))
	}
	w.now += time.Second
	if w.receive(ordinary, bodyLimit) {
		t.Error("memory was taken twice")
	}
	if whole, ok := w.yielded["large0"]; len(w.yielded) != 1 || ok && whole {
		t.Errorf("yielded: %v, want the request of one connection", w.yielded)
	}
}

// A body that goes on keeps its memory, and so does a request that runs, however long it takes.
func TestProgressAndRunningRequestsKeepMemory(t *testing.T) {
	w := newWorld()
	crowd := w.fill()
	ordinary := w.open(shedding.Callers, "ordinary", shedding.Receiving)
	w.receive(ordinary, bodyLimit)
	for range 20 {
		w.now += 500 * time.Millisecond
		for i, k := range crowd {
			if i%2 == 0 {
				k.CountReceived(100 << 10)
			} else if !k.SetPhase(shedding.Running) {
				t.Fatal("a connection that had not yielded may not run its request")
			}
		}
		w.receive(ordinary, bodyLimit)
	}
	if len(w.yielded) > 0 {
		t.Errorf("yielded: %v", w.yielded)
	}
}

// A request whose connection has yielded may not run any more.
func TestYieldedRequestDoesNotRun(t *testing.T) {
	w := newWorld()
	crowd := w.fill()
	ordinary := w.open(shedding.Callers, "ordinary", shedding.Receiving)
	w.receive(ordinary, bodyLimit)
	w.now += time.Second
	w.receive(ordinary, bodyLimit)
	refused := 0
	for _, k := range crowd {
		if !k.SetPhase(shedding.Running) {
			refused++
		}
	}
	if refused != len(w.yielded) || refused == 0 {
		t.Errorf("%d requests may not run, %d connections yielded", refused, len(w.yielded))
	}
}

// Answers that nobody reads yield to the bodies of others.
func TestUnreadAnswersYieldMemory(t *testing.T) {
	w := newWorld()
	k := w.open(shedding.Callers, "unread", shedding.Running)
	x := w.Claim(shedding.Responses, k)
	for {
		if ok, _ := x.Grow(1 << 20); !ok {
			break
		}
	}
	k.BeginWrite()
	y := w.Claim(shedding.Responses, nil)
	for range 4 {
		w.now += 600 * time.Millisecond
		if ok, _ := y.Grow(1 << 20); ok {
			t.Fatal("memory was taken twice")
		}
	}
	if whole, ok := w.yielded["unread"]; !ok || !whole {
		t.Errorf("yielded: %v, want the connection", w.yielded)
	}
	x.ShrinkTo(0)
	if ok, _ := y.Grow(1 << 20); !ok {
		t.Error("no memory after it was given back")
	}
}

// Idle connections yield to new ones, the one that has been idle for longest first, but not to those that are used.
func TestIdleConnectionsYieldPlaces(t *testing.T) {
	w := newWorld()
	bound := w.Limits().Connections[shedding.Lookups]
	for i := range bound {
		w.open(shedding.Lookups, fmt.Sprint(i), shedding.Running)
	}
	if w.open(shedding.Lookups, "refused", shedding.Running) != nil {
		t.Error("a connection over the bound was admitted though all others are used")
	}
	w = newWorld()
	for i := range bound {
		w.open(shedding.Lookups, fmt.Sprint(i), map[bool]shedding.Phase{true: shedding.Idle, false: shedding.Running}[i > 0])
	}
	if w.open(shedding.Lookups, "new", shedding.Running) == nil || !w.yielded["1"] || len(w.yielded) != 1 {
		t.Errorf("yielded: %v, want connection 1", w.yielded)
	}
}

// Connections without a request yield to new ones, also if all are.
func TestSilentConnectionsYieldPlaces(t *testing.T) {
	w := newWorld()
	bound := w.Limits().Connections[shedding.Callers]
	for i := range 3 * bound {
		if w.open(shedding.Callers, fmt.Sprint(i), shedding.Opening) == nil {
			t.Fatalf("connection %d was refused", i)
		}
	}
	if n := w.Status().Open[shedding.Callers]; n != bound {
		t.Errorf("%d connections are open, want %d", n, bound)
	}
	if n := w.open(shedding.Checks, "check", shedding.Running); n == nil {
		t.Error("a readiness check was refused")
	}
}

// peaks are bounds of the connections that one instance of the users' deployments had at a time on standard days, with the
// memory of its machine in megabytes.
var peaks = []struct{ megabytes, connections int }{{206, 260}, {136, 100}}

// The loads of the users' deployments stay within the limits: connections, with bodies of the largest size in their
// traffic, and a single body of the largest size that they allow.
func TestUsersLoadsStayWithinTheLimits(t *testing.T) {
	const largest = 28 << 10
	for _, p := range peaks {
		l := shedding.NewLimits(shedding.Bytes(p.megabytes<<20), descriptors)
		w := &world{yielded: map[string]bool{}}
		w.Account = shedding.New(l, func() time.Duration { return w.now })
		for i := range p.connections {
			if k := w.open(shedding.Callers, fmt.Sprint(i), shedding.Receiving); k == nil || !w.receive(k, largest) {
				t.Fatalf("request %d of %d was refused with %d MB", i, p.connections, p.megabytes)
			}
		}
		if !w.receive(w.open(shedding.Callers, "large", shedding.Receiving), bodyLimit+bodyLimit/4) {
			t.Errorf("a body of %d bytes finds no memory beside %d requests with %d MB", bodyLimit, p.connections, p.megabytes)
		}
		if len(w.yielded) > 0 {
			t.Errorf("%d connections yielded", len(w.yielded))
		}
	}
}

func ExampleNewLimits() {
	l := shedding.NewLimits(206<<20, 2870)
	fmt.Println(l.Held[shedding.Requests]>>20, "MiB for requests,", l.Connections[shedding.Callers], "connections of callers")
	// Output: 92 MiB for requests, 494 connections of callers
}
