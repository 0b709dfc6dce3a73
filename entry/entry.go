// Package entry assembles an entry instance for a platform with a transactional store.
//
// Names and formats that are specific to the platform stay in its own package, which provides a
// Platform.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/admission"
	"gentiangauge.example/gentiangauge/coordination/feed"
	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/coordination/ownrow"
	"gentiangauge.example/gentiangauge/coordination/paths"
	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/coordination/suspect"
	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/state/usage"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/inbound"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/relay"
	"gentiangauge.example/gentiangauge/transport/store"
)

const (
	// upstreamMinInterval is the minimum interval between two reads of the list of upstreams, in
	// which some row changes many times per second. It leaves half of the time within which a
	// leaving upstream must stop receiving requests for everything else.
	upstreamMinInterval = 1100 * time.Millisecond
	// fleetMinInterval is the minimum interval between two reads of the fleet table. It batches
	// the rows of members and claims while a fleet starts.
	fleetMinInterval = 400 * time.Millisecond
)

// timelineEvents is the number of timeline events that an instance keeps.
const timelineEvents = 256

// Tables names the tables that the platform and the operators write.
type Tables struct {
	// Configuration holds the newest configuration in the row ConfigurationKey, and adapter
	// versions in rows with the prefix VersionPrefix.
	Configuration    string
	ConfigurationKey string
	VersionPrefix    string
	// Upstreams holds one row per upstream, with its id as key.
	Upstreams string
}

// AdapterVersion announces a new version of an adapter.
type AdapterVersion struct {
	Adapter pool.Adapter
	Version route.Version
}

// Platform has the parts that are specific to a platform.
type Platform struct {
	Tables  Tables
	Store   *store.Store
	Engines *orders.Engines
	// Send sends a request to an upstream through Relay, as dispatch.Services.Send.
	Send  func(c context.Context, s dispatch.UpstreamRequest) (*dispatch.Response, error)
	Relay *relay.Relay
	// Inbound has the account of what is held for clients and upstreams.
	Inbound inbound.Services
	// The decode functions fail with an error that names the position of the fault in the row.
	DecodeConfiguration  func(value []byte) (route.Config, error)
	DecodeAdapterVersion func(value []byte) (AdapterVersion, error)
	DecodeUpstream       func(id string, value []byte) (pool.Upstream, error)
}

// Config is the configuration of an instance.
type Config struct {
	Name string
	Zone string
	// FrontAddress is the address for callers, PeerAddress the one for other instances, over TCP
	// and UDP.
	FrontAddress string
	PeerAddress  string
	LoadTiming   orders.LoadTiming
	Dispatch     dispatch.Settings
	// VersionTime is the time after the announcement of a new version of an adapter within which
	// responses of the previous one may begin.
	VersionTime time.Duration
	// PlanWindow is the time window over which the usage of a workspace is counted.
	PlanWindow time.Duration
}

// Entry is an entry instance.
type Entry struct {
	Config
	Platform
	Dispatcher *dispatch.Dispatcher

	timer *timer.Service
	log   *zap.Logger
	// run identifies this run of the instance: its start time in milliseconds since the Unix
	// epoch.
	run       int64
	startedAt time.Duration
	table     atomic.Pointer[route.Table]
	// installMu is held while a configuration is put into force. It guards installed, the encoded
	// one in force.
	installMu sync.Mutex
	installed []byte
	pool      *pool.Pool
	feeds     map[string]*feed.Feed
	gossip    *gossip.Gossip
	ownership *ownership.Ownership
	orders    *orders.Orders
	mesh      *mesh.Mesh
	quota     *quota
	versions  *pool.Versions
	members   members
	// versionTime is Config.VersionTime after reloads.
	versionTime atomic.Int64
	leaving     atomic.Bool
	// stopsAt is the time at which the instance stops, or 0.
	stopsAt atomic.Int64
	ctx     context.Context
	conn    *net.UDPConn
	// peers is the number of live peers, peerLoads that of their adapter loads in flight.
	peers     atomic.Int64
	peerLoads atomic.Int64
	// readsStore is set while this instance reads the tables from the store for its availability
	// zone. A send on wakeups starts the synchronization of a table with the peers at once.
	readsStore   atomic.Bool
	wakeups      map[string]chan struct{}
	listings     *mirror.ChangeTracker[listing]
	freshness    map[string]*tableFreshness
	ownerCalls   *ownerCalls
	retries      *retry.Budget
	usageReports *usage.Reports
	suspects     *suspect.Registry
	streams      *streams.Registry
	paths        *paths.Paths
	// forwarded is the number of connections that this instance forwards for others.
	forwarded    atomic.Int64
	forwarderUse forwarderUse
	// trials are the trials of suspected parts that this instance grants.
	trials *suspicion.Trials
	// verdictsStoredAt is when this instance last tried to store verdicts. Only housekeeping uses
	// it.
	verdictsStoredAt time.Duration
	// memberRow is the member row of this instance, and registered set once it has been written.
	memberRow  *ownrow.Row
	registered atomic.Bool
	// memberRowWrittenAt is when this instance last wrote its lost member row again. Only
	// housekeeping uses it.
	memberRowWrittenAt time.Duration
}

// New returns an instance that has not been started. It fails if the peer address is invalid or in
// use.
func New(c context.Context, k Config, p Platform, t *timer.Service, r prometheus.Registerer, log *zap.Logger) (*Entry, error) {
	address, err := netip.ParseAddrPort(k.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "parse the peer address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrap(err, "listen for heartbeats")
	}
	e := &Entry{
		Config: k, Platform: p, timer: t, log: log.Named("entry"), run: time.Duration(t.Now().UnixNano()).Milliseconds(), startedAt: t.Boot(),
		pool: pool.New(), feeds: map[string]*feed.Feed{}, ctx: c, conn: conn,
		wakeups: map[string]chan struct{}{}, freshness: map[string]*tableFreshness{}, listings: mirror.NewChangeTracker[listing](),
		trials:     suspicion.NewTrials(),
		ownerCalls: newOwnerCalls(c), retries: retry.New(), usageReports: usage.New(),
		memberRow: ownrow.New(p.Store, store.Key{Table: ownership.FleetTable, Key: memberPrefix + k.Name}),
		quota:     newQuota(k.PlanWindow), versions: pool.NewVersions(), members: members{known: map[string]member{}},
	}
	recorder := timeline.New(k.Name, timelineEvents, t.Now)
	e.mesh = mesh.New(k.PeerAddress, mesh.Clock{Tick: recorder.Tick, Observe: recorder.Observe})
	e.gossip = gossip.New(k.Name, conn, t, log)
	e.gossip.Compose, e.gossip.OnHeartbeat, e.gossip.Addresses, e.gossip.Zone, e.gossip.OnReport = e.newHeartbeat, e.onHeartbeat, e.addresses, k.Zone, e.onReport
	e.suspects = suspect.New(suspectAfter, suspect.Services{
		Timer: t, Log: log, Recorder: recorder,
		Announce: func(_ context.Context, data []byte) { e.gossip.SendSuspicions(data) },
		OnCrash:  func(x suspicion.Crash) { e.pool.MarkEnded(pool.ID(x.Upstream), x.StartedAt, t.Boot()) },
	})
	e.suspects.Metrics = suspect.NewMetrics(r, e.suspects.Verdicts)
	e.versionTime.Store(int64(k.VersionTime))
	e.newFeeds(log)
	e.registerFreshness(r)
	e.newServices(r, log)
	e.registerHandlers()
	return e, nil
}

// newFeeds creates the feeds that read the tables.
func (e *Entry) newFeeds(log *zap.Logger) {
	e.Store.Outages.Now = e.timer.Boot
	for table, changed := range map[string]func(rows []mirror.Row, settlesIn time.Duration){
		e.Tables.Configuration: e.onConfigurationRows,
		e.Tables.Upstreams:     e.onUpstreamRows,
		ownership.FleetTable:   e.onFleetRows,
	} {
		f := feed.New(table, e.Store, e.timer, log, changed)
		f.ReadsStore, f.Peers, f.OnAnswer = func() bool { return e.readsTable(table) }, e.countReaders, func() { e.onStoreRead(table) }
		e.feeds[table], e.wakeups[table], e.freshness[table] = f, make(chan struct{}, 1), &tableFreshness{}
	}
	e.feeds[e.Tables.Upstreams].MinInterval = upstreamMinInterval
	e.feeds[ownership.FleetTable].MinInterval = fleetMinInterval
}

// newServices creates the ownership, the orders and the dispatcher.
func (e *Entry) newServices(r prometheus.Registerer, log *zap.Logger) {
	e.ownership = ownership.New(e.Name, e.run, ownership.Services{
		Store: e.Store, Timer: e.timer, Gossip: e.gossip, Pool: e.pool, Log: log,
		NeedsOwner: e.needsOwner,
	})
	e.newStreams(log)
	e.newPaths(log)
	a := admission.New(e.pool, e.timer, log)
	a.TakePermit, a.ReturnPermit, a.OnLimit = e.takePermit, e.returnPermit, e.announceLimit
	e.orders = orders.New(e.ctx, e.LoadTiming, orders.Services{
		Engines: e.Engines, Admission: a, Timer: e.timer, Pool: e.pool, Ownership: e.ownership, Log: log,
		EngineConfig: e.engineConfig, PeerLoads: e.peerLoadCount, MaxUsageAge: func() time.Duration { return 2 * usage.Interval },
	})
	e.Dispatcher = dispatch.New(e.Config.Dispatch, dispatch.Services{
		Timer: e.timer, Pool: e.pool, Log: log, Table: e.table.Load, Versions: e.adapterVersions,
		Charge: func(w *route.Workspace, n float64) error { return e.quota.charge(w, n, e.timer.Boot()) },
		Refund: func(w *route.Workspace, n float64) { e.quota.refund(w, n, e.timer.Boot()) },
		Load:   e.load, Reserve: e.reserve, HasOwner: e.hasOwner, ReportMissing: e.reportMissing, Send: e.send, Rand: rand.Float64,
		HasEnded: e.paths.HasEnded, IsReplaced: e.isReplaced, Streams: e.streams, Suspects: e.suspects, TakeTrial: e.takeTrial, EndTrial: e.endTrial,
		StopsAt:   func() time.Duration { return time.Duration(e.stopsAt.Load()) },
		PeerCount: func() int { return int(e.peers.Load()) },
		DataAges:  e.rowAges,
		Budget:    e.retries, Admission: a,
		Metrics: dispatch.NewMetrics(r),
		Account: e.Inbound.Account,
	})
}

// Run runs the instance as a member of the fleet until c ends. It fails if it cannot listen for
// peers.
func (e *Entry) Run(c context.Context) error {
	l, err := inbound.Listen(e.PeerAddress, shedding.Peers, e.Inbound)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- e.mesh.Serve(c, l) }()
	for t, f := range e.feeds {
		go f.Run(c)
		go e.syncTable(c, t)
	}
	go e.gossip.Run(c)
	go e.ownership.Run(c)
	go e.orders.Run(c)
	go e.streams.Run(c)
	go e.paths.Run(c)
	go e.timer.Subscribe(c, pingInterval, func(time.Time) { e.checkForwarders(c) })
	go e.timer.Subscribe(c, probeInterval, func(time.Time) { e.probeStore(c) })
	go e.timer.Subscribe(c, usage.Interval, func(time.Time) { e.sendReports() })
	go e.timer.Subscribe(c, housekeepingInterval, func(time.Time) { e.housekeeping(c) })
	e.register(c)
	select {
	case err := <-failed:
		return err
	case <-c.Done():
		return nil
	}
}

// Reload applies the settings that may change while the instance runs: load times and the limits
// of retries, loads, versions and plans. The availability zone does not change.
func (e *Entry) Reload(k Config) {
	e.versionTime.Store(int64(k.VersionTime))
	e.orders.SetLoadTiming(k.LoadTiming)
	e.quota.setWindow(k.PlanWindow, e.timer.Boot())
	k.Dispatch.Zone = e.Zone
	e.Dispatcher.Reload(k.Dispatch)
}

// Ready reports whether the instance can serve callers.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.table.Load() != nil && e.feeds[e.Tables.Upstreams].Mirror.Loaded() && e.feeds[ownership.FleetTable].Mirror.Loaded()
}

// Leaving reports whether Leave was called.
func (e *Entry) Leaving() bool {
	return e.leaving.Load()
}

// MaxBodyBytes returns the maximum size of a request body, or 0 without a configuration.
func (e *Entry) MaxBodyBytes() int64 {
	t := e.table.Load()
	if t == nil {
		return 0
	}
	return t.BodyBytes
}

// Leave stops sending orders and announces that this instance accepts no new callers and stops
// after d.
func (e *Entry) Leave(d time.Duration) {
	e.stopsAt.Store(int64(e.timer.Boot() + d))
	e.leaving.Store(true)
	e.Dispatcher.BeginStop()
	e.ownership.Leave()
	e.gossip.Send()
}

// minLocal is the number of instances in the availability zone of a caller from which on the
// caller is sent to no other zone.
const minLocal = 2

// Addresses returns the front addresses of the instances for callers in an availability zone.
func (e *Entry) Addresses(zone string) []string {
	var all, local []string
	add := func(address, z string) {
		all = append(all, address)
		if z == zone {
			local = append(local, address)
		}
	}
	if e.Ready() {
		add(e.FrontAddress, e.Zone)
	}
	for _, p := range e.gossip.LivePeers(e.timer.Boot()) {
		if m, ok := e.members.get(p.Name); ok && p.Serving {
			add(m.front, m.zone)
		}
	}
	if len(local) >= minLocal {
		return local
	}
	return all
}

func (e *Entry) engineConfig(s route.ServiceName) (*route.Engine, bool) {
	t := e.table.Load()
	if t == nil {
		return nil, false
	}
	x, ok := t.Service(s)
	if !ok || x.Engine == nil {
		return nil, false
	}
	return x.Engine, true
}

// peerLoadCount returns the number of adapter loads of other owners that were in flight at their
// last heartbeats.
func (e *Entry) peerLoadCount() int {
	return int(e.peerLoads.Load())
}

// hasOwner reports whether an engine has a live owner that sends it orders.
func (e *Entry) hasOwner(id pool.ID) bool {
	owner, ok := e.ownership.Owner(id)
	if !ok {
		return false
	}
	now := e.timer.Boot()
	if owner == e.Name {
		_, err := e.ownership.Token(id, now)
		return err == nil
	}
	p, live := e.gossip.LivePeer(owner, now)
	return live && !p.Surrendered && p.Lease != 0
}
