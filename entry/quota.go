package entry

import (
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/allowance"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

// adoptWithin is the age of an instance in which it takes over the levels of
// one that runs for longer.
const adoptWithin = time.Second

// quota holds the workspaces to their plans.
type quota struct {
	mu sync.Mutex
	// window is the time over which the use of a workspace is counted.
	window time.Duration
	// plans are by the tag of the workspace.
	plans   map[pool.Tag]*allowance.Allowance
	adopted bool
	// members is the number of instances of the fleet, with this one.
	members int
}

func newQuota(window time.Duration) *quota {
	return &quota{members: 1, window: window, plans: map[pool.Tag]*allowance.Allowance{}}
}

func (q *quota) plan(w *route.Workspace) allowance.Plan {
	return allowance.Plan{Rate: w.Rate, Burst: w.Burst, Window: q.window}
}

// setWindow changes the window of all plans.
func (q *quota) setWindow(d, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.window == d {
		return
	}
	q.window = d
	for _, a := range q.plans {
		p := a.State(now).Plan
		p.Window = d
		a.SetPlan(p, now)
	}
}

// setMembers tells of how many instances the fleet is said to consist.
func (q *quota) setMembers(n int, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n == q.members {
		return
	}
	q.members = n
	for _, a := range q.plans {
		a.SetMembers(n, now)
	}
}

func workspaceTag(n route.WorkspaceName) pool.Tag {
	return pool.NewTag(string(n))
}

// setPlans takes over the rates of a configuration.
func (q *quota) setPlans(t *route.Table, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range t.Workspaces {
		q.of(&w, now).SetPlan(q.plan(&w), now)
	}
}

// of returns the allowance of a workspace, a new one at first.
func (q *quota) of(w *route.Workspace, now time.Duration) *allowance.Allowance {
	t := workspaceTag(w.Name)
	a, ok := q.plans[t]
	if !ok {
		a = allowance.New(q.plan(w), now)
		a.SetMembers(q.members, now)
		q.plans[t] = a
	}
	return a
}

// take takes units of a workspace's plan, or refuses the request.
func (q *quota) take(w *route.Workspace, units float64, now time.Duration) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.of(w, now)
	wait, ok := a.Take(units, now)
	if ok {
		return nil
	}
	s := a.State(now)
	return refusal.Limited(wait, "the workspace is over its rate: %.0f of %.0f units left at %.0f a second, others take %.0f, %d of them silent",
		s.Remaining, s.Burst, s.Rate, s.ReportedRate, s.StaleReports)
}

func (q *quota) giveBack(w *route.Workspace, units float64, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a, ok := q.plans[workspaceTag(w.Name)]; ok {
		a.Refund(units, now)
	}
}

// report returns what was let through and what is left, by workspace. Peers
// are silent after the time given.
func (q *quota) report(silence, now time.Duration) (spent map[pool.Tag]float64, left map[pool.Tag]allowance.Levels) {
	q.mu.Lock()
	defer q.mu.Unlock()
	spent, left = make(map[pool.Tag]float64, len(q.plans)), make(map[pool.Tag]allowance.Levels, len(q.plans))
	for n, a := range q.plans {
		a.SetReportTimeout(silence)
		spent[n], left[n] = a.Spent(), a.Levels(now)
	}
	return spent, left
}

// heard takes over what another instance has let through, and its levels if
// this one has just started.
func (q *quota) heard(b gossip.Heartbeat, uptime, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for n, x := range b.Spent {
		if a, ok := q.plans[n]; ok {
			a.ApplyReport(allowance.Instance{Name: b.Name, Run: b.Run}, x, b.Uptime, now)
		}
	}
	if q.adopted || uptime > adoptWithin || b.Uptime < 2*uptime+adoptWithin || len(q.plans) == 0 {
		return
	}
	q.adopted = true
	for n, x := range b.Remaining {
		if a, ok := q.plans[n]; ok {
			a.SetLevels(x, now)
		}
	}
}
