package mesh_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/transport/mesh"
)

// mutableConn is a connection that may fall silent for good: what is sent on it arrives no more, and it does not end.
type mutableConn struct {
	net.Conn
	silent atomic.Bool
}

func (k *mutableConn) Write(b []byte) (int, error) {
	if k.silent.Load() {
		return len(b), nil
	}
	return k.Conn.Write(b)
}

// shortCall calls a method, and gives up soon.
func shortCall(m *mesh.Mesh, address, method string) error {
	c, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := mesh.Call[echo, echo](c, m, address, method, &echo{})
	return err
}

// The session to a peer falls silent for good, while the peer accepts new connections. It is given up after two calls
// without an answer, whatever their methods.
func TestSilentSessionIsReplaced(t *testing.T) {
	address, _, stop := serve(t)
	defer stop()
	client := newMesh("client")
	dial := client.Dial
	var first *mutableConn
	client.Dial = func(c context.Context, a string) (net.Conn, error) {
		n, err := dial(c, a)
		if err != nil || first != nil {
			return n, err
		}
		first = &mutableConn{Conn: n}
		return first, nil
	}
	if err := shortCall(client, address, "echo"); err != nil {
		t.Fatal(err)
	}
	first.silent.Store(true)
	for range 2 {
		if err := shortCall(client, address, "echo"); !errors.Is(err, mesh.ErrUnreachable) {
			t.Fatalf("a call on the silent session got %v", err)
		}
	}
	if err := shortCall(client, address, "echo"); err != nil {
		t.Errorf("the third call got %v", err)
	}
}

// Calls of a slow method get no answer in time, while others do. The session stays: connections to upstreams go
// through it.
func TestSessionWithSlowCallsStays(t *testing.T) {
	address, _, stop := serve(t)
	defer stop()
	client := newMesh("client")
	dial, dials := client.Dial, 0
	client.Dial = func(c context.Context, a string) (net.Conn, error) {
		dials++
		return dial(c, a)
	}
	for range 4 {
		if err := shortCall(client, address, "slow"); err == nil {
			t.Fatal("the slow method answers")
		}
		if err := shortCall(client, address, "echo"); err != nil {
			t.Fatal(err)
		}
	}
	if dials != 1 {
		t.Errorf("%d sessions were opened", dials)
	}
}
