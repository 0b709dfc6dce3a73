package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/timer"
)

var clock = timer.New()

// row is a row of the table service. Version 0 is the version of an absent row.
type row struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version int64  `json:"version"`
}

// transaction is applied only if every row in Conditions has the given version.
type transaction struct {
	Conditions []row    `json:"conditions"`
	Puts       []row    `json:"puts"`
	Deletes    []string `json:"deletes"`
}

// instance is an entry of the directory: a gentiangauge instance or an upstream.
type instance struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Mesh    string `json:"mesh"`
	State   string `json:"state"`
}

// listing is the content of the directory from a point in time on.
type listing struct {
	at        time.Time
	instances map[string]instance
}

type platformStats struct {
	Reads             int64 `json:"reads"`
	Writes            int64 `json:"writes"`
	Loads             int64 `json:"loads"`
	LoadsRefused      int64 `json:"loads-refused"`
	MaxInFlight       int64 `json:"max-in-flight"`
	MaxLoadsPerSecond int64 `json:"max-loads-a-second"`
}

// Platform stands in for the table service, the object store, the directory (the list of
// instances and upstreams) and the weight store.
type Platform struct {
	// ListingLag is the delay until a change of the directory becomes visible to readers.
	ListingLag time.Duration
	// LoadsPerSecond is the rate limit of the weight store.
	LoadsPerSecond int64

	table     faultState
	directory faultState

	mu          sync.Mutex
	rows        map[string]row
	objects     map[string][]byte
	listings    []listing
	recentLoads []time.Time
	inFlight    int64
	stats       platformStats
}

const (
	// loadTime is the duration of a weight load while at most fullSpeedLoads are in flight.
	loadTime              = 250 * time.Millisecond
	fullSpeedLoads        = 8
	defaultLoadsPerSecond = 3
	listLimit             = 1000
)

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		LoadsPerSecond: defaultLoadsPerSecond,
		rows:           map[string]row{},
		objects:        map[string][]byte{},
		listings:       []listing{{instances: map[string]instance{}}},
	}
}

// Handler returns the HTTP handler of all services of the platform.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /table/rows", p.table.wrap(p.listRows))
	m.HandleFunc("POST /table/transact", p.table.wrap(p.transact))
	m.HandleFunc("PUT /objects/{name...}", p.table.wrap(p.putObject))
	m.HandleFunc("GET /objects/{name...}", p.table.wrap(p.getObject))
	m.HandleFunc("GET /directory/instances", p.directory.wrap(p.listInstances))
	m.HandleFunc("POST /directory/instances", p.serveSetInstance)
	m.HandleFunc("POST /weights/{adapter...}", p.serveLoad)
	m.HandleFunc("POST /fault/table", p.table.serveSetFault)
	m.HandleFunc("POST /fault/directory", p.directory.serveSetFault)
	m.HandleFunc("GET /stats", p.serveStats)
	return m
}

// SetTableFault sets the fault of the table service and the object store.
func (p *Platform) SetTableFault(f Fault) {
	p.table.set(f)
}

// SetDirectoryFault sets the fault of the directory.
func (p *Platform) SetDirectoryFault(f Fault) {
	p.directory.set(f)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > listLimit {
		limit = listLimit
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	found := []row{}
	for _, k := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") && len(found) < limit {
			found = append(found, p.rows[k])
		}
	}
	writeJSON(w, found)
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.commit(t) {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	if p.table.takeDroppedAnswer() {
		dropConnection(w)
		return
	}
	writeJSON(w, struct{}{})
}

// commit applies t and reports whether its conditions held.
func (p *Platform) commit(t transaction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range t.Conditions {
		if p.rows[c.Key].Version != c.Version {
			return false
		}
	}
	p.stats.Writes++
	for _, x := range t.Puts {
		x.Version = p.rows[x.Key].Version + 1
		p.rows[x.Key] = x
	}
	for _, k := range t.Deletes {
		delete(p.rows, k)
	}
	return true
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = data
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) serveSetInstance(w http.ResponseWriter, r *http.Request) {
	var i instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstance(i.ID, i.Kind, i.Pool, i.Zone, i.Address, i.Mesh, i.State)
	writeJSON(w, struct{}{})
}

// SetInstance adds or replaces an entry of the directory. The state "gone" removes the entry.
func (p *Platform) SetInstance(id, kind, pool, zone, address, mesh, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := maps.Clone(p.listings[len(p.listings)-1].instances)
	next[id] = instance{ID: id, Kind: kind, Pool: pool, Zone: zone, Address: address, Mesh: mesh, State: state}
	if state == "gone" {
		delete(next, id)
	}
	p.listings = append(p.listings, listing{at: clock.Now(), instances: next})
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.listings[0]
	for _, l := range p.listings {
		if clock.Now().Sub(l.at) >= p.ListingLag {
			seen = l
		}
	}
	all := []instance{}
	for _, id := range slices.Sorted(maps.Keys(seen.instances)) {
		all = append(all, seen.instances[id])
	}
	writeJSON(w, all)
}

// serveLoad answers after the time that reading the weights takes, or with status 429 over
// the rate limit.
func (p *Platform) serveLoad(w http.ResponseWriter, r *http.Request) {
	d, ok := p.startLoad()
	if !ok {
		http.Error(w, "load rate exceeded", http.StatusTooManyRequests)
		return
	}
	pause(r, d)
	p.mu.Lock()
	p.inFlight--
	p.mu.Unlock()
	writeJSON(w, struct{}{})
}

// startLoad registers a weight load and returns its duration, or false over the rate limit.
// The duration grows in steps of loadTime with each further fullSpeedLoads loads in flight.
func (p *Platform) startLoad() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	recent := slices.DeleteFunc(p.recentLoads, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	if int64(len(recent)) >= p.LoadsPerSecond {
		p.stats.LoadsRefused++
		return 0, false
	}
	p.recentLoads = append(recent, now)
	p.inFlight++
	p.stats.Loads++
	p.stats.MaxInFlight = max(p.stats.MaxInFlight, p.inFlight)
	p.stats.MaxLoadsPerSecond = max(p.stats.MaxLoadsPerSecond, int64(len(p.recentLoads)))
	slow := max(1, (p.inFlight+fullSpeedLoads-1)/fullSpeedLoads)
	return loadTime * time.Duration(slow), true
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.stats)
}
