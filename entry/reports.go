package entry

import (
	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/pool"
)

// reportKey is the key for the work that an instance reports to owners, as opposed to the work in
// its heartbeats.
func reportKey(name string) string { return "report/" + name }

// liveOwner returns the live owner of an upstream, if it sends orders.
func (e *Entry) liveOwner(u pool.Upstream) (string, bool) {
	if !e.isEngine(u) || !e.hasOwner(u.ID) {
		return "", false
	}
	return e.ownership.Owner(u.ID)
}

// sendReports reports the work of this instance to the owners of the engines.
func (e *Entry) sendReports() {
	for o, r := range e.usageReports.Due(e.pool.LocalWork(e.liveOwner), e.timer.Boot()) {
		if m, ok := e.members.get(o); ok && o != e.Name {
			e.gossip.SendReport(gossip.Report{Run: e.run, Sequence: r.Sequence, Work: r.Work}, m.peer)
		}
	}
}

// onReport applies the report of an instance about its work on engines of this owner.
func (e *Entry) onReport(r gossip.Report) {
	e.usageReports.Received(r.Name, e.timer.Boot())
	e.pool.SetPeer(reportKey(r.Name), r.Work)
}

// expectRequest counts a request of another instance until the next report of that instance.
func (e *Entry) expectRequest(q *loadRequest) {
	if q.From == "" || q.From == e.Name {
		return
	}
	e.usageReports.Received(q.From, e.timer.Boot())
	e.pool.AddPeer(reportKey(q.From), pool.Work{
		Upstream: pool.ID(q.Upstream).Tag(), Adapter: q.adapter().Tag(),
		Usage: pool.Usage{Running: 1, PrefillTokens: int(q.Unread), Tokens: int(q.Tokens)},
	})
}

// unownedWork returns the work on upstreams without a live owner, which is sent to all instances
// in heartbeats.
func (e *Entry) unownedWork() []pool.Work {
	w := e.pool.LocalWork(func(u pool.Upstream) (string, bool) {
		_, owned := e.liveOwner(u)
		return "", !owned
	})
	return w[""]
}
