package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/paths"
	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

const (
	// maxForwarded bounds the connections that an instance forwards for others, forwardedBytes is what each of them
	// may hold: the window of its stream and the buffers for both directions.
	maxForwarded   = 128
	forwardedBytes = 300 << 10
	// forwardTimeout is how long one instance may take to open a connection.
	forwardTimeout = 450 * time.Millisecond
	pingMethod     = "paths/ping"
	// pingInterval is the time between two checks of the instances that forward connections, pingTimeout
	// how long they may take to answer.
	pingInterval = 500 * time.Millisecond
	pingTimeout  = time.Second
	// drainPoll is how often a stopping instance checks whether it still forwards connections.
	drainPoll = 50 * time.Millisecond
)

// newPaths creates the paths to the upstreams.
func (e *Entry) newPaths(log *zap.Logger) {
	e.paths = paths.New(paths.Services{
		Timer: e.timer, Log: log, Dial: e.Relay.Dial, Forwarders: e.forwarders,
		Addresses:  func() []string { return e.pool.Addresses(e.timer.Boot()) },
		OnStranded: func(cut bool) { e.ownership.Suspend(cut) },
	})
	e.Relay.DialIndirect, e.Relay.Indirect, e.Relay.OnDial, e.Relay.OnRead = e.paths.DialIndirect, e.paths.Indirect, e.paths.RecordDirect, e.paths.Heard
	e.mesh.DialUpstream = e.dialForPeer
	mesh.Handle(e.mesh, pingMethod, func(context.Context, string, *pingMessage) (*pingMessage, error) { return &pingMessage{}, nil })
}

// send sends a request to an upstream, and has the paths know that a response is due.
func (e *Entry) send(c context.Context, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
	end := e.paths.Begin()
	a, err := e.Send(c, s)
	if err != nil {
		end()
		return nil, err
	}
	a.Body = notifyingBody{ReadCloser: a.Body, closed: end}
	return a, nil
}

// notifyingBody is a response body that reports its end.
type notifyingBody struct {
	io.ReadCloser
	closed func()
}

func (b notifyingBody) Close() error {
	b.closed()
	return b.ReadCloser.Close()
}

// forwarders returns the instances that serve, reach the upstreams themselves and have answered lately, in
// an order that differs from one connection to the next.
func (e *Entry) forwarders() []paths.Forwarder {
	now := e.timer.Boot()
	var out []paths.Forwarder
	for _, p := range e.gossip.LivePeers(now) {
		m, known := e.members.get(p.Name)
		if !known || !p.Serving || p.Stranded || e.ownerCalls.backingOff(p.Name, now) {
			continue
		}
		out = append(out, paths.Forwarder{Name: p.Name, Near: p.Zone == e.Zone, Dial: func(c context.Context, address string) (net.Conn, error) {
			return e.connectThrough(c, p.Name, m, address)
		}})
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// connectThrough opens a connection to an upstream through a member.
func (e *Entry) connectThrough(c context.Context, name string, m member, address string) (net.Conn, error) {
	x, cancel := context.WithTimeout(c, forwardTimeout)
	defer cancel()
	n, err := e.mesh.Connect(x, m.peer.String(), address)
	if c.Err() == nil {
		e.ownerCalls.recordCall(name, !eris.Is(err, mesh.ErrUnreachable), e.timer.Boot())
	}
	switch {
	case err == nil:
		e.log.Debug("connected through another instance", zap.String("address", address), zap.String("through", name))
		return e.forwarderUse.add(name, n), nil
	case eris.Is(err, mesh.ErrUpstreamRefused):
		err = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	e.log.Info("no connection through another instance", zap.String("address", address), zap.String("through", name), zap.Error(err))
	return nil, err
}

// forwarderUse counts the connections through each other instance.
type forwarderUse struct {
	mu   sync.Mutex
	open map[string]*atomic.Int64
}

// add counts a connection until it is closed.
func (u *forwarderUse) add(name string, n net.Conn) net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open == nil {
		u.open = map[string]*atomic.Int64{}
	}
	if u.open[name] == nil {
		u.open[name] = &atomic.Int64{}
	}
	u.open[name].Add(1)
	return &countedConn{Conn: n, count: u.open[name]}
}

// names returns the instances through which connections are open.
func (u *forwarderUse) names() (out []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, n := range u.open {
		if n.Load() > 0 {
			out = append(out, name)
		}
	}
	return out
}

type pingMessage struct{ mesh.Message }

// checkForwarders breaks the connections through instances that do not answer, such as frozen ones: no
// end of a connection would show that.
func (e *Entry) checkForwarders(c context.Context) {
	for _, name := range e.forwarderUse.names() {
		m, known := e.members.get(name)
		if !known {
			continue
		}
		go func() {
			x, cancel := context.WithTimeout(c, pingTimeout)
			defer cancel()
			if _, err := mesh.Call[pingMessage, pingMessage](x, e.mesh, m.peer.String(), pingMethod, &pingMessage{}); err != nil {
				e.log.Info("instance that forwards connections does not answer; breaking them", zap.String("through", name), zap.Error(err))
				e.ownerCalls.recordCall(name, false, e.timer.Boot())
				e.mesh.Disconnect(m.peer.String())
			}
		}()
	}
}

// dialForPeer opens a connection to an upstream for another instance. It goes no further: this instance
// connects directly or not at all.
func (e *Entry) dialForPeer(c context.Context, address string) (net.Conn, error) {
	if !slices.Contains(e.pool.Addresses(e.timer.Boot()), address) {
		return nil, eris.Wrapf(mesh.ErrRefused, "%s is not the address of an upstream", address)
	}
	if e.forwarded.Add(1) > maxForwarded {
		e.forwarded.Add(-1)
		return nil, eris.Wrapf(mesh.ErrRefused, "%d connections are forwarded", maxForwarded)
	}
	claim := e.Inbound.Account.Claim(shedding.Forwarding, nil)
	if ok, _ := claim.Grow(forwardedBytes); !ok {
		e.forwarded.Add(-1)
		claim.CountShort()
		return nil, eris.Wrap(mesh.ErrRefused, "no memory is left for another connection")
	}
	n, err := e.Relay.Dial(c, "tcp", address)
	e.paths.RecordDirect(address, err)
	if err != nil {
		e.forwarded.Add(-1)
		claim.ShrinkTo(0)
		return nil, err
	}
	return &countedConn{Conn: n, count: &e.forwarded, onClose: func() { claim.ShrinkTo(0) }}, nil
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	count *atomic.Int64
	// onClose is called once. It may be nil.
	onClose func()
	once    sync.Once
}

func (k *countedConn) Close() error {
	k.once.Do(func() {
		k.count.Add(-1)
		if k.onClose != nil {
			k.onClose()
		}
	})
	return k.Conn.Close()
}

// AwaitForwarded waits until no connection is forwarded any more, or c ends.
func (e *Entry) AwaitForwarded(c context.Context) {
	for e.forwarded.Load() > 0 {
		if e.timer.Wait(c, drainPoll) != nil {
			return
		}
	}
}
