package mesh_test

import (
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"gentiangauge.example/gentiangauge/transport/mesh"
)

// slowCloseConn is a connection whose Close does not end a pending Read until released
// is closed, as happens when the closing goroutine is not scheduled.
type slowCloseConn struct {
	net.Conn
	once     sync.Once
	closing  chan struct{}
	released chan struct{}
}

func (k *slowCloseConn) Close() error {
	k.once.Do(func() {
		close(k.closing)
		go func() {
			<-k.released
			_ = k.Conn.Close()
		}()
	})
	return nil
}

// callState returns the first stack line, with the state, of the goroutine that waits
// for a reply.
func callState() string {
	b := make([]byte, 1<<20)
	for _, g := range strings.Split(string(b[:runtime.Stack(b, true)]), "\n\n") {
		if strings.Contains(g, "mesh.(*Mesh).exchange") && strings.Contains(g, "Stream).Read") {
			head, _, _ := strings.Cut(g, "\n")
			return head
		}
	}
	return "none"
}

// TestCallBlocksWhileSessionCloses closes a session during a call. The call must block,
// not spin, until the session is closed: on a machine with one processor, spinning
// would keep the closing goroutine from running.
func TestCallBlocksWhileSessionCloses(t *testing.T) {
	defer goleak.VerifyNone(t)
	address, _, stop := serve(t)
	defer stop()
	k := &slowCloseConn{closing: make(chan struct{}), released: make(chan struct{})}
	client := newMesh("client")
	client.Dial = func(c context.Context, a string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(c, "tcp", a)
		k.Conn = conn
		return k, err
	}
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	var done sync.WaitGroup
	done.Add(2)
	go func() {
		defer done.Done()
		_, _ = mesh.Call[echo, echo](c, client, address, "slow", &echo{})
	}()
	for !strings.Contains(callState(), "[select") {
		runtime.Gosched()
	}
	go func() {
		defer done.Done()
		client.Disconnect(address)
	}()
	<-k.closing
	for range 50 {
		runtime.Gosched()
		if s := callState(); !strings.Contains(s, "[select") {
			t.Errorf("the call does not block: %s", s)
			break
		}
	}
	close(k.released)
	done.Wait()
}
