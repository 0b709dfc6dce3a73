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
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// Interval is the least time between two beats. Its price is one datagram a
// peer.
const Interval = 150 * time.Millisecond

// farBeats is the number of beats of which a peer in another availability zone
// gets one, since bytes between zones are paid for; manyFarBeats is that of a
// fleet with many peers or more, of which most are in other zones. With four in
// a fleet of 15 fewer requests were served.
const (
	farBeats     = 2
	manyFarBeats = 4
	many         = 40
)

// perPeer is the time between beats for each peer, so that a large fleet does
// not spend all its time on them: at 118 instances a beat each 0.5 s.
const perPeer = 4 * time.Millisecond

// minSilence is the least time without a beat after which a peer counts as
// silent, and silentBeats the number of its beats that may be missing.
const (
	minSilence  = 1500 * time.Millisecond
	silentBeats = 5
)

// maxDatagram is the largest beat that is sent.
const maxDatagram = 32 << 10

// Peer is an instance that was heard.
type Peer struct {
	Heartbeat
	// ReceivedAt is when its newest beat arrived. LeaseSeen is when Lease was read from
	// the store instead, if it was: it may have been renewed just before.
	ReceivedAt  time.Duration
	LeaseReadAt time.Duration
}

// Report is what an instance has on the upstreams of one owner, told to it alone.
type Report struct {
	Name     string
	Run      int64
	Sequence int64
	Work     []pool.Work
}

// mark tells the newest report of an instance.
type mark struct {
	run, sequence int64
}

// Gossip sends the beats of this instance and keeps the newest of others.
type Gossip struct {
	// Compose returns the beat to send.
	Compose func() Heartbeat
	// OnHeartbeat is called with each new beat of another instance.
	OnHeartbeat func(b Heartbeat)
	// OnReport is called with each new report of another instance.
	OnReport func(r Report)
	// Addresses returns where the other instances listen: those that are told
	// with each beat, and those, in other availability zones, that are told
	// with some only.
	Addresses func() (near, far []netip.AddrPort)
	// Zone is the availability zone of this instance.
	Zone string

	name  string
	timer *timer.Service
	log   *zap.Logger
	conn  *net.UDPConn
	mu    sync.Mutex
	peers map[string]*Peer
	// reports are the newest report of each instance.
	reports map[string]mark
	seq     int64
}

// New returns a gossip of the instance with a name on a socket.
func New(name string, conn *net.UDPConn, t *timer.Service, log *zap.Logger) *Gossip {
	return &Gossip{name: name, conn: conn, timer: t, log: log.Named("gossip"), peers: map[string]*Peer{}, reports: map[string]mark{}}
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
	return g.between()
}

// between is the time between two beats.
func (g *Gossip) between() time.Duration {
	return max(Interval, time.Duration(len(g.peers))*perPeer)
}

// farEvery is the number of beats of which a peer of another zone gets one.
func (g *Gossip) farEvery() int64 {
	if len(g.peers) >= many {
		return manyFarBeats
	}
	return farBeats
}

// silence is the time without a beat after which a peer counts as silent.
// Half as many beats may be missing of those that come far.
func (g *Gossip) silence(far bool) time.Duration {
	d := silentBeats * g.between()
	if far {
		d = d * time.Duration(g.farEvery()) / 2
	}
	return max(minSilence, d)
}

func (g *Gossip) live(p *Peer, now time.Duration) bool {
	return now-p.ReceivedAt < g.silence(p.Zone != g.Zone)
}

// Send sends one beat. Those that go far are spread over the beats, so that
// none takes long.
func (g *Gossip) Send() {
	b := g.Compose()
	b.Name = g.name
	g.mu.Lock()
	g.seq++
	b.Sequence = g.seq
	every := g.farEvery()
	g.mu.Unlock()
	// Each peer hears of them with each second of the beats that it gets.
	recent := b.Sequence%(2*every) < every
	for i := range b.Placements {
		b.Placements[i].HasWarm = recent
	}
	data, err := encode(b)
	if err != nil || len(data) > maxDatagram {
		g.log.Error("beat cannot be sent", zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	near, far := g.Addresses()
	for _, a := range near {
		g.send(data, a)
	}
	for _, a := range far {
		if (int64(turn(a))+b.Sequence)%every == 0 {
			g.send(data, a)
		}
	}
}

// turn spreads addresses over the beats.
func turn(a netip.AddrPort) byte {
	l := a.Addr().AsSlice()
	return l[len(l)-1]
}

func (g *Gossip) send(data []byte, a netip.AddrPort) {
	// A datagram that cannot be sent is like a lost one.
	_, _ = g.conn.WriteToUDPAddrPort(data, a)
}

func (g *Gossip) receive(c context.Context) {
	buf := make([]byte, maxDatagram)
	for c.Err() == nil {
		n, _, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if c.Err() == nil {
				g.log.Warn("receive beat", zap.Error(err))
				_ = g.timer.Wait(c, Interval)
			}
			continue
		}
		g.read(buf[:n])
	}
}

// read takes over a datagram: a beat or a report.
func (g *Gossip) read(data []byte) {
	var m beatMessage
	if err := mesh.Unmarshal(data, &m); err != nil {
		g.log.Warn("datagram cannot be read", zap.Error(err))
		return
	}
	b := m.beat()
	if !m.Report {
		g.Receive(b)
		return
	}
	g.mu.Lock()
	old, now := g.reports[b.Name], mark{run: b.Run, sequence: b.Sequence}
	late := old.run > now.run || old.run == now.run && old.sequence >= now.sequence
	if !late {
		g.reports[b.Name] = now
	}
	g.mu.Unlock()
	if !late && g.OnReport != nil {
		g.OnReport(Report{Name: b.Name, Run: b.Run, Sequence: b.Sequence, Work: b.Work})
	}
}

// SendReport tells one instance what this one has on its upstreams.
func (g *Gossip) SendReport(r Report, to netip.AddrPort) {
	m := Heartbeat{Name: g.name, Run: r.Run, Sequence: r.Sequence, Work: r.Work}.message()
	m.Report = true
	data, err := mesh.Marshal(m)
	if err != nil {
		g.log.Error("report cannot be encoded", zap.Error(err))
		return
	}
	g.send(data, to)
}

// Receive notes a beat, unless it is older than one that was heard.
func (g *Gossip) Receive(b Heartbeat) {
	if b.Name == g.name {
		return
	}
	g.mu.Lock()
	old, ok := g.peers[b.Name]
	late := ok && (old.Run > b.Run || old.Run == b.Run && old.Sequence >= b.Sequence)
	if !late {
		g.peers[b.Name] = &Peer{Heartbeat: b, ReceivedAt: g.timer.Boot()}
	}
	g.mu.Unlock()
	if !late {
		g.OnHeartbeat(b)
	}
}

// Peer returns the newest beat of an instance.
func (g *Gossip) Peer(name string) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// LivePeer returns the newest beat of an instance that is not silent.
func (g *Gossip) LivePeer(name string, now time.Duration) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[name]
	if !ok || !g.live(p, now) {
		return Peer{}, false
	}
	return *p, true
}

// SilenceTimeouts returns the time without a beat after which a peer counts as silent,
// of the same availability zone or of another one.
func (g *Gossip) SilenceTimeouts() (near, far time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silence(false), g.silence(true)
}

// LivePeers returns the peers that are not silent. They must not be changed.
func (g *Gossip) LivePeers(now time.Duration) []*Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*Peer
	for _, p := range g.peers {
		if g.live(p, now) {
			out = append(out, p)
		}
	}
	return out
}

// SilentPeers returns the peers that were heard once and are silent, and forgets
// those that are silent for long.
func (g *Gossip) SilentPeers(now, forget time.Duration) []*Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*Peer
	for n, p := range g.peers {
		if g.live(p, now) {
			continue
		}
		out = append(out, p)
		if now-p.ReceivedAt > forget {
			delete(g.peers, n)
		}
	}
	return out
}

func encode(b Heartbeat) ([]byte, error) {
	return mesh.Marshal(b.message())
}

// SetLease notes the version of an instance's lease as the store has it at the
// instant given. An instance that was not heard does not count as live.
func (g *Gossip) SetLease(name string, v mirror.Version, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, ok := g.peers[name]
	if ok && old.Lease == v {
		return
	}
	p := Peer{Heartbeat: Heartbeat{Name: name}, ReceivedAt: now - g.silence(true)}
	if ok {
		p = *old
	}
	p.Lease, p.LeaseReadAt, p.Surrendered = v, now, false
	g.peers[name] = &p
}
