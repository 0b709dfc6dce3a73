package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/contact"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/reader"
	"gentiangauge.example/gentiangauge/state/software"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

const (
	// For settleTime after its start, an instance does not yet read the tables regularly, because
	// it does not know which other instances do.
	settleTime = 700 * time.Millisecond
	// rowsCallTimeout limits a call that reads rows from another instance.
	rowsCallTimeout = 800 * time.Millisecond
	// rowsRetryInterval is the pause after a failed call for rows.
	rowsRetryInterval = 200 * time.Millisecond
	// failedPeerTime is how long an instance that did not answer is only chosen after all others.
	// It is longer than the time for which a stopped instance counts as live.
	failedPeerTime = 3 * time.Second
	// maxJitter spreads the calls of instances that learn of new rows at the same time.
	maxJitter = 40 * time.Millisecond
	// readerLag is how long an instance that reads the store may be behind a peer, in addition to
	// the interval between two reads.
	readerLag = 400 * time.Millisecond
)

// listing is the part of a row of the list of upstreams that is relevant to requests. The rest,
// such as the adapters, changes at each heartbeat and is reported by the owners.
type listing struct {
	present   bool
	draining  bool
	startedAt int64
	software  software.Version
	address   string
	models    int
	slots     int
}

func newListing(u pool.Upstream) listing {
	return listing{present: true, draining: u.Draining, startedAt: u.StartedAt, software: u.Software, address: u.Address, models: len(u.Models), slots: u.Slots}
}

// chooseReader decides whether this instance reads the tables from the store.
func (e *Entry) chooseReader(now time.Duration) {
	near, _ := e.gossip.SilenceTimeouts()
	live := e.gossip.LivePeers(now)
	peers := make([]reader.Peer, 0, len(live))
	for _, p := range live {
		peers = append(peers, reader.Peer{Name: p.Name, Zone: p.Zone, Serving: p.Serving, StoreReachable: !p.StoreUnstable, Live: now-p.ReceivedAt < near/2})
	}
	e.readsStore.Store(now-e.startedAt > settleTime && reader.ShouldRead(reader.Self{Name: e.Name, Zone: e.Zone}, peers))
}

// countReaders counts the other instances that read from the store by the state of their
// connection to it.
func (e *Entry) countReaders() contact.Peers {
	var n contact.Peers
	for _, p := range e.gossip.LivePeers(e.timer.Boot()) {
		switch {
		case p.StoreUnstable && p.Uptime > contact.SettleTime:
			n.Unstable++
		case p.StoreConfirmed:
			n.Confirming++
		}
	}
	return n
}

// rowSyncer fetches newer rows of a table from other instances.
type rowSyncer struct {
	entry *Entry
	table string
	// failed has, for each instance that did not answer, the time until which it is only chosen
	// after all others.
	failed map[string]time.Duration
}

// syncTable fetches newer rows of a table from other instances until c ends.
func (e *Entry) syncTable(c context.Context, table string) {
	f := &rowSyncer{entry: e, table: table, failed: map[string]time.Duration{}}
	for c.Err() == nil {
		n, stop := e.timer.Notify(housekeepingInterval)
		select {
		case <-n:
		case <-e.wakeups[table]:
		case <-c.Done():
		}
		stop()
		f.sync(c)
		if table == e.Tables.Configuration {
			f.syncConfiguration(c)
		}
	}
}

// newSource returns the sender of a heartbeat as a source of rows.
func newSource(b gossip.Heartbeat) reader.Source {
	return reader.Source{Name: b.Name, Zone: b.Zone, Uptime: b.Uptime, ReadsStore: b.ReadsStore, StoreReachable: !b.StoreUnstable}
}

// newerPeer returns the live peer from which to fetch newer rows.
func (f *rowSyncer) newerPeer(now time.Duration) (name string, found bool) {
	e, own, t := f.entry, f.entry.tableVersion(f.table), pool.NewTag(f.table)
	var l []reader.Source
	for _, p := range e.gossip.LivePeers(now) {
		s := newSource(p.Heartbeat)
		if p.Versions[t] <= own || !s.EligibleFor(now-e.startedAt) {
			continue
		}
		s.RecentlyFailed = now < f.failed[p.Name]
		l = append(l, s)
	}
	x, ok := reader.Self{Name: e.Name, Zone: e.Zone}.ChooseSource(l)
	return x.Name, ok
}

// sync fetches rows that this instance lacks from a live peer. An instance that reads the store
// waits for them to arrive from there first, unless the store fails.
func (f *rowSyncer) sync(c context.Context) {
	e, x := f.entry, f.entry.feeds[f.table]
	if _, ok := f.newerPeer(e.timer.Boot()); !ok || !e.loaded(f.table) && !x.Failing() {
		return
	}
	if e.readsStore.Load() && !x.Failing() {
		_ = e.timer.Wait(c, x.MinInterval+readerLag)
	} else {
		_ = e.timer.Wait(c, time.Duration(rand.Int64N(int64(maxJitter))))
	}
	// The rows may have arrived in the meantime.
	name, ok := f.newerPeer(e.timer.Boot())
	if !ok {
		return
	}
	m, ok := e.members.get(name)
	if !ok {
		return
	}
	if err := e.fetchRows(c, m, f.table); err != nil {
		e.log.Warn("newer rows cannot be read", zap.String("table", f.table), zap.String("from", name), zap.Error(err))
		e.mesh.Disconnect(m.peer.String())
		f.failed[name] = e.timer.Boot() + failedPeerTime
		_ = e.timer.Wait(c, rowsRetryInterval)
		return
	}
	delete(f.failed, name)
}

const configurationMethod = "configuration/get"

type configurationRequest struct {
	mesh.Message
}

type configurationReply struct {
	mesh.Message
	Value []byte `protobuf:"bytes,1,opt,name=value,proto3"`
}

// syncConfiguration fetches the configuration from a peer in which a newer one is in force although
// its rows are not newer. The store has then come back from a copy: this instance, which has started
// since, knows only what the copy has until the operators write again.
func (f *rowSyncer) syncConfiguration(c context.Context) {
	e := f.entry
	t := e.table.Load()
	if t == nil {
		return
	}
	now, own, tag := e.timer.Boot(), e.tableVersion(f.table), pool.NewTag(f.table)
	for _, p := range e.gossip.LivePeers(now) {
		if p.Configuration <= t.Version || p.Versions[tag] > own || now < f.failed[p.Name] {
			continue
		}
		m, ok := e.members.get(p.Name)
		if !ok {
			continue
		}
		x, cancel := context.WithTimeout(c, rowsCallTimeout)
		r, err := mesh.Call[configurationRequest, configurationReply](x, e.mesh, m.peer.String(), configurationMethod, &configurationRequest{})
		cancel()
		if err != nil {
			e.log.Warn("configuration in force cannot be read", zap.String("from", p.Name), zap.Error(err))
			f.failed[p.Name] = e.timer.Boot() + failedPeerTime
			continue
		}
		e.installConfiguration(r.Value, p.Name, own)
		return
	}
}

// fetchRows fetches and applies the rows of a table that an instance has and this one lacks.
func (e *Entry) fetchRows(c context.Context, m member, table string) error {
	f := e.feeds[table]
	r, err := e.requestRows(c, m, table, e.tableVersion(table))
	if err != nil {
		return err
	}
	v := mirror.Version(r.Version)
	if v.Era() > e.tableVersion(table).Era() {
		// The store has come back from a copy. Rows that it does not have must not stay.
		e.Store.Eras.Observe(v.Era())
		return e.fetchTable(c, m, table)
	}
	f.Apply(r.mirrorRows(), v, func(l []mirror.Row) { e.applyPeerRows(table, l, r) })
	if table == e.Tables.Upstreams && !e.listings.AdvanceIfEqual(v, r.Digest) {
		e.log.Info("copies of the table differ; reading all rows", zap.String("table", table), zap.String("from", m.peer.String()))
		return e.fetchTable(c, m, table)
	}
	e.onPeerRows(table)
	return nil
}

// fetchTable fetches all rows of a table from an instance, and replaces those that this one has.
func (e *Entry) fetchTable(c context.Context, m member, table string) error {
	r, err := e.requestRows(c, m, table, 0)
	if err != nil {
		return err
	}
	v := mirror.Version(r.Version)
	e.feeds[table].Replace(r.mirrorRows(), v, func(l []mirror.Row) { e.applyPeerRows(table, l, r) })
	if table == e.Tables.Upstreams {
		e.listings.AdvanceTo(v)
	}
	e.onPeerRows(table)
	return nil
}

// applyPeerRows applies changed rows of a reply of another instance.
func (e *Entry) applyPeerRows(table string, rows []mirror.Row, r *rowsReply) {
	f := e.feeds[table]
	if d := f.PeerSettlesIn(r.settlesIn()); table == e.Tables.Upstreams {
		e.applyUpstreams(rows, r.since(), d)
	} else {
		f.OnChange(rows, d)
	}
}

// requestRows requests the rows of a table that are newer than a version.
func (e *Entry) requestRows(c context.Context, m member, table string, after mirror.Version) (*rowsReply, error) {
	x, cancel := context.WithTimeout(c, rowsCallTimeout)
	defer cancel()
	r, err := mesh.Call[rowsRequest, rowsReply](x, e.mesh, m.peer.String(), rowsMethod, &rowsRequest{Table: table, After: int64(after)})
	if err != nil {
		return nil, err
	}
	e.log.Info("newer rows read", zap.String("table", table), zap.String("from", m.peer.String()), zap.Int("rows", len(r.Rows)),
		zap.Int64("had", int64(after)), zap.Int64("has", r.Version), zap.Duration("settles-in", r.settlesIn()))
	return r, nil
}

// rowsAfter handles a request for the rows of a table that are newer than a version.
func (e *Entry) rowsAfter(table string, after mirror.Version) *rowsReply {
	f, ok := e.feeds[table]
	if !ok {
		return &rowsReply{}
	}
	r := &rowsReply{SettlesInMs: f.SettlesIn().Milliseconds()}
	if table != e.Tables.Upstreams {
		r.Version = int64(e.tableVersion(table))
		for _, x := range f.Mirror.Since(after) {
			r.add(x, x.Version)
		}
		return r
	}
	changed, upTo, digest := e.listings.ChangedSince(after, func() []mirror.Row { return f.Mirror.Since(after) })
	r.Version, r.Digest = int64(upTo), digest
	for _, x := range changed {
		r.add(x.Row, x.Since)
	}
	return r
}

type rowsRequest struct {
	mesh.Message
	Table string `protobuf:"bytes,1,opt,name=table,proto3"`
	After int64  `protobuf:"varint,2,opt,name=after,proto3"`
}

// rowMessage is a row. Since is the version of the last change that is relevant to requests.
type rowMessage struct {
	mesh.Message
	Key     string `protobuf:"bytes,1,opt,name=key,proto3"`
	Value   []byte `protobuf:"bytes,2,opt,name=value,proto3"`
	Version int64  `protobuf:"varint,3,opt,name=version,proto3"`
	Removed bool   `protobuf:"varint,4,opt,name=removed,proto3"`
	Since   int64  `protobuf:"varint,5,opt,name=since,proto3"`
}

// rowsReply has the newer rows of a table. They are complete up to Version. Digest is the digest
// of the relevant parts of all rows. Rows that are missing may reappear within SettlesInMs.
type rowsReply struct {
	mesh.Message
	Rows        []*rowMessage `protobuf:"bytes,1,rep,name=rows,proto3"`
	Version     int64         `protobuf:"varint,2,opt,name=version,proto3"`
	SettlesInMs int64         `protobuf:"varint,5,opt,name=settles_in_ms,proto3"`
	Digest      uint64        `protobuf:"fixed64,4,opt,name=digest,proto3"`
}

func (r *rowsReply) add(x mirror.Row, since mirror.Version) {
	r.Rows = append(r.Rows, &rowMessage{Key: x.Key, Value: x.Value, Version: int64(x.Version), Removed: x.Removed, Since: int64(since)})
}

func (r *rowsReply) settlesIn() time.Duration {
	return time.Duration(r.SettlesInMs) * time.Millisecond
}

func (r *rowsReply) mirrorRows() []mirror.Row {
	out := make([]mirror.Row, 0, len(r.Rows))
	for _, x := range r.Rows {
		out = append(out, mirror.Row{Key: x.Key, Value: x.Value, Version: mirror.Version(x.Version), Removed: x.Removed})
	}
	return out
}

func (r *rowsReply) since() map[string]mirror.Version {
	out := make(map[string]mirror.Version, len(r.Rows))
	for _, x := range r.Rows {
		out[x.Key] = mirror.Version(x.Since)
	}
	return out
}
