// Package allowance holds a workspace to its rate and burst over a fleet
// whose instances tell each other what they have let through.
//
// Load patterns: one workspace sends several times its rate to all instances
// at once, some of which cannot hear each other; a workspace sends steadily
// more than its rate, but no more than rate and burst allow in any window.
package allowance

import (
	"time"
)

// Instance names an instance and one run of its process.
type Instance struct {
	Name string
	Run  int64
}

// report is what another instance has let through since its process began.
type report struct {
	total float64
	at    time.Duration
	// rate is the units a second between the last two reports.
	rate float64
	// silent is set while the sender counts as cut off.
	silent bool
}

// Plan is what a workspace may use over all instances: in any time of the
// length Window, Rate units a second and Burst more. Without a window it is a
// token bucket.
type Plan struct {
	Rate, Burst float64
	Window      time.Duration
}

// Allowance holds two token buckets of which other instances take too. The
// first has the plan's rate and burst. The second has evenShare of the burst
// and spreads the rest over the window as a higher rate. A request passes if
// either bucket has its units left, and is taken from both.
//
// No window gets more than the plan allows: the bucket that passed the last
// request of a window bounds all that was taken since the window's start.
//
// Instants are those of a clock that does not stop. It is not safe for
// concurrent use.
type Allowance struct {
	plan    Plan
	burst   bucket
	even    bucket
	last    time.Duration
	spent   float64
	reports map[Instance]*report
	// began is the instant of the start, members the number of instances of
	// which the fleet is said to consist, with this one.
	began   time.Duration
	members int
	// silence is the age of a report from which its sender counts as cut off.
	silence time.Duration
	// swept is the instant at which the sums below were last counted anew.
	swept time.Duration
	// silent counts the reports of instances that count as cut off.
	silent int
	// heardRate is the sum of the rates of the others, and heardOffset that of
	// each rate times the instant of its report in seconds.
	heardRate, heardOffset float64
}

// reportRateSpan is the time over which the rate of reports is smoothed.
const reportRateSpan = 500 * time.Millisecond

// minSilence is the least age of a report from which its sender counts as cut
// off.
const minSilence = time.Second

// forgetAfter is the least age of a report from which its sender counts as
// ended.
const forgetAfter = 10 * time.Second

// sweepEvery is the time between two looks at all reports, of which a large
// fleet has hundreds.
const sweepEvery = 100 * time.Millisecond

// startShare is the part of the burst that a fleet begins with which starts
// again. It must grant no second burst, and must not refuse the usual load either.
const startShare = 0.3

const (
	// startTime is the age up to which an allowance leaves the members that it
	// gets to know of their part of what it began with.
	startTime = 2 * time.Second
	// minUptime is the age from which on the use of another instance is
	// believed: before, it says little of its rate.
	minUptime = 150 * time.Millisecond
)

// evenShare is the part of the burst that the second bucket holds: enough for
// one of the largest requests, so that most of the burst is spread.
const evenShare = 0.25

// New returns an allowance of an instance that has heard nothing yet.
func New(p Plan, now time.Duration) *Allowance {
	a := &Allowance{last: now, began: now, members: 1, reports: map[Instance]*report{}, silence: minSilence}
	a.setPlan(p)
	a.burst.level = startShare * p.Burst
	a.even.level = a.even.size - (p.Burst - a.burst.level)
	return a
}

// SetPlan changes the plan.
func (a *Allowance) SetPlan(p Plan, now time.Duration) {
	a.refill(now)
	a.setPlan(p)
	a.burst.bound()
	a.even.bound()
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

// SetReportTimeout changes the age of a report from which its sender counts as cut
// off: in a large fleet reports come less often.
func (a *Allowance) SetReportTimeout(d time.Duration) {
	a.silence = max(minSilence, d)
}

// SetMembers tells of how many instances the fleet is said to consist. Those that
// were not heard yet may use a fair part.
//
// Load pattern: all instances start anew while a workspace is loud, and hear of
// each other after seconds.
func (a *Allowance) SetMembers(n int, now time.Duration) {
	a.refill(now)
	if n > a.members && now-a.began < startTime {
		part := 1 - float64(a.members)/float64(n)
		a.burst.share(part)
		a.even.share(part)
	}
	a.members = max(1, n)
}

func (a *Allowance) refill(now time.Duration) {
	if now-a.swept >= sweepEvery {
		a.sweep(now)
	}
	d := (now - a.last).Seconds()
	if d <= 0 {
		return
	}
	a.last = now
	// What the others are expected to have taken since their reports is taken
	// off the levels when they tell it; the buckets are not full until then.
	d *= 1 - a.silentShare()
	a.burst.fill(d, a.unheard(now))
	a.even.fill(d, a.unheard(now))
}

// take takes units that were let through here or elsewhere. While the second
// bucket has units, no debt of the first one is kept: what the second lets
// through beyond the plan's rate is within the plan.
func (a *Allowance) take(units float64, now time.Duration) {
	a.burst.level -= units
	a.even.level -= units
	if a.even.level >= a.unheard(now) {
		a.burst.level = max(0, a.burst.level)
	}
}

// sweep counts the reports anew. Instances that ended are forgotten. Those that
// now count as cut off may use a fair part of what is left.
func (a *Allowance) sweep(now time.Duration) {
	a.swept = now
	heard, lost := len(a.reports)-a.silent+1, 0
	a.silent, a.heardRate, a.heardOffset = 0, 0, 0
	for i, r := range a.reports {
		age := now - r.at
		if age > max(forgetAfter, 2*a.silence) {
			delete(a.reports, i)
			continue
		}
		if !r.silent && age > a.silence {
			r.silent = true
			lost++
		}
		a.count(r, 1)
	}
	part := float64(lost) / float64(heard)
	a.burst.share(part)
	a.even.share(part)
}

// count adds a report to the sums, or takes it off.
func (a *Allowance) count(r *report, sign float64) {
	if r.silent {
		a.silent += int(sign)
		return
	}
	a.heardRate += sign * r.rate
	a.heardOffset += sign * r.rate * r.at.Seconds()
}

// silentShare is the part of the rate that instances may use which do not
// report, or have not yet: a fair part each.
func (a *Allowance) silentShare() float64 {
	all := max(a.members, len(a.reports)+1)
	return float64(a.silent+all-len(a.reports)-1) / float64(all)
}

// Spent returns the units that this instance has let through.
func (a *Allowance) Spent() float64 {
	return a.spent
}

// Levels are the units left in the two buckets.
type Levels struct {
	Burst, Even float64
}

// Levels returns the units that are left by all reports.
func (a *Allowance) Levels(now time.Duration) Levels {
	a.refill(now)
	return Levels{Burst: a.burst.level, Even: a.even.level}
}

// SetLevels takes over the levels that an instance which runs for longer has.
func (a *Allowance) SetLevels(l Levels, now time.Duration) {
	a.refill(now)
	a.burst.level, a.even.level = l.Burst, l.Even
	a.burst.bound()
	a.even.bound()
}

// ApplyReport notes the units that another instance has let through in all, in the
// time since its start.
func (a *Allowance) ApplyReport(i Instance, total float64, uptime, now time.Duration) {
	a.refill(now)
	r, ok := a.reports[i]
	if !ok {
		a.meet(i, total, uptime, now)
		return
	}
	took := total - r.total
	if took < 0 {
		return
	}
	a.count(r, -1)
	if d := (now - r.at).Seconds(); d > 0 {
		w := min(1, d/reportRateSpan.Seconds())
		r.rate += w * (took/d - r.rate)
	}
	r.total, r.at, r.silent = total, now, false
	a.count(r, 1)
	a.take(took, now)
}

// meet notes the first report of another instance.
func (a *Allowance) meet(i Instance, total float64, uptime, now time.Duration) {
	if uptime < minUptime {
		return
	}
	a.forgetEarlierRuns(i)
	r := &report{total: total, at: now, rate: total / uptime.Seconds()}
	a.reports[i] = r
	a.count(r, 1)
	// What an older instance let through is part of the level that Adopt took
	// over, or was refilled since.
	if uptime <= now-a.began {
		a.take(total, now)
	}
}

func (a *Allowance) forgetEarlierRuns(i Instance) {
	for old, r := range a.reports {
		if old.Name == i.Name {
			a.count(r, -1)
			delete(a.reports, old)
		}
	}
}

// unheard estimates what the others have let through since their last report.
func (a *Allowance) unheard(now time.Duration) float64 {
	return max(0, a.heardRate*now.Seconds()-a.heardOffset)
}

// Take takes units if they are left. Otherwise it returns the time after
// which they may be.
func (a *Allowance) Take(units float64, now time.Duration) (time.Duration, bool) {
	if a.plan.Rate <= 0 && a.plan.Burst <= 0 {
		return 0, true
	}
	a.refill(now)
	owed := units + a.unheard(now)
	if max(a.burst.level, a.even.level) < owed {
		return min(a.burst.wait(owed), a.even.wait(owed)), false
	}
	a.take(units, now)
	a.spent += units
	return 0, true
}

// State is what a decision of an allowance is taken from.
type State struct {
	Plan
	// Remaining are the units that may be taken now.
	Remaining float64
	// ReportedRate is the rate of the instances that report, Silent the number of
	// those that do not any more.
	ReportedRate float64
	StaleReports int
}

// State returns the state at an instant.
func (a *Allowance) State(now time.Duration) State {
	a.refill(now)
	left := max(a.burst.level, a.even.level) - a.unheard(now)
	return State{Plan: a.plan, Remaining: left, ReportedRate: a.heardRate, StaleReports: a.silent}
}

// Refund gives back the units of a request that did not run.
func (a *Allowance) Refund(units float64, now time.Duration) {
	a.refill(now)
	a.take(-units, now)
	a.burst.bound()
	a.even.bound()
	a.spent -= units
}
