package entry

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
)

// streamsTable holds the records of streams. It is read only as a stream is taken up.
const streamsTable = "streams"

// newStreams creates the registry of streams.
func (e *Entry) newStreams(log *zap.Logger) {
	e.streams = streams.New(fmt.Sprint(e.Name, ".", e.run), streams.Services{
		Timer: e.timer, Log: log, Lifetimes: e.streamLifetimes, Store: e.Store, FleetTable: ownership.FleetTable, RecordTable: streamsTable,
		Serving: func(s route.ServiceName) map[software.Version]int { return e.pool.Serving(s, e.timer.Boot()) },
		Ready:   e.Ready, Responsible: func() bool { return e.coordinator(streams.SplitPrefix) == e.Name },
		SplitAge:       func() time.Duration { return e.freshness[ownership.FleetTable].State(e.timer.Boot()).Age },
		PeerCount:      func() int { return int(e.peers.Load()) },
		StoreReachable: func() bool { return !e.feeds[e.Tables.Upstreams].Contact().Unstable(e.timer.Boot()) },
	})
	e.Store.OnTime = e.streams.ObserveStoreTime
}

// streamLifetimes returns, for each service that resumable streams are routed to, the longest timeout of
// their routes.
func (e *Entry) streamLifetimes() map[route.ServiceName]time.Duration {
	t := e.table.Load()
	if t == nil {
		return nil
	}
	return t.StreamTimeouts()
}
