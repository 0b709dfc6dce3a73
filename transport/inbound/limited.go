package inbound

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/shedding"
)

const (
	// logInterval is the time between two log lines about the limits of a door.
	logInterval = time.Second
	// maxAddresses bounds the client addresses that are counted between two log lines.
	maxAddresses = 256
)

// limited counts the connections that were limited since the last log line, by client address.
type limited struct {
	mu        sync.Mutex
	loggedAt  time.Duration
	logged    bool
	events    map[string]int64
	addresses map[netip.Addr]int64
}

func newLimited() *limited {
	return &limited{events: map[string]int64{}, addresses: map[netip.Addr]int64{}}
}

// note counts an event, and logs all of an interval in one line.
func (x *limited) note(s Services, d shedding.Door, event string, client net.Addr) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events[event]++
	if a, ok := client.(*net.TCPAddr); ok {
		if ip := a.AddrPort().Addr(); len(x.addresses) < maxAddresses || x.addresses[ip] > 0 {
			x.addresses[ip]++
		}
	}
	now := s.Timer.Boot()
	if x.logged && now-x.loggedAt < logInterval {
		return
	}
	most, times := x.mostLimited()
	status := s.Account.Status()
	s.Log.Warn("connections limited", zap.Stringer("door", d), zap.Any("events", x.events), zap.Int("open", status.Open[d]),
		zap.Int("bound", status.Limits.Connections[d]), zap.Int64("held-bytes", int64(status.Held[shedding.Requests])),
		zap.Int64("held-bound", int64(status.Limits.Held[shedding.Requests])), zap.String("most-limited", most), zap.Int64("times", times))
	x.logged, x.loggedAt = true, now
	clear(x.events)
	clear(x.addresses)
}

// mostLimited returns the client address that was limited most often.
func (x *limited) mostLimited() (address string, times int64) {
	for a, n := range x.addresses {
		if n > times {
			address, times = a.String(), n
		}
	}
	return address, times
}
