// Package allowance limits each workspace to its rate and burst over a fleet whose
// instances report to each other how many units they have admitted.
//
// Load patterns: one workspace sends several times its rate to all instances at once,
// some of which cannot reach each other; a workspace continuously sends more than its rate,
// but no more than rate and burst allow in any window.
package allowance

import (
	"time"
)

// Instance identifies one run of the process of an instance.
type Instance struct {
	Name string
	Run  int64
}

// report is the latest report of another instance.
type report struct {
	// total is the number of units admitted since the process of the instance started.
	total float64
	at    time.Duration
	// rate is the smoothed rate of admitted units, in units per second.
	rate float64
	// stale is set while the report is older than the report timeout.
	stale bool
}

// Plan is what a workspace may use over all instances: in any period of length Window,
// Rate units per second plus Burst units. Without a window it is a plain token bucket.
type Plan struct {
	Rate, Burst float64
	Window      time.Duration
}

// Allowance holds two token buckets from which other instances take units too. The first
// has the rate and burst of the plan. The second holds evenShare of the burst and spreads
// the rest over the window as a higher rate. A request is admitted if either bucket has
// enough units, and is charged to both.
//
// No window gets more than the plan allows: the bucket that admitted the last request of
// a window bounds everything taken since the start of the window.
//
// Instants are those of a clock that does not stop. Allowance is not safe for concurrent
// use.
type Allowance struct {
	plan    Plan
	burst   bucket
	even    bucket
	last    time.Duration
	spent   float64
	reports map[Instance]*report
	// startedAt is the instant at which the allowance was created, members the number of
	// instances in the fleet, including this one.
	startedAt time.Duration
	members   int
	// reportTimeout is the age from which a report is stale.
	reportTimeout time.Duration
	// lastSweep is the instant at which the sums below were last recomputed.
	lastSweep time.Duration
	// staleReports is the number of stale reports.
	staleReports int
	// reportedRate is the sum of the rates of the fresh reports, reportedOffset the sum
	// of each rate times the instant of its report in seconds.
	reportedRate, reportedOffset float64
}

// reportRateSpan is the time over which the rate of a report is smoothed.
const reportRateSpan = 500 * time.Millisecond

// minReportTimeout is the lower bound of the report timeout.
const minReportTimeout = time.Second

// reportRetention is the minimum age at which a report is deleted because its sender is
// assumed to have stopped.
const reportRetention = 10 * time.Second

// sweepInterval is the time between two passes over all reports. A large fleet has
// hundreds of them.
const sweepInterval = 100 * time.Millisecond

// initialBurstShare is the share of the burst that is available after a restart of the
// fleet. It must neither grant a second burst nor reject the usual load.
const initialBurstShare = 0.3

const (
	// startupPeriod is the age up to which an allowance cedes a share of its initial
	// units to members that it learns of.
	startupPeriod = 2 * time.Second
	// minUptime is the uptime from which the first report of an instance is used: over a
	// shorter time its rate cannot be estimated.
	minUptime = 150 * time.Millisecond
)

// evenShare is the share of the burst that the second bucket holds: enough for one of the
// largest requests, so that most of the burst is spread over the window.
const evenShare = 0.25

// New returns an allowance of an instance that has received no reports yet.
func New(p Plan, now time.Duration) *Allowance {
	a := &Allowance{last: now, startedAt: now, members: 1, reports: map[Instance]*report{}, reportTimeout: minReportTimeout}
	a.setPlan(p)
	a.burst.level = initialBurstShare * p.Burst
	a.even.level = a.even.size - (p.Burst - a.burst.level)
	return a
}

// SetPlan changes the plan.
func (a *Allowance) SetPlan(p Plan, now time.Duration) {
	a.refill(now)
	a.setPlan(p)
	a.burst.clamp()
	a.even.clamp()
}

func (a *Allowance) setPlan(p Plan) {
	a.plan = p
	a.burst.rate, a.burst.size = p.Rate, p.Burst
	a.even.rate, a.even.size = p.Rate, p.Burst
	if p.Window > 0 {
		a.even.size = evenShare * p.Burst
		a.even.rate = p.Rate + (p.Burst-a.even.size)/p.Window.Seconds()
	}
}

// SetReportTimeout changes the age from which a report is stale: in a large fleet reports
// are less frequent. The minimum is 1 s.
func (a *Allowance) SetReportTimeout(d time.Duration) {
	a.reportTimeout = max(minReportTimeout, d)
}

// SetMembers sets the number of instances in the fleet. During startup, a fair share of
// the units is left to instances that have not reported yet.
//
// Load pattern: all instances restart while a workspace sends far above its rate, and
// receive each other's reports only seconds later.
func (a *Allowance) SetMembers(n int, now time.Duration) {
	a.refill(now)
	if n > a.members && now-a.startedAt < startupPeriod {
		part := 1 - float64(a.members)/float64(n)
		a.burst.cede(part)
		a.even.cede(part)
	}
	a.members = max(1, n)
}

func (a *Allowance) refill(now time.Duration) {
	if now-a.lastSweep >= sweepInterval {
		a.sweep(now)
	}
	d := (now - a.last).Seconds()
	if d <= 0 {
		return
	}
	a.last = now
	// Units that the others are expected to have taken since their reports are
	// subtracted from the levels only when they are reported, so the buckets are not
	// full until then.
	d *= 1 - a.unreportedShare()
	a.burst.fill(d, a.unreportedUnits(now))
	a.even.fill(d, a.unreportedUnits(now))
}

// take charges units that were admitted here or elsewhere. While the second bucket has
// units, a debt of the first one is cancelled: what the second bucket admits above the
// rate of the plan is within the plan.
func (a *Allowance) take(units float64, now time.Duration) {
	a.burst.level -= units
	a.even.level -= units
	if a.even.level >= a.unreportedUnits(now) {
		a.burst.level = max(0, a.burst.level)
	}
}

// sweep recomputes the sums and deletes the reports of stopped instances. Instances whose
// reports have become stale may use a fair share of the remaining units.
func (a *Allowance) sweep(now time.Duration) {
	a.lastSweep = now
	fresh, expired := len(a.reports)-a.staleReports+1, 0
	a.staleReports, a.reportedRate, a.reportedOffset = 0, 0, 0
	for i, r := range a.reports {
		age := now - r.at
		if age > max(reportRetention, 2*a.reportTimeout) {
			delete(a.reports, i)
			continue
		}
		if !r.stale && age > a.reportTimeout {
			r.stale = true
			expired++
		}
		a.addToSums(r, 1)
	}
	part := float64(expired) / float64(fresh)
	a.burst.cede(part)
	a.even.cede(part)
}

// addToSums adds a report to the sums, or subtracts it if sign is -1.
func (a *Allowance) addToSums(r *report, sign float64) {
	if r.stale {
		a.staleReports += int(sign)
		return
	}
	a.reportedRate += sign * r.rate
	a.reportedOffset += sign * r.rate * r.at.Seconds()
}

// unreportedShare is the share of the rate that is left to instances without a fresh
// report, a fair share for each.
func (a *Allowance) unreportedShare() float64 {
	all := max(a.members, len(a.reports)+1)
	return float64(a.staleReports+all-len(a.reports)-1) / float64(all)
}

// Spent returns the units that this instance has admitted.
func (a *Allowance) Spent() float64 {
	return a.spent
}

// Levels are the remaining units of the two buckets: that with the full burst, and that
// which spreads most of the burst evenly over the window.
type Levels struct {
	Burst, Even float64
}

// Levels returns the remaining units according to all reports.
func (a *Allowance) Levels(now time.Duration) Levels {
	a.refill(now)
	return Levels{Burst: a.burst.level, Even: a.even.level}
}

// SetLevels replaces the levels with those of an instance that has been running for
// longer.
func (a *Allowance) SetLevels(l Levels, now time.Duration) {
	a.refill(now)
	a.burst.level, a.even.level = l.Burst, l.Even
	a.burst.clamp()
	a.even.clamp()
}

// ApplyReport records the total of units that another instance has admitted in the given
// uptime.
func (a *Allowance) ApplyReport(i Instance, total float64, uptime, now time.Duration) {
	a.refill(now)
	r, ok := a.reports[i]
	if !ok {
		a.addInstance(i, total, uptime, now)
		return
	}
	took := total - r.total
	if took < 0 {
		return
	}
	a.addToSums(r, -1)
	if d := (now - r.at).Seconds(); d > 0 {
		w := min(1, d/reportRateSpan.Seconds())
		r.rate += w * (took/d - r.rate)
	}
	r.total, r.at, r.stale = total, now, false
	a.addToSums(r, 1)
	a.take(took, now)
}

// addInstance records the first report of another instance.
func (a *Allowance) addInstance(i Instance, total float64, uptime, now time.Duration) {
	if uptime < minUptime {
		return
	}
	a.removeEarlierRuns(i)
	r := &report{total: total, at: now, rate: total / uptime.Seconds()}
	a.reports[i] = r
	a.addToSums(r, 1)
	// What an older instance admitted is already part of the levels passed to
	// SetLevels, or has been refilled since.
	if uptime <= now-a.startedAt {
		a.take(total, now)
	}
}

// removeEarlierRuns removes the reports of earlier processes of an instance.
func (a *Allowance) removeEarlierRuns(i Instance) {
	for old, r := range a.reports {
		if old.Name == i.Name {
			a.addToSums(r, -1)
			delete(a.reports, old)
		}
	}
}

// unreportedUnits estimates the units that the others have admitted since their last
// reports.
func (a *Allowance) unreportedUnits(now time.Duration) float64 {
	return max(0, a.reportedRate*now.Seconds()-a.reportedOffset)
}

// Take takes units if they are available. Otherwise it returns the time after which they
// may be. A plan without rate and burst is unlimited.
func (a *Allowance) Take(units float64, now time.Duration) (time.Duration, bool) {
	if a.plan.Rate <= 0 && a.plan.Burst <= 0 {
		return 0, true
	}
	a.refill(now)
	owed := units + a.unreportedUnits(now)
	if max(a.burst.level, a.even.level) < owed {
		return min(a.burst.wait(owed), a.even.wait(owed)), false
	}
	a.take(units, now)
	a.spent += units
	return 0, true
}

// State is the input of an admission decision.
type State struct {
	Plan
	// Remaining are the units that may be taken now.
	Remaining float64
	// ReportedRate is the rate of the instances with fresh reports in units per second,
	// StaleReports the number of stale reports.
	ReportedRate float64
	StaleReports int
}

// State returns the state at an instant.
func (a *Allowance) State(now time.Duration) State {
	a.refill(now)
	remaining := max(a.burst.level, a.even.level) - a.unreportedUnits(now)
	return State{Plan: a.plan, Remaining: remaining, ReportedRate: a.reportedRate, StaleReports: a.staleReports}
}

// Refund returns the units of a request that did not run.
func (a *Allowance) Refund(units float64, now time.Duration) {
	a.refill(now)
	a.take(-units, now)
	a.burst.clamp()
	a.even.clamp()
	a.spent -= units
}
