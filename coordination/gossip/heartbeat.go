package gossip

import (
	"math"
	"slices"
	"time"

	"gentiangauge.example/gentiangauge/state/allowance"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// Placement is the state of one upstream that the instance gives orders to.
type Placement struct {
	Upstream pool.Tag
	// Claim is the version of the claim row of the upstream.
	Claim mirror.Version
	// Adapters are the adapters on the upstream and those being loaded. ReadyAt is
	// relative to the time of the heartbeat, and 0 for loaded adapters.
	Adapters map[pool.Tag]pool.LoadedAdapter
	// Warm are the adapters that the upstream loads faster. They are sent with some
	// heartbeats only; HasWarm is set in those.
	Warm    map[pool.Tag]bool
	HasWarm bool
	// Busy is the work of all instances on the upstream, and Running the number of
	// running requests by adapter.
	Busy    pool.Usage
	Running map[pool.Tag]int
}

// Heartbeat is the state that an instance advertises to the others.
type Heartbeat struct {
	Name string
	// Run distinguishes the starts of an instance; later ones are higher.
	Run      int64
	Sequence int64
	// Serving is set while the instance accepts new connections.
	Serving bool
	// Zone is the availability zone.
	Zone string
	// FrontAddress and PeerAddress are set only by an instance that has just started,
	// as the others may not have read them from the store yet.
	FrontAddress string
	PeerAddress  string
	// StoreUnstable is set while calls to the store fail, and for a while afterwards.
	// ReadsStore is set while the instance reads the tables of the store.
	// StoreConfirmed is set once it has read them for long enough to rule out that the
	// store was unavailable lately.
	StoreUnstable  bool
	ReadsStore     bool
	StoreConfirmed bool
	// Uptime is the time since the start.
	Uptime time.Duration
	// Versions are the versions of the mirrored tables, by the tag of the table.
	Versions map[pool.Tag]mirror.Version
	// ListingsDigest is a digest of the list of upstreams at the version in Versions.
	ListingsDigest uint64
	// Configuration is the version of the configuration in force, or 0 if there is none.
	Configuration route.Version
	// Lease is the version of the instance's lease. Surrendered is set if the instance
	// gives no orders under it.
	Lease       mirror.Version
	Surrendered bool
	// Spent and Remaining are the quota units of each workspace, by its tag. Spent is
	// rounded to whole units. Remaining is sent only while some instance has just
	// started.
	Spent     map[pool.Tag]float64
	Remaining map[pool.Tag]allowance.Levels
	// Sent counts the requests and retries sent to each service, by its tag.
	Sent map[pool.Tag]retry.Count
	// Work is the instance's work on upstreams without a live owner. Work on others is
	// reported to their owners.
	Work []pool.Work
	// Placements are the upstreams that the instance gives orders to.
	Placements []Placement
	// Loading is the number of adapter loads in progress that the instance ordered.
	Loading int
	// Limits are the rate limits of upstreams, in force or ended lately.
	Limits []pool.UpstreamLimit
	// Suspicions is an encoded announcement of package suspect, or empty.
	Suspicions []byte
	// Stranded is set while the instance is cut off from most upstreams.
	Stranded bool
}

// heartbeatMessage is a heartbeat on the wire. It has parallel lists of numbers instead
// of lists of messages, which are cheaper to decode: each instance receives a hundred
// heartbeats a second. Its fields are named after those on the wire; Heartbeat documents
// them.
type heartbeatMessage struct {
	mesh.Message
	Name        string `protobuf:"bytes,1,opt,name=name,proto3"`
	Run         int64  `protobuf:"varint,2,opt,name=run,proto3"`
	Sequence    int64  `protobuf:"varint,3,opt,name=sequence,proto3"`
	Serving     bool   `protobuf:"varint,4,opt,name=serving,proto3"`
	UptimeMs    int64  `protobuf:"varint,5,opt,name=uptime_ms,proto3"`
	Lease       int64  `protobuf:"varint,6,opt,name=lease,proto3"`
	Surrendered bool   `protobuf:"varint,7,opt,name=surrendered,proto3"`
	Loading     int64  `protobuf:"varint,8,opt,name=loading,proto3"`
	Zone        string `protobuf:"bytes,9,opt,name=zone,proto3"`
	Unsteady    bool   `protobuf:"varint,11,opt,name=unsteady,proto3"`
	Reading     bool   `protobuf:"varint,30,opt,name=reading,proto3"`
	Front       string `protobuf:"bytes,12,opt,name=front,proto3"`
	Peer        string `protobuf:"bytes,13,opt,name=peer,proto3"`
	Vouching    bool   `protobuf:"varint,32,opt,name=vouching,proto3"`
	Listings    uint64 `protobuf:"fixed64,31,opt,name=listings,proto3"`
	// Versions is in the order of Tables; Spent, Left and LeftEven are in the order of
	// Workspaces.
	Tables     []uint32  `protobuf:"fixed32,14,rep,packed,name=tables,proto3"`
	Versions   []int64   `protobuf:"varint,15,rep,packed,name=versions,proto3"`
	Workspaces []uint32  `protobuf:"fixed32,16,rep,packed,name=workspaces,proto3"`
	Spent      []int64   `protobuf:"varint,17,rep,packed,name=spent,proto3"`
	Left       []float64 `protobuf:"fixed64,18,rep,packed,name=left,proto3"`
	LeftEven   []float64 `protobuf:"fixed64,25,rep,packed,name=left_even,proto3"`
	// Requests and Retries are in the order of Services.
	Services []uint32 `protobuf:"fixed32,26,rep,packed,name=services,proto3"`
	Requests []int64  `protobuf:"varint,27,rep,packed,name=requests,proto3"`
	Retries  []int64  `protobuf:"varint,28,rep,packed,name=retries,proto3"`
	// Report is set in a report, which has only a name, a run, a sequence and work.
	Report bool `protobuf:"varint,29,opt,name=report,proto3"`
	// The lists of work are in the order of WorkUpstreams.
	WorkUpstreams []uint32            `protobuf:"fixed32,19,rep,packed,name=work_upstreams,proto3"`
	WorkAdapters  []uint32            `protobuf:"fixed32,20,rep,packed,name=work_adapters,proto3"`
	WorkRunning   []int64             `protobuf:"varint,21,rep,packed,name=work_running,proto3"`
	WorkUnread    []int64             `protobuf:"varint,22,rep,packed,name=work_unread,proto3"`
	WorkTokens    []int64             `protobuf:"varint,23,rep,packed,name=work_tokens,proto3"`
	Places        []*placementMessage `protobuf:"bytes,24,rep,name=places,proto3"`
	// LimitStarts, LimitRates and LimitRevisions are in the order of LimitUpstreams.
	LimitUpstreams []uint32  `protobuf:"fixed32,33,rep,packed,name=limit_upstreams,proto3"`
	LimitStarts    []int64   `protobuf:"varint,34,rep,packed,name=limit_starts,proto3"`
	LimitRates     []float64 `protobuf:"fixed64,35,rep,packed,name=limit_rates,proto3"`
	LimitRevisions []int64   `protobuf:"varint,36,rep,packed,name=limit_revisions,proto3"`
	// BrittleUpstreams are those of LimitUpstreams that are brittle.
	BrittleUpstreams []uint32 `protobuf:"fixed32,42,rep,packed,name=brittle_upstreams,proto3"`
	// LimitsOnly marks a message that is no heartbeat and carries only limits.
	LimitsOnly bool `protobuf:"varint,37,opt,name=limits_only,proto3"`
	// Suspicions is an announcement of package suspect; SuspicionsOnly marks a message that
	// carries nothing else.
	Suspicions     []byte `protobuf:"bytes,38,opt,name=suspicions,proto3"`
	SuspicionsOnly bool   `protobuf:"varint,39,opt,name=suspicions_only,proto3"`
	Configuration  int64  `protobuf:"varint,40,opt,name=configuration,proto3"`
	Stranded       bool   `protobuf:"varint,41,opt,name=stranded,proto3"`
}

// placementMessage is a Placement on the wire. Versions, ReadyInMs and Running are in
// the order of Adapters.
type placementMessage struct {
	mesh.Message
	Upstream   uint32   `protobuf:"fixed32,1,opt,name=upstream,proto3"`
	Claim      int64    `protobuf:"varint,2,opt,name=claim,proto3"`
	Adapters   []uint32 `protobuf:"fixed32,3,rep,packed,name=adapters,proto3"`
	Versions   []int64  `protobuf:"varint,4,rep,packed,name=versions,proto3"`
	ReadyInMs  []int64  `protobuf:"varint,5,rep,packed,name=ready_in_ms,proto3"`
	Recent     []uint32 `protobuf:"fixed32,6,rep,packed,name=recent,proto3"`
	RecentTold bool     `protobuf:"varint,7,opt,name=recent_told,proto3"`
	BusyUnread int64    `protobuf:"varint,8,opt,name=busy_unread,proto3"`
	BusyTokens int64    `protobuf:"varint,9,opt,name=busy_tokens,proto3"`
	// Other is the number of running requests that Running does not count.
	Running []int64 `protobuf:"varint,10,rep,packed,name=running,proto3"`
	Other   int64   `protobuf:"varint,11,opt,name=other,proto3"`
}

func (b Heartbeat) message() *heartbeatMessage {
	m := &heartbeatMessage{
		Name: b.Name, Run: b.Run, Sequence: b.Sequence, Serving: b.Serving, UptimeMs: b.Uptime.Milliseconds(),
		Lease: int64(b.Lease), Surrendered: b.Surrendered, Loading: int64(b.Loading),
		Zone: b.Zone, Unsteady: b.StoreUnstable, Reading: b.ReadsStore, Vouching: b.StoreConfirmed, Front: b.FrontAddress, Peer: b.PeerAddress, Listings: b.ListingsDigest,
		Suspicions: b.Suspicions, Configuration: int64(b.Configuration), Stranded: b.Stranded,
	}
	for t, v := range b.Versions {
		m.Tables, m.Versions = append(m.Tables, uint32(t)), append(m.Versions, int64(v))
	}
	for w, x := range b.Spent {
		m.Workspaces, m.Spent = append(m.Workspaces, uint32(w)), append(m.Spent, int64(math.Round(x)))
		if b.Remaining != nil {
			m.Left, m.LeftEven = append(m.Left, b.Remaining[w].Burst), append(m.LeftEven, b.Remaining[w].Even)
		}
	}
	for n, x := range b.Sent {
		m.Services = append(m.Services, uint32(n))
		m.Requests, m.Retries = append(m.Requests, int64(x.Requests)), append(m.Retries, int64(x.Retries))
	}
	for _, w := range b.Work {
		m.WorkUpstreams, m.WorkAdapters = append(m.WorkUpstreams, uint32(w.Upstream)), append(m.WorkAdapters, uint32(w.Adapter))
		m.WorkRunning, m.WorkUnread = append(m.WorkRunning, int64(w.Running)), append(m.WorkUnread, int64(w.PrefillTokens))
		m.WorkTokens = append(m.WorkTokens, int64(w.Tokens))
	}
	for _, p := range b.Placements {
		m.Places = append(m.Places, p.message())
	}
	for _, l := range b.Limits {
		m.LimitUpstreams, m.LimitStarts = append(m.LimitUpstreams, uint32(l.Upstream)), append(m.LimitStarts, l.StartedAt)
		m.LimitRates, m.LimitRevisions = append(m.LimitRates, float64(l.Rate)), append(m.LimitRevisions, l.Revision)
		if l.Brittle {
			m.BrittleUpstreams = append(m.BrittleUpstreams, uint32(l.Upstream))
		}
	}
	return m
}

func (p Placement) message() *placementMessage {
	m := &placementMessage{
		Upstream: uint32(p.Upstream), Claim: int64(p.Claim), RecentTold: p.HasWarm,
		BusyUnread: int64(p.Busy.PrefillTokens), BusyTokens: int64(p.Busy.Tokens), Other: int64(p.Busy.Running),
	}
	for a, h := range p.Adapters {
		m.Adapters = append(m.Adapters, uint32(a))
		m.Versions = append(m.Versions, int64(h.Version))
		m.ReadyInMs = append(m.ReadyInMs, h.ReadyAt.Milliseconds())
		m.Running = append(m.Running, int64(p.Running[a]))
		m.Other -= int64(p.Running[a])
	}
	if p.HasWarm {
		for a := range p.Warm {
			m.Recent = append(m.Recent, uint32(a))
		}
	}
	return m
}

func (m *heartbeatMessage) heartbeat() Heartbeat {
	b := Heartbeat{
		Name: m.Name, Run: m.Run, Sequence: m.Sequence, Serving: m.Serving, Uptime: time.Duration(m.UptimeMs) * time.Millisecond,
		Lease: mirror.Version(m.Lease), Surrendered: m.Surrendered, Loading: int(m.Loading),
		Zone: m.Zone, StoreUnstable: m.Unsteady, ReadsStore: m.Reading, StoreConfirmed: m.Vouching, FrontAddress: m.Front, PeerAddress: m.Peer, ListingsDigest: m.Listings, Suspicions: m.Suspicions, Configuration: route.Version(m.Configuration), Stranded: m.Stranded,
		Versions: map[pool.Tag]mirror.Version{}, Spent: map[pool.Tag]float64{}, Sent: map[pool.Tag]retry.Count{},
	}
	for i := range min(len(m.Tables), len(m.Versions)) {
		b.Versions[pool.Tag(m.Tables[i])] = mirror.Version(m.Versions[i])
	}
	for i := range min(len(m.Workspaces), len(m.Spent)) {
		b.Spent[pool.Tag(m.Workspaces[i])] = float64(m.Spent[i])
	}
	if n := min(len(m.Workspaces), len(m.Left), len(m.LeftEven)); n > 0 {
		b.Remaining = map[pool.Tag]allowance.Levels{}
		for i := range n {
			b.Remaining[pool.Tag(m.Workspaces[i])] = allowance.Levels{Burst: m.Left[i], Even: m.LeftEven[i]}
		}
	}
	for i := range min(len(m.Services), len(m.Requests), len(m.Retries)) {
		b.Sent[pool.Tag(m.Services[i])] = retry.Count{Requests: float64(m.Requests[i]), Retries: float64(m.Retries[i])}
	}
	for i := range min(len(m.WorkUpstreams), len(m.WorkAdapters), len(m.WorkRunning), len(m.WorkUnread), len(m.WorkTokens)) {
		b.Work = append(b.Work, pool.Work{
			Upstream: pool.Tag(m.WorkUpstreams[i]), Adapter: pool.Tag(m.WorkAdapters[i]),
			Usage: pool.Usage{Running: int(m.WorkRunning[i]), PrefillTokens: int(m.WorkUnread[i]), Tokens: int(m.WorkTokens[i])},
		})
	}
	for _, p := range m.Places {
		b.Placements = append(b.Placements, p.placement())
	}
	for i := range min(len(m.LimitUpstreams), len(m.LimitStarts), len(m.LimitRates), len(m.LimitRevisions)) {
		b.Limits = append(b.Limits, pool.UpstreamLimit{
			Upstream: pool.Tag(m.LimitUpstreams[i]), StartedAt: m.LimitStarts[i],
			Limit: pool.Limit{
				Rate: pool.RequestsPerSecond(m.LimitRates[i]), Brittle: slices.Contains(m.BrittleUpstreams, m.LimitUpstreams[i]), Revision: m.LimitRevisions[i],
			},
		})
	}
	return b
}

func (m *placementMessage) placement() Placement {
	p := Placement{
		Upstream: pool.Tag(m.Upstream), Claim: mirror.Version(m.Claim), HasWarm: m.RecentTold,
		Adapters: map[pool.Tag]pool.LoadedAdapter{}, Running: map[pool.Tag]int{},
		Busy: pool.Usage{Running: int(m.Other), PrefillTokens: int(m.BusyUnread), Tokens: int(m.BusyTokens)},
	}
	for i := range min(len(m.Adapters), len(m.Running)) {
		p.Busy.Running += int(m.Running[i])
		if m.Running[i] > 0 {
			p.Running[pool.Tag(m.Adapters[i])] = int(m.Running[i])
		}
	}
	for i := range min(len(m.Adapters), len(m.Versions), len(m.ReadyInMs)) {
		p.Adapters[pool.Tag(m.Adapters[i])] = pool.LoadedAdapter{
			Version: route.Version(m.Versions[i]), ReadyAt: time.Duration(m.ReadyInMs[i]) * time.Millisecond,
		}
	}
	if m.RecentTold {
		p.Warm = map[pool.Tag]bool{}
		for _, a := range m.Recent {
			p.Warm[pool.Tag(a)] = true
		}
	}
	return p
}
