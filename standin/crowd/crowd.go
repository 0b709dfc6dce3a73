// Package crowd is a stand-in for clients outside anybody's control: many connections at once that send bodies which
// never end, send nothing, or do not read what they asked for.
package crowd

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	// stallTimeout is how long a client goes on trying to write to a server that does not read.
	stallTimeout = 2 * time.Second
)

// Client is what one client does with a new connection. It returns once it has nothing more to send; its connection
// stays open. It fails if the connection breaks.
type Client func(c *Conn, id int) error

// Conn is a connection on which a write fails that makes no progress.
type Conn struct{ *net.TCPConn }

func (c Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// Crowd is a number of clients of a server.
type Crowd struct {
	address string
	client  Client
	mu      sync.Mutex
	open    []net.Conn
	closed  bool
	clients sync.WaitGroup
}

// Start starts a number of clients. One whose connection breaks comes back with a new one, up to the number of tries in
// all.
func Start(address string, clients, tries int, client Client) *Crowd {
	k := &Crowd{address: address, client: client}
	for id := range clients {
		k.clients.Go(func() {
			try := 0
			for try < tries && !k.send(id+try*clients) {
				try++
			}
		})
	}
	return k
}

// send plays a client once, and reports whether it has sent all that the server takes.
func (k *Crowd) send(id int) bool {
	c, err := net.DialTimeout("tcp", k.address, dialTimeout)
	if err != nil {
		return false
	}
	k.mu.Lock()
	k.open = append(k.open, c)
	over := k.closed
	k.mu.Unlock()
	if over {
		_ = c.Close()
		return true
	}
	err = k.client(&Conn{c.(*net.TCPConn)}, id)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// Wait waits until each client has sent all that the server takes. The connections stay open.
func (k *Crowd) Wait() { k.clients.Wait() }

// Close closes all connections and waits for the clients.
func (k *Crowd) Close() {
	k.mu.Lock()
	k.closed = true
	for _, c := range k.open {
		_ = c.Close()
	}
	k.mu.Unlock()
	k.clients.Wait()
}

// Repeat writes b a number of times, or until the connection breaks if times is 0.
func Repeat(w io.Writer, b []byte, times int) error {
	for n := 0; times == 0 || n < times; n++ {
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	return nil
}
