// Package mesh is the RPC between the instances of a fleet: protobuf messages over
// yamux sessions, with one call at a time on each stream.
package mesh

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/protoadapt"

	"gentiangauge.example/gentiangauge/state/timeline"
)

// Errors returned by Call and CallVia.
var (
	// ErrUnreachable means that the peer did not answer. The call may have taken effect.
	ErrUnreachable = eris.New("peer is unreachable")
	// ErrRefused means that the peer answered with an error.
	ErrRefused = eris.New("peer refused the call")
)

// Clock is the hybrid logical clock of the process. Every request and reply carries a
// timestamp of it.
type Clock struct {
	Tick    func() timeline.Stamp
	Observe func(timeline.Stamp)
}

// Handler handles the calls of one method. From is the mesh address of the caller.
type Handler func(c context.Context, from string, body []byte) ([]byte, error)

// Mesh serves the calls of other instances and makes calls to them.
type Mesh struct {
	// Dial opens a connection to a peer. Tests may replace it.
	Dial func(c context.Context, address string) (net.Conn, error)
	// DialUpstream opens a connection to an upstream for another instance. It fails with ErrRefused if
	// this instance forwards nothing to the address now. Nil forwards nothing.
	DialUpstream func(c context.Context, address string) (net.Conn, error)
	// OnTransfer is called with the number of bytes of each read and write, for
	// metrics.
	OnTransfer func(received, sent int)

	address  string
	clock    Clock
	mu       sync.Mutex
	handlers map[string]Handler
	peers    map[string]*peer
}

const forwardMethod = "mesh/forward"

const (
	maxIdle       = 32
	dialTimeout   = time.Second
	serveTimeout  = 30 * time.Second
	writeTimeout  = 2 * time.Second
	acceptBacklog = 1024
)

// New returns the mesh of the instance that listens at a mesh address.
func New(address string, clock Clock) *Mesh {
	d := &net.Dialer{Timeout: dialTimeout}
	m := &Mesh{
		Dial:       func(c context.Context, a string) (net.Conn, error) { return d.DialContext(c, "tcp", a) },
		OnTransfer: func(_, _ int) {},
		address:    address,
		clock:      clock,
		handlers:   map[string]Handler{},
		peers:      map[string]*peer{},
	}
	Handle(m, forwardMethod, func(c context.Context, _ string, q *forwardQuery) (*forwardReply, error) {
		body, err := m.call(c, q.Address, q.Method, q.Body)
		return &forwardReply{Body: body}, err
	})
	return m
}

// countedConn reports the bytes read and written to OnTransfer.
type countedConn struct {
	net.Conn
	mesh *Mesh
	// reads counts the reads of data.
	reads *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.reads.Add(1)
	}
	c.mesh.OnTransfer(n, 0)
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mesh.OnTransfer(0, n)
	return n, err
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.LogOutput = io.Discard
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	return c
}

// Handle registers the handler of a method.
func Handle[Q, R any, PQ interface {
	*Q
	protoadapt.MessageV1
}, PR interface {
	*R
	protoadapt.MessageV1
}](m *Mesh, method string, f func(c context.Context, from string, q *Q) (*R, error)) {
	h := func(c context.Context, from string, body []byte) ([]byte, error) {
		var q Q
		if err := Unmarshal(body, PQ(&q)); err != nil {
			return nil, err
		}
		r, err := f(c, from, &q)
		if err != nil {
			return nil, err
		}
		return Marshal(PR(r))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = h
}

// Call calls a method of the peer at a mesh address. It fails with
// ErrUnreachable or ErrRefused.
func Call[Q, R any, PQ interface {
	*Q
	protoadapt.MessageV1
}, PR interface {
	*R
	protoadapt.MessageV1
}](c context.Context, m *Mesh, address, method string, q *Q) (*R, error) {
	body, err := Marshal(PQ(q))
	if err != nil {
		return nil, err
	}
	answer, err := m.call(c, address, method, body)
	if err != nil {
		return nil, err
	}
	var r R
	return &r, Unmarshal(answer, PR(&r))
}

// CallVia calls a method of the peer at a mesh address through a third instance, for
// when the direct connection is interrupted. It fails with ErrUnreachable or
// ErrRefused.
func CallVia[Q, R any, PQ interface {
	*Q
	protoadapt.MessageV1
}, PR interface {
	*R
	protoadapt.MessageV1
}](c context.Context, m *Mesh, via, address, method string, q *Q) (*R, error) {
	body, err := Marshal(PQ(q))
	if err != nil {
		return nil, err
	}
	f, err := Call[forwardQuery, forwardReply](c, m, via, forwardMethod, &forwardQuery{Address: address, Method: method, Body: body})
	if err != nil {
		return nil, err
	}
	var r R
	return &r, Unmarshal(f.Body, PR(&r))
}
