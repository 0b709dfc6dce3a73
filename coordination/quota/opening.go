package quota

import (
	"context"
	"fmt"
	"time"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
)

// claims are the stamps of the newest owner that asked and of the one before.
type claims struct {
	newest timeline.Stamp
	before timeline.Stamp
}

// add notes an owner and returns the stamp of the owner before it.
func (c claims) add(stamp timeline.Stamp) (claims, timeline.Stamp) {
	switch {
	case c.newest.Before(stamp):
		return claims{newest: stamp, before: c.newest}, c.newest
	case c.newest == stamp:
		return c, c.before
	default:
		return c, c.newest
	}
}

// opening is an account that is being opened. Members forget what they tell,
// so it is kept until the account is open.
type opening struct {
	tenure lease.Tenure
	stamp  timeline.Stamp
	known  knowledge
	busy   bool
}

// acquire opens the account of a new tenure. The level comes from what the
// members know. A majority has to answer, so that the next owner learns of
// this one. It reports whether the account is open.
func (q *Quota) acquire(c context.Context, w lists.WorkspaceID, p lists.Plan) bool {
	// The caller may give up; what the members told must not be lost then.
	c = context.WithoutCancel(c)
	o := q.startOpening(c, w)
	if o == nil {
		return false
	}
	answers := q.collect(c, w, o.stamp)
	opened := false
	_ = q.worker.Do(c, func(s *ownerState) {
		o.busy = false
		now := q.Timer.Now()
		o.known.merge(answers)
		o.known.add(s.take(w, o.stamp, q.config.FloorLifetime, now))
		t, ok := q.Fleet.Owns(AccountName(w))
		if !ok || t != o.tenure || o.known.answers < q.Fleet.Members().Majority() || s.awaits(w, o.known, now) {
			return
		}
		level := q.startLevel(s, w, p, o.known, now)
		s.accounts[w] = newAccount(w, t, o.stamp, p, level, now)
		delete(s.openings, w)
		opened = true
		q.wake.Offer(struct{}{})
		q.Recorder.Record(timeline.Event{
			Part: timeline.Quota, Kind: timeline.Acquired, Workspace: string(w),
			Detail: fmt.Sprintf("level %.0f from %d answers", level, o.known.answers),
		})
	})
	return opened
}

// awaits reports whether another round of questions may find that a workspace
// was just made, so that it can start full.
func (s *ownerState) awaits(w lists.WorkspaceID, k knowledge, now time.Time) bool {
	at, made := s.created[w]
	return made && !k.found && !k.all && now.Sub(at) < createdTime
}

// startOpening returns the opening of the present tenure, or nil when it is
// under way already.
func (q *Quota) startOpening(c context.Context, w lists.WorkspaceID) *opening {
	var started *opening
	_ = q.worker.Do(c, func(s *ownerState) {
		t, ok := q.Fleet.Owns(AccountName(w))
		if !ok || q.owned(s, w) != nil {
			return
		}
		o := s.openings[w]
		if o == nil || o.tenure != t {
			o = &opening{tenure: t, stamp: q.Recorder.Tick()}
			s.openings[w] = o
		}
		if !o.busy {
			o.busy = true
			started = o
		}
	})
	return started
}

// startLevel is the level of the newest record. Without a record it is full
// for a workspace that was just made, and otherwise empty.
func (q *Quota) startLevel(s *ownerState, w lists.WorkspaceID, p lists.Plan, k knowledge, now time.Time) float64 {
	at, made := s.created[w]
	switch {
	case k.found && !k.best.acquired.Before(k.taken):
		return k.best.level
	case made && k.all && k.taken == (timeline.Stamp{}) && now.Sub(at) < createdTime:
		return float64(p.Burst)
	default:
		return 0
	}
}

// answer is what one member knows of an account.
type answer struct {
	record record
	known  bool
	// taken is the stamp of the newest owner that asked before.
	taken timeline.Stamp
}

// knowledge is what the members know together.
type knowledge struct {
	best    record
	found   bool
	taken   timeline.Stamp
	answers int
	all     bool
}

// merge takes in the answers of another round of questions.
func (k *knowledge) merge(o knowledge) {
	k.answers, k.all = o.answers, o.all
	if k.taken.Before(o.taken) {
		k.taken = o.taken
	}
	if o.found && (!k.found || o.best.newer(k.best)) {
		k.best, k.found = o.best, true
	}
}

func (k *knowledge) add(a answer) {
	k.answers++
	if k.taken.Before(a.taken) {
		k.taken = a.taken
	}
	if a.known && (!k.found || a.record.newer(k.best)) {
		k.best, k.found = a.record, true
	}
}

// take returns and forgets what this instance knows of an account, for the
// owner with the stamp.
func (s *ownerState) take(w lists.WorkspaceID, stamp timeline.Stamp, lasts time.Duration, now time.Time) answer {
	out := answer{}
	s.taken[w], out.taken = s.taken[w].add(stamp)
	if p := s.promised[w]; p != nil {
		out.record, out.known = p.floor(now)
	}
	delete(s.promised, w)
	a := s.accounts[w]
	delete(s.accounts, w)
	if a == nil || now.Sub(a.owned) >= lasts {
		return out
	}
	final := record{level: a.bucket.Level(now), acquired: a.acquired, final: true}
	if !out.known || final.newer(out.record) {
		out.record, out.known = final, true
	}
	return out
}
