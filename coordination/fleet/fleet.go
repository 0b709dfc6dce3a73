// Package fleet keeps the membership of an instance: its seat, its evidence
// from the table and the peers, and the platform's list of instances.
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

// Config sets the fleet part of one instance.
type Config struct {
	// Self is the instance without its seat.
	Self  lease.Member
	Lease lease.Config
	// RenewalInterval is how often the table is asked, Ping how often each peer is.
	RenewalInterval time.Duration
	PingInterval    time.Duration
}

// Services are the parts that the fleet part works with.
type Services struct {
	Timer     *timer.Service
	Table     *provider.Table
	Directory *provider.Directory
	Mesh      *mesh.Mesh
	Catalog   *catalog.Catalog
	Recorder  *timeline.Recorder
	Log       *zap.Logger
}

// Fleet is the membership of one instance.
type Fleet struct {
	// GossipPayload returns what the instance tells its peers with each ping.
	GossipPayload func() []byte
	// OnGossip takes in what a peer told.
	OnGossip func(from lease.SeatID, gossip []byte)

	config Config
	Services

	mu       sync.Mutex
	state    *lease.State
	overlay  map[lease.SeatID]lease.Member
	listed   []provider.Instance
	listedAt time.Time
	leaving  bool
	idle     bool
	serving  bool
	pinging  map[lease.SeatID]bool
	pulling  bool
}

const (
	// headRows is more than there are rows with the prefix of heads.
	headRows          = 10
	directoryInterval = time.Second
	purgeSilence      = 5 * time.Second
	membershipTick    = 150 * time.Millisecond
)

// New returns the fleet part of an instance without a seat.
func New(c Config, s Services) *Fleet {
	s.Log = s.Log.Named("fleet")
	f := &Fleet{
		GossipPayload: func() []byte { return nil },
		OnGossip:      func(lease.SeatID, []byte) {},
		config:        c,
		Services:      s,
		state:         lease.New(c.Lease),
		overlay:       map[lease.SeatID]lease.Member{},
		pinging:       map[lease.SeatID]bool{},
	}
	f.register()
	return f
}

// Run renews, pings and maintains the membership until c ends. Each duty has
// its own goroutine.
func (f *Fleet) Run(c context.Context) {
	duties := []func(){
		func() { f.Timer.Subscribe(c, f.config.RenewalInterval, func(time.Time) { f.renew(c) }) },
		func() { f.Timer.Subscribe(c, f.config.PingInterval, func(time.Time) { f.pingAll(c) }) },
		func() { f.Timer.Subscribe(c, directoryInterval, func(time.Time) { f.readDirectory(c) }) },
		func() { f.Timer.Subscribe(c, membershipTick, func(time.Time) { f.maintain(c) }) },
	}
	f.readDirectory(c)
	f.renew(c)
	var w sync.WaitGroup
	for _, d := range duties {
		w.Go(d)
	}
	w.Wait()
}

// with runs g on the lease state at the present instant.
func (f *Fleet) with(g func(s *lease.State, now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.InstallLists(f.Catalog.State().Version)
	g(f.state, f.Timer.Now())
}

// Serving reports whether the instance may act on its lists at this instant.
func (f *Fleet) Serving() bool {
	var ok bool
	f.with(func(s *lease.State, now time.Time) {
		ok = s.Serving(now)
		f.noteServing(ok)
	})
	return ok
}

func (f *Fleet) noteServing(ok bool) {
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

// Owns reports whether this instance owns name at this instant, and the
// tenure. At most one instance of the fleet does.
func (f *Fleet) Owns(name string) (lease.Term, bool) {
	var t lease.Term
	var ok bool
	f.with(func(s *lease.State, now time.Time) { t, ok = s.Owns(name, now) })
	return t, ok
}

// Owner returns the member that probably owns name.
func (f *Fleet) Owner(name string) (lease.Member, bool) {
	var m lease.Member
	var ok bool
	f.with(func(s *lease.State, now time.Time) {
		m, ok = s.Owner(name, now)
		m = f.current(m)
	})
	return m, ok
}

// Standby returns the member that follows the owner of name.
func (f *Fleet) Standby(name string) (lease.Member, bool) {
	var m lease.Member
	var ok bool
	f.with(func(s *lease.State, now time.Time) {
		m, ok = s.Standby(name, now)
		m = f.current(m)
	})
	return m, ok
}

// Roster returns the roster with the newest known holder of each seat.
func (f *Fleet) Roster() lease.Roster {
	var r lease.Roster
	f.with(func(s *lease.State, _ time.Time) {
		r = s.Roster()
		r.Members = slices.Clone(r.Members)
		for i, m := range r.Members {
			r.Members[i] = f.current(m)
		}
	})
	return r
}

// Peers returns the members without this instance.
func (f *Fleet) Peers() []lease.Member {
	self := f.Self()
	return slices.DeleteFunc(f.Roster().Members, func(m lease.Member) bool { return m.Seat == self })
}

// Self returns the own seat, or an empty text without one.
func (f *Fleet) Self() lease.SeatID {
	var seat lease.SeatID
	f.with(func(s *lease.State, _ time.Time) { seat = s.Self() })
	return seat
}

// Silent returns the members that have not answered within one lease.
func (f *Fleet) Silent() []lease.SeatID {
	var silent []lease.SeatID
	f.with(func(s *lease.State, now time.Time) { silent = s.Silent(now) })
	return silent
}

// AllAtEpoch reports whether every member is known to be at this epoch.
func (f *Fleet) AllAtEpoch() bool {
	var ok bool
	f.with(func(s *lease.State, _ time.Time) { ok = s.AllAtEpoch() })
	return ok
}

// current replaces a member by the newest known holder of its seat.
func (f *Fleet) current(m lease.Member) lease.Member {
	if o, ok := f.overlay[m.Seat]; ok && o.Generation > m.Generation {
		o.Leaving = m.Leaving
		return o
	}
	return m
}

// ListedInstances returns the platform's list of instances as last read.
func (f *Fleet) ListedInstances() []provider.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

func (f *Fleet) readDirectory(c context.Context) {
	at := f.Timer.Now()
	all, err := f.Directory.List(c)
	if err != nil {
		f.Log.Debug("list of instances unavailable", zap.Error(err))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = all
	f.listedAt = at
}

// renew asks the table for the head of the lists and the epoch.
func (f *Fleet) renew(c context.Context) {
	at := f.Timer.Now()
	rows, err := f.Table.List(c, headPrefix, "", headRows)
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
		f.Log.Error("head of the lists is unreadable", zap.Error(err))
		return
	}
	if err := f.Catalog.CatchUp(c, head); err != nil {
		f.Log.Warn("lists are behind", zap.Error(err))
		return
	}
	f.with(func(s *lease.State, _ time.Time) { s.RecordTableRead(at, head.Version) })
	f.refresh(c, epoch)
}

// refresh reads the roster when the table has a newer one.
func (f *Fleet) refresh(c context.Context, epoch lease.Epoch) {
	if epoch <= f.Roster().Epoch {
		return
	}
	r, _, err := ReadRoster(c, f.Table)
	if err != nil {
		return
	}
	f.installRoster(c, r)
}

func (f *Fleet) installRoster(c context.Context, r lease.Roster) {
	changed := false
	f.with(func(s *lease.State, now time.Time) {
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

func (f *Fleet) generation() int64 {
	return f.overlay[f.state.Self()].Generation
}
