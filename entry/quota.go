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

// adoptionTime is the uptime up to which an instance adopts the quota levels of an instance that
// has run for longer.
const adoptionTime = time.Second

// quota enforces the plans of the workspaces.
type quota struct {
	mu sync.Mutex
	// window is the time window over which the usage of a workspace is counted.
	window time.Duration
	// plans has the allowances by workspace tag.
	plans   map[pool.Tag]*allowance.Allowance
	adopted bool
	// members is the number of instances in the fleet, including this one.
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

// setMembers changes the number of instances in the fleet.
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

// setPlans applies the plans of a configuration.
func (q *quota) setPlans(t *route.Table, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range t.Workspaces {
		q.allowanceOf(&w, now).SetPlan(q.plan(&w), now)
	}
}

// allowanceOf returns the allowance of a workspace, which it creates if necessary.
func (q *quota) allowanceOf(w *route.Workspace, now time.Duration) *allowance.Allowance {
	t := workspaceTag(w.Name)
	a, ok := q.plans[t]
	if !ok {
		a = allowance.New(q.plan(w), now)
		a.SetMembers(q.members, now)
		q.plans[t] = a
	}
	return a
}

// charge takes units from the allowance of a workspace, or fails with a refusal.
func (q *quota) charge(w *route.Workspace, units float64, now time.Duration) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.allowanceOf(w, now)
	wait, ok := a.Take(units, now)
	if ok {
		return nil
	}
	s := a.State(now)
	return refusal.Limited(wait, "the workspace is over its rate: %.0f of %.0f units left at %.0f a second, others take %.0f, %d of them silent",
		s.Remaining, s.Burst, s.Rate, s.ReportedRate, s.StaleReports)
}

func (q *quota) refund(w *route.Workspace, units float64, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a, ok := q.plans[workspaceTag(w.Name)]; ok {
		a.Refund(units, now)
	}
}

// report returns the units spent and the levels by workspace. A report of a peer counts as
// stale once it is older than reportTimeout.
func (q *quota) report(reportTimeout, now time.Duration) (spent map[pool.Tag]float64, remaining map[pool.Tag]allowance.Levels) {
	q.mu.Lock()
	defer q.mu.Unlock()
	spent, remaining = make(map[pool.Tag]float64, len(q.plans)), make(map[pool.Tag]allowance.Levels, len(q.plans))
	for n, a := range q.plans {
		a.SetReportTimeout(reportTimeout)
		spent[n], remaining[n] = a.Spent(), a.Levels(now)
	}
	return spent, remaining
}

// applyHeartbeat applies the spending of another instance, and adopts its levels if this instance
// has just started.
func (q *quota) applyHeartbeat(b gossip.Heartbeat, uptime, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for n, x := range b.Spent {
		if a, ok := q.plans[n]; ok {
			a.ApplyReport(allowance.Instance{Name: b.Name, Run: b.Run}, x, b.Uptime, now)
		}
	}
	if q.adopted || uptime > adoptionTime || b.Uptime < 2*uptime+adoptionTime || len(q.plans) == 0 {
		return
	}
	q.adopted = true
	for n, x := range b.Remaining {
		if a, ok := q.plans[n]; ok {
			a.SetLevels(x, now)
		}
	}
}
