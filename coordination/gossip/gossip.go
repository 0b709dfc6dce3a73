// Package gossip exchanges the state of all instances in heartbeats, several times a
// second. They are UDP datagrams and may be lost.
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

// Interval is the minimum time between two heartbeats. Each one costs a datagram for each
// peer.
const Interval = 150 * time.Millisecond

// Peers in other availability zones get every farPeriod-th heartbeat, since traffic
// between zones is paid for. In a fleet with at least largeFleet peers, most of which are
// in other zones, they get every largeFleetFarPeriod-th. With a period of four in a
// fleet of 15 instances, fewer requests were served.
const (
	farPeriod           = 2
	largeFleetFarPeriod = 4
	largeFleet          = 40
)

// intervalPerPeer is the time between heartbeats for each peer, so that a large fleet
// does not spend all its time on them: at 118 instances, the interval is 0.5 s.
const intervalPerPeer = 4 * time.Millisecond

// A peer counts as silent after silentAfter intervals without a heartbeat, but not before
// minSilence.
const (
	minSilence  = 1500 * time.Millisecond
	silentAfter = 5
)

// maxDatagram is the maximum size of a heartbeat in bytes.
const maxDatagram = 32 << 10

// Peer is another instance, as its newest heartbeat describes it.
type Peer struct {
	Heartbeat
	// ReceivedAt is when the newest heartbeat arrived. LeaseReadAt is when Lease was
	// read from the store, if it was: it may have been renewed just before that.
	ReceivedAt  time.Duration
	LeaseReadAt time.Duration
}

// Report is the work of an instance on the upstreams of one owner. It is sent to that
// owner only.
type Report struct {
	Name     string
	Run      int64
	Sequence int64
	Work     []pool.Work
}

// Limits are limits of upstreams that an instance announces to all others.
type Limits struct {
	Name   string
	Limits []pool.UpstreamLimit
}

// Suspicions is an encoded announcement of package suspect by an instance.
type Suspicions struct {
	Name string
	Data []byte
}

// reportID identifies a report of an instance; later reports have higher IDs.
type reportID struct {
	run, sequence int64
}

// Gossip sends the heartbeats of this instance and keeps the newest one of each other
// instance. It is safe for concurrent use once its exported fields are set.
type Gossip struct {
	// Compose returns the heartbeat to send.
	Compose func() Heartbeat
	// OnHeartbeat is called with each new heartbeat of another instance.
	OnHeartbeat func(b Heartbeat)
	// OnReport is called with each new report of another instance.
	OnReport func(r Report)
	// OnLimits is called with limits of upstreams that another instance announces outside
	// of heartbeats. They may arrive in any order.
	OnLimits func(l Limits)
	// OnSuspicions is called with the announcements of crashes of other instances, in heartbeats
	// or outside of them. They may arrive in any order.
	OnSuspicions func(s Suspicions)
	// Addresses returns the addresses of the other instances: near ones get each
	// heartbeat; far ones, in other availability zones, get some of them.
	Addresses func() (near, far []netip.AddrPort)
	// Zone is the availability zone of this instance.
	Zone string

	name  string
	timer *timer.Service
	log   *zap.Logger
	conn  *net.UDPConn
	mu    sync.Mutex
	peers map[string]*Peer
	// reports identifies the newest report of each instance.
	reports map[string]reportID
	seq     int64
}

// New returns the Gossip of the named instance, which uses and closes the socket.
func New(name string, conn *net.UDPConn, t *timer.Service, log *zap.Logger) *Gossip {
	return &Gossip{name: name, conn: conn, timer: t, log: log.Named("gossip"), peers: map[string]*Peer{}, reports: map[string]reportID{}}
}

// Run sends and receives heartbeats until c ends, and then closes the socket.
func (g *Gossip) Run(c context.Context) {
	go func() {
		<-c.Done()
		_ = g.conn.Close()
	}()
	go g.receiveLoop(c)
	for c.Err() == nil {
		_ = g.timer.Wait(c, g.interval())
		g.Send()
	}
}

func (g *Gossip) interval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.intervalLocked()
}

// intervalLocked returns the time between two heartbeats.
func (g *Gossip) intervalLocked() time.Duration {
	return max(Interval, time.Duration(len(g.peers))*intervalPerPeer)
}

// period returns n if a peer in another zone gets every n-th heartbeat.
func (g *Gossip) period() int64 {
	if len(g.peers) >= largeFleet {
		return largeFleetFarPeriod
	}
	return farPeriod
}

// silenceTimeout returns the time without a heartbeat after which a peer counts as
// silent. Peers in other zones are allowed half as many missing heartbeats, since
// they are sent fewer heartbeats.
func (g *Gossip) silenceTimeout(far bool) time.Duration {
	d := silentAfter * g.intervalLocked()
	if far {
		d = d * time.Duration(g.period()) / 2
	}
	return max(minSilence, d)
}

func (g *Gossip) isLive(p *Peer, now time.Duration) bool {
	return now-p.ReceivedAt < g.silenceTimeout(p.Zone != g.Zone)
}

// Send sends one heartbeat. Each goes to a part of the far peers, so that none takes
// long to send.
func (g *Gossip) Send() {
	b := g.Compose()
	b.Name = g.name
	g.mu.Lock()
	g.seq++
	b.Sequence = g.seq
	period := g.period()
	g.mu.Unlock()
	// The warm adapters go with every second heartbeat that a peer gets.
	sendWarm := b.Sequence%(2*period) < period
	for i := range b.Placements {
		b.Placements[i].HasWarm = sendWarm
	}
	data, err := encode(b)
	if err == nil && len(data) > maxDatagram && len(b.Suspicions) > 0 {
		g.log.Error("heartbeat is larger than a datagram; sent without suspicions", zap.Int("bytes", len(data)), zap.Int("suspicions", len(b.Suspicions)))
		b.Suspicions = nil
		data, err = encode(b)
	}
	if err != nil || len(data) > maxDatagram {
		g.log.Error("heartbeat not sent: encoding failed or larger than a datagram", zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	near, far := g.Addresses()
	for _, a := range near {
		g.send(data, a)
	}
	for _, a := range far {
		if (int64(phase(a))+b.Sequence)%period == 0 {
			g.send(data, a)
		}
	}
}

// phase returns the offset that spreads far addresses over the heartbeats of a period.
func phase(a netip.AddrPort) byte {
	l := a.Addr().AsSlice()
	return l[len(l)-1]
}

func (g *Gossip) send(data []byte, a netip.AddrPort) {
	// A send error is the same to the protocol as a lost datagram.
	_, _ = g.conn.WriteToUDPAddrPort(data, a)
}

func (g *Gossip) receiveLoop(c context.Context) {
	buf := make([]byte, maxDatagram)
	for c.Err() == nil {
		n, _, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if c.Err() == nil {
				g.log.Warn("failed to receive datagram", zap.Error(err))
				_ = g.timer.Wait(c, Interval)
			}
			continue
		}
		g.handleDatagram(buf[:n])
	}
}

// handleDatagram processes a heartbeat, limits or a report. A report that is not newer than the
// last one of its instance is ignored.
func (g *Gossip) handleDatagram(data []byte) {
	var m heartbeatMessage
	if err := mesh.Unmarshal(data, &m); err != nil {
		g.log.Warn("failed to decode datagram", zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	b := m.heartbeat()
	if len(m.Suspicions) > 0 && b.Name != g.name && g.OnSuspicions != nil {
		g.OnSuspicions(Suspicions{Name: b.Name, Data: m.Suspicions})
	}
	switch {
	case m.SuspicionsOnly:
		return
	case m.LimitsOnly:
		if g.OnLimits != nil {
			g.OnLimits(Limits{Name: b.Name, Limits: b.Limits})
		}
		return
	case !m.Report:
		g.Receive(b)
		return
	}
	g.mu.Lock()
	last, got := g.reports[b.Name], reportID{run: b.Run, sequence: b.Sequence}
	stale := last.run > got.run || last.run == got.run && last.sequence >= got.sequence
	if !stale {
		g.reports[b.Name] = got
	}
	g.mu.Unlock()
	if !stale && g.OnReport != nil {
		g.OnReport(Report{Name: b.Name, Run: b.Run, Sequence: b.Sequence, Work: b.Work})
	}
}

// SendReport sends the owner of some upstreams a report of this instance's work on them.
func (g *Gossip) SendReport(r Report, to netip.AddrPort) {
	m := Heartbeat{Name: g.name, Run: r.Run, Sequence: r.Sequence, Work: r.Work}.message()
	m.Report = true
	data, err := mesh.Marshal(m)
	if err != nil {
		g.log.Error("failed to encode report", zap.Error(err))
		return
	}
	g.send(data, to)
}

// SendLimits announces limits of upstreams to all other instances.
func (g *Gossip) SendLimits(l []pool.UpstreamLimit) {
	m := Heartbeat{Name: g.name, Limits: l}.message()
	m.LimitsOnly = true
	g.sendToAll(m)
}

// SendSuspicions sends an announcement of package suspect to all other instances.
func (g *Gossip) SendSuspicions(data []byte) {
	g.sendToAll(&heartbeatMessage{Name: g.name, Suspicions: data, SuspicionsOnly: true})
}

func (g *Gossip) sendToAll(m *heartbeatMessage) {
	data, err := mesh.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		g.log.Error("announcement not sent: encoding failed or larger than a datagram", zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	near, far := g.Addresses()
	for _, a := range append(near, far...) {
		g.send(data, a)
	}
}

// Receive records a heartbeat of another instance and calls OnHeartbeat, unless a newer
// one of that instance has arrived.
func (g *Gossip) Receive(b Heartbeat) {
	if b.Name == g.name {
		return
	}
	g.mu.Lock()
	old, ok := g.peers[b.Name]
	stale := ok && (old.Run > b.Run || old.Run == b.Run && old.Sequence >= b.Sequence)
	if !stale {
		g.peers[b.Name] = &Peer{Heartbeat: b, ReceivedAt: g.timer.Boot()}
	}
	g.mu.Unlock()
	if !stale {
		g.OnHeartbeat(b)
	}
}

// Peer returns the newest heartbeat of an instance, and false if there is none.
func (g *Gossip) Peer(name string) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// LivePeer returns the newest heartbeat of an instance, and false if it is silent.
func (g *Gossip) LivePeer(name string, now time.Duration) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[name]
	if !ok || !g.isLive(p, now) {
		return Peer{}, false
	}
	return *p, true
}

// SilenceTimeouts returns the times without a heartbeat after which peers in this and in
// other availability zones count as silent.
func (g *Gossip) SilenceTimeouts() (near, far time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silenceTimeout(false), g.silenceTimeout(true)
}

// LivePeers returns the peers that are not silent. The caller must not modify them.
func (g *Gossip) LivePeers(now time.Duration) []*Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*Peer
	for _, p := range g.peers {
		if g.isLive(p, now) {
			out = append(out, p)
		}
	}
	return out
}

// SilentPeers returns the silent peers, and deletes those without a heartbeat for longer
// than forgetAfter, which are returned one last time.
func (g *Gossip) SilentPeers(now, forgetAfter time.Duration) []*Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*Peer
	for n, p := range g.peers {
		if g.isLive(p, now) {
			continue
		}
		out = append(out, p)
		if now-p.ReceivedAt > forgetAfter {
			delete(g.peers, n)
		}
	}
	return out
}

func encode(b Heartbeat) ([]byte, error) {
	return mesh.Marshal(b.message())
}

// SetLease records the version of an instance's lease that was read from the store. An
// instance without a heartbeat is added as a silent peer.
func (g *Gossip) SetLease(name string, v mirror.Version, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, ok := g.peers[name]
	if ok && old.Lease == v {
		return
	}
	p := Peer{Heartbeat: Heartbeat{Name: name}, ReceivedAt: now - g.silenceTimeout(true)}
	if ok {
		p = *old
	}
	p.Lease, p.LeaseReadAt, p.Surrendered = v, now, false
	g.peers[name] = &p
}
