package mesh

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/ring"
	"gentiangauge.example/gentiangauge/state/timeline"
)

// Serve accepts connections on a listener and answers calls until c ends.
func (m *Mesh) Serve(c context.Context, l net.Listener) error {
	go func() {
		<-c.Done()
		_ = l.Close()
		m.closeSessions()
	}()
	for {
		conn, err := l.Accept()
		if c.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept mesh connection")
		}
		go m.serveConnection(c, conn)
	}
}

func (m *Mesh) closeSessions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, p := range m.peers {
		_ = p.session.Close()
		delete(m.peers, a)
	}
}

func (m *Mesh) serveConnection(c context.Context, conn net.Conn) {
	s, err := yamux.Server(countedConn{conn, m, &atomic.Int64{}}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer s.Close()
	defer context.AfterFunc(c, func() { _ = s.Close() })()
	for {
		stream, err := s.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(c, stream)
	}
}

// serveStream answers the calls of a stream one after the other until the caller closes
// it. It reads ahead, so that closing the stream cancels the call in progress.
func (m *Mesh) serveStream(c context.Context, conn net.Conn) {
	defer conn.Close()
	c, cancel := context.WithCancel(c)
	defer cancel()
	calls, r := ring.New[*request](1), bufio.NewReader(conn)
	go func() {
		if !readRequests(c, r, calls) {
			cancel()
		}
	}()
	for {
		select {
		case q := <-calls.Out():
			if q.Method == connectMethod {
				m.serveConnect(c, conn, r, q)
				return
			}
			if m.serveCall(c, conn, q) != nil {
				return
			}
		case <-c.Done():
			return
		}
	}
}

// readRequests reads requests until the caller closes the stream, or asks for a connection, whose data
// follows. It returns true then.
func readRequests(c context.Context, r *bufio.Reader, calls *ring.Ring[*request]) bool {
	for {
		q := &request{}
		if read(r, q) != nil || calls.Put(c, q) != nil {
			return false
		}
		if q.Method == connectMethod {
			return true
		}
	}
}

func (m *Mesh) serveCall(c context.Context, conn net.Conn, q *request) error {
	c, cancel := context.WithTimeout(c, serveTimeout)
	defer cancel()
	m.clock.Observe(timeline.Stamp{Wall: q.Wall, Logical: q.Logical})
	r := m.answer(c, q)
	now := m.clock.Tick()
	r.Wall, r.Logical = now.Wall, now.Logical
	return write(conn, r)
}

func (m *Mesh) answer(c context.Context, q *request) *reply {
	m.mu.Lock()
	h, ok := m.handlers[q.Method]
	m.mu.Unlock()
	if !ok {
		return &reply{Failure: "unknown method " + q.Method}
	}
	body, err := h(c, q.From, q.Body)
	if err != nil {
		return &reply{Failure: err.Error()}
	}
	return &reply{Body: body}
}
