package gossip

import (
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// Places are the adapters on an upstream.
type Places struct {
	// Held is relative to the beat: ReadyAt is 0 for adapters in place.
	Held map[pool.Tag]pool.Held
	// Recent are the adapters that the upstream loads faster.
	Recent map[pool.Tag]bool
}

// Beat is what an instance tells the others of itself.
type Beat struct {
	Name string
	// Run tells the starts of an instance apart; later ones are higher.
	Run      int64
	Sequence int64
	// Serving is set while the instance takes new connections.
	Serving bool
	// Zone is the availability zone.
	Zone string
	// News is the version of the newest row of an upstream that matters to
	// requests, StoreUnsteady is set while the store fails or has lately.
	News          mirror.Version
	StoreUnsteady bool
	// Uptime is the time since the start.
	Uptime time.Duration
	// Versions are the versions of the mirrored tables by table.
	Versions map[string]mirror.Version
	// Lease is the version of the instance's lease, Surrendered is set when
	// it gives no orders under it.
	Lease       mirror.Version
	Surrendered bool
	// Spent and Left are the units of each workspace. Left is only told while
	// an instance has just started.
	Spent map[route.WorkspaceName]float64
	Left  map[route.WorkspaceName]float64
	// Uses is the work on the upstreams, by upstream and adapter.
	Uses map[pool.Tag]map[pool.Tag]pool.Use
	// Held are the adapters on the upstreams that the instance gives orders to.
	Held map[pool.Tag]Places
	// Loading is the number of adapter loads under way that it ordered.
	Loading int
}

type beatMessage struct {
	mesh.Message
	Name        string           `protobuf:"bytes,1,opt,name=name,proto3"`
	Run         int64            `protobuf:"varint,2,opt,name=run,proto3"`
	Sequence    int64            `protobuf:"varint,3,opt,name=sequence,proto3"`
	Serving     bool             `protobuf:"varint,4,opt,name=serving,proto3"`
	UptimeMs    int64            `protobuf:"varint,5,opt,name=uptime_ms,proto3"`
	Versions    []*countMessage  `protobuf:"bytes,6,rep,name=versions,proto3"`
	Lease       int64            `protobuf:"varint,7,opt,name=lease,proto3"`
	Surrendered bool             `protobuf:"varint,8,opt,name=surrendered,proto3"`
	Spent       []*amountMessage `protobuf:"bytes,9,rep,name=spent,proto3"`
	Uses        []*useMessage    `protobuf:"bytes,10,rep,name=uses,proto3"`
	Held        []*heldMessage   `protobuf:"bytes,11,rep,name=held,proto3"`
	Loading     int64            `protobuf:"varint,12,opt,name=loading,proto3"`
	Left        []*amountMessage `protobuf:"bytes,13,rep,name=left,proto3"`
	Zone        string           `protobuf:"bytes,14,opt,name=zone,proto3"`
	News        int64            `protobuf:"varint,15,opt,name=news,proto3"`
	Unsteady    bool             `protobuf:"varint,16,opt,name=unsteady,proto3"`
}

type countMessage struct {
	mesh.Message
	Name  string `protobuf:"bytes,1,opt,name=name,proto3"`
	Count int64  `protobuf:"varint,2,opt,name=count,proto3"`
}

type amountMessage struct {
	mesh.Message
	Name   string  `protobuf:"bytes,1,opt,name=name,proto3"`
	Amount float64 `protobuf:"fixed64,2,opt,name=amount,proto3"`
}

type useMessage struct {
	mesh.Message
	Upstream uint32 `protobuf:"fixed32,1,opt,name=upstream,proto3"`
	Adapter  uint32 `protobuf:"fixed32,2,opt,name=adapter,proto3"`
	Running  int64  `protobuf:"varint,3,opt,name=running,proto3"`
	Unread   int64  `protobuf:"varint,4,opt,name=unread,proto3"`
	Tokens   int64  `protobuf:"varint,5,opt,name=tokens,proto3"`
}

// heldMessage lists the adapters on an upstream. Versions and ReadyInMs are
// in the order of Adapters.
type heldMessage struct {
	mesh.Message
	Upstream  uint32   `protobuf:"fixed32,1,opt,name=upstream,proto3"`
	Adapters  []uint32 `protobuf:"fixed32,2,rep,packed,name=adapters,proto3"`
	Versions  []int64  `protobuf:"varint,3,rep,packed,name=versions,proto3"`
	ReadyInMs []int64  `protobuf:"varint,4,rep,packed,name=ready_in_ms,proto3"`
	Recent    []uint32 `protobuf:"fixed32,5,rep,packed,name=recent,proto3"`
}

func (b Beat) message() *beatMessage {
	m := &beatMessage{
		Name: b.Name, Run: b.Run, Sequence: b.Sequence, Serving: b.Serving, UptimeMs: b.Uptime.Milliseconds(),
		Lease: int64(b.Lease), Surrendered: b.Surrendered, Loading: int64(b.Loading),
		Zone: b.Zone, News: int64(b.News), Unsteady: b.StoreUnsteady,
	}
	for t, v := range b.Versions {
		m.Versions = append(m.Versions, &countMessage{Name: t, Count: int64(v)})
	}
	m.Spent, m.Left = amounts(b.Spent), amounts(b.Left)
	for id, uses := range b.Uses {
		for a, u := range uses {
			m.Uses = append(m.Uses, &useMessage{
				Upstream: uint32(id), Adapter: uint32(a), Running: int64(u.Running), Unread: int64(u.Unread), Tokens: int64(u.Tokens),
			})
		}
	}
	for id, p := range b.Held {
		x := &heldMessage{Upstream: uint32(id)}
		for a, h := range p.Held {
			x.Adapters = append(x.Adapters, uint32(a))
			x.Versions = append(x.Versions, int64(h.Version))
			x.ReadyInMs = append(x.ReadyInMs, h.ReadyAt.Milliseconds())
		}
		for a := range p.Recent {
			x.Recent = append(x.Recent, uint32(a))
		}
		slices.Sort(x.Recent)
		m.Held = append(m.Held, x)
	}
	return m
}

func amounts(m map[route.WorkspaceName]float64) []*amountMessage {
	var out []*amountMessage
	for n, x := range m {
		out = append(out, &amountMessage{Name: string(n), Amount: x})
	}
	return out
}

func amountMap(l []*amountMessage) map[route.WorkspaceName]float64 {
	out := map[route.WorkspaceName]float64{}
	for _, x := range l {
		out[route.WorkspaceName(x.Name)] = x.Amount
	}
	return out
}

func (m *beatMessage) beat() Beat {
	b := Beat{
		Name: m.Name, Run: m.Run, Sequence: m.Sequence, Serving: m.Serving, Uptime: time.Duration(m.UptimeMs) * time.Millisecond,
		Lease: mirror.Version(m.Lease), Surrendered: m.Surrendered, Loading: int(m.Loading),
		Zone: m.Zone, News: mirror.Version(m.News), StoreUnsteady: m.Unsteady,
		Versions: map[string]mirror.Version{}, Spent: amountMap(m.Spent), Left: amountMap(m.Left),
		Uses: map[pool.Tag]map[pool.Tag]pool.Use{}, Held: map[pool.Tag]Places{},
	}
	for _, v := range m.Versions {
		b.Versions[v.Name] = mirror.Version(v.Count)
	}
	for _, u := range m.Uses {
		id := pool.Tag(u.Upstream)
		if b.Uses[id] == nil {
			b.Uses[id] = map[pool.Tag]pool.Use{}
		}
		b.Uses[id][pool.Tag(u.Adapter)] = pool.Use{Running: int(u.Running), Unread: int(u.Unread), Tokens: int(u.Tokens)}
	}
	for _, h := range m.Held {
		b.Held[pool.Tag(h.Upstream)] = h.places()
	}
	return b
}

func (h *heldMessage) places() Places {
	p := Places{Held: map[pool.Tag]pool.Held{}, Recent: map[pool.Tag]bool{}}
	for i, a := range h.Adapters {
		if i < len(h.Versions) && i < len(h.ReadyInMs) {
			p.Held[pool.Tag(a)] = pool.Held{Version: route.Version(h.Versions[i]), ReadyAt: time.Duration(h.ReadyInMs[i]) * time.Millisecond}
		}
	}
	for _, a := range h.Recent {
		p.Recent[pool.Tag(a)] = true
	}
	return p
}
