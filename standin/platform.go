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

type row struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version int64  `json:"version"`
}

type transaction struct {
	Conditions []row    `json:"conditions"`
	Puts       []row    `json:"puts"`
	Deletes    []string `json:"deletes"`
}

type instance struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Mesh    string `json:"mesh"`
	State   string `json:"state"`
}

type listing struct {
	at        time.Time
	instances map[string]instance
}

type platformStats struct {
	Reads           int64 `json:"reads"`
	Writes          int64 `json:"writes"`
	Loads           int64 `json:"loads"`
	LoadsRefused    int64 `json:"loads-refused"`
	MaxInFlight     int64 `json:"max-in-flight"`
	MaxLoadsASecond int64 `json:"max-loads-a-second"`
}

// Platform stands in for the table service, the object store, the list of
// instances and the weight store.
type Platform struct {
	// ListingLag is how old the list of instances is.
	ListingLag time.Duration
	// LoadsPerSecond is what the weight store allows.
	LoadsPerSecond int64

	table     faultBox
	directory faultBox

	mu       sync.Mutex
	rows     map[string]row
	objects  map[string][]byte
	listings []listing
	loads    []time.Time
	inFlight int64
	stats    platformStats
}

const (
	loadTime         = 250 * time.Millisecond
	fullSpeedLoads   = 8
	defaultLoadsRate = 3
	listLimit        = 1000
)

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		LoadsPerSecond: defaultLoadsRate,
		rows:           map[string]row{},
		objects:        map[string][]byte{},
		listings:       []listing{{instances: map[string]instance{}}},
	}
}

// Handler serves every service of the platform.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /table/rows", p.table.wrap(p.list))
	m.HandleFunc("POST /table/transact", p.table.wrap(p.transact))
	m.HandleFunc("PUT /objects/{name...}", p.table.wrap(p.putObject))
	m.HandleFunc("GET /objects/{name...}", p.table.wrap(p.getObject))
	m.HandleFunc("GET /directory/instances", p.directory.wrap(p.listInstances))
	m.HandleFunc("POST /directory/instances", p.serveSetInstance)
	m.HandleFunc("POST /weights/{adapter...}", p.load)
	m.HandleFunc("POST /fault/table", p.table.serveSet)
	m.HandleFunc("POST /fault/directory", p.directory.serveSet)
	m.HandleFunc("GET /stats", p.serveStats)
	return m
}

// SetTableFault tells the table service and the object store what to do wrong.
func (p *Platform) SetTableFault(f Fault) {
	p.table.set(f)
}

// SetDirectoryFault tells the list of instances what to do wrong.
func (p *Platform) SetDirectoryFault(f Fault) {
	p.directory.set(f)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
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
	if p.table.loseAnswer() {
		dropConnection(w)
		return
	}
	writeJSON(w, struct{}{})
}

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

// SetInstance lists an instance. The state "gone" removes it.
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

// load holds the answer for as long as reading the weights takes.
func (p *Platform) load(w http.ResponseWriter, r *http.Request) {
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

func (p *Platform) startLoad() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	recent := slices.DeleteFunc(p.loads, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	if int64(len(recent)) >= p.LoadsPerSecond {
		p.stats.LoadsRefused++
		return 0, false
	}
	p.loads = append(recent, now)
	p.inFlight++
	p.stats.Loads++
	p.stats.MaxInFlight = max(p.stats.MaxInFlight, p.inFlight)
	p.stats.MaxLoadsASecond = max(p.stats.MaxLoadsASecond, int64(len(p.loads)))
	slow := max(1, (p.inFlight+fullSpeedLoads-1)/fullSpeedLoads)
	return loadTime * time.Duration(slow), true
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.stats)
}
