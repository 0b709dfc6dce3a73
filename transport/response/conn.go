package response

import (
	"net"
	"sync"
)

// Conn is a connection that knows what was written to it. It is safe for concurrent use.
//
// Load pattern: a server answers before it has read the request, and resets the connection while the request is being
// written. The kernel reports a reset once: if a write gets it, the read that follows sees an orderly end.
type Conn struct {
	net.Conn
	writing sync.Mutex
	written int64
	err     error
	request request
}

// NewConn returns a Conn on top of another connection.
func NewConn(n net.Conn) *Conn { return &Conn{Conn: n} }

// Write counts the bytes that are written, and keeps the error.
func (k *Conn) Write(b []byte) (int, error) {
	k.writing.Lock()
	defer k.writing.Unlock()
	n, err := k.Conn.Write(b)
	k.written += int64(n)
	k.request.add(b[:n])
	if err != nil {
		k.err = err
	}
	return n, err
}

// begin tells that a request with a body of a length follows.
func (k *Conn) begin(length int64) {
	k.writing.Lock()
	defer k.writing.Unlock()
	k.request = request{begun: true, left: length}
}

// End closes the connection after a read has seen its end. It returns the number of bytes that were written, and the error
// of a write that failed. A write in progress ends first.
func (k *Conn) End() (written int64, err error) {
	// The connection is of no more use, whatever the outcome.
	_ = k.Close()
	k.writing.Lock()
	defer k.writing.Unlock()
	return k.written, k.err
}

// wroteRequest ends the connection, and reports whether the request had been written completely.
func (k *Conn) wroteRequest() bool {
	_, err := k.End()
	k.writing.Lock()
	defer k.writing.Unlock()
	return err == nil && k.request.whole()
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// request is a request as far as it was written.
type request struct {
	begun bool
	// matched is the number of bytes of headEnd that were written last, left that of the bytes of the body that were not
	// written.
	matched int
	left    int64
}

func (q *request) headEnded() bool { return q.matched == len(headEnd) }

func (q *request) whole() bool { return q.begun && q.headEnded() && q.left <= 0 }

// add adds bytes that were written.
func (q *request) add(b []byte) {
	if !q.begun {
		return
	}
	for len(b) > 0 && !q.headEnded() {
		switch b[0] {
		case headEnd[q.matched]:
			q.matched++
		case headEnd[0]:
			q.matched = 1
		default:
			q.matched = 0
		}
		b = b[1:]
	}
	q.left -= int64(len(b))
}
