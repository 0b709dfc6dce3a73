// Package inbound accepts connections within the limits of an account, and tells the account what they are used for.
package inbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/timer"
)

const (
	// acceptPause is the time until a listener tries again after it got no descriptor.
	acceptPause = 50 * time.Millisecond
	// writeBufferBytes is what the kernel keeps of the data that a client does not read.
	writeBufferBytes = 64 << 10
)

// Services are the dependencies of a listener.
type Services struct {
	Account *shedding.Account
	Timer   *timer.Service
	Log     *zap.Logger
	// StallTimeout is the time after which a connection is closed whose client reads nothing of what is written. 0
	// stands for no limit.
	StallTimeout time.Duration
}

// Listener is a listener whose connections count towards an account.
type Listener struct {
	net.Listener
	services Services
	door     shedding.Door
	limited  *limited
}

// Listen listens on a TCP address. The connections of the door for peers count as used from their first byte on.
func Listen(address string, d shedding.Door, s Services) (*Listener, error) {
	s.Log = s.Log.Named("inbound")
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return bufferSizes(c, s.Log) }}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Listener{Listener: l, services: s, door: d, limited: newLimited()}, nil
}

// bufferSizes bounds what the kernel keeps of each connection. Accepted connections inherit it.
func bufferSizes(c syscall.RawConn, log *zap.Logger) error {
	return c.Control(func(fd uintptr) {
		for option, size := range map[int]int{unix.SO_RCVBUF: int(shedding.UnreadBytes), unix.SO_SNDBUF: writeBufferBytes} {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size); err != nil {
				log.Warn("buffer size of a listener not set", zap.Int("option", option), zap.Error(err))
			}
		}
	})
}

// Accept returns the next connection that the account admits. It fails only if the listener is closed or broken: a
// process without a free descriptor has idle connections yield, and goes on.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			l.limited.note(l.services, l.door, "no descriptor", nil)
			l.services.Account.YieldIdle(shedding.Callers)
			_ = l.services.Timer.Wait(context.Background(), acceptPause)
			continue
		case errors.Is(err, unix.ECONNABORTED):
			continue
		case err != nil:
			return nil, err
		}
		if k := l.admit(c); k != nil {
			return k, nil
		}
	}
}

// admit returns an accepted connection, or nil if it was refused.
func (l *Listener) admit(c net.Conn) net.Conn {
	k := &Conn{Conn: c, services: l.services, session: l.door == shedding.Peers}
	k.onYielded = func(whole bool) {
		l.limited.note(l.services, l.door, yieldedText(whole), c.RemoteAddr())
	}
	usage, ok := l.services.Account.Open(l.door, k.yield)
	if !ok {
		l.limited.note(l.services, l.door, "refused", c.RemoteAddr())
		_ = c.Close()
		return nil
	}
	k.usage = usage
	return k
}

func yieldedText(whole bool) string {
	if whole {
		return "closed"
	}
	return "request ended"
}

// Configure has an HTTP server tell the account what its connections are used for. The handler finds its connection with
// From. What the server reports, such as a panic in a handler, goes to the log.
func Configure(x *http.Server, log *zap.Logger) {
	x.ErrorLog = zap.NewStdLog(log.Named("http"))
	x.ConnContext = func(c context.Context, n net.Conn) context.Context {
		if k, ok := n.(*Conn); ok {
			return context.WithValue(c, connKey{}, k)
		}
		return c
	}
	x.ConnState = func(n net.Conn, s http.ConnState) {
		k, ok := n.(*Conn)
		if !ok {
			return
		}
		switch s {
		case http.StateActive:
			k.SetPhase(shedding.Running)
		case http.StateIdle:
			k.SetPhase(shedding.Idle)
		case http.StateNew, http.StateHijacked, http.StateClosed:
		}
	}
}

type connKey struct{}

// From returns the connection of a request, or nil if it did not come from a Listener.
func From(c context.Context) *Conn {
	k, _ := c.Value(connKey{}).(*Conn)
	return k
}

// WithoutBodies is a handler for requests that have no body. It closes the connections of those that have one.
func WithoutBodies(h http.Handler, t *timer.Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			// A body that is not read has to end nonetheless before the connection is closed.
			_ = http.NewResponseController(w).SetReadDeadline(t.Now())
		}
		h.ServeHTTP(w, r)
	})
}

// defaultMemory is assumed where no memory is stated. It is that of the users' smallest machines.
const defaultMemory shedding.Bytes = 136 << 20

// NewLimits returns the limits of an instance. A memory of 0 stands for 136 MB, descriptors of 0 for those that the
// kernel gives the process.
func NewLimits(memory shedding.Bytes, descriptors int) shedding.Limits {
	if memory == 0 {
		memory = defaultMemory
	}
	if descriptors == 0 {
		descriptors = KernelDescriptors()
	}
	return shedding.NewLimits(memory, descriptors)
}

// maxDescriptors bounds the descriptors that are counted on.
const maxDescriptors = 1 << 20

// KernelDescriptors returns how many descriptors the kernel gives the process.
func KernelDescriptors() int {
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil {
		return maxDescriptors
	}
	return int(min(r.Cur, maxDescriptors))
}
