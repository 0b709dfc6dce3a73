package mesh

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/timeline"
)

// peer is the session to another instance, with its idle streams. A stream carries one
// call at a time.
type peer struct {
	session *yamux.Session
	idle    []*stream
}

type stream struct {
	net.Conn
	reader *bufio.Reader
}

func (m *Mesh) call(c context.Context, address, method string, body []byte) ([]byte, error) {
	x, err := m.open(c, address, false)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	stop := context.AfterFunc(c, func() { _ = x.SetDeadline(time.Unix(1, 0)) })
	r, err := m.exchange(x, method, body)
	if !stop() || err != nil {
		_ = x.Close()
	} else {
		m.release(address, x)
	}
	switch {
	case err != nil:
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	case r.Failure != "":
		return nil, eris.Wrap(ErrRefused, r.Failure)
	}
	return r.Body, nil
}

func (m *Mesh) exchange(x *stream, method string, body []byte) (*reply, error) {
	now := m.clock.Tick()
	q := &request{Method: method, From: m.address, Wall: now.Wall, Logical: now.Logical, Body: body}
	if err := write(x, q); err != nil {
		return nil, err
	}
	var r reply
	if err := read(x.reader, &r); err != nil {
		return nil, err
	}
	m.clock.Observe(timeline.Stamp{Wall: r.Wall, Logical: r.Logical})
	return &r, nil
}

// open returns an idle stream to a peer, or a new one. If fresh is set, it is a new one.
func (m *Mesh) open(c context.Context, address string, fresh bool) (*stream, error) {
	p, x := m.takeIdle(address, fresh)
	if x != nil {
		return x, nil
	}
	if p == nil {
		var err error
		if p, err = m.dialPeer(c, address); err != nil {
			return nil, err
		}
	}
	conn, err := p.session.OpenStream()
	if err != nil {
		m.removePeer(address, p)
		return nil, err
	}
	return &stream{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (m *Mesh) takeIdle(address string, fresh bool) (*peer, *stream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[address]
	if !ok || p.session.IsClosed() {
		return nil, nil
	}
	if fresh || len(p.idle) == 0 {
		return p, nil
	}
	x := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return p, x
}

func (m *Mesh) release(address string, x *stream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[address]
	if !ok || p.session.IsClosed() || len(p.idle) >= maxIdle {
		_ = x.Close()
		return
	}
	p.idle = append(p.idle, x)
}

func (m *Mesh) dialPeer(c context.Context, address string) (*peer, error) {
	c, cancel := context.WithTimeout(c, dialTimeout)
	defer cancel()
	conn, err := m.Dial(c, address)
	if err != nil {
		return nil, err
	}
	s, err := yamux.Client(countedConn{conn, m}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return m.storePeer(address, &peer{session: s}), nil
}

// storePeer stores a new peer and returns it. If a concurrent call has stored one, it
// closes the new session and returns that one.
func (m *Mesh) storePeer(address string, p *peer) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.peers[address]; ok && !old.session.IsClosed() {
		_ = p.session.Close()
		return old
	}
	m.peers[address] = p
	return p
}

func (m *Mesh) removePeer(address string, p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] == p {
		delete(m.peers, address)
	}
	_ = p.session.Close()
}

// Disconnect closes the session to a peer. The next call opens a new one.
func (m *Mesh) Disconnect(address string) {
	m.mu.Lock()
	p, ok := m.peers[address]
	m.mu.Unlock()
	if ok {
		m.removePeer(address, p)
	}
}
