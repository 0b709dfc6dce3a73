// Package allowance holds a workspace to its rate and burst over a fleet
// whose instances tell each other what they have let through.
//
// Load pattern: one workspace sends several times its rate to all instances
// at once, some of which cannot hear each other.
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

// Allowance is a token bucket of which other instances take too. Instants are
// those of a clock that does not stop. It is not safe for concurrent use.
type Allowance struct {
	rate    float64
	burst   float64
	level   float64
	last    time.Duration
	spent   float64
	reports map[Instance]*report
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

// startShare is the part of the burst that an allowance begins with. A fleet
// that starts again must grant no second burst, and must not refuse the usual
// load either.
const startShare = 0.3

// New returns an allowance of an instance that has heard nothing yet.
func New(rate, burst float64, now time.Duration) *Allowance {
	return &Allowance{rate: rate, burst: burst, level: startShare * burst, last: now, reports: map[Instance]*report{}, silence: minSilence}
}

// SetPlan changes rate and burst.
func (a *Allowance) SetPlan(rate, burst float64, now time.Duration) {
	a.refill(now)
	a.rate, a.burst = rate, burst
	a.level = min(a.level, burst)
}

// SetSilence changes the age of a report from which its sender counts as cut
// off: in a large fleet reports come less often.
func (a *Allowance) SetSilence(d time.Duration) {
	a.silence = max(minSilence, d)
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
	// off the level when they tell it; the bucket is not full until then.
	a.level = min(a.burst+a.unheard(now), a.level+d*(a.rate-a.silentRate()))
}

// sweep counts the reports anew. Instances that ended are forgotten.
func (a *Allowance) sweep(now time.Duration) {
	a.swept = now
	a.silent, a.heardRate, a.heardOffset = 0, 0, 0
	for i, r := range a.reports {
		age := now - r.at
		if age > max(forgetAfter, 2*a.silence) {
			delete(a.reports, i)
			continue
		}
		r.silent = age > a.silence
		a.count(r, 1)
	}
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

// silentRate is the rate that instances may use which do not report: a fair
// part each.
func (a *Allowance) silentRate() float64 {
	return a.rate * float64(a.silent) / float64(len(a.reports)+1)
}

// Spent returns the units that this instance has let through.
func (a *Allowance) Spent() float64 {
	return a.spent
}

// Level returns the units that are left by all reports.
func (a *Allowance) Level(now time.Duration) float64 {
	a.refill(now)
	return a.level
}

// Adopt takes over the level that an instance which runs for longer has.
func (a *Allowance) Adopt(level float64, now time.Duration) {
	a.refill(now)
	a.level = min(level, a.burst)
}

// Heard notes the units that another instance has let through in all.
func (a *Allowance) Heard(i Instance, total float64, now time.Duration) {
	a.refill(now)
	r, ok := a.reports[i]
	if !ok {
		a.forgetEarlierRuns(i)
		// What was let through before the first report is part of the level
		// that Adopt took over, or was refilled since.
		a.reports[i] = &report{total: total, at: now}
		return
	}
	took := total - r.total
	if took < 0 {
		return
	}
	a.level -= took
	a.count(r, -1)
	if d := (now - r.at).Seconds(); d > 0 {
		w := min(1, d/reportRateSpan.Seconds())
		r.rate += w * (took/d - r.rate)
	}
	r.total, r.at, r.silent = total, now, false
	a.count(r, 1)
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
	if a.rate <= 0 && a.burst <= 0 {
		return 0, true
	}
	a.refill(now)
	left := a.level - a.unheard(now)
	if left < units {
		return time.Duration((units - left) / max(a.rate, 1) * float64(time.Second)), false
	}
	a.level -= units
	a.spent += units
	return 0, true
}

// State is what a decision of an allowance is taken from.
type State struct {
	// Left are the units that may be taken now, Rate the units a second and
	// Burst the most units that may be left.
	Left, Rate, Burst float64
	// Heard is the rate of the instances that report, Silent the number of
	// those that do not any more.
	Heard  float64
	Silent int
}

// State returns the state at an instant.
func (a *Allowance) State(now time.Duration) State {
	a.refill(now)
	return State{Left: a.level - a.unheard(now), Rate: a.rate, Burst: a.burst, Heard: a.heardRate, Silent: a.silent}
}

// Return gives back the units of a request that did not run.
func (a *Allowance) Return(units float64, now time.Duration) {
	a.refill(now)
	a.level = min(a.burst, a.level+units)
	a.spent -= units
}
