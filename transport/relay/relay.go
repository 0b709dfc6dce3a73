// Package relay forwards callers' requests to upstreams and reports, for a failed
// send, whether any byte of the request may have reached the upstream.
package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/transport/response"
)

// Errors returned by Send and SendOnce.
var (
	// ErrNotSent means that no byte of the request can have reached the upstream.
	ErrNotSent = eris.New("request not sent")
	// ErrSilent means, with ErrNotSent, that the upstream did not answer an attempt to connect in time.
	ErrSilent = eris.New("upstream did not answer in time")
	// ErrConnectionBroken means that the connection failed after bytes of the request
	// may have reached the upstream.
	ErrConnectionBroken = eris.New("connection failed after the request was sent")
)

// Request is a request for an upstream. Its body is held in memory, and its framing
// (Content-Length, Transfer-Encoding) is rebuilt.
type Request struct {
	Method  string
	Address string
	// RequestURI is the path with the query.
	RequestURI string
	Header     http.Header
	Body       []byte
}

// Relay sends requests to upstreams.
type Relay struct {
	// Dial opens a connection to an upstream. Tests may replace it.
	Dial func(c context.Context, network, address string) (net.Conn, error)
	// DialIndirect opens a connection through another instance, for upstreams to which Indirect returns
	// true or no direct connection can be opened. Nil opens none.
	DialIndirect func(c context.Context, network, address string) (net.Conn, error)
	Indirect     func(address string) bool
	// OnDial is called with the outcome of each attempt to connect directly, OnRead as data arrives on a
	// direct connection. Nil ignores them.
	OnDial func(address string, err error)
	OnRead func()

	// shared has the direct connections that are kept, indirect the others.
	shared, indirect *http.Client
}

// ErrTooLarge means that a body exceeds its size limit. An upstream or a caller may send
// data without end.
var ErrTooLarge = eris.New("body too large")

const (
	dialTimeout     = time.Second
	idleConnections = 64
	// indirectIdleTimeout is short, since a connection through another instance takes part of its room.
	indirectIdleTimeout = 2 * time.Second
)

// ReadAll reads a body of at most limit bytes. It fails with ErrTooLarge if
// there are more.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		return nil, eris.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return b, err
}

// New returns a relay.
func New() *Relay {
	d := &net.Dialer{Timeout: dialTimeout}
	r := &Relay{Dial: d.DialContext}
	r.shared = newClient(r.dialDirect, time.Minute)
	r.indirect = newClient(func(c context.Context, network, address string) (net.Conn, error) {
		return r.DialIndirect(c, network, address)
	}, indirectIdleTimeout)
	return r
}

func newClient(dial func(c context.Context, network, address string) (net.Conn, error), idle time.Duration) *http.Client {
	return response.NewClient(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idle})
}

// SetMaxIdle bounds the connections that are kept, directly and through other instances. It is called before the first
// request.
func (r *Relay) SetMaxIdle(n int) {
	for _, k := range []*http.Client{r.shared, r.indirect} {
		if t, ok := k.Transport.(*response.Transport); ok {
			t.MaxIdleConns = n
		}
	}
}

func (r *Relay) dialDirect(c context.Context, network, address string) (net.Conn, error) {
	n, err := r.Dial(c, network, address)
	if r.OnDial != nil {
		r.OnDial(address, err)
	}
	if err != nil || r.OnRead == nil {
		return n, err
	}
	return readNotifyingConn{Conn: n, onRead: r.OnRead}, nil
}

// readNotifyingConn reports that data has arrived.
type readNotifyingConn struct {
	net.Conn
	onRead func()
}

func (c readNotifyingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// prefersIndirect reports whether an upstream is connected to through another instance first.
func (r *Relay) prefersIndirect(address string) bool {
	return r.DialIndirect != nil && r.Indirect(address)
}

// writeTrackingConn records whether anything was written to the connection.
type writeTrackingConn struct {
	net.Conn
	wrote *atomic.Bool
}

func (c writeTrackingConn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

// Send sends a request that may be repeated. It may reuse an idle connection. If no connection can be
// opened, it sends the request through another instance. The caller closes the body of the response.
func (r *Relay) Send(c context.Context, q Request) (*http.Response, error) {
	first, second := r.shared, r.indirect
	switch {
	case r.DialIndirect == nil:
		second = nil
	case r.prefersIndirect(q.Address):
		first, second = second, first
	}
	a, err := send(c, first, q)
	if second != nil && errors.Is(err, ErrNotSent) && c.Err() == nil {
		return send(c, second, q)
	}
	return a, err
}

func send(c context.Context, k *http.Client, q Request) (*http.Response, error) {
	h, err := newRequest(c, q)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	// As long as no connection was obtained, nothing of the request has been sent.
	var conn atomic.Pointer[net.Conn]
	var conns atomic.Int64
	h = h.WithContext(httptrace.WithClientTrace(c, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn.Store(&i.Conn)
		conns.Add(1)
	}}))
	a, err := k.Do(h)
	switch {
	case err == nil:
		a.Body = connBody{ReadCloser: a.Body, conn: *conn.Load(), resent: conns.Load() > 1}
		return a, nil
	case conn.Load() != nil:
		return nil, eris.Wrap(ErrConnectionBroken, err.Error())
	default:
		return nil, notSent(err)
	}
}

// connBody is a response body that knows its connection. The flag resent is set if the request was sent on an
// earlier one, too.
type connBody struct {
	io.ReadCloser
	conn   net.Conn
	resent bool
}

// Resent reports whether the request of a response may have reached the upstream before: net/http sends some
// requests again if a kept connection fails.
func Resent(r *http.Response) bool {
	b, ok := r.Body.(connBody)
	return ok && b.resent
}

// Discard closes the connection of a response that does not belong to its request, so that no other request
// gets what comes after it.
func Discard(r *http.Response) {
	if b, ok := r.Body.(connBody); ok {
		// The connection is of no more use, whatever the outcome.
		_ = b.conn.Close()
	}
}

// notSent returns ErrNotSent, with ErrSilent if a connection could not be opened in time.
func notSent(err error) error {
	var n net.Error
	x := eris.Wrap(ErrNotSent, err.Error())
	if errors.As(err, &n) && n.Timeout() {
		return errors.Join(x, ErrSilent)
	}
	return x
}

// SendOnce sends a request that must not run twice. It opens a new connection, because
// net/http retries some requests by itself when a reused connection fails. The caller
// closes the body of the response.
func (r *Relay) SendOnce(c context.Context, q Request) (*http.Response, error) {
	h, err := newRequest(c, q)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	wrote := &atomic.Bool{}
	t := &http.Transport{DisableKeepAlives: true, DialContext: func(c context.Context, network, address string) (net.Conn, error) {
		n, err := r.dialAny(c, network, address)
		if err != nil {
			return nil, err
		}
		return writeTrackingConn{Conn: n, wrote: wrote}, nil
	}}
	a, err := response.NewClient(t).Do(h)
	switch {
	case err == nil:
		return a, nil
	case wrote.Load():
		return nil, eris.Wrap(ErrConnectionBroken, err.Error())
	default:
		return nil, notSent(err)
	}
}

// dialAny opens a connection over the better path, or over the other one.
func (r *Relay) dialAny(c context.Context, network, address string) (net.Conn, error) {
	if r.DialIndirect == nil {
		return r.dialDirect(c, network, address)
	}
	first, second := r.dialDirect, r.DialIndirect
	if r.prefersIndirect(address) {
		first, second = second, first
	}
	n, err := first(c, network, address)
	if err == nil || c.Err() != nil {
		return n, err
	}
	return second(c, network, address)
}

func newRequest(c context.Context, q Request) (*http.Request, error) {
	h, err := http.NewRequestWithContext(c, q.Method, "http://"+q.Address+q.RequestURI, io.NopCloser(bytes.NewReader(q.Body)))
	if err != nil {
		return nil, err
	}
	h.ContentLength = int64(len(q.Body))
	if len(q.Body) == 0 {
		h.Body = http.NoBody
	}
	// Lets net/http send the request again if an idle connection was closed
	// before any byte of the request was written.
	h.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(q.Body)), nil }
	h.Header = q.Header
	return h, nil
}

var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

var credentials = []string{"Authorization", "X-Api-Key", "Api-Key"}

// ForwardHeader returns the headers of a caller's request that may be sent to an
// upstream: the end-to-end headers without credentials.
func ForwardHeader(h http.Header) http.Header {
	out := EndToEndHeader(h)
	for _, k := range credentials {
		out.Del(k)
	}
	return out
}

// EndToEndHeader returns the headers without the hop-by-hop ones and without
// Content-Length.
func EndToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for _, k := range strings.Split(v, ",") {
			out.Del(textproto.TrimString(k))
		}
	}
	for _, k := range hopByHop {
		out.Del(k)
	}
	out.Del("Content-Length")
	return out
}
