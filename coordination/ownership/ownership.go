// Package ownership decides which instance gives orders to which upstream, and permits
// for its rate limit, with conditional writes to the platform's store.
//
// Each instance that owns upstreams renews one lease row. A claim row names the owner
// of an upstream; its version is the fencing token of the owner's orders. A claim is
// valid only if it was written under the owner's current lease and that lease was
// renewed less than leaseDuration ago. Another instance takes a claim over by removing
// the owner's lease in the same transaction.
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
	// FleetTable holds members and claims. All instances watch it.
	FleetTable = "fleet"
	// leaseTable holds the leases. They change too often to be watched.
	leaseTable = "lease"
	// ClaimPrefix is the prefix of the keys of claims in FleetTable.
	ClaimPrefix = "claim."
)

const (
	// leaseDuration is the time after a renewal during which orders are given. A store
	// outage that outlasts it stops adapter loads on all engines; outages last 4 to 6 s
	// on the users' machines. After an owner has stopped, loads stop on its own engines
	// only, until takeoverAfter.
	leaseDuration = 7 * time.Second
	// renewInterval is the time between renewals. Each costs a write call.
	renewInterval = 2 * time.Second
	// takeoverAfter is how long an owner must be silent before its claims may be
	// acquired by others: leaseDuration, plus an allowance for clock drift and delays on both sides.
	takeoverAfter = 8 * time.Second
	// startupDelay is the time after the start before unowned upstreams are claimed.
	// It lets the heartbeats of the other instances of a starting fleet arrive.
	startupDelay = 700 * time.Millisecond
	// rankDelay is the head start of each instance in the rendezvous order of an
	// upstream over the next one.
	rankDelay    = 1500 * time.Millisecond
	stepInterval = 200 * time.Millisecond
	callTimeout  = 800 * time.Millisecond
)

// ErrNotOwner is returned if this instance may not give orders to the upstream.
var ErrNotOwner = eris.New("the instance does not own the upstream")

// Token is the fencing token of an owner's orders. Later owners have higher tokens.
type Token int64

type leaseRow struct {
	Run      int64 `json:"run"`
	Sequence int64 `json:"sequence"`
}

type claimRow struct {
	Owner string `json:"owner"`
}

// claim is a known claim. It is confirmed if it was written in the present era, and not read from
// the copy with which that era began.
type claim struct {
	owner     string
	version   mirror.Version
	confirmed bool
}

// Services are the dependencies of Ownership.
type Services struct {
	Store  *store.Store
	Timer  *timer.Service
	Gossip *gossip.Gossip
	Pool   *pool.Pool
	Log    *zap.Logger
	// NeedsOwner reports whether an upstream needs an owner.
	NeedsOwner func(u pool.Upstream) bool
}

// Ownership manages the claims and the lease of one instance. It is safe for concurrent
// use.
type Ownership struct {
	Services
	name      string
	run       int64
	startedAt time.Duration
	mu        sync.Mutex
	claims    map[pool.ID]claim
	// lease is the version of the lease row, or 0 if there is none. Claims of this
	// instance with a version below epoch were written under an earlier lease.
	lease     mirror.Version
	epoch     mirror.Version
	renewedAt time.Duration
	seq       int64
	leaving   bool
	// suspended is set while this instance must not give orders.
	suspended bool
	// removedLeases has, by owner, the version of the lease that was removed last. An
	// owner that cannot reach the store keeps advertising its removed lease.
	removedLeases map[string]mirror.Version
	// waitingSince is when an upstream was first seen without a live owner or, for
	// upstreams that this instance owns, when it was first missing from the pool.
	waitingSince map[pool.ID]time.Duration
	era          eraState
}

// New returns the Ownership of an instance. Run distinguishes its starts; later ones
// are higher.
func New(name string, run int64, s Services) *Ownership {
	s.Log = s.Log.Named("ownership")
	return &Ownership{
		Services: s, name: name, run: run, startedAt: s.Timer.Boot(),
		claims: map[pool.ID]claim{}, removedLeases: map[string]mirror.Version{}, waitingSince: map[pool.ID]time.Duration{},
		era: eraState{era: 1, since: s.Timer.Boot(), copyRead: true, former: map[pool.ID]string{}},
	}
}

// Run renews the lease and claims upstreams until c ends.
func (o *Ownership) Run(c context.Context) {
	o.Timer.Subscribe(c, stepInterval, func(time.Time) { o.Step(c) })
}

// ApplyRows applies changed rows of FleetTable. Rows that are not claims are ignored.
func (o *Ownership) ApplyRows(rows []mirror.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observeEra()
	confirmed := o.era.copyRead
	for _, r := range rows {
		id, ok := strings.CutPrefix(r.Key, ClaimPrefix)
		if r.Version.Era() != o.era.era {
			continue
		}
		o.era.copyRead = true
		if !ok {
			if r.Key == eraKey && !r.Removed {
				o.applyEraRow(r.Value)
			}
			continue
		}
		var m claimRow
		switch {
		case r.Removed:
			delete(o.claims, pool.ID(id))
		case json.Unmarshal(r.Value, &m) != nil:
			o.Log.Error("failed to decode claim row", zap.String("key", r.Key))
		default:
			o.updateClaim(pool.ID(id), claim{owner: m.Owner, version: r.Version, confirmed: confirmed})
		}
	}
}

// updateClaim records a claim unless a newer one is known. A confirmed one replaces the owner of
// the era before.
func (o *Ownership) updateClaim(id pool.ID, k claim) {
	old := o.claims[id]
	if k.version < old.version {
		return
	}
	k.confirmed = k.confirmed || old.confirmed && k.version == old.version
	o.claims[id] = k
	if k.confirmed {
		delete(o.era.former, id)
	}
}

// Token returns the fencing token for orders to an upstream. The order must be sent
// at once, since the lease may expire afterwards. It fails with ErrNotOwner.
func (o *Ownership) Token(id pool.ID, now time.Duration) (Token, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, ok := o.claims[id]
	if !ok || !o.claimIsOwn(k) || !o.leaseValid(now) {
		return 0, ErrNotOwner
	}
	return Token(k.version), nil
}

// claimIsOwn reports whether this instance wrote the claim under its present lease.
func (o *Ownership) claimIsOwn(k claim) bool {
	return k.owner == o.name && o.epoch != 0 && k.version >= o.epoch
}

// leaseValid reports whether orders may be given under the lease. A lease of another era is void.
func (o *Ownership) leaseValid(now time.Duration) bool {
	return o.leaseUnexpired(now) && o.lease.Era() == o.Store.Eras.Current()
}

func (o *Ownership) leaseUnexpired(now time.Duration) bool {
	return !o.leaving && !o.suspended && o.lease != 0 && now-o.renewedAt < leaseDuration
}

// Owner returns the owner of an upstream, and false if no claim is known.
func (o *Ownership) Owner(id pool.ID) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner(id)
}

func (o *Ownership) owner(id pool.ID) (string, bool) {
	if f, ok := o.formerOwner(id, o.Timer.Boot()); ok && f != "" {
		return f, true
	}
	k, ok := o.claims[id]
	return k.owner, ok
}

// ObserveClaim records a claim that an instance advertises in a heartbeat, which may
// arrive before the row from the store. It reports whether that instance is the owner.
func (o *Ownership) ObserveClaim(id pool.ID, owner string, v mirror.Version) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observeEra()
	_, known := o.era.former[id]
	switch {
	case owner == o.name:
	case v.Era() == o.era.era:
		o.updateClaim(id, claim{owner: owner, version: v, confirmed: true})
	case v.Era() < o.era.era && !known && !o.claims[id].confirmed:
		// The owner has not claimed the upstream again yet.
		o.era.former[id] = owner
	}
	current, _ := o.owner(id)
	return current == owner
}

// Owned returns the upstreams that this instance may give orders to, with the fencing
// tokens of the orders.
func (o *Ownership) Owned(now time.Duration) map[pool.ID]Token {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.leaseValid(now) {
		return nil
	}
	out := map[pool.ID]Token{}
	for id, k := range o.claims {
		if o.claimIsOwn(k) {
			out[id] = Token(k.version)
		}
	}
	return out
}

// Lease returns the version of the lease, or 0 if there is none, and whether the
// instance has surrendered it: it gives no orders under it any more.
func (o *Ownership) Lease(now time.Duration) (mirror.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease, o.lease != 0 && !o.leaseValid(now)
}

// Leave stops all orders of this instance, so that others can take its claims over.
func (o *Ownership) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}

// Suspend stops all orders of this instance for as long as on is set, so that others can take its claims
// over. Afterwards it gives orders again once it has renewed its lease.
func (o *Ownership) Suspend(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspended = on
	o.renewedAt = o.Timer.Boot() - leaseDuration
	o.Log.Info("orders suspended", zap.Bool("suspended", on))
}

// MarkFenced discards the claim on an upstream that has seen a higher fencing token
// than the one of this instance.
func (o *Ownership) MarkFenced(id pool.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.claims, id)
	delete(o.era.former, id)
	o.Log.Warn("claim lost: the upstream has seen a higher fencing token", zap.String("upstream", string(id)))
}
