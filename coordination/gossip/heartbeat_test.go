package gossip_test

import (
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/allowance"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
	"gentiangauge.example/gentiangauge/timer"
)

// fullHeartbeat returns a heartbeat with all fields set, of an instance that owns two
// upstreams in a fleet with 16 workspaces.
func fullHeartbeat() gossip.Heartbeat {
	b := gossip.Heartbeat{
		Name: "instance-12", Run: 1_764_800_000_000, Sequence: 1000, Serving: true, Zone: "zone-1", Uptime: time.Minute, Lease: 123_456, ReadsStore: true, StoreConfirmed: true, ListingsDigest: 0xfeed,
		FrontAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Loading: 3,
		Versions: map[pool.Tag]mirror.Version{1: 5000, 2: 5001, 3: 50_002}, Spent: map[pool.Tag]float64{}, Remaining: map[pool.Tag]allowance.Levels{},
		Sent: map[pool.Tag]retry.Count{8: {Requests: 900, Retries: 11}},
	}
	b.Limits = []pool.UpstreamLimit{
		{Upstream: 5, StartedAt: 1_764_800_000_123, Limit: pool.Limit{Rate: 1.7, Revision: 3}}, {Upstream: 6, StartedAt: 1, Limit: pool.Limit{Revision: 4}},
	}
	for i := range 16 {
		b.Spent[pool.NewTag(fmt.Sprint("workspace-", i))] = float64(i) * 1234
		b.Remaining[pool.NewTag(fmt.Sprint("workspace-", i))] = allowance.Levels{Burst: float64(i)*10 - 20.5, Even: float64(i)}
	}
	for i := range 8 {
		b.Work = append(b.Work, pool.Work{
			Upstream: pool.NewTag(fmt.Sprint("upstream-", i)), Adapter: pool.NewTag("a"), Usage: pool.Usage{Running: 1, PrefillTokens: 1800, Tokens: 2400},
		})
	}
	for i := range 2 {
		p := gossip.Placement{
			Upstream: pool.NewTag(fmt.Sprint("upstream-", i)), Claim: 77, Adapters: map[pool.Tag]pool.LoadedAdapter{}, Warm: map[pool.Tag]bool{}, HasWarm: true,
			Busy: pool.Usage{Running: 5, PrefillTokens: 1800, Tokens: 9000}, Running: map[pool.Tag]int{pool.NewTag("held-1"): 2, pool.NewTag("held-4"): 1},
		}
		for j := range 6 {
			p.Adapters[pool.NewTag(fmt.Sprint("held-", j))] = pool.LoadedAdapter{Version: 2, ReadyAt: time.Duration(j) * time.Millisecond}
		}
		for j := range 20 {
			p.Warm[pool.NewTag(fmt.Sprint("recent-", j))] = true
		}
		b.Placements = append(b.Placements, p)
	}
	return b
}

func listen(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, netip.MustParseAddrPort(c.LocalAddr().String())
}

// TestHeartbeatRoundTrip sends heartbeats until one with the warm adapters arrives, and
// compares all of its fields.
func TestHeartbeatRoundTrip(t *testing.T) {
	from, _ := listen(t)
	to, address := listen(t)
	sender := gossip.New("instance-12", from, timer.New(), zap.NewNop())
	sender.Compose = fullHeartbeat
	sender.Addresses = func() (near, far []netip.AddrPort) { return []netip.AddrPort{address}, nil }
	received := make(chan gossip.Heartbeat, 8)
	receiver := gossip.New("instance-1", to, timer.New(), zap.NewNop())
	receiver.OnHeartbeat = func(b gossip.Heartbeat) { received <- b }
	receiver.Compose = fullHeartbeat
	receiver.Addresses = func() (near, far []netip.AddrPort) { return nil, nil }
	go receiver.Run(t.Context())
	for range 8 {
		sender.Send()
		b := <-received
		if !b.Placements[0].HasWarm {
			continue
		}
		want := fullHeartbeat()
		want.Sequence = b.Sequence
		if !reflect.DeepEqual(b, want) {
			t.Errorf("received %+v, want %+v", b, want)
		}
		return
	}
	t.Error("none of 8 heartbeats had the warm adapters")
}

// TestOtherZonesGetFewerHeartbeats counts the heartbeats that a peer in another
// availability zone gets from an instance with many peers.
func TestOtherZonesGetFewerHeartbeats(t *testing.T) {
	const heartbeats, period = 16, 4
	from, _ := listen(t)
	_, near := listen(t)
	far, address := listen(t)
	g := gossip.New("instance-0", from, timer.New(), zap.NewNop())
	g.OnHeartbeat = func(gossip.Heartbeat) {}
	for i := range 100 {
		g.Receive(gossip.Heartbeat{Name: fmt.Sprint("peer-", i), Run: 1, Sequence: 1, Zone: "zone-2"})
	}
	g.Compose = fullHeartbeat
	g.Addresses = func() (n, f []netip.AddrPort) { return []netip.AddrPort{near}, []netip.AddrPort{address} }
	for range heartbeats {
		g.Send()
	}
	const end = "end"
	if _, err := from.WriteToUDPAddrPort([]byte(end), address); err != nil {
		t.Fatal(err)
	}
	got := 0
	buf := make([]byte, 64<<10)
	for {
		n, _, err := far.ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal(err)
		}
		if string(buf[:n]) == end {
			break
		}
		got++
	}
	if got != heartbeats/period {
		t.Errorf("%d of %d heartbeats went to another zone, want %d", got, heartbeats, heartbeats/period)
	}
}

// TestLimitsAreSentToAllInstances announces a limit, which is no heartbeat and goes to far
// instances too.
func TestLimitsAreSentToAllInstances(t *testing.T) {
	from, _ := listen(t)
	sender := gossip.New("instance-12", from, timer.New(), zap.NewNop())
	received := make(chan gossip.Limits, 2)
	var addresses []netip.AddrPort
	for range 2 {
		to, address := listen(t)
		addresses = append(addresses, address)
		r := gossip.New("instance-1", to, timer.New(), zap.NewNop())
		r.OnHeartbeat = func(gossip.Heartbeat) { t.Error("taken for a heartbeat") }
		r.OnLimits = func(l gossip.Limits) { received <- l }
		r.Compose = fullHeartbeat
		r.Addresses = func() (near, far []netip.AddrPort) { return nil, nil }
		go r.Run(t.Context())
	}
	sender.Addresses = func() (near, far []netip.AddrPort) { return addresses[:1], addresses[1:] }
	want := gossip.Limits{Name: "instance-12", Limits: fullHeartbeat().Limits}
	sender.SendLimits(want.Limits)
	for range 2 {
		if l := <-received; !reflect.DeepEqual(l, want) {
			t.Errorf("received %+v, want %+v", l, want)
		}
	}
}
