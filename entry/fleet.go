package entry

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
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
	memberPrefix         = "member."
	rowsMethod           = "mirror/rows"
	housekeepingInterval = 250 * time.Millisecond
	// memberTimeout is the time without heartbeats after which the row of a member is deleted.
	memberTimeout = 20 * time.Second
	// roomTimeout is the time without heartbeats after which the requests of an instance are taken to have
	// left the brittle upstreams.
	roomTimeout = 5 * time.Second
	// introductionTime is how long after its start an instance sends its addresses in heartbeats,
	// for peers that have not read its row from the store yet.
	introductionTime = 10 * time.Second
	// recentStartTime is the uptime below which a peer counts as recently started. Instances send
	// their quota levels only while there is such a peer, which may adopt them.
	recentStartTime       = 2 * adoptionTime
	registerRetryInterval = 300 * time.Millisecond
	// memberRowInterval is the minimum time between two attempts to write a lost member row again.
	memberRowInterval = time.Second
)

type memberRow struct {
	Front string `json:"front"`
	Peer  string `json:"peer"`
	Zone  string `json:"zone"`
	Run   int64  `json:"run"`
}

// member is another instance of the fleet.
type member struct {
	front   string
	zone    string
	peer    netip.AddrPort
	version mirror.Version
}

// members are the other instances, as read from the store or introduced by their heartbeats.
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

// all returns the other instances by name.
func (m *members) all() map[string]member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.known)
}

// count returns the number of other instances.
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

// addresses returns the peer addresses of the instances in this availability zone and in others.
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

// onFleetRows applies new rows of members, claims and verdicts. Members whose rows are missing may
// write them again within settlesIn; they are kept until they are silent.
func (e *Entry) onFleetRows(rows []mirror.Row, settlesIn time.Duration) {
	e.ownership.ApplyRows(rows)
	e.applyVerdictRows(rows)
	e.streams.ApplyRows(rows)
	log := e.rowLogger("fleet", rows)
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, memberPrefix)
		if !ok || name == e.Name {
			continue
		}
		if r.Removed {
			if settlesIn == 0 {
				e.members.remove(name)
			}
			continue
		}
		var m memberRow
		err := json.Unmarshal(r.Value, &m)
		var peer netip.AddrPort
		if err == nil {
			peer, err = netip.ParseAddrPort(m.Peer)
		}
		if err == nil {
			_, err = netip.ParseAddrPort(m.Front)
		}
		if err != nil {
			e.log.Error("cannot decode member row", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		e.members.set(name, member{front: m.Front, zone: m.Zone, peer: peer, version: r.Version})
		log("member", zap.String("name", name), zap.String("peer", m.Peer), zap.Int64("run", m.Run))
	}
	e.updateMemberCount()
}

// updateMemberCount passes the number of instances to the quotas and the retry budget, which are
// shared by all of them.
func (e *Entry) updateMemberCount() {
	n := e.members.count() + 1
	e.quota.setMembers(n, e.timer.Boot())
	e.retries.SetMembers(n)
}

// register writes the member row of this instance, and retries until that succeeds or c ends.
func (e *Entry) register(c context.Context) {
	for c.Err() == nil {
		err := e.writeMemberRow(c)
		if err == nil {
			return
		}
		e.log.Warn("could not write member row, retrying", zap.Error(err))
		_ = e.timer.Wait(c, registerRetryInterval)
	}
}

// restoreMemberRow writes the member row of this instance again if the store does not have it as it is: it has
// come back from a copy, or has performed a write of an earlier run late.
func (e *Entry) restoreMemberRow(c context.Context, now time.Duration) {
	m := e.feeds[ownership.FleetTable].Mirror
	if !e.registered.Load() || e.leaving.Load() || now-e.memberRowWrittenAt < memberRowInterval {
		return
	}
	x, _ := m.Get(memberPrefix + e.Name)
	if e.memberRow.Observe(x, m.Version()); !e.memberRow.Differs() {
		return
	}
	e.memberRowWrittenAt = now
	err := e.memberRow.Write(c)
	e.log.Warn("the store does not have the member row of this instance; written again", zap.Int64("table-version", int64(m.Version())), zap.Error(err))
}

// writeMemberRow writes the member row of this instance.
func (e *Entry) writeMemberRow(c context.Context) error {
	value, err := json.Marshal(memberRow{Front: e.FrontAddress, Peer: e.PeerAddress, Zone: e.Zone, Run: e.run})
	if err != nil {
		return eris.Wrap(err, "encode member row")
	}
	e.memberRow.Want(value)
	if err := e.memberRow.Write(c); err != nil {
		return err
	}
	e.registered.Store(true)
	return nil
}

// Deregister deletes the member row of this instance.
func (e *Entry) Deregister(c context.Context) {
	e.memberRow.Want(nil)
	if err := e.memberRow.Write(c); err != nil {
		e.log.Warn("could not delete member row", zap.Error(err))
	}
}

// newHeartbeat returns the heartbeat that this instance sends to the others.
func (e *Entry) newHeartbeat() gossip.Heartbeat {
	now := e.timer.Boot()
	recentStart := e.updatePeerCounts(now)
	lease, surrendered := e.ownership.Lease(now)
	k := e.feeds[e.Tables.Upstreams].Contact()
	b := gossip.Heartbeat{
		Run: e.run, Serving: e.Ready(), Zone: e.Zone, StoreUnstable: k.Unstable(now), ReadsStore: e.readsStore.Load(), StoreConfirmed: e.readsStore.Load() && k.Confirms(now), Uptime: now - e.startedAt, Lease: lease, Surrendered: surrendered,
		Work: e.unownedWork(), Sent: e.retries.Counts(), Loading: e.orders.OwnLoads(), Stranded: e.paths.Stranded(), Versions: map[pool.Tag]mirror.Version{},
	}
	if b.Uptime < introductionTime {
		b.FrontAddress, b.PeerAddress = e.FrontAddress, e.PeerAddress
	}
	_, far := e.gossip.SilenceTimeouts()
	b.Spent, b.Remaining = e.quota.report(far, now)
	if !recentStart {
		b.Remaining = nil
	}
	for t := range e.feeds {
		b.Versions[pool.NewTag(t)] = e.tableVersion(t)
	}
	b.Versions[pool.NewTag(e.Tables.Upstreams)], b.ListingsDigest = e.listings.Summary()
	if k := e.table.Load(); k != nil {
		b.Configuration = k.Version
	}
	b.Limits, b.Suspicions = e.pool.Limits(now), e.suspects.Payload()
	for id, k := range e.ownedEngines(now) {
		e.pool.ClearRemoteUsage(id)
		loaded, warm := e.pool.LoadedAdapters(id)
		busy, running := e.pool.TotalUsage(id, now)
		for a, h := range loaded {
			h.ReadyAt = max(0, h.ReadyAt-now)
			loaded[a] = h
		}
		b.Placements = append(b.Placements, gossip.Placement{Upstream: id.Tag(), Claim: k, Adapters: loaded, Warm: warm, Busy: busy, Running: running})
	}
	return b
}

// updatePeerCounts updates the numbers of live peers and of their loads, and reports whether a
// peer has started recently.
func (e *Entry) updatePeerCounts(now time.Duration) (recentStart bool) {
	live, loading := e.gossip.LivePeers(now), 0
	for _, p := range live {
		loading += p.Loading
		recentStart = recentStart || p.Uptime < recentStartTime
	}
	e.peers.Store(int64(len(live)))
	e.peerLoads.Store(int64(loading))
	return recentStart
}

// onHeartbeat applies a heartbeat of another instance.
func (e *Entry) onHeartbeat(b gossip.Heartbeat) {
	now := e.timer.Boot()
	e.addIntroduced(b)
	e.applyVersions(b, now)
	e.onLimits(b.Name, b.Limits)
	e.pool.SetPeer(b.Name, b.Work)
	e.quota.applyHeartbeat(b, now-e.startedAt, now)
	e.retries.ApplyReport(retry.Instance{Name: b.Name, Run: b.Run}, b.Sent)
	for _, p := range b.Placements {
		e.applyPlacement(b.Name, p, now)
	}
}

// addIntroduced adds the sender of a heartbeat to the members if its row has not been read from
// the store yet.
func (e *Entry) addIntroduced(b gossip.Heartbeat) {
	if b.PeerAddress == "" {
		return
	}
	if _, ok := e.members.get(b.Name); ok {
		return
	}
	peer, err := netip.ParseAddrPort(b.PeerAddress)
	if err != nil {
		e.log.Warn("cannot parse peer address in heartbeat", zap.String("name", b.Name), zap.Error(err))
		return
	}
	e.members.set(b.Name, member{front: b.FrontAddress, zone: b.Zone, peer: peer})
	e.updateMemberCount()
	e.log.Debug("member introduced by heartbeat", zap.String("name", b.Name), zap.String("peer", b.PeerAddress), zap.Int64("run", b.Run))
}

// applyPlacement applies what the owner of an upstream reports about its adapters and requests.
func (e *Entry) applyPlacement(owner string, p gossip.Placement, now time.Duration) {
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
	e.pool.SetRemoteUsage(id, p.Busy, e.usageReports.Reported(owner, p.Upstream), p.Running, now)
}

// housekeeping removes expired state and members, decides whether to read from the store, and logs
// missing rows.
func (e *Entry) housekeeping(c context.Context) {
	now := e.timer.Boot()
	e.pool.Sweep(now)
	for _, n := range e.usageReports.Expired(now) {
		e.pool.SetPeer(reportKey(n), nil)
	}
	for _, p := range e.gossip.SilentPeers(now, memberTimeout) {
		e.pool.SetPeer(p.Name, nil)
		if now-p.ReceivedAt > roomTimeout {
			e.pool.ForgetRoom(p.Name)
		}
		if m, ok := e.members.get(p.Name); ok && now-p.ReceivedAt > memberTimeout {
			e.retries.RemoveInstance(p.Name)
			e.removeMember(c, p.Name, m)
			if r, known := e.feeds[ownership.FleetTable].Mirror.Get(memberPrefix + p.Name); !known || r.Removed {
				e.members.remove(p.Name)
				e.updateMemberCount()
			}
		}
	}
	e.restoreMemberRow(c, now)
	e.storeVerdicts(c, now)
	e.chooseReader(now)
	e.logMissingRows(now)
}

// removeMember deletes the row of a member unless it has changed.
func (e *Entry) removeMember(c context.Context, name string, m member) {
	k := store.Key{Table: ownership.FleetTable, Key: memberPrefix + name}
	_, err := e.Store.Transact(c, store.Transaction{Expected: map[store.Key]mirror.Version{k: m.version}, Deletes: []store.Key{k}})
	if err != nil {
		e.log.Warn("could not delete row of silent member", zap.String("name", name), zap.Error(err))
	}
}

// registerHandlers registers the handlers for calls from other instances.
func (e *Entry) registerHandlers() {
	e.registerOrderHandlers()
	e.registerPermitHandler()
	e.registerTrialHandler()
	mesh.Handle(e.mesh, configurationMethod, func(context.Context, string, *configurationRequest) (*configurationReply, error) {
		e.installMu.Lock()
		defer e.installMu.Unlock()
		return &configurationReply{Value: e.installed}, nil
	})
	mesh.Handle(e.mesh, rowsMethod, func(_ context.Context, _ string, q *rowsRequest) (*rowsReply, error) {
		return e.rowsAfter(q.Table, mirror.Version(q.After)), nil
	})
}
