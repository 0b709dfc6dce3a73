package entry

import (
	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/pool"
)

// reportKey names the work that an instance reported, beside that of its beats.
func reportKey(name string) string { return "report/" + name }

// ownerFor returns the living owner of an upstream, if it takes orders.
func (e *Entry) ownerFor(u pool.Upstream) (string, bool) {
	if _, ok := e.engine(u.Service); !ok || !e.orderable(u.ID) {
		return "", false
	}
	return e.ownership.Owner(u.ID)
}

// report tells the owners of engines what this instance has on them.
func (e *Entry) report() {
	for o, r := range e.reporter.Due(e.pool.LocalWork(e.ownerFor), e.timer.Boot()) {
		if m, ok := e.members.get(o); ok && o != e.Name {
			e.gossip.SendReport(gossip.Report{Run: e.run, Sequence: r.Sequence, Work: r.Work}, m.peer)
		}
	}
}

// reported takes over what an instance has on the engines of this one.
func (e *Entry) reported(r gossip.Report) {
	e.reporter.Received(r.Name, e.timer.Boot())
	e.pool.SetPeer(reportKey(r.Name), r.Work)
}

// expect counts a request of another instance until its next report.
func (e *Entry) expect(q *loadQuery) {
	if q.From == "" || q.From == e.Name {
		return
	}
	e.reporter.Received(q.From, e.timer.Boot())
	e.pool.AddPeer(reportKey(q.From), pool.Work{
		Upstream: pool.ID(q.Upstream).Tag(), Adapter: q.adapter().Tag(),
		Usage: pool.Usage{Running: 1, PrefillTokens: int(q.Unread), Tokens: int(q.Tokens)},
	})
}

// unowned is work on upstreams that have no living owner, which all instances
// are told of in beats.
func (e *Entry) unowned() []pool.Work {
	w := e.pool.LocalWork(func(u pool.Upstream) (string, bool) {
		_, owned := e.ownerFor(u)
		return "", !owned
	})
	return w[""]
}
