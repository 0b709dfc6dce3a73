// Package pool holds what an instance knows of the upstreams, and chooses
// the one that a request goes to.
package pool

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/route"
)

// ID names one upstream. It stays the same over restarts of some upstreams.
type ID string

// Adapter is an adapter of a base model. An empty name is the model alone.
type Adapter struct {
	Model route.ModelName
	Name  route.AdapterName
}

// Tag stands for an adapter, an upstream or a workspace where many are told of:
// 32 bits of the hash of its name. Two that share a tag only make an estimate
// worse.
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

// LoadedAdapter is an adapter on an upstream.
type LoadedAdapter struct {
	Version route.Version
	// ReadyAt is the instant at which the load ends.
	ReadyAt time.Duration
}

// Upstream is what the platform's list says of an upstream.
type Upstream struct {
	ID      ID
	Service route.ServiceName
	Address string
	Zone    string
	// RowVersion is the version of the row that says so.
	RowVersion mirror.Version
	// StartedAt is the start of the upstream's process in Unix milliseconds.
	StartedAt int64
	Slots     int
	// Draining upstreams take no new requests.
	Draining bool
	// Models are the base models in place.
	Models map[route.ModelName]route.Version
	// Adapters are those that the list names, with a lag.
	Adapters map[Adapter]route.Version
}

// entry is an upstream with what this instance and its peers observe.
type entry struct {
	Upstream
	tag Tag
	// goneAt is the instant from which the upstream is no longer used, or 0.
	goneAt time.Duration
	held   map[Tag]LoadedAdapter
	// recent are the adapters that the upstream loads faster.
	recent map[Tag]bool
	own    map[Tag]*Usage
	// total is the work of this instance and of those that report theirs to it,
	// running that by adapter.
	total   Usage
	running map[Tag]int
	// others is the work of other instances as the engine's owner tells, until
	// othersUntil.
	others      others
	othersUntil time.Duration
	health      health
	said        said
	// loadsFrom is the instant from which the engine may be asked for a load.
	loadsFrom time.Duration
	// pace is the measured time to the first event over the predicted one.
	pace float64
}

// Pool is the set of known upstreams. It is safe for concurrent use. All
// instants are those of timer.Service.Boot.
type Pool struct {
	mu      sync.Mutex
	entries map[ID]*entry
	tags    map[Tag]*entry
	// peers is the work that each peer told of.
	peers map[string][]Work
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{entries: map[ID]*entry{}, tags: map[Tag]*entry{}, peers: map[string][]Work{}}
}

// there reports whether an upstream is in use.
func (e *entry) there(now time.Duration) bool {
	return e.goneAt == 0 || now < e.goneAt
}

// Put adds or updates an upstream. A new start of its process clears what was
// known of it.
func (p *Pool) Put(u Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[u.ID]
	if !ok || e.StartedAt != u.StartedAt || e.Address != u.Address {
		n := &entry{Upstream: u, tag: u.ID.Tag(), held: map[Tag]LoadedAdapter{}, own: map[Tag]*Usage{}, running: map[Tag]int{}, pace: 1}
		for a, v := range u.Adapters {
			n.held[a.Tag()] = LoadedAdapter{Version: v}
		}
		if ok {
			n.own, n.total, n.running = e.own, e.total, e.running
			n.said.pausedUntil = e.said.pausedUntil
		} else {
			p.countPeers(n)
		}
		p.entries[u.ID], p.tags[n.tag] = n, n
		return
	}
	e.Upstream = u
	e.goneAt = 0
}

// Remove drops an upstream at an instant.
func (p *Pool) Remove(id ID, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.goneAt = at
	}
}

// Sweep deletes the upstreams that are gone since before now, and of which nothing
// has to be kept.
func (p *Pool) Sweep(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.entries {
		if kept := e.said != (said{}) && now-e.goneAt < keepSaid; !e.there(now) && len(e.own) == 0 && !kept {
			delete(p.entries, id)
			delete(p.tags, e.tag)
		}
	}
}

// Get returns an upstream that is in use.
func (p *Pool) Get(id ID, now time.Duration) (Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok || !e.there(now) {
		return Upstream{}, false
	}
	return e.Upstream, true
}

// Upstreams returns the upstreams that are in use.
func (p *Pool) Upstreams(now time.Duration) []Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Upstream, 0, len(p.entries))
	for _, e := range p.entries {
		if e.there(now) {
			out = append(out, e.Upstream)
		}
	}
	return out
}

// ByTag returns the upstream with a tag.
func (p *Pool) ByTag(t Tag) (ID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.tags[t]
	if !ok {
		return "", false
	}
	return e.ID, true
}

// SetLoadedAdapters replaces the adapters of an upstream, and those that it loads
// faster, by what its owner says.
func (p *Pool) SetLoadedAdapters(id ID, held map[Tag]LoadedAdapter, recent map[Tag]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.held, e.recent = held, recent
	}
}

// MarkLoading notes that an adapter will be ready on an upstream, before its owner
// tells.
func (p *Pool) MarkLoading(id ID, a Adapter, h LoadedAdapter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.held[a.Tag()] = h
	}
}

// ReadyIn returns the time until an adapter is ready on an upstream, and
// false if it is not known to be there.
func (p *Pool) ReadyIn(id ID, a Adapter, now time.Duration) (time.Duration, bool) {
	h, ok := p.LoadedAdapter(id, a)
	return max(0, h.ReadyAt-now), ok
}

// LoadedAdapter returns an adapter as it is known to be on an upstream.
func (p *Pool) LoadedAdapter(id ID, a Adapter) (LoadedAdapter, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return LoadedAdapter{}, false
	}
	h, ok := e.held[a.Tag()]
	return h, ok
}

// MarkMissing notes that an upstream said that it does not hold an adapter.
func (p *Pool) MarkMissing(id ID, a Adapter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		delete(e.held, a.Tag())
	}
}

// RecordFirstEvent notes the time that a first event took and the time predicted.
func (p *Pool) RecordFirstEvent(id ID, took, predicted time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok || predicted <= 0 {
		return
	}
	x := min(max(float64(took)/float64(predicted), 0.5), maxPace)
	e.pace += paceWeight * (x - e.pace)
}

const (
	paceWeight = 0.1
	maxPace    = 8.0
)

// LoadedAdapters returns a copy of the adapters on an upstream, and of those that it
// loads faster.
func (p *Pool) LoadedAdapters(id ID) (map[Tag]LoadedAdapter, map[Tag]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return nil, nil
	}
	return maps.Clone(e.held), maps.Clone(e.recent)
}

// DeferLoads notes that an engine cannot load an adapter before an instant.
func (p *Pool) DeferLoads(id ID, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[id]; ok {
		e.loadsFrom = until
	}
}

// Serves reports whether an upstream of a service takes requests.
func (p *Pool) Serves(s route.ServiceName, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		if e.Service == s && e.verdict(now) == Admitted {
			return true
		}
	}
	return false
}

// LoadOverrun is the time after the estimated end of a load in which it may still
// go on.
const LoadOverrun = 500 * time.Millisecond

// ExtendLoad notes that a load takes longer than estimated. It returns false if
// no load has ended lately.
func (p *Pool) ExtendLoad(id ID, a Adapter, now, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.entries[id]
	if !ok {
		return false
	}
	h, ok := e.held[a.Tag()]
	if !ok || h.ReadyAt == 0 || now-h.ReadyAt > LoadOverrun {
		return false
	}
	h.ReadyAt = max(h.ReadyAt, now+d)
	e.held[a.Tag()] = h
	return true
}
