// Package fleet maintains the membership of an instance in the fleet. It joins and leaves the
// roster in the platform's table, pings the peers to collect their votes, renews the serving
// lease and reads the platform's list of instances.
package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// Config configures the membership of one instance.
type Config struct {
	// Self describes this instance. Its Seat is empty.
	Self  lease.Member
	Lease lease.Config
	// RenewalInterval is the interval between reads of the table, PingInterval that
	// between pings of each peer.
	RenewalInterval time.Duration
	PingInterval    time.Duration
}

// Services are the dependencies of a Fleet.
type Services struct {
	Timer     *timer.Service
	Table     *provider.Table
	Directory *provider.Directory
	Mesh      *mesh.Mesh
	Catalog   *catalog.Catalog
	Recorder  *timeline.Recorder
	Log       *zap.Logger
}

// Fleet is the membership of one instance. It is safe for concurrent use.
type Fleet struct {
	// GossipPayload returns the data that the instance sends to its peers with each ping.
	GossipPayload func() []byte
	// OnGossip is called with the gossip payload of each received ping.
	OnGossip func(from lease.SeatID, gossip []byte)

	config Config
	Services

	mu    sync.Mutex
	state *lease.State
	// latestHolders holds the latest known holder of each seat that was passed on. The
	// roster may still name an earlier one.
	latestHolders   map[lease.SeatID]lease.Member
	listedInstances []provider.Instance
	listReadAt      time.Time
	leaving         bool
	// drained is set after the last request has ended. The seat can be passed on only
	// then.
	drained      bool
	serving      bool
	pinging      map[lease.SeatID]bool
	pullingLists bool
	// silenceReports has the last report of each peer.
	silenceReports map[lease.SeatID]silenceReport
}

const (
	// maxHeadRows exceeds the number of rows with the prefix headPrefix, so that one read
	// returns all of them.
	maxHeadRows       = 10
	directoryInterval = time.Second
	// purgeTimeout is how long a member must have been silent before it is removed, and
	// the maximum age of the list of instances that shows that it has ended.
	purgeTimeout        = 5 * time.Second
	maintenanceInterval = 150 * time.Millisecond
)

// New returns the membership of an instance that has no seat yet, and registers the mesh
// methods.
func New(c Config, s Services) *Fleet {
	s.Log = s.Log.Named("fleet")
	f := &Fleet{
		GossipPayload: func() []byte { return nil },
		OnGossip:      func(lease.SeatID, []byte) {},
		config:        c,
		Services:      s,
		state:         lease.New(c.Lease),
		latestHolders: map[lease.SeatID]lease.Member{},
		pinging:       map[lease.SeatID]bool{},

		silenceReports: map[lease.SeatID]silenceReport{},
	}
	f.register()
	return f
}

// Run renews the lease, pings the peers, reads the list of instances and maintains the
// roster until c ends. Each loop has its own goroutine, so that a slow call delays only
// its own loop.
func (f *Fleet) Run(c context.Context) {
	loops := []func(){
		func() { f.Timer.Subscribe(c, f.config.RenewalInterval, func(time.Time) { f.renew(c) }) },
		func() { f.Timer.Subscribe(c, f.config.PingInterval, func(time.Time) { f.pingAll(c) }) },
		func() { f.Timer.Subscribe(c, directoryInterval, func(time.Time) { f.readDirectory(c) }) },
		func() { f.Timer.Subscribe(c, maintenanceInterval, func(time.Time) { f.maintain(c) }) },
	}
	f.readDirectory(c)
	f.renew(c)
	var w sync.WaitGroup
	for _, l := range loops {
		w.Go(l)
	}
	w.Wait()
}

// withState calls g with the lease state, under the lock, at the present instant. The
// installed version of the lists is brought up to date first.
func (f *Fleet) withState(g func(s *lease.State, now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.InstallLists(f.Catalog.State().Version)
	g(f.state, f.Timer.Now())
}

// Serving reports whether the instance may serve with its installed lists at this
// instant.
func (f *Fleet) Serving() bool {
	var ok bool
	f.withState(func(s *lease.State, now time.Time) {
		ok = s.Serving(now)
		f.updateServing(ok)
	})
	return ok
}

// updateServing records a gain or loss of the serving lease. The caller holds the lock.
func (f *Fleet) updateServing(ok bool) {
	if ok == f.serving {
		return
	}
	f.serving = ok
	kind := timeline.LeaseLost
	if ok {
		kind = timeline.LeaseGained
	}
	f.Recorder.Record(timeline.Event{Part: timeline.Lease, Kind: kind})
	f.Log.Info("serving lease changed", zap.Bool("serving", ok))
}

// Owns reports whether this instance owns name at this instant, and returns its term. At
// most one instance of the fleet owns a name.
func (f *Fleet) Owns(name string) (lease.Term, bool) {
	var t lease.Term
	var ok bool
	f.withState(func(s *lease.State, now time.Time) { t, ok = s.Owns(name, now) })
	return t, ok
}

// Owner returns the member that this instance takes for the owner of name. The answer may
// be outdated; only the owner itself can prove its ownership (see Owns).
func (f *Fleet) Owner(name string) (lease.Member, bool) {
	var m lease.Member
	var ok bool
	f.withState(func(s *lease.State, now time.Time) {
		m, ok = s.Owner(name, now)
		m = f.latestHolder(m)
	})
	return m, ok
}

// Standby returns the member that becomes the owner of name if the present owner fails.
func (f *Fleet) Standby(name string) (lease.Member, bool) {
	var m lease.Member
	var ok bool
	f.withState(func(s *lease.State, now time.Time) {
		m, ok = s.Standby(name, now)
		m = f.latestHolder(m)
	})
	return m, ok
}

// Roster returns the installed roster with the latest known holder of each seat.
func (f *Fleet) Roster() lease.Roster {
	var r lease.Roster
	f.withState(func(s *lease.State, _ time.Time) {
		r = s.Roster()
		r.Members = slices.Clone(r.Members)
		for i, m := range r.Members {
			r.Members[i] = f.latestHolder(m)
		}
	})
	return r
}

// Peers returns all members except this instance.
func (f *Fleet) Peers() []lease.Member {
	self := f.Self()
	return slices.DeleteFunc(f.Roster().Members, func(m lease.Member) bool { return m.Seat == self })
}

// Self returns the seat of this instance, or an empty SeatID without one.
func (f *Fleet) Self() lease.SeatID {
	var seat lease.SeatID
	f.withState(func(s *lease.State, _ time.Time) { seat = s.Self() })
	return seat
}

// Silent returns the members that have not replied to a ping of the last lease duration.
func (f *Fleet) Silent() []lease.SeatID {
	var silent []lease.SeatID
	f.withState(func(s *lease.State, now time.Time) { silent = s.Silent(now) })
	return silent
}

// AllAtEpoch reports whether every member is known to be at the epoch of the installed
// roster.
func (f *Fleet) AllAtEpoch() bool {
	var ok bool
	f.withState(func(s *lease.State, _ time.Time) { ok = s.AllAtEpoch() })
	return ok
}

// latestHolder returns the latest known holder of the seat of m, or m. The caller holds
// the lock.
func (f *Fleet) latestHolder(m lease.Member) lease.Member {
	if o, ok := f.latestHolders[m.Seat]; ok && o.Generation > m.Generation {
		o.Leaving = m.Leaving
		return o
	}
	return m
}

// ListedInstances returns the platform's list of instances from the last successful read.
func (f *Fleet) ListedInstances() []provider.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedInstances
}

func (f *Fleet) readDirectory(c context.Context) {
	at := f.Timer.Now()
	all, err := f.Directory.List(c)
	if err != nil {
		f.Log.Debug("the platform's list of instances cannot be read", zap.Error(err))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedInstances = all
	f.listReadAt = at
}

// renew reads the head of the lists and the epoch of the roster from the table, installs
// what is newer and so renews the serving lease.
func (f *Fleet) renew(c context.Context) {
	at := f.Timer.Now()
	rows, err := f.Table.List(c, headPrefix, "", maxHeadRows)
	if err != nil {
		f.Log.Debug("table unavailable", zap.Error(err))
		return
	}
	var head catalog.Head
	var epoch lease.Epoch
	for _, r := range rows {
		switch r.Key {
		case catalog.HeadRow:
			head, err = catalog.DecodeHead(r.Value)
		case EpochRow:
			epoch = decodeEpoch(r.Value)
		}
	}
	if err != nil {
		f.Log.Error("head row of the lists cannot be decoded", zap.Error(err))
		return
	}
	if err := f.Catalog.CatchUp(c, head); err != nil {
		f.Log.Warn("newer lists cannot be installed", zap.Error(err))
		return
	}
	f.withState(func(s *lease.State, _ time.Time) { s.RecordTableRead(at, head.Version) })
	f.refreshRoster(c, epoch)
}

// refreshRoster reads the roster from the table if epoch is newer than the installed one.
func (f *Fleet) refreshRoster(c context.Context, epoch lease.Epoch) {
	if epoch <= f.Roster().Epoch {
		return
	}
	r, _, err := ReadRoster(c, f.Table)
	if err != nil {
		return
	}
	f.installRoster(c, r)
}

// installRoster installs r if it is newer. It gives up the seat if r no longer names this
// instance as the holder, unless r predates the pass of the seat to this instance.
func (f *Fleet) installRoster(c context.Context, r lease.Roster) {
	changed := false
	f.withState(func(s *lease.State, now time.Time) {
		changed = s.InstallRoster(r, now)
		m, ok := r.Member(s.Self())
		if changed && s.Self() != "" && (!ok || m.Instance != f.config.Self.Instance && m.Generation >= f.generation()) {
			s.ReleaseSeat()
			f.Recorder.Record(timeline.Event{Part: timeline.Fleet, Kind: timeline.Removed})
		}
	})
	if changed {
		f.Log.Debug("roster installed", zap.Int64("epoch", int64(r.Epoch)), zap.Int("members", len(r.Members)))
		go f.pingAll(c)
	}
}

// generation returns the generation of this instance as the holder of its seat, or 0 if
// the seat was not passed on. The caller holds the lock.
func (f *Fleet) generation() int64 {
	return f.latestHolders[f.state.Self()].Generation
}
