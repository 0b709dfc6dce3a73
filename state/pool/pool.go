// Package pool holds the upstreams known to an instance, with their adapters and usage,
// and chooses the upstream for each request.
package pool

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
)

// ID identifies an upstream. Some upstreams keep their ID across restarts.
type ID string

// Adapter identifies an adapter of a base model. An empty name is the base model itself.
type Adapter struct {
	Model route.ModelName
	Name  route.AdapterName
}

// Tag is a compact identifier of an adapter, an upstream or a workspace in messages that
// list many: 32 bits of the hash of its name. Two names with the same tag only make an
// estimate less accurate.
type Tag uint32

// NewTag returns the tag of a name.
func NewTag(name string) Tag {
	return Tag(xxhash.Sum64String(name))
}

// Tag returns the tag of an adapter.
func (a Adapter) Tag() Tag {
	return NewTag(string(a.Model) + "/" + string(a.Name))
}

// Tag returns the tag of an upstream.
func (i ID) Tag() Tag {
	return NewTag(string(i))
}

// LoadedAdapter is an adapter that an upstream holds or is loading.
type LoadedAdapter struct {
	Version route.Version
	// ReadyAt is the instant at which the load is expected to end, or 0 if no load was
	// observed.
	ReadyAt time.Duration
}

// Upstream is an upstream as its row in the platform's table describes it.
type Upstream struct {
	ID      ID
	Service route.ServiceName
	Address string
	Zone    string
	// RowVersion is the version of that row.
	RowVersion mirror.Version
	// StartedAt is the start time of the upstream's process in Unix milliseconds, Software the
	// version of what it runs.
	StartedAt int64
	Software  software.Version
	Slots     int
	// Draining upstreams take no new requests.
	Draining bool
	// LimitRevision is the revision of the upstream's limit that was known when this copy
	// was returned by the pool.
	LimitRevision int64
	// Models are the base models on the upstream.
	Models map[route.ModelName]route.Version
	// Adapters are the adapters on the upstream according to the row, which lags behind.
	Adapters map[Adapter]route.Version
}

// entry is an upstream with the state that this instance and its peers observe.
type entry struct {
	Upstream
	tag Tag
	// removedAt is the instant from which the upstream is no longer used, or 0. unconfirmedUntil
	// is the instant before which a row that has reappeared may be an old copy.
	removedAt        time.Duration
	unconfirmedUntil time.Duration
	loaded           map[Tag]LoadedAdapter
	// recent are the adapters that the upstream had loaded recently and therefore loads faster.
	recent map[Tag]bool
	// local is the work of this instance, by adapter.
	local map[Tag]*Usage
	// total is the work of this instance and of the peers that report to it, running the
	// number of those requests by adapter.
	total   Usage
	running map[Tag]int
	// remote is the work of other instances as reported by the engine's owner, valid
	// until remoteUntil.
	remote      remoteUsage
	remoteUntil time.Duration
	health      health
	reported    reportedState
	// limitChangedAt is the instant at which the limit in reported last changed here,
	// permitsAt the one before which this instance gets no permit, permits and room what it
	// grants as the owner of the upstream.
	limitChangedAt time.Duration
	permitsAt      time.Duration
	permits        permits
	room           room
	// loadsDeferredUntil is the instant before which no load is requested from the
	// engine.
	loadsDeferredUntil time.Duration
	// latencyRatio is the smoothed ratio of measured to predicted time to the first
	// event.
	latencyRatio float64
}

// Pool is the set of known upstreams. It is safe for concurrent use. All instants are
// those of timer.Service.Boot.
type Pool struct {
	mu      sync.Mutex
	entries map[ID]*entry
	tags    map[Tag]*entry
	// peers is the work that each peer has reported.
	peers map[string][]Work
	// waits counts the requests that wait for a slot at the only software version that they can run at.
	waits map[boundTo]int
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{entries: map[ID]*entry{}, tags: map[Tag]*entry{}, peers: map[string][]Work{}, waits: map[boundTo]int{}}
}

// active reports whether the upstream has not been removed.
func (e *entry) active(now time.Duration) bool {
	return now >= e.unconfirmedUntil && (e.removedAt == 0 || now < e.removedAt)
}

// PutUnconfirmed is Put for a row that may come from an old copy of the store. An upstream that was
// removed before is used again only from an instant on, if its row still exists then: the rows of
// upstreams that have stopped expire sooner.
func (p *Pool) PutUnconfirmed(u Upstream, now, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[u.ID]
	gone := ok && e.StartedAt == u.StartedAt && e.removedAt != 0 && now >= e.removedAt
	p.put(u)
	if gone {
		p.entries[u.ID].unconfirmedUntil = until
	}
}

// Put adds or updates an upstream. A new process start time or address resets the state
// observed of it, except for the work in flight and a pause. A process that has once been
// draining remains so, since the row may come from an older copy of the store.
func (p *Pool) Put(u Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(u)
}

func (p *Pool) put(u Upstream) {
	e, ok := p.entries[u.ID]
	if !ok || e.StartedAt != u.StartedAt || e.Address != u.Address {
		n := &entry{Upstream: u, tag: u.ID.Tag(), loaded: map[Tag]LoadedAdapter{}, local: map[Tag]*Usage{}, running: map[Tag]int{}, latencyRatio: 1}
		for a, v := range u.Adapters {
			n.loaded[a.Tag()] = LoadedAdapter{Version: v}
		}
		if ok {
			n.local, n.total, n.running = e.local, e.total, e.running
			n.reported.pausedUntil = e.reported.pausedUntil
		} else {
			p.addPeerWork(n)
		}
		p.entries[u.ID], p.tags[n.tag] = n, n
		return
	}
	u.LimitRevision = e.LimitRevision
	u.Draining = u.Draining || e.Draining
	e.Upstream = u
	e.removedAt = 0
}

// Remove marks an upstream as removed from an instant on.
func (p *Pool) Remove(id ID, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.removedAt = at
	}
}

// Sweep deletes removed upstreams that have no running requests of this instance after
// noticeRetention.
func (p *Pool) Sweep(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.entries {
		if e.removedAt != 0 && now >= e.removedAt+noticeRetention && len(e.local) == 0 {
			delete(p.entries, id)
			delete(p.tags, e.tag)
		}
	}
}

// Get returns an upstream, and false if it is unknown or removed.
func (p *Pool) Get(id ID, now time.Duration) (Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok || !e.active(now) {
		return Upstream{}, false
	}
	return e.Upstream, true
}

// Upstreams returns all upstreams that are not removed.
func (p *Pool) Upstreams(now time.Duration) []Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Upstream, 0, len(p.entries))
	for _, e := range p.entries {
		if e.active(now) {
			out = append(out, e.Upstream)
		}
	}
	return out
}

// Addresses returns the addresses of the upstreams that are not removed.
func (p *Pool) Addresses(now time.Duration) []string {
	var out []string
	for _, u := range p.Upstreams(now) {
		out = append(out, u.Address)
	}
	return out
}

// ByTag returns the ID of the upstream with a tag.
func (p *Pool) ByTag(t Tag) (ID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.tags[t]
	if !ok {
		return "", false
	}
	return e.ID, true
}

// SetLoadedAdapters replaces the loaded and the recent adapters of an upstream with those
// that its owner reports.
func (p *Pool) SetLoadedAdapters(id ID, loaded map[Tag]LoadedAdapter, recent map[Tag]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.loaded, e.recent = loaded, recent
	}
}

// MarkLoading records an adapter that is being loaded on an upstream, before its owner
// reports it.
func (p *Pool) MarkLoading(id ID, a Adapter, h LoadedAdapter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.loaded[a.Tag()] = h
	}
}

// ReadyIn returns the time until an adapter is ready on an upstream, and false if the
// adapter is not known to be there.
func (p *Pool) ReadyIn(id ID, a Adapter, now time.Duration) (time.Duration, bool) {
	h, ok := p.LoadedAdapter(id, a)
	return max(0, h.ReadyAt-now), ok
}

// LoadedAdapter returns the known state of an adapter on an upstream, and false if the
// adapter is not known to be there.
func (p *Pool) LoadedAdapter(id ID, a Adapter) (LoadedAdapter, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return LoadedAdapter{}, false
	}
	h, ok := e.loaded[a.Tag()]
	return h, ok
}

// MarkMissing removes an adapter that an upstream reported not to hold.
func (p *Pool) MarkMissing(id ID, a Adapter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		delete(e.loaded, a.Tag())
	}
}

// RecordFirstEvent updates the latency ratio of an upstream with the measured and the
// predicted time to a first event.
func (p *Pool) RecordFirstEvent(id ID, took, predicted time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok || predicted <= 0 {
		return
	}
	x := min(max(float64(took)/float64(predicted), 0.5), maxLatencyRatio)
	e.latencyRatio += latencyRatioWeight * (x - e.latencyRatio)
}

const (
	latencyRatioWeight = 0.1
	maxLatencyRatio    = 8.0
)

// LoadedAdapters returns copies of the loaded and the recent adapters of an upstream.
func (p *Pool) LoadedAdapters(id ID) (map[Tag]LoadedAdapter, map[Tag]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return nil, nil
	}
	return maps.Clone(e.loaded), maps.Clone(e.recent)
}

// DeferLoads records that an engine cannot load an adapter before an instant.
func (p *Pool) DeferLoads(id ID, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.loadsDeferredUntil = until
	}
}

// Serves reports whether at least one upstream of a service admits requests. If v is not empty, the
// upstream must run that software.
func (p *Pool) Serves(s route.ServiceName, v software.Version, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		if e.Service == s && (v == "" || e.Software == v) && e.verdict(now).Available() {
			return true
		}
	}
	return false
}

// Serving returns the number of upstreams of a service that are in service, by the software version
// that they state.
func (p *Pool) Serving(s route.ServiceName, now time.Duration) map[software.Version]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[software.Version]int{}
	for _, e := range p.entries {
		if e.Service == s && e.Software.IsStated() && (e.verdict(now).InService() || e.verdict(now) == Paused) {
			out[e.Software]++
		}
	}
	return out
}

// LoadOverrun is how long a load may continue past its estimated end.
const LoadOverrun = 500 * time.Millisecond

// ExtendLoad postpones the estimated end of a load to at least d from now. It returns
// false if no load is in flight or ended within LoadOverrun.
func (p *Pool) ExtendLoad(id ID, a Adapter, now, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return false
	}
	h, ok := e.loaded[a.Tag()]
	if !ok || h.ReadyAt == 0 || now-h.ReadyAt > LoadOverrun {
		return false
	}
	h.ReadyAt = max(h.ReadyAt, now+d)
	e.loaded[a.Tag()] = h
	return true
}
