package ownership

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/transport/store"
)

func leaseKey(name string) store.Key { return store.Key{Table: leaseTable, Key: name} }

// renewLease renews the lease row, or creates one if this instance has none.
func (o *Ownership) renewLease(c context.Context) {
	sent := o.Timer.Boot()
	o.mu.Lock()
	o.seq++
	value, err := json.Marshal(leaseRow{Run: o.run, Sequence: o.seq})
	expected := o.lease
	o.mu.Unlock()
	if err != nil {
		o.Log.Error("failed to encode lease row", zap.Error(err))
		return
	}
	key := leaseKey(o.name)
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	r, err := o.Store.Transact(x, store.Transaction{
		Expected: map[store.Key]mirror.Version{key: expected},
		Writes:   []store.Write{{Key: key, Value: value}},
	})
	if err != nil {
		o.Log.Warn("failed to renew lease", zap.Int64("version", int64(expected)), zap.Error(err))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.observeEra(); expected != 0 && expected.Era() != o.era.era || r.Committed && r.Version.Era() != o.era.era {
		// Another answer has told of a new era meanwhile.
		return
	}
	if !r.Committed {
		o.adoptLease(r.Current[key])
		return
	}
	if expected == 0 {
		o.epoch = r.Version
		o.Log.Info("lease gained", zap.Int64("version", int64(r.Version)))
	}
	o.lease, o.renewedAt = r.Version, sent
}

// adoptLease continues with the lease row as the store has it after a failed condition:
// the row may be from an earlier renewal of this run whose answer was lost, from an
// earlier run of this instance, or missing.
func (o *Ownership) adoptLease(current mirror.Row) {
	var m leaseRow
	if current.Version != 0 && json.Unmarshal(current.Value, &m) == nil && m.Run == o.run && o.epoch != 0 {
		o.lease = current.Version
		return
	}
	o.Log.Warn("lease lost", zap.Int64("version", int64(o.lease)), zap.Int64("current", int64(current.Version)))
	o.lease, o.epoch = 0, 0
	if current.Version != 0 {
		// The row is from an earlier run of this instance: claims of that run no longer
		// count, so a new epoch begins above it.
		o.lease, o.epoch = current.Version, current.Version+1
	}
}

// readLease reads the lease of an owner from which no heartbeat has arrived. The lease
// counts as renewed now, as it may have been renewed just before the read. It returns
// false if the store call failed.
func (o *Ownership) readLease(c context.Context, owner string) bool {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	rows, _, err := o.Store.Read(x, leaseTable)
	if err != nil {
		o.Log.Warn("failed to read leases", zap.String("owner", owner), zap.Error(err))
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

// leaseCurrent reports whether claims can be written under the lease: it is valid, and
// it was renewed since its epoch began.
func (o *Ownership) leaseCurrent() bool {
	now := o.Timer.Boot()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaseValid(now) && o.epoch != 0 && o.epoch <= o.lease
}
