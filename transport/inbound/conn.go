package inbound

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gentiangauge.example/gentiangauge/state/shedding"
)

// writePiece is the part of a write that has to be taken within the stall timeout.
const writePiece = 64 << 10

// Conn is a connection of a client that counts towards an account.
type Conn struct {
	net.Conn
	services  Services
	usage     *shedding.Connection
	onYielded func(whole bool)
	// session is set for connections that count as used from their first byte on.
	session  bool
	used     bool
	yielded  atomic.Bool
	closed   sync.Once
	deadline time.Time
}

// Usage returns the connection in the account.
func (k *Conn) Usage() *shedding.Connection {
	if k == nil {
		return nil
	}
	return k.usage
}

// SetPhase states what the connection is used for. It returns false if the connection has yielded. A nil connection
// counts nowhere.
func (k *Conn) SetPhase(p shedding.Phase) bool {
	return k == nil || k.usage.SetPhase(p)
}

// yield ends the connection, or the request that is being read.
func (k *Conn) yield(whole bool) {
	k.onYielded(whole)
	k.yielded.Store(true)
	if whole {
		// The server closes the connection, too, once it notices.
		_ = k.Conn.Close()
		return
	}
	// Wakes a read that has begun.
	_ = k.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read fails with os.ErrDeadlineExceeded once the connection has yielded.
func (k *Conn) Read(b []byte) (int, error) {
	if k.yielded.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := k.Conn.Read(b)
	k.usage.CountReceived(n)
	if k.session && !k.used && n > 0 {
		k.used = true
		k.SetPhase(shedding.Running)
	}
	return n, err
}

// SetReadDeadline does not undo a yield.
func (k *Conn) SetReadDeadline(t time.Time) error {
	if k.yielded.Load() {
		t = time.Unix(1, 0)
	}
	return k.Conn.SetReadDeadline(t)
}

// Write fails if the client takes none of a piece within the stall timeout.
func (k *Conn) Write(b []byte) (sent int, err error) {
	k.usage.BeginWrite()
	defer k.usage.EndWrite()
	for {
		piece := b[sent:min(len(b), sent+writePiece)]
		if err := k.extendDeadline(); err != nil {
			return sent, err
		}
		n, err := k.Conn.Write(piece)
		sent += n
		if err != nil || sent == len(b) {
			return sent, err
		}
		// The write as a whole makes progress.
		k.usage.EndWrite()
		k.usage.BeginWrite()
	}
}

// extendDeadline sets the write deadline anew if less than half of the stall timeout is left.
func (k *Conn) extendDeadline() error {
	if k.services.StallTimeout == 0 {
		return nil
	}
	now := k.services.Timer.Now()
	if k.deadline.Sub(now) > k.services.StallTimeout/2 {
		return nil
	}
	k.deadline = now.Add(k.services.StallTimeout)
	return k.Conn.SetWriteDeadline(k.deadline)
}

// Close closes the connection and removes it from the account.
func (k *Conn) Close() error {
	k.closed.Do(k.usage.Close)
	return k.Conn.Close()
}
