package mesh

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
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
	// reads counts the reads of data of the session, calls the calls on it.
	reads, calls *atomic.Int64
	silence      silence
}

type stream struct {
	net.Conn
	reader *bufio.Reader
	peer   *peer
}

// maxUnanswered is the number of calls in a row without an answer after which a session is given up if nothing
// has been read of it meanwhile.
const maxUnanswered = 2

// silence counts the calls in a row that got no answer while nothing was read of their session.
type silence struct {
	unanswered int
	// reads is the number of reads at that time, endedAt that of calls that had begun as the last one of them ended.
	reads, endedAt int64
}

// add counts a call that got no answer. It began as the call with number began, when the session had been read a
// number of times, and ended when it had been read reads times, and calls calls had begun. It reports whether the
// session is dead. Calls at the same time count once.
//
// Load pattern: the connection between two instances goes silent for good, while they hear each other's heartbeats.
func (s *silence) add(began, readsBefore, reads, calls int64) bool {
	switch {
	case reads != readsBefore:
		s.unanswered = 0
		return false
	case s.unanswered == 0 || s.reads != reads:
		s.unanswered = 1
	case began > s.endedAt:
		s.unanswered++
	default:
		return false
	}
	s.reads, s.endedAt = reads, calls
	return s.unanswered >= maxUnanswered
}

// recordUnanswered closes the session of a call that got no answer if it is dead.
func (m *Mesh) recordUnanswered(address string, p *peer, began, readsBefore int64) {
	m.mu.Lock()
	dead := p.silence.add(began, readsBefore, p.reads.Load(), p.calls.Load())
	m.mu.Unlock()
	if dead {
		m.removePeer(address, p)
	}
}

func (m *Mesh) call(c context.Context, address, method string, body []byte) ([]byte, error) {
	x, err := m.open(c, address, false)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	stop := context.AfterFunc(c, func() { _ = x.SetDeadline(time.Unix(1, 0)) })
	r, err := m.exchangeWithPeer(address, x, method, body)
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

// exchangeWithPeer is exchange for a call whose session is given up if it is dead.
func (m *Mesh) exchangeWithPeer(address string, x *stream, method string, body []byte) (*reply, error) {
	began, reads := x.peer.calls.Add(1), x.peer.reads.Load()
	r, err := m.exchange(x, method, body)
	if err != nil {
		m.recordUnanswered(address, x.peer, began, reads)
	}
	return r, err
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
	return &stream{Conn: conn, reader: bufio.NewReader(conn), peer: p}, nil
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
	reads := &atomic.Int64{}
	s, err := yamux.Client(countedConn{conn, m, reads}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return m.storePeer(address, &peer{session: s, reads: reads, calls: &atomic.Int64{}}), nil
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
