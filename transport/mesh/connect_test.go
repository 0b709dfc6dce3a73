package mesh_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gentiangauge.example/gentiangauge/transport/mesh"
)

// upstream accepts connections and hands each to serve.
func upstream(t *testing.T, serve func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// newForwarder returns the mesh address of an instance that forwards connections.
func newForwarder(t *testing.T) (string, *mesh.Mesh, context.CancelFunc) {
	address, m, stop := serve(t)
	m.DialUpstream = func(c context.Context, a string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(c, "tcp", a)
	}
	return address, m, stop
}

func echoServer(c net.Conn) {
	_, _ = io.Copy(c, c)
	_ = c.Close()
}

// Data goes both ways through another instance, and the upstream sees the caller leave.
func TestConnectionThroughAnotherInstance(t *testing.T) {
	via, _, stop := newForwarder(t)
	defer stop()
	closed := make(chan struct{})
	address := upstream(t, func(c net.Conn) { echoServer(c); close(closed) })
	client := newMesh("client")
	n, err := client.Connect(t.Context(), via, address)
	if err != nil {
		t.Fatal(err)
	}
	sent := make([]byte, 200_000)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	go func() { _, _ = n.Write(sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(n, got); err != nil || string(got) != string(sent) {
		t.Fatalf("%v", err)
	}
	_ = n.Close()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("the upstream keeps a connection that its caller has closed")
	}
}

// An upstream closes its connection, resets it, refuses it, or the instance between ends. Only a closed
// one ends without an error.
func TestEndOfAConnectionThroughAnotherInstance(t *testing.T) {
	via, m, stop := newForwarder(t)
	client := newMesh("client")
	receive := func(address string) (string, error) {
		n, err := client.Connect(t.Context(), via, address)
		if err != nil {
			return "", err
		}
		defer n.Close()
		b, err := io.ReadAll(n)
		return string(b), err
	}
	if b, err := receive(upstream(t, func(c net.Conn) { _, _ = c.Write([]byte("all")); _ = c.Close() })); b != "all" || err != nil {
		t.Errorf("closed: %q, %v", b, err)
	}
	reset := upstream(t, func(c net.Conn) {
		_, _ = c.Write([]byte("part"))
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	if b, err := receive(reset); b != "part" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("reset: %q, %v", b, err)
	}
	m.DialUpstream = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	if _, err := receive("x"); !errors.Is(err, mesh.ErrUpstreamRefused) {
		t.Errorf("refused: %v", err)
	}
	m.DialUpstream = func(context.Context, string) (net.Conn, error) { return nil, syscall.ETIMEDOUT }
	if _, err := receive("x"); !errors.Is(err, mesh.ErrUpstreamSilent) {
		t.Errorf("silent: %v", err)
	}
	m.DialUpstream = func(context.Context, string) (net.Conn, error) { return nil, mesh.ErrRefused }
	if _, err := receive("x"); !errors.Is(err, mesh.ErrRefused) {
		t.Errorf("full: %v", err)
	}
	m.DialUpstream = nil
	if _, err := receive("x"); !errors.Is(err, mesh.ErrRefused) {
		t.Errorf("not forwarded: %v", err)
	}
	m.DialUpstream = func(c context.Context, a string) (net.Conn, error) { return (&net.Dialer{}).DialContext(c, "tcp", a) }
	n, err := client.Connect(t.Context(), via, upstream(t, func(c net.Conn) { _, _ = c.Write([]byte("part")); echoServer(c) }))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(n, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	stop()
	if _, err := n.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("the instance between has ended: %v", err)
	}
	if _, err := receive("x"); !errors.Is(err, mesh.ErrUnreachable) {
		t.Errorf("unreachable: %v", err)
	}
}

// One caller reads nothing of a large response. Other connections through the same instance, and calls to
// it, go on.
func TestSlowReaderDoesNotStallOthers(t *testing.T) {
	via, _, stop := newForwarder(t)
	defer stop()
	client := newMesh("client")
	slow, err := client.Connect(t.Context(), via, upstream(t, func(c net.Conn) {
		b := make([]byte, 1<<20)
		for range 16 {
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	time.Sleep(200 * time.Millisecond)
	c, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 20 {
		n, err := client.Connect(c, via, upstream(t, echoServer))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(n, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		_ = n.Close()
		if _, err := mesh.Call[echo, echo](c, client, via, "echo", &echo{Text: "x"}); err != nil {
			t.Fatal(err)
		}
	}
}

// A call for a connection that is cancelled while the upstream does not answer leaves nothing behind.
func TestCancelledConnectEnds(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	via, m, stop := newForwarder(t)
	m.DialUpstream = func(c context.Context, _ string) (net.Conn, error) {
		<-c.Done()
		return nil, c.Err()
	}
	client := newMesh("client")
	c, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Connect(c, via, "x"); !errors.Is(err, mesh.ErrUnreachable) {
		t.Errorf("%v", err)
	}
	client.Disconnect(via)
	stop()
}
