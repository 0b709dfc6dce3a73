package entry

import (
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/state/allowance"
	"gentiangauge.example/gentiangauge/state/route"
)

// adoptWithin is the age of an instance in which it takes over the levels of
// one that runs for longer.
const adoptWithin = time.Second

// quota holds the workspaces to their plans.
type quota struct {
	mu      sync.Mutex
	plans   map[route.WorkspaceName]*allowance.Allowance
	adopted bool
}

func newQuota() *quota {
	return &quota{plans: map[route.WorkspaceName]*allowance.Allowance{}}
}

// setPlans takes over the rates of a configuration.
func (q *quota) setPlans(t *route.Table, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range t.Workspaces {
		if a, ok := q.plans[w.Name]; ok {
			a.SetPlan(w.Rate, w.Burst, now)
			continue
		}
		q.plans[w.Name] = allowance.New(w.Rate, w.Burst, now)
	}
}

func (q *quota) take(w *route.Workspace, units float64, now time.Duration) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a, ok := q.plans[w.Name]
	if !ok {
		a = allowance.New(w.Rate, w.Burst, now)
		q.plans[w.Name] = a
	}
	return a.Take(units, now)
}

func (q *quota) giveBack(w *route.Workspace, units float64, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a, ok := q.plans[w.Name]; ok {
		a.Return(units, now)
	}
}

// report returns what was let through and what is left, by workspace.
func (q *quota) report(now time.Duration) (spent, left map[route.WorkspaceName]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	spent, left = map[route.WorkspaceName]float64{}, map[route.WorkspaceName]float64{}
	for n, a := range q.plans {
		spent[n], left[n] = a.Spent(), a.Level(now)
	}
	return spent, left
}

// heard takes over what another instance has let through, and its levels if
// this one has just started.
func (q *quota) heard(b gossip.Beat, uptime, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for n, x := range b.Spent {
		if a, ok := q.plans[n]; ok {
			a.Heard(allowance.Instance{Name: b.Name, Run: b.Run}, x, now)
		}
	}
	if q.adopted || uptime > adoptWithin || b.Uptime < 2*uptime+adoptWithin || len(q.plans) == 0 {
		return
	}
	q.adopted = true
	for n, x := range b.Left {
		if a, ok := q.plans[n]; ok {
			a.Adopt(x, now)
		}
	}
}
