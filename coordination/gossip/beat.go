package gossip

import (
	"time"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// Beat is what an instance tells the others of itself.
type Beat struct {
	Name string
	// Run tells the starts of an instance apart; later ones are higher.
	Run      int64
	Sequence int64
	// Serving is set while the instance takes new connections.
	Serving bool
	// Uptime is the time since the start.
	Uptime time.Duration
	// Versions are the versions of the mirrored tables by table.
	Versions map[string]mirror.Version
	// Lease is the version of the instance's lease, Surrendered is set when
	// it gives no orders under it.
	Lease       mirror.Version
	Surrendered bool
	// Spent and Left are the units of each workspace.
	Spent map[route.WorkspaceName]float64
	Left  map[route.WorkspaceName]float64
	// Uses is the work on the upstreams.
	Uses map[pool.ID]map[pool.Adapter]pool.Use
	// Held are the adapters on the upstreams that the instance gives orders
	// to. ReadyAt is relative to the beat.
	Held map[pool.ID]map[pool.Adapter]pool.Held
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
	Left        []*amountMessage `protobuf:"bytes,14,rep,name=left,proto3"`
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
	Upstream string `protobuf:"bytes,1,opt,name=upstream,proto3"`
	Model    string `protobuf:"bytes,2,opt,name=model,proto3"`
	Adapter  string `protobuf:"bytes,3,opt,name=adapter,proto3"`
	Running  int64  `protobuf:"varint,4,opt,name=running,proto3"`
	Unread   int64  `protobuf:"varint,5,opt,name=unread,proto3"`
	Tokens   int64  `protobuf:"varint,6,opt,name=tokens,proto3"`
}

// heldMessage is an adapter on an upstream, or an upstream without adapters
// if it names no model.
type heldMessage struct {
	mesh.Message
	Upstream  string `protobuf:"bytes,1,opt,name=upstream,proto3"`
	Model     string `protobuf:"bytes,2,opt,name=model,proto3"`
	Adapter   string `protobuf:"bytes,3,opt,name=adapter,proto3"`
	Version   int64  `protobuf:"varint,4,opt,name=version,proto3"`
	ReadyInMs int64  `protobuf:"varint,5,opt,name=ready_in_ms,proto3"`
}

func (b Beat) message() *beatMessage {
	m := &beatMessage{
		Name: b.Name, Run: b.Run, Sequence: b.Sequence, Serving: b.Serving, UptimeMs: b.Uptime.Milliseconds(),
		Lease: int64(b.Lease), Surrendered: b.Surrendered, Loading: int64(b.Loading),
	}
	for t, v := range b.Versions {
		m.Versions = append(m.Versions, &countMessage{Name: t, Count: int64(v)})
	}
	m.Spent, m.Left = amounts(b.Spent), amounts(b.Left)
	for id, uses := range b.Uses {
		for a, u := range uses {
			m.Uses = append(m.Uses, &useMessage{
				Upstream: string(id), Model: string(a.Model), Adapter: string(a.Name),
				Running: int64(u.Running), Unread: int64(u.Unread), Tokens: int64(u.Tokens),
			})
		}
	}
	for id, held := range b.Held {
		if len(held) == 0 {
			m.Held = append(m.Held, &heldMessage{Upstream: string(id)})
		}
		for a, h := range held {
			m.Held = append(m.Held, &heldMessage{
				Upstream: string(id), Model: string(a.Model), Adapter: string(a.Name),
				Version: int64(h.Version), ReadyInMs: h.ReadyAt.Milliseconds(),
			})
		}
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
		Versions: map[string]mirror.Version{},
		Spent:    amountMap(m.Spent), Left: amountMap(m.Left),
		Uses: map[pool.ID]map[pool.Adapter]pool.Use{}, Held: map[pool.ID]map[pool.Adapter]pool.Held{},
	}
	for _, v := range m.Versions {
		b.Versions[v.Name] = mirror.Version(v.Count)
	}
	for _, u := range m.Uses {
		id := pool.ID(u.Upstream)
		if b.Uses[id] == nil {
			b.Uses[id] = map[pool.Adapter]pool.Use{}
		}
		a := pool.Adapter{Model: route.ModelName(u.Model), Name: route.AdapterName(u.Adapter)}
		b.Uses[id][a] = pool.Use{Running: int(u.Running), Unread: int(u.Unread), Tokens: int(u.Tokens)}
	}
	for _, h := range m.Held {
		id := pool.ID(h.Upstream)
		if b.Held[id] == nil {
			b.Held[id] = map[pool.Adapter]pool.Held{}
		}
		if h.Model == "" {
			continue
		}
		a := pool.Adapter{Model: route.ModelName(h.Model), Name: route.AdapterName(h.Adapter)}
		b.Held[id][a] = pool.Held{Version: route.Version(h.Version), ReadyAt: time.Duration(h.ReadyInMs) * time.Millisecond}
	}
	return b
}
