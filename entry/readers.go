package entry

import (
	"time"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/reader"
)

// readsUpstreams reports whether this instance reads the list of upstreams
// now.
func (e *Entry) readsUpstreams(idle time.Duration) bool {
	now := e.timer.Boot()
	near, _ := e.gossip.Silence()
	live := e.gossip.Live(now)
	peers := make([]reader.Peer, 0, len(live))
	for _, p := range live {
		peers = append(peers, reader.Peer{
			Name: p.Name, Zone: p.Zone, News: p.News, Reads: p.Serving && !p.StoreUnsteady, Fresh: now-p.At < near/2,
		})
	}
	return reader.Due(reader.Self{Name: e.Name, Zone: e.Zone, News: mirror.Version(e.news.Load()), Idle: idle}, peers)
}

// noteNews notes that a row matters to requests.
func (e *Entry) noteNews(v mirror.Version) {
	for {
		old := e.news.Load()
		if int64(v) <= old || e.news.CompareAndSwap(old, int64(v)) {
			return
		}
	}
}

// peersUnsteady reports whether a peer, which may read the list for this
// instance, has lately found that the store fails.
func (e *Entry) peersUnsteady(now time.Duration) bool {
	at := e.unsteady.Load()
	return reader.Large(int(e.peers.Load())) && at != 0 && now-time.Duration(at) < steadyTime
}
