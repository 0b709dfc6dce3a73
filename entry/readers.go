package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/feed"
	"gentiangauge.example/gentiangauge/coordination/gossip"
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
	return listing{there: true, draining: u.Draining, born: u.Born, address: u.Address, models: len(u.Models)}
}

// chooseReader decides whether this instance reads the tables itself.
func (e *Entry) chooseReader(now time.Duration) {
	near, _ := e.gossip.Silence()
	live := e.gossip.Live(now)
	peers := make([]reader.Peer, 0, len(live))
	for _, p := range live {
		peers = append(peers, reader.Peer{Name: p.Name, Zone: p.Zone, Serves: p.Serving, Steady: !p.StoreUnsteady, Fresh: now-p.At < near/2})
	}
	e.reads.Store(now-e.began > settleTime && reader.Reads(reader.Self{Name: e.Name, Zone: e.Zone}, peers))
}

// peersUnsteady reports whether a peer has lately found that the store fails.
func (e *Entry) peersUnsteady() bool {
	at := e.unsteady.Load()
	return at != 0 && e.timer.Boot()-time.Duration(at) < feed.SettleTime
}

// follow takes the newer rows of a table from other instances until c ends.
func (e *Entry) follow(c context.Context, table string) {
	wake := e.wakes[table]
	for c.Err() == nil {
		n, stop := e.timer.Notify(houseInterval)
		select {
		case <-n:
		case <-wake:
		case <-c.Done():
		}
		stop()
		e.catchUp(c, table)
	}
}

// wakeFollowers has the tables followed of which a beat tells newer rows.
func (e *Entry) wakeFollowers(b gossip.Beat) {
	for t, wake := range e.wakes {
		if b.Versions[pool.NewTag(t)] <= e.version(t) {
			continue
		}
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// ahead returns the live peer to ask for newer rows: one of this availability
// zone if any of them has some, as bytes between zones are paid for.
func (e *Entry) ahead(table string) (peer gossip.Peer, found bool) {
	mine, t := e.version(table), pool.NewTag(table)
	var best *gossip.Peer
	for _, p := range e.gossip.Live(e.timer.Boot()) {
		v := p.Versions[t]
		if v <= mine {
			continue
		}
		near := p.Zone == e.Zone
		switch {
		case best == nil, near && best.Zone != e.Zone, near == (best.Zone == e.Zone) && v > best.Versions[t]:
			best = p
		}
	}
	if best == nil {
		return gossip.Peer{}, false
	}
	return *best, true
}

// catchUp asks a live peer for rows that this instance does not know. A reader
// gets them from the store, unless that fails.
func (e *Entry) catchUp(c context.Context, table string) {
	f := e.feeds[table]
	if _, ok := e.ahead(table); !ok || !f.Mirror.Loaded() && !f.Failing() {
		return
	}
	if e.reads.Load() && !f.Failing() {
		_ = e.timer.Wait(c, f.Gap+behindTime)
	} else {
		_ = e.timer.Wait(c, time.Duration(rand.Int64N(int64(spreadTime))))
	}
	// The rows may have come meanwhile.
	p, ok := e.ahead(table)
	if !ok {
		return
	}
	m, ok := e.members.get(p.Name)
	if !ok {
		return
	}
	r, err := e.askRows(c, m, table, e.version(table))
	if err != nil {
		e.log.Warn("newer rows cannot be read", zap.String("table", table), zap.String("from", p.Name), zap.Error(err))
		e.mesh.Disconnect(m.peer.String())
		_ = e.timer.Wait(c, rowsRetry)
		return
	}
	if table != e.Tables.Upstreams {
		f.Learn(r.mirrorRows(), mirror.Version(r.Version), r.Steady)
		e.learned(table)
		return
	}
	e.takeUpstreams(f.Mirror.Apply(r.mirrorRows(), mirror.Version(r.Version)), r.since(), r.Steady)
	e.listings.Reach(mirror.Version(r.Version))
	e.learned(table)
	if e.listings.Digest() == r.Digest {
		return
	}
	e.log.Info("rows differ; all are read", zap.String("table", table), zap.String("from", p.Name))
	if r, err = e.askRows(c, m, table, 0); err != nil {
		e.log.Warn("rows cannot be read", zap.String("table", table), zap.String("from", p.Name), zap.Error(err))
		return
	}
	e.takeUpstreams(f.Mirror.Replace(r.mirrorRows(), mirror.Version(r.Version)), r.since(), r.Steady)
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
		zap.Int64("had", int64(after)), zap.Int64("has", r.Version), zap.Bool("steady", r.Steady))
	return r, nil
}

// newerRows answers an instance that asks for the rows after a version.
func (e *Entry) newerRows(table string, after mirror.Version) *rowsReply {
	f, ok := e.feeds[table]
	if !ok {
		return &rowsReply{}
	}
	r := &rowsReply{Version: int64(e.version(table)), Steady: f.Steady()}
	rows := f.Mirror.Since(after)
	if table != e.Tables.Upstreams {
		for _, x := range rows {
			r.add(x, x.Version)
		}
		return r
	}
	r.Digest = e.listings.Digest()
	for _, x := range e.listings.Changed(rows, after) {
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
// complete, Digest stands for what matters of all rows, and Steady is not set
// while rows that are missing may come back.
type rowsReply struct {
	mesh.Message
	Rows    []*rowMessage `protobuf:"bytes,1,rep,name=rows,proto3"`
	Version int64         `protobuf:"varint,2,opt,name=version,proto3"`
	Steady  bool          `protobuf:"varint,3,opt,name=steady,proto3"`
	Digest  uint64        `protobuf:"fixed64,4,opt,name=digest,proto3"`
}

func (r *rowsReply) add(x mirror.Row, since mirror.Version) {
	r.Rows = append(r.Rows, &rowMessage{Key: x.Key, Value: x.Value, Version: int64(x.Version), Removed: x.Removed, Since: int64(since)})
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
