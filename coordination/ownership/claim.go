package ownership

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/transport/store"
)

func claimKey(id pool.ID) store.Key {
	return store.Key{Table: FleetTable, Key: ClaimPrefix + string(id)}
}

// Step renews the lease if that is due, claims upstreams without an owner and removes
// claims on upstreams that no longer exist. Run calls it every stepInterval.
func (o *Ownership) Step(c context.Context) {
	now := o.Timer.Boot()
	o.mu.Lock()
	o.observeEra()
	leaving, lease, renewedAt := o.leaving || o.suspended, o.lease, o.renewedAt
	o.mu.Unlock()
	if leaving {
		return
	}
	if lease != 0 && now-renewedAt >= renewInterval {
		o.renewLease(c)
	}
	ups, names := o.Pool.Upstreams(now), o.liveNames(now)
	o.storeEra(c, now, slices.Clone(names))
	for _, t := range o.candidates(ups, names, now) {
		if !o.claimUpstream(c, t) {
			break
		}
	}
	o.releaseUnused(c, ups, now)
}

// candidate is an upstream that this instance may claim.
type candidate struct {
	id    pool.ID
	claim claim
	// formerLease is the version of the former owner's lease row, or 0 if there is no
	// row. It is valid only if leaseKnown is set.
	formerLease mirror.Version
	leaseKnown  bool
	// reclaim is set if this instance owned the upstream until the store came back from a copy.
	// The claim that the copy may have is of an owner that had lost it.
	reclaim bool
	// era is the era in which the upstream was found to be claimable.
	era mirror.Era
}

// liveNames returns this instance and the live ones that may own upstreams.
func (o *Ownership) liveNames(now time.Duration) []string {
	names := []string{o.name}
	for _, p := range o.Gossip.LivePeers(now) {
		if p.Serving && !p.Surrendered {
			names = append(names, p.Name)
		}
	}
	return names
}

// candidates returns the upstreams without a live owner that it is this instance's turn
// to claim.
func (o *Ownership) candidates(ups []pool.Upstream, names []string, now time.Duration) []candidate {
	if now-o.startedAt < startupDelay {
		return nil
	}
	names = eligibleOwners(names, len(ups))
	eligible := slices.Contains(names, o.name)
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []candidate
	for _, u := range ups {
		if !o.NeedsOwner(u) {
			continue
		}
		t, ok := o.claimable(u.ID, now)
		if ok && (t.reclaim || t.claim.owner == o.name) {
			// The others wait for this instance as long as it has a lease.
			out = append(out, t)
			continue
		}
		if !ok || !eligible {
			delete(o.waitingSince, u.ID)
			continue
		}
		since, ok := o.waitingSince[u.ID]
		if !ok {
			since = now
			o.waitingSince[u.ID] = now
		}
		if now-since >= time.Duration(rank(u.ID, o.name, names))*rankDelay {
			out = append(out, t)
		}
	}
	return out
}

// claimable reports whether an upstream has no live owner, and returns the conditions
// under which it can be claimed.
func (o *Ownership) claimable(id pool.ID, now time.Duration) (candidate, bool) {
	k, ok := o.claims[id]
	t := candidate{id: id, claim: k, era: o.era.era}
	if f, known := o.formerOwner(id, now); known {
		t.reclaim = f == o.name
		return t, t.reclaim
	}
	switch {
	case k.owner == o.name && o.claimIsOwn(k):
		return t, false
	case o.eraSettling(now):
		return t, false
	case !ok || k.owner == o.name:
		return t, true
	}
	t, ok = o.claimableFrom(t, now)
	if t.formerLease != 0 && t.formerLease.Era() != o.era.era {
		t.formerLease, t.leaseKnown = 0, false
	}
	return t, ok
}

// claimableFrom is claimable for an upstream with a claim of another instance.
func (o *Ownership) claimableFrom(t candidate, now time.Duration) (candidate, bool) {
	k := t.claim
	p, known := o.Gossip.Peer(k.owner)
	seenAt := max(p.ReceivedAt, p.LeaseReadAt)
	switch {
	case !known:
		// No heartbeat of the owner ever arrived here, so its silence can be counted
		// only from the start of this instance.
		t.leaseKnown = false
		return t, now-o.startedAt > takeoverAfter
	case p.Surrendered && now-p.ReceivedAt < takeoverAfter, now-seenAt > takeoverAfter:
		// The owner has surrendered its lease, or no renewal was seen for long enough.
		t.formerLease, t.leaseKnown = p.Lease, true
		if o.removedLeases[k.owner] == p.Lease {
			t.formerLease = 0
		}
		return t, true
	case p.Lease == 0 && p.Uptime > takeoverAfter:
		// The owner has been running without a lease, so it gives no orders.
		t.formerLease, t.leaseKnown = 0, true
		return t, true
	default:
		return t, false
	}
}

// minOwners and upstreamsPerOwner set the number of owners. Every owner renews a lease,
// which is a write to the store; with few owners, the stop of one halts the adapter loads
// of many upstreams.
const (
	minOwners         = 12
	upstreamsPerOwner = 4
)

// eligibleOwners returns the instances that may claim upstreams: one for every
// upstreamsPerOwner upstreams, and at least minOwners.
func eligibleOwners(names []string, upstreams int) []string {
	n := max(minOwners, upstreams/upstreamsPerOwner)
	if len(names) <= n {
		return names
	}
	sortByWeight("owner", names)
	return names[:n]
}

// Weight returns the rendezvous hash of an instance for a key: the one with the highest comes first.
func Weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "/" + name)
}

// sortByWeight sorts names by their rendezvous hash for a key, the highest first.
func sortByWeight(key string, names []string) {
	weights := make(map[string]uint64, len(names))
	for _, n := range names {
		weights[n] = Weight(key, n)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
}

// rank returns the position of an instance in the order in which the named instances
// may claim an upstream.
func rank(id pool.ID, self string, names []string) int {
	sortByWeight(string(id), names)
	return slices.Index(names, self)
}

// claimUpstream claims an upstream. It removes the lease of the former owner in the same
// transaction, so that the former owner cannot renew its lease and give further orders.
// It returns false if no more claims can be made now.
func (o *Ownership) claimUpstream(c context.Context, t candidate) bool {
	o.mu.Lock()
	lease := o.lease
	o.mu.Unlock()
	if lease == 0 || !o.leaseCurrent() {
		o.renewLease(c)
	}
	if !o.leaseCurrent() || !o.eraIs(t.era) {
		return false
	}
	value, err := json.Marshal(claimRow{Owner: o.name})
	if err != nil {
		o.Log.Error("failed to encode claim row", zap.Error(err))
		return false
	}
	x := store.Transaction{
		Expected: map[store.Key]mirror.Version{claimKey(t.id): t.claim.version},
		Writes:   []store.Write{{Key: claimKey(t.id), Value: value}},
	}
	if t.claim.owner != "" && t.claim.owner != o.name && !t.reclaim {
		if !t.leaseKnown {
			return o.readLease(c, t.claim.owner)
		}
		x.Expected[leaseKey(t.claim.owner)] = t.formerLease
		if t.formerLease != 0 {
			x.Deletes = append(x.Deletes, leaseKey(t.claim.owner))
		}
	}
	return o.commit(c, t, x)
}

// commit runs the transaction that claims an upstream. If a condition fails, it records
// the current rows, for the next attempt. It returns false if the store call failed.
func (o *Ownership) commit(c context.Context, t candidate, x store.Transaction) bool {
	y, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	r, err := o.Store.Transact(y, x)
	if err != nil {
		o.Log.Warn("failed to write claim", zap.String("upstream", string(t.id)), zap.Error(err))
		return false
	}
	o.mu.Lock()
	if o.observeEra(); o.era.era != t.era || r.Committed && r.Version.Era() != t.era {
		o.mu.Unlock()
		return false
	}
	if !r.Committed {
		o.applyCurrent(t, r)
		o.mu.Unlock()
		return true
	}
	o.updateClaim(t.id, claim{owner: o.name, version: r.Version, confirmed: true})
	delete(o.waitingSince, t.id)
	if t.formerLease != 0 {
		o.removedLeases[t.claim.owner] = t.formerLease
	}
	o.mu.Unlock()
	o.Log.Info("claim gained", zap.String("upstream", string(t.id)), zap.Int64("token", int64(r.Version)),
		zap.String("former", t.claim.owner), zap.Int64("former-lease", int64(t.formerLease)))
	return true
}

// applyCurrent records the claim and lease rows that made a transaction's conditions
// fail.
func (o *Ownership) applyCurrent(t candidate, r store.Result) {
	if row, ok := r.Current[claimKey(t.id)]; ok && row.Version != t.claim.version {
		var m claimRow
		if row.Version == 0 {
			delete(o.claims, t.id)
		} else if json.Unmarshal(row.Value, &m) == nil {
			o.updateClaim(t.id, claim{owner: m.Owner, version: row.Version, confirmed: o.era.copyRead})
		}
	}
	row, ok := r.Current[leaseKey(t.claim.owner)]
	switch {
	case !ok || !t.leaseKnown || row.Version == t.formerLease:
	case row.Version == 0:
		o.removedLeases[t.claim.owner] = t.formerLease
	default:
		o.Gossip.SetLease(t.claim.owner, row.Version, o.Timer.Boot())
	}
}

// releaseUnused removes the claims of this instance on upstreams that have been missing
// from the pool for ten times takeoverAfter. The caller passes the upstreams: the pool
// looks up owners while it holds its lock, so reading it with the claims locked would
// deadlock.
func (o *Ownership) releaseUnused(c context.Context, ups []pool.Upstream, now time.Duration) {
	known := map[pool.ID]bool{}
	for _, u := range ups {
		known[u.ID] = true
	}
	o.mu.Lock()
	var unused []candidate
	for id, k := range o.claims {
		if !o.claimIsOwn(k) {
			continue
		}
		if known[id] {
			delete(o.waitingSince, id)
			continue
		}
		since, ok := o.waitingSince[id]
		if !ok {
			o.waitingSince[id] = now
		} else if now-since > 10*takeoverAfter {
			unused = append(unused, candidate{id: id, claim: k})
		}
	}
	o.mu.Unlock()
	for _, t := range unused {
		x, cancel := context.WithTimeout(c, callTimeout)
		_, err := o.Store.Transact(x, store.Transaction{
			Expected: map[store.Key]mirror.Version{claimKey(t.id): t.claim.version}, Deletes: []store.Key{claimKey(t.id)},
		})
		cancel()
		if err != nil {
			o.Log.Warn("failed to remove claim of an unused upstream", zap.String("upstream", string(t.id)), zap.Error(err))
		}
	}
}
