// Package relay forwards callers' requests to upstreams and reports, for a failed
// send, whether any byte of the request may have reached the upstream.
package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Errors returned by Send and SendOnce.
var (
	// ErrNotSent means that no byte of the request can have reached the upstream.
	ErrNotSent = eris.New("request not sent")
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

	shared *http.Client
}

// ErrResponseTooLarge means that a response exceeds its size limit. An upstream may send
// data without end.
var ErrResponseTooLarge = eris.New("response too large")

const (
	dialTimeout     = time.Second
	idleConnections = 64
	// MaxHeaderBytes bounds the header of a response, at four times what callers may
	// send.
	MaxHeaderBytes = 64 << 10
)

// ReadAll reads a body of at most limit bytes. It fails with ErrResponseTooLarge if
// there are more.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		return nil, eris.Wrapf(ErrResponseTooLarge, "more than %d bytes", limit)
	}
	return b, err
}

// New returns a relay.
func New() *Relay {
	d := &net.Dialer{Timeout: dialTimeout}
	r := &Relay{Dial: d.DialContext}
	r.shared = &http.Client{
		Transport: &http.Transport{
			DialContext: r.dial, MaxResponseHeaderBytes: MaxHeaderBytes, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute, DisableCompression: true,
		},
		CheckRedirect: noRedirect,
	}
	return r
}

func (r *Relay) dial(c context.Context, network, address string) (net.Conn, error) {
	return r.Dial(c, network, address)
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
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

// Send sends a request that may be repeated. It may reuse an idle connection. The
// caller closes the body of the response.
func (r *Relay) Send(c context.Context, q Request) (*http.Response, error) {
	h, err := newRequest(c, q)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	a, err := r.shared.Do(h)
	if err == nil {
		return a, nil
	}
	var o *net.OpError
	if eris.As(err, &o) && o.Op == "dial" {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return nil, eris.Wrap(ErrConnectionBroken, err.Error())
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
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: MaxHeaderBytes}
	t.DialContext = func(c context.Context, network, address string) (net.Conn, error) {
		n, err := r.Dial(c, network, address)
		if err != nil {
			return nil, err
		}
		return writeTrackingConn{Conn: n, wrote: wrote}, nil
	}
	a, err := (&http.Client{Transport: t, CheckRedirect: noRedirect}).Do(h)
	switch {
	case err == nil:
		return a, nil
	case wrote.Load():
		return nil, eris.Wrap(ErrConnectionBroken, err.Error())
	default:
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
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
