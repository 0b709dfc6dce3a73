package mesh

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/transport/response"
)

// connectMethod opens a connection to an upstream. The stream of the call then carries its data.
const connectMethod = "mesh/connect"

// Errors returned by Connect besides ErrUnreachable and ErrRefused.
var (
	// ErrUpstreamRefused means that the upstream's host refuses connections.
	ErrUpstreamRefused = eris.New("upstream refused the connection")
	// ErrUpstreamSilent means that no connection to the upstream could be opened otherwise.
	ErrUpstreamSilent = eris.New("no connection to the upstream")
)

// chunkBytes is the size of the buffer for data of an upstream.
const chunkBytes = 16 << 10

type connectQuery struct {
	Message
	Address string `protobuf:"bytes,1,opt,name=address,proto3"`
}

type connectReply struct {
	Message
	Refused bool `protobuf:"varint,1,opt,name=refused,proto3"`
	Silent  bool `protobuf:"varint,2,opt,name=silent,proto3"`
}

// chunk is data of an upstream. End is set in the last one if the upstream has closed the connection; a
// connection that broke has none. Written is then the number of bytes that were written to the upstream.
type chunk struct {
	Message
	Data    []byte `protobuf:"bytes,1,opt,name=data,proto3"`
	End     bool   `protobuf:"varint,2,opt,name=end,proto3"`
	Written int64  `protobuf:"varint,3,opt,name=written,proto3"`
}

// Connect opens a connection to an upstream through the instance at a mesh address. Nothing of what is
// written to it reaches the upstream before Connect has returned. Closing it closes the connection to the
// upstream. Connect fails with ErrUnreachable, ErrRefused if the instance forwards nothing now,
// ErrUpstreamRefused or ErrUpstreamSilent.
func (m *Mesh) Connect(c context.Context, via, address string) (net.Conn, error) {
	body, err := Marshal(&connectQuery{Address: address})
	if err != nil {
		return nil, err
	}
	x, err := m.open(c, via, true)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	stop := context.AfterFunc(c, func() { _ = x.SetDeadline(time.Unix(1, 0)) })
	r, err := m.exchangeWithPeer(via, x, connectMethod, body)
	stopped := stop()
	var a connectReply
	switch {
	case err != nil:
		err = eris.Wrap(ErrUnreachable, err.Error())
	case !stopped:
		err = eris.Wrap(ErrUnreachable, "cancelled")
	case r.Failure != "":
		err = eris.Wrap(ErrRefused, r.Failure)
	default:
		err = Unmarshal(r.Body, &a)
	}
	switch {
	case err != nil:
	case a.Refused:
		err = ErrUpstreamRefused
	case a.Silent:
		err = ErrUpstreamSilent
	default:
		return &forwardedConn{Conn: x.Conn, reader: x.reader}, nil
	}
	_ = x.Close()
	return nil, err
}

// forwardedConn is a connection to an upstream through another instance.
type forwardedConn struct {
	net.Conn
	reader *bufio.Reader
	// rest is data that was received and not read, end is set after the last chunk.
	rest []byte
	end  bool
	// sent is the number of bytes for the upstream, written the number of those that had reached it at the end.
	sent    atomic.Int64
	written int64
}

// Write counts the bytes before they are on their way.
func (k *forwardedConn) Write(b []byte) (int, error) {
	k.sent.Add(int64(len(b)))
	return k.Conn.Write(b)
}

// Read fails with io.ErrUnexpectedEOF if the connection broke anywhere on the way, or ended before all that was
// written had reached the upstream, so that a response which ends with its connection does not look complete.
func (k *forwardedConn) Read(b []byte) (int, error) {
	for len(k.rest) == 0 {
		if k.end && k.written < k.sent.Load() {
			return 0, io.ErrUnexpectedEOF
		}
		if k.end {
			return 0, io.EOF
		}
		var x chunk
		if err := read(k.reader, &x); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
		k.rest, k.end, k.written = x.Data, x.End, x.Written
	}
	n := copy(b, k.rest)
	k.rest = k.rest[n:]
	return n, nil
}

// serveConnect answers a request for a connection, and forwards data until either side closes it. The
// reader has what the caller has sent since.
func (m *Mesh) serveConnect(c context.Context, conn net.Conn, r *bufio.Reader, q *request) {
	var x connectQuery
	if err := Unmarshal(q.Body, &x); err != nil {
		_ = write(conn, &reply{Failure: err.Error()})
		return
	}
	if m.DialUpstream == nil {
		_ = write(conn, &reply{Failure: "forwards no connections"})
		return
	}
	up, err := m.DialUpstream(c, x.Address)
	var a connectReply
	switch {
	case err == nil:
		defer up.Close()
	case errors.Is(err, ErrRefused):
		_ = write(conn, &reply{Failure: err.Error()})
		return
	default:
		a.Refused = errors.Is(err, syscall.ECONNREFUSED)
		a.Silent = !a.Refused
	}
	body, failed := Marshal(&a)
	if failed != nil || write(conn, &reply{Body: body}) != nil || err != nil {
		return
	}
	forward(c, conn, r, response.NewConn(up))
}

// forward copies data in both directions. The caller ends the connection by closing its side.
func forward(c context.Context, conn net.Conn, r io.Reader, up *response.Conn) {
	c, cancel := context.WithCancel(c)
	defer cancel()
	defer context.AfterFunc(c, func() { _ = up.Close(); _ = conn.Close() })()
	go func() {
		defer cancel()
		// The error is that of a connection which has ended either way.
		_, _ = io.Copy(up, r)
	}()
	buf := make([]byte, chunkBytes)
	for {
		n, err := up.Read(buf)
		x := &chunk{Data: buf[:n]}
		if err == io.EOF {
			var failed error
			x.Written, failed = up.End()
			// The end may be that of a reset, which the write has got.
			x.End = failed == nil
		}
		if (n > 0 || x.End) && write(conn, x) != nil || err != nil {
			return
		}
	}
}
