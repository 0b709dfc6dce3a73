// Package response is a client of HTTP servers that takes no broken response for a whole one. It checks what net/http lets
// pass.
package response

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrIncomplete means that a response ended with its connection before the request was written. The server may have ended
// it for another reason than that the response was complete.
var ErrIncomplete = eris.New("response ended before the request was written")

// MaxHeaderBytes bounds the header of a response, at four times what callers may send.
const MaxHeaderBytes = 64 << 10

// Transport is an http.Transport whose responses are checked.
type Transport struct {
	*http.Transport
}

// NewClient returns a client on top of a transport. It follows no redirects, and takes bodies without encoding and headers
// of at most MaxHeaderBytes. The bodies of its requests have a known length.
func NewClient(t *http.Transport) *http.Client {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(c context.Context, network, address string) (net.Conn, error) {
		n, err := dial(c, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(n), nil
	}
	t.MaxResponseHeaderBytes, t.DisableCompression = MaxHeaderBytes, true
	return &http.Client{
		Transport:     &Transport{Transport: t},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip sends a request. It fails with ErrInvalidHead, and closes the connection, if the head of the response is
// invalid. Reading the body of the response fails with ErrInvalidHead if that of its trailer is, and with ErrIncomplete if
// it has neither a length nor chunks and ends before the request was written.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if k, ok := i.Conn.(*Conn); ok {
				k.begin(q.ContentLength)
				conn.Store(k)
			}
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkNames(h) },
	}
	r, err := t.Transport.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(r); err != nil {
		// What follows an invalid head belongs to no request.
		_ = conn.Load().Close()
		_ = r.Body.Close()
		return nil, err
	}
	if r.Body != http.NoBody {
		r.Body = &body{ReadCloser: r.Body, response: r, conn: conn.Load(), unframed: r.ContentLength < 0 && len(r.TransferEncoding) == 0}
	}
	return r, nil
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	response *http.Response
	conn     *Conn
	// unframed is set if the body has neither a length nor chunks, and ends with its connection.
	unframed bool
}

// Read returns io.EOF only at the end that the server meant.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the body is complete.
func (b *body) checkEnd() error {
	if b.unframed && !b.conn.wroteRequest() {
		return ErrIncomplete
	}
	if err := checkNames(b.response.Trailer); err != nil {
		_ = b.conn.Close()
		return err
	}
	return io.EOF
}
