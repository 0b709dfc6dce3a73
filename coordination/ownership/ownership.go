// Package ownership decides which instance gives orders to which upstream, by
// conditional rows of the platform's store.
//
// Each instance that owns something renews one lease row. A claim row names
// the owner of an upstream; its version is the fencing token of the owner's
// orders. A claim counts only while its owner's lease is younger than
// leaseTime, and only if it was written under that lease. Another instance
// takes a claim over by removing the owner's lease in the same transaction.
package ownership

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/store"
)

// Tables of the store.
const (
	// FleetTable holds members and claims; it is watched by all instances.
	FleetTable = "fleet"
	// leaseTable holds the leases, which change too often to be watched.
	leaseTable = "lease"
	// ClaimPrefix begins the keys of claims in FleetTable.
	ClaimPrefix = "claim."
)

const (
	// leaseTime is the time after a renewal in which orders are given. An
	// outage of the store, of 4 to 6 s on the users' machines, stops the loads
	// of all engines once it is over; an owner that ends stops those of its
	// engines alone until takeoverAfter.
	leaseTime = 7 * time.Second
	// renewal is the time between renewals. Each costs a write call.
	renewal = 2 * time.Second
	// takeoverAfter is the silence of an owner after which its claims are
	// taken over: leaseTime and what two clocks may drift and wait.
	takeoverAfter = 8 * time.Second
	// settle is the time after the start before unowned upstreams are claimed,
	// in which the other instances of a starting fleet are heard.
	settle = 700 * time.Millisecond
	// rankDelay is the time that the next instance in the order of an upstream
	// waits for the one before it.
	rankDelay = 1500 * time.Millisecond
	tick      = 200 * time.Millisecond
	callTime  = 800 * time.Millisecond
)

// ErrNotOwner says that this instance may not give orders to the upstream.
var ErrNotOwner = eris.New("the instance does not own the upstream")

// Token fences the orders of an owner: those of later owners are higher.
type Token int64

type leaseRow struct {
	Run      int64 `json:"run"`
	Sequence int64 `json:"sequence"`
}

type claimRow struct {
	Owner string `json:"owner"`
}

type claim struct {
	owner   string
	version mirror.Version
}

// Services are the parts that ownership works with.
type Services struct {
	Store  *store.Store
	Timer  *timer.Service
	Gossip *gossip.Gossip
	Pool   *pool.Pool
	Log    *zap.Logger
	// AcceptsOrders reports whether an upstream takes orders.
	AcceptsOrders func(u pool.Upstream) bool
}

// Ownership keeps the claims of one instance. It is safe for concurrent use.
type Ownership struct {
	Services
	name    string
	run     int64
	began   time.Duration
	mu      sync.Mutex
	claims  map[pool.ID]claim
	lease   mirror.Version
	epoch   mirror.Version
	renewed time.Duration
	seq     int64
	leaving bool
	// removed are the leases that were removed, by the last version of each. An
	// owner that cannot reach the store goes on to tell of it.
	removed map[string]mirror.Version
	// unclaimed is when an upstream was first seen without a living owner.
	unclaimed map[pool.ID]time.Duration
}

// New returns the ownership of an instance. Run tells its starts apart.
func New(name string, run int64, s Services) *Ownership {
	s.Log = s.Log.Named("ownership")
	return &Ownership{
		Services: s, name: name, run: run, began: s.Timer.Boot(),
		claims: map[pool.ID]claim{}, removed: map[string]mirror.Version{}, unclaimed: map[pool.ID]time.Duration{},
	}
}

// Run renews and claims until c ends.
func (o *Ownership) Run(c context.Context) {
	o.Timer.Subscribe(c, tick, func(time.Time) { o.Step(c) })
}

// ApplyRows takes over rows of FleetTable.
func (o *Ownership) ApplyRows(rows []mirror.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range rows {
		id, ok := strings.CutPrefix(r.Key, ClaimPrefix)
		if !ok {
			continue
		}
		var m claimRow
		switch {
		case r.Removed:
			delete(o.claims, pool.ID(id))
		case json.Unmarshal(r.Value, &m) != nil:
			o.Log.Error("claim cannot be read", zap.String("key", r.Key))
		default:
			o.note(pool.ID(id), claim{owner: m.Owner, version: r.Version})
		}
	}
}

func (o *Ownership) note(id pool.ID, k claim) {
	if k.version >= o.claims[id].version {
		o.claims[id] = k
	}
}

// Token returns the fencing token for orders to an upstream at an instant.
// The order has to be sent at once.
func (o *Ownership) Token(id pool.ID, now time.Duration) (Token, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, ok := o.claims[id]
	if !ok || !o.mine(k) || !o.valid(now) {
		return 0, ErrNotOwner
	}
	return Token(k.version), nil
}

func (o *Ownership) mine(k claim) bool {
	return k.owner == o.name && o.epoch != 0 && k.version >= o.epoch
}

func (o *Ownership) valid(now time.Duration) bool {
	return !o.leaving && o.lease != 0 && now-o.renewed < leaseTime
}

// Owner returns the owner of an upstream.
func (o *Ownership) Owner(id pool.ID) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, ok := o.claims[id]
	return k.owner, ok
}

// ObserveClaim takes over the claim that an instance tells of in a beat, which may be
// ahead of the store's feed. It reports whether the instance is the owner.
func (o *Ownership) ObserveClaim(id pool.ID, owner string, v mirror.Version) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner != o.name {
		o.note(id, claim{owner: owner, version: v})
	}
	return o.claims[id].owner == owner
}

// Owned returns the upstreams that this instance gives orders to, and the
// tokens of its orders.
func (o *Ownership) Owned(now time.Duration) map[pool.ID]Token {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.valid(now) {
		return nil
	}
	out := map[pool.ID]Token{}
	for id, k := range o.claims {
		if o.mine(k) {
			out[id] = Token(k.version)
		}
	}
	return out
}

// Lease returns the version of the lease, and whether no orders are given
// under it.
func (o *Ownership) Lease(now time.Duration) (mirror.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease, o.lease != 0 && !o.valid(now)
}

// Leave ends all orders of this instance, so that others may take over.
func (o *Ownership) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}

// MarkFenced notes that an upstream has seen a higher token than this instance's.
func (o *Ownership) MarkFenced(id pool.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.claims, id)
	o.Log.Warn("claim lost: the upstream knows a later owner", zap.String("upstream", string(id)))
}
