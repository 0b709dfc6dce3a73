package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/store"
)

const (
	memberPrefix  = "member."
	rowsMethod    = "mirror/rows"
	houseInterval = 250 * time.Millisecond
	// forgetMember is the silence after which a member's row is removed.
	forgetMember = 20 * time.Second
	// introduceTime is the age up to which an instance tells its addresses in
	// its beats, for those that the store does not tell of it.
	introduceTime = 10 * time.Second
	// youngTime is the age up to which an instance takes over levels.
	youngTime = 2 * adoptWithin
	joinRetry = 300 * time.Millisecond
)

type memberRow struct {
	Front string `json:"front"`
	Peer  string `json:"peer"`
	Zone  string `json:"zone"`
	Run   int64  `json:"run"`
}

// member is an instance of the fleet.
type member struct {
	front   string
	zone    string
	peer    netip.AddrPort
	version mirror.Version
}

// members are the other instances that the store names.
type members struct {
	mu    sync.Mutex
	known map[string]member
}

func (m *members) get(name string) (member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.known[name]
	return x, ok
}

func (m *members) set(name string, x member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known[name] = x
}

// count returns the number of known members.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known)
}

func (m *members) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.known, name)
}

// addresses returns where the instances of this availability zone and those
// of others listen.
func (e *Entry) addresses() (near, far []netip.AddrPort) {
	m := &e.members
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.known {
		if x.zone == e.Zone {
			near = append(near, x.peer)
		} else {
			far = append(far, x.peer)
		}
	}
	return near, far
}

// fleetChanged takes over rows of members and claims.
func (e *Entry) fleetChanged(rows []mirror.Row, _ time.Duration) {
	e.ownership.ApplyRows(rows)
	log := e.rowLog("fleet", rows)
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, memberPrefix)
		if !ok || name == e.Name {
			continue
		}
		if r.Removed {
			e.members.remove(name)
			continue
		}
		var m memberRow
		err := json.Unmarshal(r.Value, &m)
		var peer netip.AddrPort
		if err == nil {
			peer, err = netip.ParseAddrPort(m.Peer)
		}
		if err != nil {
			e.log.Error("member cannot be read", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		e.members.set(name, member{front: m.Front, zone: m.Zone, peer: peer, version: r.Version})
		log("member", zap.String("name", name), zap.String("peer", m.Peer), zap.Int64("run", m.Run))
	}
	e.countMembers()
}

// countMembers tells those that share something of how many instances the fleet
// consists.
func (e *Entry) countMembers() {
	n := e.members.count() + 1
	e.quota.setMembers(n, e.timer.Boot())
	e.retries.SetMembers(n)
}

// join writes the row that names this instance, until it is written.
func (e *Entry) join(c context.Context) {
	value, err := json.Marshal(memberRow{Front: e.FrontAddress, Peer: e.PeerAddress, Zone: e.Zone, Run: e.run})
	if err != nil {
		e.log.Error("member cannot be encoded", zap.Error(err))
		return
	}
	t := store.Transaction{Writes: []store.Write{{Key: store.Key{Table: ownership.FleetTable, Key: memberPrefix + e.Name}, Value: value}}}
	for c.Err() == nil {
		if _, err = e.Store.Transact(c, t); err == nil {
			return
		}
		e.log.Warn("member is not written", zap.Error(err))
		_ = e.timer.Wait(c, joinRetry)
	}
}

// Deregister removes the row that names this instance.
func (e *Entry) Deregister(c context.Context) {
	t := store.Transaction{Deletes: []store.Key{{Table: ownership.FleetTable, Key: memberPrefix + e.Name}}}
	if _, err := e.Store.Transact(c, t); err != nil {
		e.log.Warn("member is not removed", zap.Error(err))
	}
}

// compose returns what this instance tells the others.
func (e *Entry) compose() gossip.Heartbeat {
	now := e.timer.Boot()
	young := e.countPeers(now)
	lease, surrendered := e.ownership.Lease(now)
	k := e.feeds[e.Tables.Upstreams].Contact()
	b := gossip.Heartbeat{
		Run: e.run, Serving: e.Ready(), Zone: e.Zone, StoreUnstable: k.Unstable(now), ReadsStore: e.reads.Load(), StoreConfirmed: e.reads.Load() && k.Confirms(now), Uptime: now - e.began, Lease: lease, Surrendered: surrendered,
		Work: e.unowned(), Sent: e.retries.Counts(), Loading: e.orders.OwnLoads(), Versions: map[pool.Tag]mirror.Version{},
	}
	if b.Uptime < introduceTime {
		b.FrontAddress, b.PeerAddress = e.FrontAddress, e.PeerAddress
	}
	_, far := e.gossip.SilenceTimeouts()
	b.Spent, b.Remaining = e.quota.report(far, now)
	if !young {
		b.Remaining = nil
	}
	for t := range e.feeds {
		b.Versions[pool.NewTag(t)] = e.version(t)
	}
	b.Versions[pool.NewTag(e.Tables.Upstreams)], b.ListingsDigest = e.listings.Summary()
	for id, k := range e.ownership.Owned(now) {
		e.pool.ClearRemoteUsage(id)
		held, recent := e.pool.LoadedAdapters(id)
		busy, running := e.pool.TotalUsage(id, now)
		for a, h := range held {
			h.ReadyAt = max(0, h.ReadyAt-now)
			held[a] = h
		}
		b.Placements = append(b.Placements, gossip.Placement{Upstream: id.Tag(), Claim: mirror.Version(k), Adapters: held, Warm: recent, Busy: busy, Running: running})
	}
	return b
}

// countPeers sums up what the live peers told, and reports whether one of them
// has just started.
func (e *Entry) countPeers(now time.Duration) (young bool) {
	live, loading := e.gossip.LivePeers(now), 0
	for _, p := range live {
		loading += p.Loading
		young = young || p.Uptime < youngTime
	}
	e.peers.Store(int64(len(live)))
	e.fetching.Store(int64(loading))
	return young
}

// heard takes over what another instance tells.
func (e *Entry) heard(b gossip.Heartbeat) {
	now := e.timer.Boot()
	e.introduce(b)
	e.noteVersions(b, now)
	e.pool.SetPeer(b.Name, b.Work)
	e.quota.heard(b, now-e.began, now)
	e.retries.ApplyReport(retry.Instance{Name: b.Name, Run: b.Run}, b.Sent)
	for _, p := range b.Placements {
		e.heardPlaces(b.Name, p, now)
	}
}

// introduce takes over the addresses of an instance that the store has not
// told of yet.
func (e *Entry) introduce(b gossip.Heartbeat) {
	if b.PeerAddress == "" {
		return
	}
	if _, ok := e.members.get(b.Name); ok {
		return
	}
	peer, err := netip.ParseAddrPort(b.PeerAddress)
	if err != nil {
		e.log.Warn("address in a beat cannot be read", zap.String("name", b.Name), zap.Error(err))
		return
	}
	e.members.set(b.Name, member{front: b.FrontAddress, zone: b.Zone, peer: peer})
	e.countMembers()
	e.log.Debug("member heard", zap.String("name", b.Name), zap.String("peer", b.PeerAddress), zap.Int64("run", b.Run))
}

// heardPlaces takes over what the owner of an upstream tells of it.
func (e *Entry) heardPlaces(owner string, p gossip.Placement, now time.Duration) {
	id, ok := e.pool.ByTag(p.Upstream)
	if !ok || !e.ownership.ObserveClaim(id, owner, p.Claim) {
		return
	}
	for a, h := range p.Adapters {
		if h.ReadyAt > 0 {
			h.ReadyAt += now
		}
		p.Adapters[a] = h
	}
	if !p.HasWarm {
		_, p.Warm = e.pool.LoadedAdapters(id)
	}
	e.pool.SetLoadedAdapters(id, p.Adapters, p.Warm)
	e.pool.SetRemoteUsage(id, p.Busy, e.reporter.Reported(owner, p.Upstream), p.Running, now)
}

// keepHouse forgets what is gone and reads what the store did not tell.
func (e *Entry) keepHouse(c context.Context) {
	now := e.timer.Boot()
	e.pool.Sweep(now)
	for _, n := range e.reporter.Expired(now) {
		e.pool.SetPeer(reportKey(n), nil)
	}
	for _, p := range e.gossip.SilentPeers(now, forgetMember) {
		e.pool.SetPeer(p.Name, nil)
		if m, ok := e.members.get(p.Name); ok && now-p.ReceivedAt > forgetMember {
			e.retries.RemoveInstance(p.Name)
			e.expel(c, p.Name, m)
		}
	}
	e.chooseReader(now)
	e.logCurrency(now)
}

func (e *Entry) expel(c context.Context, name string, m member) {
	k := store.Key{Table: ownership.FleetTable, Key: memberPrefix + name}
	_, err := e.Store.Transact(c, store.Transaction{Expected: map[store.Key]mirror.Version{k: m.version}, Deletes: []store.Key{k}})
	if err != nil {
		e.log.Warn("silent member is not removed", zap.String("name", name), zap.Error(err))
	}
}

// handle registers what other instances may call.
func (e *Entry) handle() {
	e.serveOrders()
	mesh.Handle(e.mesh, rowsMethod, func(_ context.Context, _ string, q *rowsQuery) (*rowsReply, error) {
		return e.newerRows(q.Table, mirror.Version(q.After)), nil
	})
}
