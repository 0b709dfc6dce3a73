package ownership

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/transport/store"
)

// eraState is what an instance knows of the change to the present era of the store. The rows of
// claims and leases may have gone back to what they were some time before; whoever owned an
// upstream just before the change may still give it orders until its lease ends.
type eraState struct {
	era mirror.Era
	// since is when this instance learned of the era.
	since time.Duration
	// settled is set once the owners of the era before can give no more orders.
	settled bool
	// copyRead is set once the rows of the copy have been applied.
	copyRead bool
	// former has the owners of the era before. The owner is empty if it is not known whether the
	// claim was valid.
	former map[pool.ID]string
}

// observeEra begins a new era if the store has one. Claims and the lease of the era before do not
// count any more. The caller holds the lock.
func (o *Ownership) observeEra() {
	current, now := o.Store.Eras.Current(), o.Timer.Boot()
	if current == o.era.era {
		return
	}
	former := map[pool.ID]string{}
	if now-o.era.since <= takeoverAfter {
		// The owners of the era before that may not have claimed their upstreams again.
		former = o.era.former
	}
	for id, k := range o.claims {
		switch _, known := former[id]; {
		case known && !k.confirmed:
		case k.owner == o.name && !(o.claimIsOwn(k) && o.leaseUnexpired(now)):
			former[id] = ""
		default:
			former[id] = k.owner
		}
	}
	o.Log.Warn("claims and leases of another era are void", zap.Int64("before", int64(o.era.era)), zap.Int64("era", int64(current)), zap.Int("claims", len(o.claims)))
	o.era = eraState{era: current, since: now, former: former}
	o.claims, o.removedLeases = map[pool.ID]claim{}, map[string]mirror.Version{}
	o.lease, o.epoch = 0, 0
}

// eraIs reports whether an era is still the newest one.
func (o *Ownership) eraIs(e mirror.Era) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observeEra()
	return o.era.era == e
}

// formerOwner returns the owner of an upstream in the era before, as long as it may be the one.
func (o *Ownership) formerOwner(id pool.ID, now time.Duration) (string, bool) {
	f, ok := o.era.former[id]
	return f, ok && now-o.era.since <= takeoverAfter
}

// eraSettling reports whether upstreams may have owners that this instance does not know, because
// their claims are gone with the era before.
func (o *Ownership) eraSettling(now time.Duration) bool {
	return o.era.era > 1 && !o.era.settled && now-o.era.since <= takeoverAfter
}

// eraKey is the key of the row in FleetTable that names the newest era whose claims have settled,
// for instances that start later.
const eraKey = "era"

type eraRow struct {
	Settled int64 `json:"settled"`
}

// applyEraRow applies the row with the key eraKey. The caller holds the lock.
func (o *Ownership) applyEraRow(value []byte) {
	var m eraRow
	if err := json.Unmarshal(value, &m); err != nil {
		o.Log.Error("failed to decode era row", zap.Error(err))
		return
	}
	if mirror.Era(m.Settled) == o.era.era {
		o.era.settled = true
	}
}

// storeEra writes the era row once the owners of the era before can give no more orders. One of
// the named live instances does that.
func (o *Ownership) storeEra(c context.Context, now time.Duration, names []string) {
	o.mu.Lock()
	e := o.era
	o.mu.Unlock()
	if e.era == 1 || e.settled || now-e.since <= takeoverAfter || rank(eraKey, o.name, names) != 0 {
		return
	}
	value, err := json.Marshal(eraRow{Settled: int64(e.era)})
	if err != nil {
		o.Log.Error("failed to encode era row", zap.Error(err))
		return
	}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	r, err := o.Store.Transact(x, store.Transaction{Writes: []store.Write{{Key: store.Key{Table: FleetTable, Key: eraKey}, Value: value}}})
	if err != nil {
		o.Log.Warn("failed to write era row", zap.Int64("era", int64(e.era)), zap.Error(err))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.era.settled = o.era.settled || r.Version.Era() == e.era && o.era.era == e.era
}
