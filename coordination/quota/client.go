package quota

import (
	"context"
	"errors"
	"time"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/ring"
	"gentiangauge.example/gentiangauge/state/bucket"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

const (
	reserveMethod = "quota/reserve"
	settleMethod  = "quota/settle"
	collectMethod = "quota/collect"
	floorMethod   = "quota/floor"
)

const (
	retryInterval  = 50 * time.Millisecond
	settleCapacity = 8192
	settleBatch    = 256
)

type reserveQuery struct {
	mesh.Message
	Workspace string `protobuf:"bytes,1,opt,name=workspace,proto3"`
	Request   string `protobuf:"bytes,2,opt,name=request,proto3"`
	Tokens    int64  `protobuf:"varint,3,opt,name=tokens,proto3"`
	Replaces  string `protobuf:"bytes,4,opt,name=replaces,proto3"`
}

type reserveReply struct {
	mesh.Message
	NotOwner  bool  `protobuf:"varint,1,opt,name=not_owner,proto3"`
	OverRate  bool  `protobuf:"varint,2,opt,name=over_rate,proto3"`
	WaitNanos int64 `protobuf:"varint,3,opt,name=wait_nanos,proto3"`
}

type settlement struct {
	mesh.Message
	Workspace string `protobuf:"bytes,1,opt,name=workspace,proto3"`
	Request   string `protobuf:"bytes,2,opt,name=request,proto3"`
	Tokens    int64  `protobuf:"varint,3,opt,name=tokens,proto3"`
}

type settleQuery struct {
	mesh.Message
	All []*settlement `protobuf:"bytes,1,rep,name=all,proto3"`
}

type settleReply struct {
	mesh.Message
}

type collectQuery struct {
	mesh.Message
	Workspace string `protobuf:"bytes,1,opt,name=workspace,proto3"`
	Wall      int64  `protobuf:"varint,2,opt,name=wall,proto3"`
	Logical   int64  `protobuf:"varint,3,opt,name=logical,proto3"`
}

type collectReply struct {
	mesh.Message
	Known        bool    `protobuf:"varint,1,opt,name=known,proto3"`
	Level        float64 `protobuf:"fixed64,2,opt,name=level,proto3"`
	Wall         int64   `protobuf:"varint,3,opt,name=wall,proto3"`
	Logical      int64   `protobuf:"varint,4,opt,name=logical,proto3"`
	Sequence     int64   `protobuf:"varint,5,opt,name=sequence,proto3"`
	Final        bool    `protobuf:"varint,6,opt,name=final,proto3"`
	TakenWall    int64   `protobuf:"varint,7,opt,name=taken_wall,proto3"`
	TakenLogical int64   `protobuf:"varint,8,opt,name=taken_logical,proto3"`
	Owner        bool    `protobuf:"varint,9,opt,name=owner,proto3"`
}

type floorOffer struct {
	mesh.Message
	Workspace string  `protobuf:"bytes,1,opt,name=workspace,proto3"`
	Floor     float64 `protobuf:"fixed64,2,opt,name=floor,proto3"`
	Wall      int64   `protobuf:"varint,3,opt,name=wall,proto3"`
	Logical   int64   `protobuf:"varint,4,opt,name=logical,proto3"`
	Sequence  int64   `protobuf:"varint,5,opt,name=sequence,proto3"`
	Confirmed int64   `protobuf:"varint,6,opt,name=confirmed,proto3"`
}

type floorQuery struct {
	mesh.Message
	All []*floorOffer `protobuf:"bytes,1,rep,name=all,proto3"`
}

type floorReply struct {
	mesh.Message
}

func toMessage(offers []offer) *floorQuery {
	q := &floorQuery{}
	for _, o := range offers {
		q.All = append(q.All, &floorOffer{
			Workspace: string(o.workspace), Floor: o.floor, Wall: o.acquired.Wall, Logical: o.acquired.Logical,
			Sequence: o.sequence, Confirmed: o.confirmed,
		})
	}
	return q
}

type settleRing struct {
	*ring.Ring[*settlement]
}

func newSettleRing() settleRing {
	return settleRing{ring.New[*settlement](settleCapacity)}
}

func (q *Quota) register() {
	mesh.Handle(q.Mesh, reserveMethod, q.handleReserve)
	mesh.Handle(q.Mesh, settleMethod, q.handleSettle)
	mesh.Handle(q.Mesh, collectMethod, q.handleCollect)
	mesh.Handle(q.Mesh, floorMethod, q.handleFloor)
}

func (q *Quota) handleReserve(c context.Context, _ string, m *reserveQuery) (*reserveReply, error) {
	v, wait, err := q.reserveLocal(c, fromMessage(m))
	if errors.Is(err, errNotOwner) {
		return &reserveReply{NotOwner: true}, nil
	}
	return &reserveReply{OverRate: v == overRate, WaitNanos: int64(wait)}, err
}

func (q *Quota) handleSettle(c context.Context, _ string, m *settleQuery) (*settleReply, error) {
	err := q.worker.Do(c, func(s *state) {
		for _, x := range m.All {
			if a := s.accounts[lists.WorkspaceID(x.Workspace)]; a != nil {
				a.bucket.Settle(bucket.RequestID(x.Request), lists.Tokens(x.Tokens), q.Timer.Now())
			}
		}
	})
	return &settleReply{}, err
}

func (q *Quota) handleCollect(c context.Context, _ string, m *collectQuery) (*collectReply, error) {
	w := lists.WorkspaceID(m.Workspace)
	r := &collectReply{}
	err := q.worker.Do(c, func(s *state) {
		if q.ownedAccount(s, w) != nil {
			r.Owner = true
			return
		}
		a := s.releaseRecord(w, timeline.Stamp{Wall: m.Wall, Logical: m.Logical}, q.config.FloorLifetime, q.Timer.Now())
		*r = collectReply{
			Known: a.known, Level: a.record.level, Wall: a.record.acquired.Wall, Logical: a.record.acquired.Logical,
			Sequence: a.record.sequence, Final: a.record.final, TakenWall: a.taken.Wall, TakenLogical: a.taken.Logical,
		}
	})
	return r, err
}

func fromReply(r *collectReply) memberRecord {
	return memberRecord{
		known: r.Known, taken: timeline.Stamp{Wall: r.TakenWall, Logical: r.TakenLogical},
		record: record{level: r.Level, acquired: timeline.Stamp{Wall: r.Wall, Logical: r.Logical}, sequence: r.Sequence, final: r.Final},
	}
}

func (q *Quota) handleFloor(c context.Context, _ string, m *floorQuery) (*floorReply, error) {
	err := q.worker.Do(c, func(s *state) {
		now := q.Timer.Now()
		for _, x := range m.All {
			w := lists.WorkspaceID(x.Workspace)
			o := offer{floor: x.Floor, sequence: x.Sequence, confirmed: x.Confirmed, acquired: timeline.Stamp{Wall: x.Wall, Logical: x.Logical}}
			if o.acquired.Before(s.taken[w].newest) {
				continue
			}
			if s.standbyFloors[w] == nil {
				s.standbyFloors[w] = &standbyFloor{}
			}
			s.standbyFloors[w].receive(o, q.config.FloorLifetime, now)
		}
	})
	return &floorReply{}, err
}

// collect asks every member for its record of the account. A member that does not reply,
// or that owns the account, leaves the result incomplete.
func (q *Quota) collect(c context.Context, w lists.WorkspaceID, stamp timeline.Stamp) collectedRecords {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	peers := q.Fleet.Peers()
	answers := make(chan *collectReply, len(peers))
	for _, m := range peers {
		go func() {
			query := &collectQuery{Workspace: string(w), Wall: stamp.Wall, Logical: stamp.Logical}
			r, _ := mesh.Call[collectQuery, collectReply](x, q.Mesh, m.Mesh, collectMethod, query)
			answers <- r
		}()
	}
	k := collectedRecords{all: true}
	for range peers {
		r := <-answers
		if r == nil || r.Owner {
			k.all = false
			continue
		}
		k.add(fromReply(r))
	}
	return k
}

// Outcome is the result of a reservation.
type Outcome struct {
	Granted bool
	// Wait is the time after which the tokens would be available, if the reservation was
	// not granted.
	Wait time.Duration
	// At is an instant not later than the admission.
	At time.Time
}

// reservation is the reservation that a request asks for.
type reservation struct {
	workspace lists.WorkspaceID
	id        bucket.RequestID
	tokens    lists.Tokens
	// replaces is an earlier reservation of the same request, which is refunded first.
	replaces bucket.RequestID
}

func fromMessage(m *reserveQuery) reservation {
	return reservation{
		workspace: lists.WorkspaceID(m.Workspace), id: bucket.RequestID(m.Request),
		tokens: lists.Tokens(m.Tokens), replaces: bucket.RequestID(m.Replaces),
	}
}

// Reserve reserves tokens with the owner of the workspace's account. A non-empty replaces
// names an earlier reservation that is refunded first. While ownership changes, Reserve
// retries until c ends, and then returns the error of c.
func (q *Quota) Reserve(c context.Context, w lists.WorkspaceID, id bucket.RequestID, tokens lists.Tokens, replaces bucket.RequestID) (Outcome, error) {
	x := reservation{workspace: w, id: id, tokens: tokens, replaces: replaces}
	for {
		at := q.Timer.Now()
		v, wait, err := q.reserveOnce(c, x)
		if err == nil {
			return Outcome{Granted: v == granted, Wait: wait, At: at}, nil
		}
		if err := q.Timer.Wait(c, retryInterval); err != nil {
			return Outcome{}, err
		}
	}
}

func (q *Quota) reserveOnce(c context.Context, x reservation) (decision, time.Duration, error) {
	m, ok := q.Fleet.Owner(AccountName(x.workspace))
	if !ok {
		return granted, 0, errNotOwner
	}
	if m.Seat == q.Fleet.Self() {
		return q.reserveLocal(c, x)
	}
	return q.reserveRemote(c, m, x)
}

func (q *Quota) reserveRemote(c context.Context, m lease.Member, x reservation) (decision, time.Duration, error) {
	c, cancel := context.WithTimeout(c, 2*callTimeout)
	defer cancel()
	query := &reserveQuery{Workspace: string(x.workspace), Request: string(x.id), Tokens: int64(x.tokens), Replaces: string(x.replaces)}
	// The owner handles a repeated query idempotently.
	r, err := fleet.Call[reserveQuery, reserveReply](c, q.Fleet, m, reserveMethod, query)
	switch {
	case err != nil:
		return granted, 0, err
	case r.NotOwner:
		return granted, 0, errNotOwner
	case r.OverRate:
		return overRate, time.Duration(r.WaitNanos), nil
	}
	return granted, 0, nil
}

// Settle reports to the owner how many tokens a request used. If the report is lost, the
// reservation stays charged in full.
func (q *Quota) Settle(w lists.WorkspaceID, id bucket.RequestID, used lists.Tokens) {
	q.settlements.Offer(&settlement{Workspace: string(w), Request: string(id), Tokens: int64(used)})
}

func (q *Quota) sendSettlements(c context.Context) {
	for {
		select {
		case <-c.Done():
			return
		case x := <-q.settlements.Out():
			q.sendBatch(c, q.fillBatch(x))
		}
	}
}

// fillBatch adds the settlements that are already queued, up to one batch.
func (q *Quota) fillBatch(first *settlement) []*settlement {
	batch := []*settlement{first}
	for len(batch) < settleBatch {
		select {
		case x := <-q.settlements.Out():
			batch = append(batch, x)
		default:
			return batch
		}
	}
	return batch
}

// sendBatch groups settlements by owner and sends them. Those of accounts without a known
// owner are dropped.
func (q *Quota) sendBatch(c context.Context, batch []*settlement) {
	owners := map[string]*settleQuery{}
	self := q.Fleet.Self()
	for _, x := range batch {
		m, ok := q.Fleet.Owner(AccountName(lists.WorkspaceID(x.Workspace)))
		if !ok {
			continue
		}
		address := m.Mesh
		if m.Seat == self {
			address = ""
		}
		if owners[address] == nil {
			owners[address] = &settleQuery{}
		}
		owners[address].All = append(owners[address].All, x)
	}
	for address, m := range owners {
		go q.sendSettleQuery(c, address, m)
	}
}

// sendSettleQuery sends settlements to an owner; an empty address is this instance.
func (q *Quota) sendSettleQuery(c context.Context, address string, m *settleQuery) {
	if address == "" {
		_, _ = q.handleSettle(c, "", m)
		return
	}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	_, _ = mesh.Call[settleQuery, settleReply](x, q.Mesh, address, settleMethod, m)
}
