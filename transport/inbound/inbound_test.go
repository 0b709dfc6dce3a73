package inbound_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/inbound"
)

// services returns the services of listeners with few places: three for callers, one for checks.
func services() inbound.Services {
	t := timer.New()
	return inbound.Services{Account: shedding.New(shedding.NewLimits(136<<20, 20), t.Boot), Timer: t, Log: zap.NewNop(), StallTimeout: 50 * time.Millisecond}
}

func listen(t *testing.T, d shedding.Door, s inbound.Services) *inbound.Listener {
	t.Helper()
	l, err := inbound.Listen("127.0.0.1:0", d, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// A server has as many idle connections as it may. A new one is served, and the one that was idle for longest is closed.
func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	s := services()
	l := listen(t, shedding.Callers, s)
	x := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	inbound.Configure(x, s.Log)
	// A client may have its response before the server takes the connection for idle.
	idle, state := make(chan struct{}), x.ConnState
	x.ConnState = func(n net.Conn, h http.ConnState) {
		state(n, h)
		if h == http.StateIdle {
			idle <- struct{}{}
		}
	}
	go func() { _ = x.Serve(l) }()
	t.Cleanup(func() { _ = x.Close() })
	var all []net.Conn
	for range s.Account.Limits().Connections[shedding.Callers] + 1 {
		c := dial(t, l)
		all = append(all, c)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if n, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatalf("connection %d: read %d bytes: %v", len(all), n, err)
		}
		<-idle
	}
	if err := all[0].SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, all[0]); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
	status := s.Account.Status()
	if n := status.Counts.Yielded[shedding.Yielded{Door: shedding.Callers, Phase: shedding.Idle}]; n != 1 {
		t.Errorf("%d idle connections yielded, want 1", n)
	}
}

// A client reads nothing of what it is sent: the write fails, and the connection no longer counts once it is closed.
func TestWriteToAClientThatDoesNotReadFails(t *testing.T) {
	s := services()
	l := listen(t, shedding.Callers, s)
	dial(t, l)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 16<<20)
	if n, err := c.Write(b); !errors.Is(err, os.ErrDeadlineExceeded) || n == len(b) {
		t.Errorf("%d bytes were written, %v", n, err)
	}
	_ = c.Close()
	_ = c.Close()
	if n := s.Account.Status().Open[shedding.Callers]; n != 0 {
		t.Errorf("%d connections count", n)
	}
}

// A body that has yielded cannot be read on, and a new read deadline does not change that.
func TestYieldedBodyIsNotRead(t *testing.T) {
	s := services()
	l := listen(t, shedding.Callers, s)
	client := dial(t, l)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	k, ok := c.(*inbound.Conn)
	if !ok {
		t.Fatalf("accepted a %T", c)
	}
	k.SetPhase(shedding.Receiving)
	x := s.Account.Claim(shedding.Requests, k.Usage())
	for {
		if ok, _ := x.Grow(1 << 20); !ok {
			break
		}
	}
	y := s.Account.Claim(shedding.Requests, nil)
	for end := time.Now().Add(10 * time.Second); len(s.Account.Status().Counts.Yielded) == 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, _ = y.Grow(1 << 20)
	}
	_ = k.SetReadDeadline(time.Time{})
	_, _ = io.WriteString(client, "more")
	if _, err := k.Read(make([]byte, 4)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read with %v", err)
	}
	if k.SetPhase(shedding.Running) {
		t.Error("the request may run")
	}
}

// A handler panics. The operators find that in the log, with the other lines of the instance.
func TestPanicOfAHandlerIsLogged(t *testing.T) {
	s := services()
	core, lines := observer.New(zap.InfoLevel)
	s.Log = zap.New(core)
	l := listen(t, shedding.Callers, s)
	x := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(0) })}
	inbound.Configure(x, s.Log)
	go func() { _ = x.Serve(l) }()
	t.Cleanup(func() { _ = x.Close() })
	c := dial(t, l)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if n, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("%d bytes, %v", n, err)
	}
	if all := lines.All(); len(all) != 1 || all[0].LoggerName != "http" || !strings.Contains(all[0].Message, "invalid WriteHeader code 0") {
		t.Errorf("lines %+v", all)
	}
}
