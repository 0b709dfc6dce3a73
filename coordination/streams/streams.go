// Package streams tells at which software version each stream began that a caller may still take up.
//
// A row of the store for each service assigns its streams to the software versions of its upstreams
// (software.Split), so that the version follows from the request itself. Streams that began otherwise,
// or whose assignment has changed lately, are written to a row of the instance that began them. While the
// store cannot be read, the instances are asked instead.
package streams

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/ownrow"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/store"
)

const (
	// SplitPrefix is the prefix of the keys of splits in the fleet table.
	SplitPrefix = "software."
	// learnTime is the time within which all instances use a changed split. Instances that were
	// frozen learn it soon after, and record the streams that they began meanwhile.
	learnTime = software.SwitchDelay
	// maxRowLag is how long the row of an upstream may be that of the process before.
	maxRowLag = 5 * time.Second
	// splitInterval is the minimum time between two writes of the split of a service, substituteDelay
	// the time after which any instance writes one that the responsible instance has not written.
	splitInterval   = time.Second
	substituteDelay = 3 * time.Second
	stepInterval    = 250 * time.Millisecond
	callTimeout     = 500 * time.Millisecond
)

// Services are the dependencies of a Registry.
type Services struct {
	Timer *timer.Service
	Log   *zap.Logger
	// Serving returns the number of upstreams of a service that serve, by stated version.
	Serving func(s route.ServiceName) map[software.Version]int
	// Ready reports whether this instance knows the upstreams and the splits.
	Ready func() bool
	// Responsible reports whether this instance is the one that writes splits.
	Responsible func() bool
	// SplitAge returns how long ago the splits were last known to be the newest.
	SplitAge func() time.Duration
	// PeerCount returns the number of other instances.
	PeerCount func() int
	// Instances returns the names of all known instances, this one among them.
	Instances func() []string
	// Ask asks all other instances for streams.
	Ask func(c context.Context, ids []software.StreamID) Answer
	// StoreReachable reports whether calls to the store have succeeded lately.
	StoreReachable func() bool
	// FleetTable is the table of splits, which all instances watch. RecordTable is the one of records.
	FleetTable, RecordTable string
	Store                   *store.Store
}

// split is the split of a service as its row has it.
type split struct {
	software.Split
	// version is that of the row, or 0 if the store has no row or an older split.
	version mirror.Version
	// several is set while upstreams of several versions serve.
	several bool
	// lacking is set while the store has not this split.
	lacking  bool
	lifetime software.Lifetime
	// neededSince is when another split was first found to be needed, or 0, and triedAt when it was
	// last written.
	neededSince, triedAt time.Duration
}

// Registry has the splits of all services and the streams of this instance. It is safe for concurrent
// use.
type Registry struct {
	Services
	// key is that of the row of records, the name of the instance and of its run. The run started at startedAt.
	key       string
	startedAt time.Duration
	mu        sync.Mutex
	// splits has an entry for each service that was asked for or has a row.
	splits map[route.ServiceName]*split
	begun  *software.Streams
	// storeAhead is the time of the store less that of the timer, if storeTimeKnown is set.
	storeAhead     time.Duration
	storeTimeKnown bool
	era            eraState
	adopted        adoption
	records        records
	// partial are the instances of which a row that was read may lack streams that can still be taken up.
	partial []string
	// own is the row of the records of this instance.
	own     *ownrow.Row
	writes  recordWrites
	inquiry inquiry
	// confirmedAt is when this instance last began to read the splits by itself, or 0.
	confirmedAt time.Duration
	// confirmMu is held during such a read. It guards confirmFailedAt, which is when the last one failed, or 0.
	confirmMu       sync.Mutex
	confirmFailedAt time.Duration
	// changed has an element while the records may have to be written, urgent while that must not wait.
	changed, urgent chan struct{}
}

// New returns the Registry of a run of an instance.
func New(key string, s Services) *Registry {
	s.Log = s.Log.Named("streams")
	return &Registry{
		Services: s, key: key, startedAt: s.Timer.Boot(), splits: map[route.ServiceName]*split{}, begun: software.NewStreams(),
		changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1), records: newRecords(),
		own: ownrow.New(s.Store, store.Key{Table: s.RecordTable, Key: key}),
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ObserveStoreTime records the time of the store in an answer that has just arrived.
func (r *Registry) ObserveStoreTime(t time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeAhead, r.storeTimeKnown = t-r.Timer.Boot(), true
}

// storeTime returns the time of the store at an instant, or 0 if it is not known.
func (r *Registry) storeTime(now time.Duration) time.Duration {
	if !r.storeTimeKnown {
		return 0
	}
	return now + r.storeAhead
}

func (r *Registry) split(s route.ServiceName) *split {
	x, ok := r.splits[s]
	if !ok {
		x = &split{}
		r.splits[s] = x
	}
	return x
}

// ApplyRows applies rows of the fleet table; those that are not splits are ignored. A split that is
// older than the known one comes from a copy of the store, and is written again.
func (r *Registry) ApplyRows(rows []mirror.Row) {
	for _, row := range rows {
		name, ok := strings.CutPrefix(row.Key, SplitPrefix)
		if !ok {
			continue
		}
		var known software.Split
		var lifetime time.Duration
		if !row.Removed {
			var err error
			if known, lifetime, err = decodeSplit(row.Value); err != nil {
				r.Log.Error("cannot decode split; the previous one stays in force", zap.String("key", row.Key), zap.Error(err))
				continue
			}
		}
		r.apply(route.ServiceName(name), known, lifetime, row)
	}
}

func (r *Registry) apply(s route.ServiceName, known software.Split, lifetime time.Duration, row mirror.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.split(s)
	if row.Version < x.version {
		return
	}
	x.version, x.lacking = row.Version, false
	x.lifetime.Store(lifetime, r.Timer.Boot())
	if row.Removed {
		x.version = 0
	}
	if known.ChangedAt() < x.ChangedAt() || row.Removed && x.Split != (software.Split{}) {
		x.lacking = true
		r.Log.Warn("the store has an older split or none; it is written again", zap.String("service", string(s)), zap.Int64("row-version", int64(row.Version)))
		return
	}
	if known == x.Split {
		return
	}
	x.Split = known
	r.Log.Info("split of a service", zap.String("service", string(s)), zap.Any("slots", known.Counts()), zap.Int64("row-version", int64(row.Version)))
	notify(r.changed)
}

// Planned returns the version at which a stream should begin, and false if none is assigned.
func (r *Registry) Planned(s route.ServiceName, x software.Slot) (software.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.split(s).Planned(x, r.storeTime(r.Timer.Boot()))
	return v, v != ""
}

// MayDeviate reports whether a stream may begin at another version than the planned one: several serve, all
// instances know that, and it can be recorded in the store.
//
// Load pattern: the store falls silent while engines of the planned version have no room.
func (r *Registry) MayDeviate(s route.ServiceName) bool {
	now := r.Timer.Boot()
	r.mu.Lock()
	x := r.split(s)
	several := x.several && x.Mixed(r.storeTime(now)) && r.splitAge() <= software.MaxAge
	r.mu.Unlock()
	return several && r.StoreReachable() && r.writes.work(now)
}

// Begin records that a stream begins, or is about to begin.
func (r *Registry) Begin(x software.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Boot()
	x.BegunAt, x.Stale = now, r.splitAge() > software.MaxAge
	old, known := r.begun.Get(x.ID)
	r.begun.Add(x)
	if known && old.Version == x.Version {
		return
	}
	switch {
	case !r.needsRecord(x, now):
	case x.Stale, r.split(route.ServiceName(x.Service)).Planned(x.Slot, r.storeTime(now)) != x.Version:
		notify(r.urgent)
	default:
		notify(r.changed)
	}
}

// Doubt records that the process of an upstream, whose software was of version v, has been replaced by
// one of another version. Its last streams may have begun at either.
func (r *Registry) Doubt(upstream string, v software.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Boot()
	for _, x := range r.begun.Since(now - maxRowLag) {
		if x.Upstream == upstream && x.Version == v {
			x.Version = software.Unstated(upstream, 0)
			r.begun.Add(x)
		}
	}
	notify(r.urgent)
}

// needsRecord reports whether the version of a stream does not follow from the split of its service.
// Without a split, streams at processes whose version is not known are not recorded: they cannot go on
// anywhere else.
func (r *Registry) needsRecord(x software.Stream, now time.Duration) bool {
	s := r.split(route.ServiceName(x.Service))
	if s.Split == (software.Split{}) && !x.Version.IsStated() {
		return false
	}
	storeTime, settle := r.storeTime(now), r.settleTime(route.ServiceName(x.Service), now)
	v, ok := s.Begun(x.Slot, storeTime, settle)
	return !ok || v != x.Version || x.Stale && !s.Single(storeTime, settle)
}

// Run writes records and splits until c ends.
func (r *Registry) Run(c context.Context) {
	go r.adoptRecords(c)
	go r.writeRecords(c)
	r.Timer.Subscribe(c, stepInterval, func(time.Time) {
		if r.Ready() {
			r.Step(c)
		}
	})
}

// Step writes the splits that the present upstreams call for. One instance does that for all; the
// others do it if that instance does not.
func (r *Registry) Step(c context.Context) {
	responsible, now := r.Responsible(), r.Timer.Boot()
	r.dropStreams(now)
	for _, s := range r.lasting(now) {
		serving := r.Serving(s)
		r.mu.Lock()
		x := r.split(s)
		x.several = len(serving) > 1
		next, differs := x.Next(serving, r.storeTime(now))
		lifetime, outdated := x.lifetime.ToStore(now)
		if !differs && !x.lacking && !(outdated && next != software.Split{}) || !r.storeTimeKnown {
			x.neededSince = 0
			r.mu.Unlock()
			continue
		}
		if x.neededSince == 0 {
			x.neededSince = now
		}
		wait := time.Duration(0)
		if !responsible {
			wait = substituteDelay + rand.N(substituteDelay)
		}
		due := now-x.neededSince >= wait && (x.triedAt == 0 || now-x.triedAt >= splitInterval)
		version := x.version
		if due {
			x.triedAt = now
		}
		r.mu.Unlock()
		if due {
			r.writeSplit(c, s, next, lifetime, version, serving)
		}
	}
}

func (r *Registry) writeSplit(c context.Context, s route.ServiceName, next software.Split, lifetime time.Duration, version mirror.Version, serving map[software.Version]int) {
	value, err := encodeSplit(next, lifetime)
	if err != nil {
		r.Log.Error("cannot encode split", zap.Error(err))
		return
	}
	key := store.Key{Table: r.FleetTable, Key: SplitPrefix + string(s)}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	o, err := r.Store.Transact(x, store.Transaction{Expected: map[store.Key]mirror.Version{key: version}, Writes: []store.Write{{Key: key, Value: value}}})
	if err != nil {
		r.Log.Warn("could not write split", zap.String("service", string(s)), zap.Error(err))
		return
	}
	r.Log.Info("split written", zap.String("service", string(s)), zap.Any("serving", serving), zap.Duration("lifetime", lifetime), zap.Bool("committed", o.Committed), zap.Int64("row-version", int64(o.Version)))
	row := mirror.Row{Key: key.Key, Value: value, Version: o.Version}
	if !o.Committed {
		row = o.Current[key]
		row.Removed = row.Version == 0
	}
	r.ApplyRows([]mirror.Row{row})
}
