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

func leaseKey(name string) store.Key { return store.Key{Table: leaseTable, Key: name} }

func claimKey(id pool.ID) store.Key {
	return store.Key{Table: FleetTable, Key: ClaimPrefix + string(id)}
}

// Step renews the lease when it is due, and claims what nobody owns. Run calls
// it several times a second.
func (o *Ownership) Step(c context.Context) {
	now := o.Timer.Boot()
	o.mu.Lock()
	leaving, lease, renewed := o.leaving, o.lease, o.renewed
	o.mu.Unlock()
	if leaving {
		return
	}
	if lease != 0 && now-renewed >= renewal {
		o.renew(c)
	}
	ups := o.Pool.Upstreams(now)
	for _, t := range o.candidates(ups, now) {
		if !o.take(c, t) {
			break
		}
	}
	o.drop(c, ups, now)
}

// renew writes the lease row, or a new one when there is none.
func (o *Ownership) renew(c context.Context) {
	sent := o.Timer.Boot()
	o.mu.Lock()
	o.seq++
	value, err := json.Marshal(leaseRow{Run: o.run, Sequence: o.seq})
	expected := o.lease
	o.mu.Unlock()
	if err != nil {
		o.Log.Error("lease cannot be encoded", zap.Error(err))
		return
	}
	key := leaseKey(o.name)
	x, cancel := context.WithTimeout(c, callTime)
	defer cancel()
	r, err := o.Store.Transact(x, store.Transaction{
		Expected: map[store.Key]mirror.Version{key: expected},
		Writes:   []store.Write{{Key: key, Value: value}},
	})
	if err != nil {
		o.Log.Warn("lease is not renewed", zap.Int64("version", int64(expected)), zap.Error(err))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !r.Committed {
		o.adopt(r.Current[key])
		return
	}
	if expected == 0 {
		o.epoch = r.Version
		o.Log.Info("lease gained", zap.Int64("version", int64(r.Version)))
	}
	o.lease, o.renewed = r.Version, sent
}

// adopt takes over the lease row as it is: an earlier renewal of this run
// without an answer, the row of an earlier run, or none.
func (o *Ownership) adopt(current mirror.Row) {
	var m leaseRow
	if current.Version != 0 && json.Unmarshal(current.Value, &m) == nil && m.Run == o.run && o.epoch != 0 {
		o.lease = current.Version
		return
	}
	o.Log.Warn("lease lost", zap.Int64("version", int64(o.lease)), zap.Int64("current", int64(current.Version)))
	o.lease, o.epoch = 0, 0
	if current.Version != 0 {
		// The row of an earlier run of this instance: begin a new epoch on it.
		o.lease, o.epoch = current.Version, current.Version+1
	}
}

// candidate is an upstream that this instance may claim.
type candidate struct {
	id    pool.ID
	claim claim
	// owner is the version of the former owner's lease row, if Expected.
	owner    mirror.Version
	expected bool
}

// candidates returns the upstreams without a living owner that this instance
// is the next for.
func (o *Ownership) candidates(ups []pool.Upstream, now time.Duration) []candidate {
	if now-o.began < settle {
		return nil
	}
	names := []string{o.name}
	for _, p := range o.Gossip.LivePeers(now) {
		if p.Serving && !p.Surrendered {
			names = append(names, p.Name)
		}
	}
	names = mayOwn(names, len(ups))
	if !slices.Contains(names, o.name) {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []candidate
	for _, u := range ups {
		if !o.AcceptsOrders(u) {
			continue
		}
		t, ok := o.takeable(u.ID, now)
		if !ok {
			delete(o.unclaimed, u.ID)
			continue
		}
		since, ok := o.unclaimed[u.ID]
		if !ok {
			since = now
			o.unclaimed[u.ID] = now
		}
		if now-since >= time.Duration(rank(u.ID, o.name, names))*rankDelay {
			out = append(out, t)
		}
	}
	return out
}

func (o *Ownership) takeable(id pool.ID, now time.Duration) (candidate, bool) {
	k, ok := o.claims[id]
	t := candidate{id: id, claim: k}
	if !ok {
		return t, true
	}
	if k.owner == o.name {
		return t, !o.mine(k)
	}
	p, heard := o.Gossip.Peer(k.owner)
	seen := max(p.ReceivedAt, p.LeaseReadAt)
	switch {
	case !heard:
		// Only since the start of this instance can the owner be known to be
		// silent.
		t.expected = false
		return t, now-o.began > takeoverAfter
	case p.Surrendered && now-p.ReceivedAt < takeoverAfter, now-seen > takeoverAfter:
		t.owner, t.expected = p.Lease, true
		if o.removed[k.owner] == p.Lease {
			t.owner = 0
		}
		return t, true
	case p.Lease == 0 && p.Uptime > takeoverAfter:
		t.owner, t.expected = 0, true
		return t, true
	default:
		return t, false
	}
}

// minOwners and perOwner bound the number of owners: each renews a lease, which
// is a write to the store, and the end of one stops the loads of its upstreams.
const (
	minOwners = 12
	perOwner  = 4
)

// mayOwn returns the instances that claim upstreams, so many that each has
// perOwner of them.
func mayOwn(names []string, upstreams int) []string {
	n := max(minOwners, upstreams/perOwner)
	if len(names) <= n {
		return names
	}
	order("owner", names)
	return names[:n]
}

// order sorts names in the rendezvous order of a key.
func order(key string, names []string) {
	weights := make(map[string]uint64, len(names))
	for _, n := range names {
		weights[n] = xxhash.Sum64String(key + "/" + n)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
}

// rank returns the place of an instance in the order in which the named ones
// claim an upstream.
func rank(id pool.ID, self string, names []string) int {
	order(string(id), names)
	return slices.Index(names, self)
}

// take claims an upstream. It removes the lease of the former owner, so that
// this one learns of it before it gives another order. It returns false when
// nothing more can be claimed now.
func (o *Ownership) take(c context.Context, t candidate) bool {
	o.mu.Lock()
	lease := o.lease
	o.mu.Unlock()
	if lease == 0 || !o.current() {
		o.renew(c)
		if !o.current() {
			return false
		}
	}
	value, err := json.Marshal(claimRow{Owner: o.name})
	if err != nil {
		o.Log.Error("claim cannot be encoded", zap.Error(err))
		return false
	}
	x := store.Transaction{
		Expected: map[store.Key]mirror.Version{claimKey(t.id): t.claim.version},
		Writes:   []store.Write{{Key: claimKey(t.id), Value: value}},
	}
	if t.claim.owner != "" && t.claim.owner != o.name {
		if !t.expected {
			return o.learnLease(c, t.claim.owner)
		}
		x.Expected[leaseKey(t.claim.owner)] = t.owner
		if t.owner != 0 {
			x.Deletes = append(x.Deletes, leaseKey(t.claim.owner))
		}
	}
	return o.commit(c, t, x)
}

func (o *Ownership) commit(c context.Context, t candidate, x store.Transaction) bool {
	y, cancel := context.WithTimeout(c, callTime)
	defer cancel()
	r, err := o.Store.Transact(y, x)
	if err != nil {
		o.Log.Warn("claim is not written", zap.String("upstream", string(t.id)), zap.Error(err))
		return false
	}
	o.mu.Lock()
	if !r.Committed {
		o.refresh(t, r)
		o.mu.Unlock()
		return true
	}
	o.note(t.id, claim{owner: o.name, version: r.Version})
	delete(o.unclaimed, t.id)
	if t.owner != 0 {
		o.removed[t.claim.owner] = t.owner
	}
	o.mu.Unlock()
	o.Log.Info("claim gained", zap.String("upstream", string(t.id)), zap.Int64("token", int64(r.Version)),
		zap.String("former", t.claim.owner), zap.Int64("former-lease", int64(t.owner)))
	return true
}

// refresh takes over what the store says of rows that changed meanwhile.
func (o *Ownership) refresh(t candidate, r store.Result) {
	if row, ok := r.Current[claimKey(t.id)]; ok && row.Version != t.claim.version {
		var m claimRow
		if row.Version == 0 {
			delete(o.claims, t.id)
		} else if json.Unmarshal(row.Value, &m) == nil {
			o.note(t.id, claim{owner: m.Owner, version: row.Version})
		}
	}
	row, ok := r.Current[leaseKey(t.claim.owner)]
	switch {
	case !ok || !t.expected || row.Version == t.owner:
	case row.Version == 0:
		o.removed[t.claim.owner] = t.owner
	default:
		o.Gossip.SetLease(t.claim.owner, row.Version, o.Timer.Boot())
	}
}

// learnLease reads the lease of an owner that was never heard. It may have been
// renewed up to this instant.
func (o *Ownership) learnLease(c context.Context, owner string) bool {
	x, cancel := context.WithTimeout(c, callTime)
	defer cancel()
	rows, _, err := o.Store.Read(x, leaseTable)
	if err != nil {
		o.Log.Warn("leases cannot be read", zap.Error(err))
		return false
	}
	var v mirror.Version
	for _, r := range rows {
		if r.Key == owner {
			v = r.Version
		}
	}
	o.Gossip.SetLease(owner, v, o.Timer.Boot())
	return true
}

func (o *Ownership) current() bool {
	now := o.Timer.Boot()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.valid(now) && o.epoch != 0 && o.epoch <= o.lease
}

// drop removes the claims of this instance on upstreams that are not among
// those in use. The pool asks for owners while it is locked, so it cannot be
// asked with the claims locked.
func (o *Ownership) drop(c context.Context, ups []pool.Upstream, now time.Duration) {
	known := map[pool.ID]bool{}
	for _, u := range ups {
		known[u.ID] = true
	}
	o.mu.Lock()
	var gone []candidate
	for id, k := range o.claims {
		if !o.mine(k) {
			continue
		}
		if known[id] {
			delete(o.unclaimed, id)
			continue
		}
		since, ok := o.unclaimed[id]
		if !ok {
			o.unclaimed[id] = now
		} else if now-since > 10*takeoverAfter {
			gone = append(gone, candidate{id: id, claim: k})
		}
	}
	o.mu.Unlock()
	for _, t := range gone {
		x, cancel := context.WithTimeout(c, callTime)
		_, err := o.Store.Transact(x, store.Transaction{
			Expected: map[store.Key]mirror.Version{claimKey(t.id): t.claim.version}, Deletes: []store.Key{claimKey(t.id)},
		})
		cancel()
		if err != nil {
			o.Log.Warn("claim is not removed", zap.String("upstream", string(t.id)), zap.Error(err))
		}
	}
}
