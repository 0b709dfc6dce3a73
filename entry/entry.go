// Package entry puts the parts of an entry instance together that runs on a
// platform with a transactional store.
//
// The platform's own names stay with its adapter, which fills Adapter.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
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
	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/state/usage"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/store"
)

const (
	// upstreamGap is the least time between two looks at the list of upstreams,
	// of which some row changes many times a second. Half of the time in which
	// a leaving upstream must get no more requests is left for the rest.
	upstreamGap = 1100 * time.Millisecond
	// fleetGap gathers the rows of members and claims of a fleet that starts.
	fleetGap = 400 * time.Millisecond
)

// timelineEvents is the number of events that an instance keeps.
const timelineEvents = 256

// Tables are the tables that the platform and the operators write.
type Tables struct {
	// Configuration holds the row ConfigurationKey with the newest
	// configuration, and rows with VersionPrefix for adapters.
	Configuration    string
	ConfigurationKey string
	VersionPrefix    string
	// Upstreams holds a row for each upstream, by its id.
	Upstreams string
}

// AdapterVersion is a new version of an adapter.
type AdapterVersion struct {
	Adapter pool.Adapter
	Version route.Version
}

// Platform is what the adapter of a platform fills in.
type Platform struct {
	Tables  Tables
	Store   *store.Store
	Engines *orders.Engines
	// Send sends a request to an upstream, as dispatch.Services.Send.
	Send func(c context.Context, s dispatch.UpstreamRequest) (*dispatch.Response, error)
	// The functions that decode rows fail with a text that names the place.
	DecodeConfiguration  func(value []byte) (route.Config, error)
	DecodeAdapterVersion func(value []byte) (AdapterVersion, error)
	DecodeUpstream       func(id string, value []byte) (pool.Upstream, error)
}

// Config is what an instance is told at its start.
type Config struct {
	Name string
	Zone string
	// FrontAddress is where callers connect, PeerAddress where other
	// instances do, by TCP and UDP.
	FrontAddress string
	PeerAddress  string
	LoadTiming   orders.LoadTiming
	Dispatch     dispatch.Settings
	// VersionGrace is the time in which the version before a new one may run.
	VersionGrace time.Duration
	// PlanWindow is the time over which the use of a workspace is counted.
	PlanWindow time.Duration
}

// Entry is an entry instance.
type Entry struct {
	Config
	Platform
	Dispatcher *dispatch.Dispatcher

	timer     *timer.Service
	log       *zap.Logger
	run       int64
	began     time.Duration
	table     atomic.Pointer[route.Table]
	pool      *pool.Pool
	feeds     map[string]*feed.Feed
	gossip    *gossip.Gossip
	ownership *ownership.Ownership
	orders    *orders.Orders
	mesh      *mesh.Mesh
	quota     *quota
	versions  versions
	members   members
	// versionGrace is Config.VersionGrace as it was reloaded.
	versionGrace atomic.Int64
	leaving      atomic.Bool
	// ends is the instant at which the instance stops, or 0.
	ends atomic.Int64
	life context.Context
	conn *net.UDPConn
	// peers and fetching are the live peers and their adapter loads under way.
	peers    atomic.Int64
	fetching atomic.Int64
	// reads is set while this instance reads the tables of the store itself.
	// wakes has the rows of a table taken from peers at once.
	reads    atomic.Bool
	wakes    map[string]chan struct{}
	listings *mirror.ChangeTracker[listing]
	currency map[string]*currency
	owners   *owners
	retries  *retry.Budget
	reporter *usage.Reports
}

// New returns an instance that is not started. It fails when the peer address
// is taken.
func New(c context.Context, k Config, a Platform, t *timer.Service, r prometheus.Registerer, log *zap.Logger) (*Entry, error) {
	address, err := netip.ParseAddrPort(k.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "read the peer address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrap(err, "listen for beats")
	}
	e := &Entry{
		Config: k, Platform: a, timer: t, log: log.Named("entry"), run: time.Duration(t.Now().UnixNano()).Milliseconds(), began: t.Boot(),
		pool: pool.New(), feeds: map[string]*feed.Feed{}, life: c, conn: conn,
		wakes: map[string]chan struct{}{}, currency: map[string]*currency{}, listings: mirror.NewChangeTracker[listing](),
		owners: newOwners(c), retries: retry.New(), reporter: usage.New(),
		quota: newQuota(k.PlanWindow), versions: versions{known: map[pool.Adapter]versionState{}}, members: members{known: map[string]member{}},
	}
	recorder := timeline.New(k.Name, timelineEvents, t.Now)
	e.mesh = mesh.New(k.PeerAddress, mesh.Clock{Tick: recorder.Tick, Observe: recorder.Observe})
	e.gossip = gossip.New(k.Name, conn, t, log)
	e.gossip.Compose, e.gossip.OnHeartbeat, e.gossip.Addresses, e.gossip.Zone, e.gossip.OnReport = e.compose, e.heard, e.addresses, k.Zone, e.reported
	e.versionGrace.Store(int64(k.VersionGrace))
	e.newFeeds(log)
	e.registerCurrency(r)
	e.newDuties(r, log)
	e.handle()
	return e, nil
}

func (e *Entry) newFeeds(log *zap.Logger) {
	for table, changed := range map[string]func(rows []mirror.Row, settlesIn time.Duration){
		e.Tables.Configuration: e.configurationChanged,
		e.Tables.Upstreams:     e.upstreamsChanged,
		ownership.FleetTable:   e.fleetChanged,
	} {
		f := feed.New(table, e.Store, e.timer, log, changed)
		f.ReadsStore, f.Peers, f.OnAnswer = func() bool { return e.readsTable(table) }, e.otherReaders, func() { e.readFromStore(table) }
		e.feeds[table], e.wakes[table], e.currency[table] = f, make(chan struct{}, 1), &currency{}
	}
	e.feeds[e.Tables.Upstreams].MinInterval = upstreamGap
	e.feeds[ownership.FleetTable].MinInterval = fleetGap
}

func (e *Entry) newDuties(r prometheus.Registerer, log *zap.Logger) {
	e.ownership = ownership.New(e.Name, e.run, ownership.Services{
		Store: e.Store, Timer: e.timer, Gossip: e.gossip, Pool: e.pool, Log: log,
		AcceptsOrders: func(u pool.Upstream) bool { _, ok := e.engine(u.Service); return ok && !u.Draining },
	})
	a := admission.New(e.pool, e.timer, log)
	e.orders = orders.New(e.life, e.LoadTiming, orders.Services{
		Engines: e.Engines, Admission: a, Timer: e.timer, Pool: e.pool, Ownership: e.ownership, Log: log,
		EngineConfig: e.engine, PeerLoads: e.loading, MaxUsageAge: func() time.Duration { return 2 * usage.Interval },
	})
	e.Dispatcher = dispatch.New(e.Config.Dispatch, dispatch.Services{
		Timer: e.timer, Pool: e.pool, Log: log, Table: e.table.Load, Versions: e.adapterVersions,
		Charge: func(w *route.Workspace, n float64) error { return e.quota.take(w, n, e.timer.Boot()) },
		Refund: func(w *route.Workspace, n float64) { e.quota.giveBack(w, n, e.timer.Boot()) },
		Load:   e.load, Reserve: e.grant, HasOwner: e.orderable, ReportMissing: e.lost, Send: e.Send, Rand: rand.Float64,
		StopsAt:   func() time.Duration { return time.Duration(e.ends.Load()) },
		PeerCount: func() int { return int(e.peers.Load()) },
		DataAges:  e.rowAges,
		Budget:    e.retries, Admission: a,
		Metrics: dispatch.NewMetrics(r),
	})
}

// Run takes part in the fleet until c ends.
func (e *Entry) Run(c context.Context) error {
	l, err := net.Listen("tcp", e.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	failed := make(chan error, 1)
	go func() { failed <- e.mesh.Serve(c, l) }()
	for t, f := range e.feeds {
		go f.Run(c)
		go e.follow(c, t)
	}
	go e.gossip.Run(c)
	go e.ownership.Run(c)
	go e.orders.Run(c)
	go e.timer.Subscribe(c, usage.Interval, func(time.Time) { e.report() })
	go e.timer.Subscribe(c, houseInterval, func(time.Time) { e.keepHouse(c) })
	e.join(c)
	select {
	case err := <-failed:
		return err
	case <-c.Done():
		return nil
	}
}

// Reload takes over the part of the configuration that may change while the
// instance runs: the speeds of engines and the limits of retries, loads,
// versions and plans. The availability zone stays.
func (e *Entry) Reload(k Config) {
	e.versionGrace.Store(int64(k.VersionGrace))
	e.orders.SetLoadTiming(k.LoadTiming)
	e.quota.setWindow(k.PlanWindow, e.timer.Boot())
	k.Dispatch.Zone = e.Zone
	e.Dispatcher.Reload(k.Dispatch)
}

// Ready reports whether the instance can serve callers.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.table.Load() != nil && e.feeds[e.Tables.Upstreams].Mirror.Loaded()
}

// Leaving reports whether the instance is about to stop.
func (e *Entry) Leaving() bool {
	return e.leaving.Load()
}

// MaxBodyBytes returns the largest body that a caller may send, or 0 while no
// configuration states one.
func (e *Entry) MaxBodyBytes() int64 {
	t := e.table.Load()
	if t == nil {
		return 0
	}
	return t.BodyBytes
}

// Leave stops all orders of this instance and tells the others that it takes
// no new callers. It stops after d.
func (e *Entry) Leave(d time.Duration) {
	e.ends.Store(int64(e.timer.Boot() + d))
	e.leaving.Store(true)
	e.ownership.Leave()
	e.gossip.Send()
}

// minLocal is the number of instances of a caller's availability zone from
// which on it is sent to no other zone.
const minLocal = 2

// Addresses returns the front addresses of the instances that callers of an
// availability zone may use.
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

func (e *Entry) engine(s route.ServiceName) (*route.Engine, bool) {
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

// loading returns the adapter loads that other owners had under way a beat ago.
func (e *Entry) loading() int {
	return int(e.fetching.Load())
}

// orderable reports whether an engine has an owner that gives orders.
func (e *Entry) orderable(id pool.ID) bool {
	owner, ok := e.ownership.Owner(id)
	if !ok {
		return false
	}
	now := e.timer.Boot()
	if owner == e.Name {
		_, err := e.ownership.Token(id, now)
		return err == nil
	}
	p, heard := e.gossip.LivePeer(owner, now)
	return heard && !p.Surrendered && p.Lease != 0
}
