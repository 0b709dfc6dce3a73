package fleet

import (
	"context"
	"time"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

const (
	pingMethod   = "fleet/ping"
	rosterMethod = "fleet/roster"
	seatMethod   = "fleet/seat"
)

const pingTimeout = time.Second

type memberMessage struct {
	mesh.Message
	Seat       string `protobuf:"bytes,1,opt,name=seat,proto3"`
	Generation int64  `protobuf:"varint,2,opt,name=generation,proto3"`
	Instance   string `protobuf:"bytes,3,opt,name=instance,proto3"`
	Zone       string `protobuf:"bytes,4,opt,name=zone,proto3"`
	Address    string `protobuf:"bytes,5,opt,name=address,proto3"`
	Mesh       string `protobuf:"bytes,6,opt,name=mesh,proto3"`
	Operator   string `protobuf:"bytes,7,opt,name=operator,proto3"`
}

type pingQuery struct {
	mesh.Message
	Seat    string         `protobuf:"bytes,1,opt,name=seat,proto3"`
	Epoch   int64          `protobuf:"varint,2,opt,name=epoch,proto3"`
	Version int64          `protobuf:"varint,3,opt,name=version,proto3"`
	Holder  *memberMessage `protobuf:"bytes,4,opt,name=holder,proto3"`
	Gossip  []byte         `protobuf:"bytes,5,opt,name=gossip,proto3"`
}

type pingReply struct {
	mesh.Message
	Seated   bool     `protobuf:"varint,1,opt,name=seated,proto3"`
	Seat     string   `protobuf:"bytes,2,opt,name=seat,proto3"`
	Epoch    int64    `protobuf:"varint,3,opt,name=epoch,proto3"`
	Version  int64    `protobuf:"varint,4,opt,name=version,proto3"`
	Confirms bool     `protobuf:"varint,5,opt,name=confirms,proto3"`
	Denies   []string `protobuf:"bytes,6,rep,name=denies,proto3"`
	// Silent are the members that the sender does not hear.
	Silent []string `protobuf:"bytes,7,rep,name=silent,proto3"`
}

type rosterQuery struct {
	mesh.Message
}

type rosterReply struct {
	mesh.Message
	Roster  []byte           `protobuf:"bytes,1,opt,name=roster,proto3"`
	Holders []*memberMessage `protobuf:"bytes,2,rep,name=holders,proto3"`
}

func toMessage(m lease.Member) *memberMessage {
	return &memberMessage{
		Seat: string(m.Seat), Generation: m.Generation, Instance: m.Instance, Zone: m.Zone,
		Address: m.Address, Mesh: m.Mesh, Operator: m.Operator,
	}
}

func fromMessage(m *memberMessage) lease.Member {
	return lease.Member{
		Seat: lease.SeatID(m.Seat), Generation: m.Generation, Instance: m.Instance, Zone: m.Zone,
		Address: m.Address, Mesh: m.Mesh, Operator: m.Operator,
	}
}

func (f *Fleet) register() {
	mesh.Handle(f.Mesh, pingMethod, f.answerPing)
	mesh.Handle(f.Mesh, rosterMethod, func(context.Context, string, *rosterQuery) (*rosterReply, error) {
		return f.rosterReply(), nil
	})
	mesh.Handle(f.Mesh, seatMethod, f.answerSeatRequest)
}

// rosterReply returns the installed roster and the latest known holders of the seats.
func (f *Fleet) rosterReply() *rosterReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &rosterReply{Roster: encodeRoster(f.state.Roster())}
	for _, m := range f.latestHolders {
		r.Holders = append(r.Holders, toMessage(m))
	}
	return r
}

// pingAll starts a ping of every peer that has none in flight. It also extends the terms
// of the owned names and updates the serving lease.
func (f *Fleet) pingAll(c context.Context) {
	gossip := f.GossipPayload()
	for _, m := range f.Peers() {
		if f.startPing(m.Seat) {
			go f.ping(c, m, gossip)
		}
	}
	f.withState(func(s *lease.State, now time.Time) { s.ExtendTerms(now) })
	f.Serving()
}

func (f *Fleet) startPing(seat lease.SeatID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pinging[seat] {
		return false
	}
	f.pinging[seat] = true
	return true
}

func (f *Fleet) endPing(seat lease.SeatID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pinging, seat)
}

func (f *Fleet) newPingQuery(gossip []byte) *pingQuery {
	q := &pingQuery{Gossip: gossip}
	f.withState(func(s *lease.State, _ time.Time) {
		q.Seat = string(s.Self())
		q.Epoch = int64(s.Roster().Epoch)
		q.Version = int64(s.InstalledLists())
		if m, ok := f.latestHolders[s.Self()]; ok {
			q.Holder = toMessage(m)
		}
	})
	return q
}

// ping pings m, records its reply and fetches the newer roster and lists that the reply
// announces. A failed ping closes the connection, so that the next ping opens a new one.
func (f *Fleet) ping(c context.Context, m lease.Member, gossip []byte) {
	defer f.endPing(m.Seat)
	x, cancel := context.WithTimeout(c, pingTimeout)
	defer cancel()
	at := f.Timer.Now()
	r, err := mesh.Call[pingQuery, pingReply](x, f.Mesh, m.Mesh, pingMethod, f.newPingQuery(gossip))
	if err != nil {
		f.Mesh.Disconnect(m.Mesh)
		return
	}
	if r.Seated && r.Seat == string(m.Seat) {
		f.withState(func(s *lease.State, now time.Time) { s.RecordReply(fromReply(r), at, now) })
		f.recordSilence(m.Seat, r.Silent, at)
	}
	f.catchUp(c, m.Mesh, lease.Epoch(r.Epoch), lists.Version(r.Version))
}

func fromReply(r *pingReply) lease.Reply {
	out := lease.Reply{
		Seat: lease.SeatID(r.Seat), Epoch: lease.Epoch(r.Epoch), Version: lists.Version(r.Version), Confirms: r.Confirms,
	}
	for _, d := range r.Denies {
		out.Denies = append(out.Denies, lease.SeatID(d))
	}
	return out
}

// answerPing replies to a ping, calls OnGossip with its payload and fetches the newer
// roster and lists that the ping announces. The reply has no seat and no votes while this
// instance has no seat or has not installed the required version of the lists.
func (f *Fleet) answerPing(c context.Context, from string, q *pingQuery) (*pingReply, error) {
	if q.Holder != nil {
		f.updateHolder(fromMessage(q.Holder))
	}
	r := &pingReply{}
	f.withState(func(s *lease.State, now time.Time) {
		r.Epoch = int64(s.Roster().Epoch)
		r.Version = int64(s.InstalledLists())
		a, ok := s.AnswerPing(lease.SeatID(q.Seat), now)
		if !ok {
			return
		}
		r.Seated = true
		r.Seat = string(a.Seat)
		r.Confirms = a.Confirms
		for _, x := range s.Silent(now) {
			r.Silent = append(r.Silent, string(x))
		}
		for _, d := range a.Denies {
			r.Denies = append(r.Denies, string(d))
		}
	})
	if q.Seat != "" {
		f.OnGossip(lease.SeatID(q.Seat), q.Gossip)
	}
	go f.catchUp(context.WithoutCancel(c), from, lease.Epoch(q.Epoch), lists.Version(q.Version))
	return r, nil
}

// updateHolder records m as the holder of its seat if its generation is newer than the
// known one.
func (f *Fleet) updateHolder(m lease.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Generation > f.latestHolders[m.Seat].Generation {
		f.latestHolders[m.Seat] = m
	}
}

// catchUp fetches the roster and the lists from a peer that has a newer epoch or version.
// Only one fetch of the lists runs at a time.
func (f *Fleet) catchUp(c context.Context, address string, epoch lease.Epoch, version lists.Version) {
	if epoch > f.Roster().Epoch {
		f.pullRoster(c, address)
	}
	if version > f.Catalog.State().Version && f.startPull() {
		defer f.endPull()
		x, cancel := context.WithTimeout(c, pingTimeout)
		defer cancel()
		_ = f.Catalog.Pull(x, f.Mesh, address)
	}
}

func (f *Fleet) startPull() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pullingLists {
		return false
	}
	f.pullingLists = true
	return true
}

func (f *Fleet) endPull() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pullingLists = false
}

// pullRoster fetches the roster and the latest holders of the seats from a peer and
// installs them.
func (f *Fleet) pullRoster(c context.Context, address string) {
	x, cancel := context.WithTimeout(c, pingTimeout)
	defer cancel()
	r, err := mesh.Call[rosterQuery, rosterReply](x, f.Mesh, address, rosterMethod, &rosterQuery{})
	if err != nil {
		return
	}
	for _, m := range r.Holders {
		f.updateHolder(fromMessage(m))
	}
	roster, err := DecodeRoster(r.Roster)
	if err != nil {
		return
	}
	f.installRoster(c, roster)
}
