// Package gossip sends what each instance does to the others, several times a
// second, in datagrams that may be lost.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// Interval is the least time between two beats. Its price is one datagram a
// peer.
const Interval = 150 * time.Millisecond

// farBeats is the number of beats of which other availability zones get one,
// since bytes between zones are paid for.
const farBeats = 2

// perPeer is the time between beats for each peer, so that a large fleet does
// not spend all its time on them: at 118 instances a beat each 0.5 s.
const perPeer = 4 * time.Millisecond

// minSilence is the least time without a beat after which a peer counts as
// silent: two beats between zones may be lost.
const minSilence = 1500 * time.Millisecond

// maxDatagram is the largest beat that is sent.
const maxDatagram = 32 << 10

// Peer is an instance that was heard.
type Peer struct {
	Beat
	// At is when its newest beat arrived. LeaseSeen is when Lease was read from
	// the store instead, if it was: it may have been renewed just before.
	At        time.Duration
	LeaseSeen time.Duration
}

// Gossip sends the beats of this instance and keeps the newest of others.
type Gossip struct {
	// Compose returns the beat to send.
	Compose func() Beat
	// Heard is called with each new beat of another instance.
	Heard func(b Beat)
	// Addresses returns where the other instances listen: those that are told
	// with each beat, and those, in other availability zones, that are told
	// with each farBeats-th one.
	Addresses func() (near, far []netip.AddrPort)

	name  string
	timer *timer.Service
	log   *zap.Logger
	conn  net.PacketConn
	mu    sync.Mutex
	peers map[string]Peer
	seq   int64
}

// New returns a gossip of the instance with a name on a socket.
func New(name string, conn net.PacketConn, t *timer.Service, log *zap.Logger) *Gossip {
	return &Gossip{name: name, conn: conn, timer: t, log: log.Named("gossip"), peers: map[string]Peer{}}
}

// Run sends and receives beats until c ends.
func (g *Gossip) Run(c context.Context) {
	go func() {
		<-c.Done()
		_ = g.conn.Close()
	}()
	go g.receive(c)
	for c.Err() == nil {
		_ = g.timer.Wait(c, g.interval())
		g.Send()
	}
}

func (g *Gossip) interval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(Interval, time.Duration(len(g.peers))*perPeer)
}

// silence is the time without a beat after which a peer counts as silent.
func (g *Gossip) silence() time.Duration {
	return max(minSilence, (farBeats*2+1)*time.Duration(len(g.peers))*perPeer)
}

// Send sends one beat.
func (g *Gossip) Send() {
	b := g.Compose()
	b.Name = g.name
	g.mu.Lock()
	g.seq++
	b.Sequence = g.seq
	toFar := g.seq%farBeats == 0
	g.mu.Unlock()
	data, err := encode(b)
	if err != nil || len(data) > maxDatagram {
		g.log.Error("beat cannot be sent", zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	addresses, far := g.Addresses()
	if toFar {
		addresses = append(addresses, far...)
	}
	for _, a := range addresses {
		// A datagram that cannot be sent is like a lost one.
		_, _ = g.conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
}

func (g *Gossip) receive(c context.Context) {
	buf := make([]byte, maxDatagram)
	for c.Err() == nil {
		n, _, err := g.conn.ReadFrom(buf)
		if err != nil {
			if c.Err() == nil {
				g.log.Warn("receive beat", zap.Error(err))
				_ = g.timer.Wait(c, Interval)
			}
			continue
		}
		b, err := decode(buf[:n])
		if err != nil {
			g.log.Warn("beat cannot be read", zap.Error(err))
			continue
		}
		g.Take(b)
	}
}

// Take notes a beat, unless it is older than one that was heard.
func (g *Gossip) Take(b Beat) {
	if b.Name == g.name {
		return
	}
	g.mu.Lock()
	old, ok := g.peers[b.Name]
	late := ok && (old.Run > b.Run || old.Run == b.Run && old.Sequence >= b.Sequence)
	if !late {
		g.peers[b.Name] = Peer{Beat: b, At: g.timer.Boot()}
	}
	g.mu.Unlock()
	if !late {
		g.Heard(b)
	}
}

// Peer returns the newest beat of an instance.
func (g *Gossip) Peer(name string) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[name]
	return p, ok
}

// Silence returns the time without a beat after which a peer counts as silent.
func (g *Gossip) Silence() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silence()
}

// Live returns the peers that are not silent.
func (g *Gossip) Live(now time.Duration) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for _, p := range g.peers {
		if now-p.At < g.silence() {
			out = append(out, p)
		}
	}
	return out
}

// Silent returns the peers that were heard once and are silent, and forgets
// those that are silent for long.
func (g *Gossip) Silent(now, forget time.Duration) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Peer
	for n, p := range g.peers {
		if now-p.At < g.silence() {
			continue
		}
		out = append(out, p)
		if now-p.At > forget {
			delete(g.peers, n)
		}
	}
	return out
}

func encode(b Beat) ([]byte, error) {
	return mesh.Marshal(b.message())
}

func decode(data []byte) (Beat, error) {
	var m beatMessage
	if err := mesh.Unmarshal(data, &m); err != nil {
		return Beat{}, err
	}
	return m.beat(), nil
}

// Leased notes the version of an instance's lease as the store has it at the
// instant given.
func (g *Gossip) Leased(name string, v mirror.Version, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[name]
	if ok && p.Lease == v {
		return
	}
	if !ok {
		// Not heard so far: it does not count as live.
		p.At = now - g.silence()
	}
	p.Name, p.Lease, p.LeaseSeen = name, v, now
	p.Surrendered = false
	g.peers[name] = p
}
