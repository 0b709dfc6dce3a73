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
	"gentiangauge.example/gentiangauge/transport/mesh"
)

const (
	// settleTime is the time after the start in which an instance does not read
	// the tables again: it does not know yet who else does.
	settleTime = 700 * time.Millisecond
	// rowsCallTime bounds the reading of rows from another instance.
	rowsCallTime = 800 * time.Millisecond
	// rowsRetry is the pause after rows could not be read from another instance.
	rowsRetry = 200 * time.Millisecond
	// failedTime is how long an instance that did not answer is asked after all
	// others, longer than it is heard if it has ended.
	failedTime = 3 * time.Second
	// spreadTime spreads the calls of all instances that hear of new rows at the
	// same time.
	spreadTime = 40 * time.Millisecond
	// behindTime is how long a reader may be behind what a peer tells, beside the
	// time between two reads.
	behindTime = 400 * time.Millisecond
)

// listing is what matters to requests of a row of the list of upstreams. The
// rest, such as the adapters, changes at each heartbeat and is told by owners.
type listing struct {
	there    bool
	draining bool
	born     int64
	address  string
	models   int
}

func newListing(u pool.Upstream) listing {
	return listing{there: true, draining: u.Draining, born: u.StartedAt, address: u.Address, models: len(u.Models)}
}

// chooseReader decides whether this instance reads the tables itself.
func (e *Entry) chooseReader(now time.Duration) {
	near, _ := e.gossip.SilenceTimeouts()
	live := e.gossip.LivePeers(now)
	peers := make([]reader.Peer, 0, len(live))
	for _, p := range live {
		peers = append(peers, reader.Peer{Name: p.Name, Zone: p.Zone, Serving: p.Serving, StoreReachable: !p.StoreUnstable, Live: now-p.ReceivedAt < near/2})
	}
	e.reads.Store(now-e.began > settleTime && reader.ShouldRead(reader.Self{Name: e.Name, Zone: e.Zone}, peers))
}

// otherReaders counts the other instances that read the store by how they found it.
func (e *Entry) otherReaders() contact.Peers {
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

// follower takes the newer rows of a table from other instances.
type follower struct {
	entry *Entry
	table string
	// failed is the instant until which an instance that did not answer is asked
	// after all others.
	failed map[string]time.Duration
}

// follow takes the newer rows of a table from other instances until c ends.
func (e *Entry) follow(c context.Context, table string) {
	f := &follower{entry: e, table: table, failed: map[string]time.Duration{}}
	for c.Err() == nil {
		n, stop := e.timer.Notify(houseInterval)
		select {
		case <-n:
		case <-e.wakes[table]:
		case <-c.Done():
		}
		stop()
		f.catchUp(c)
	}
}

// newSource returns what a beat tells of its instance as one that may be asked for
// rows.
func newSource(b gossip.Heartbeat) reader.Source {
	return reader.Source{Name: b.Name, Zone: b.Zone, Uptime: b.Uptime, ReadsStore: b.ReadsStore, StoreReachable: !b.StoreUnstable}
}

// ahead returns the live peer to ask for newer rows.
func (f *follower) ahead(now time.Duration) (name string, found bool) {
	e, own, t := f.entry, f.entry.version(f.table), pool.NewTag(f.table)
	var l []reader.Source
	for _, p := range e.gossip.LivePeers(now) {
		s := newSource(p.Heartbeat)
		if p.Versions[t] <= own || !s.EligibleFor(now-e.began) {
			continue
		}
		s.RecentlyFailed = now < f.failed[p.Name]
		l = append(l, s)
	}
	x, ok := reader.Self{Name: e.Name, Zone: e.Zone}.ChooseSource(l)
	return x.Name, ok
}

// catchUp asks a live peer for rows that this instance does not know. A reader
// gets them from the store, unless that fails.
func (f *follower) catchUp(c context.Context) {
	e, x := f.entry, f.entry.feeds[f.table]
	if _, ok := f.ahead(e.timer.Boot()); !ok || !e.loaded(f.table) && !x.Failing() {
		return
	}
	if e.reads.Load() && !x.Failing() {
		_ = e.timer.Wait(c, x.MinInterval+behindTime)
	} else {
		_ = e.timer.Wait(c, time.Duration(rand.Int64N(int64(spreadTime))))
	}
	// The rows may have come meanwhile.
	name, ok := f.ahead(e.timer.Boot())
	if !ok {
		return
	}
	m, ok := e.members.get(name)
	if !ok {
		return
	}
	if err := e.takeNewer(c, m, f.table); err != nil {
		e.log.Warn("newer rows cannot be read", zap.String("table", f.table), zap.String("from", name), zap.Error(err))
		e.mesh.Disconnect(m.peer.String())
		f.failed[name] = e.timer.Boot() + failedTime
		_ = e.timer.Wait(c, rowsRetry)
		return
	}
	delete(f.failed, name)
}

// takeNewer takes over the rows of a table that an instance has and this one does
// not know.
func (e *Entry) takeNewer(c context.Context, m member, table string) error {
	f := e.feeds[table]
	r, err := e.askRows(c, m, table, e.version(table))
	if err != nil {
		return err
	}
	if table != e.Tables.Upstreams {
		f.ApplyFromPeer(r.mirrorRows(), mirror.Version(r.Version), r.settlesIn())
		e.learned(table)
		return nil
	}
	take := func(rows []mirror.Row) { e.takeUpstreams(rows, r.since(), r.settlesIn()) }
	f.Apply(r.mirrorRows(), mirror.Version(r.Version), take)
	if e.listings.AdvanceIfEqual(mirror.Version(r.Version), r.Digest) {
		e.learned(table)
		return nil
	}
	e.log.Info("rows differ; all are read", zap.String("table", table), zap.String("from", m.peer.String()))
	if r, err = e.askRows(c, m, table, 0); err != nil {
		return err
	}
	f.Replace(r.mirrorRows(), mirror.Version(r.Version), take)
	e.listings.AdvanceTo(mirror.Version(r.Version))
	e.learned(table)
	return nil
}

// askRows asks an instance for the rows of a table after a version.
func (e *Entry) askRows(c context.Context, m member, table string, after mirror.Version) (*rowsReply, error) {
	x, cancel := context.WithTimeout(c, rowsCallTime)
	defer cancel()
	r, err := mesh.Call[rowsQuery, rowsReply](x, e.mesh, m.peer.String(), rowsMethod, &rowsQuery{Table: table, After: int64(after)})
	if err != nil {
		return nil, err
	}
	e.log.Info("newer rows read", zap.String("table", table), zap.String("from", m.peer.String()), zap.Int("rows", len(r.Rows)),
		zap.Int64("had", int64(after)), zap.Int64("has", r.Version), zap.Duration("settles-in", r.settlesIn()))
	return r, nil
}

// newerRows answers an instance that asks for the rows after a version.
func (e *Entry) newerRows(table string, after mirror.Version) *rowsReply {
	f, ok := e.feeds[table]
	if !ok {
		return &rowsReply{}
	}
	r := &rowsReply{SettlesInMs: f.SettlesIn().Milliseconds()}
	if table != e.Tables.Upstreams {
		r.Version = int64(e.version(table))
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

type rowsQuery struct {
	mesh.Message
	Table string `protobuf:"bytes,1,opt,name=table,proto3"`
	After int64  `protobuf:"varint,2,opt,name=after,proto3"`
}

// rowMessage is a row. Since is the version of its last change in what matters.
type rowMessage struct {
	mesh.Message
	Key     string `protobuf:"bytes,1,opt,name=key,proto3"`
	Value   []byte `protobuf:"bytes,2,opt,name=value,proto3"`
	Version int64  `protobuf:"varint,3,opt,name=version,proto3"`
	Removed bool   `protobuf:"varint,4,opt,name=removed,proto3"`
	Since   int64  `protobuf:"varint,5,opt,name=since,proto3"`
}

// rowsReply is the newer rows of a table. Version is the one up to which they are
// complete, Digest stands for what matters of all rows, and rows that are missing may
// come back within SettlesInMs.
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
