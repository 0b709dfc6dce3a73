package gossip_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/timer"
)

// maxDatagram is the size in bytes that the loopback interface always accepts.
const maxDatagram = 32 << 10

// FuzzDatagram sends arbitrary bytes to an instance, which must still receive the next
// heartbeat.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("no beat"))
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{0x0a, 0x01, 'x', 0x72, 0x03, 1, 2, 3, 0x7a, 0x02, 0xff, 0x01})
	// A report with fewer numbers than upstreams, and a placement with a truncated list.
	f.Add([]byte{0x0a, 0x01, 'x', 0xe8, 0x01, 0x01, 0x9a, 0x01, 0x08, 1, 0, 0, 0, 2, 0, 0, 0})
	f.Add([]byte{0xc2, 0x01, 0x03, 0x1a, 0x01, 0x07})
	c, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	received := make(chan int64, 1024)
	t := timer.New()
	receiver, to := listen(f)
	g := gossip.New("receiver", receiver, t, zap.NewNop())
	g.Compose, g.Addresses = func() gossip.Heartbeat { return gossip.Heartbeat{} }, func() (near, far []netip.AddrPort) { return nil, nil }
	g.OnHeartbeat = func(b gossip.Heartbeat) {
		if b.Name == "sender" {
			received <- b.Sequence
		}
	}
	g.OnReport = func(gossip.Report) {}
	go g.Run(c)
	conn, _ := listen(f)
	s := gossip.New("sender", conn, t, zap.NewNop())
	s.Compose = func() gossip.Heartbeat { return gossip.Heartbeat{Run: 1, Work: []pool.Work{{Upstream: 1}}} }
	s.Addresses = func() (near, far []netip.AddrPort) { return []netip.AddrPort{to}, nil }
	f.Fuzz(func(t *testing.T, data []byte) {
		data = data[:min(len(data), maxDatagram)]
		if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
			t.Fatal(err)
		}
		// Datagrams may be lost, so heartbeats are sent until one arrives.
		for range 100 {
			s.Send()
			select {
			case <-received:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		t.Fatal("no heartbeat arrived after the datagram")
	})
}
