package quota

import (
	"context"
	"fmt"
	"time"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
)

// claims holds the acquisition stamps of the newest owner that collected the records of
// an account, and of the owner before it.
type claims struct {
	newest   timeline.Stamp
	previous timeline.Stamp
}

// add records the stamp of an owner and returns the stamp of the owner before it.
func (c claims) add(stamp timeline.Stamp) (claims, timeline.Stamp) {
	switch {
	case c.newest.Before(stamp):
		return claims{newest: stamp, previous: c.newest}, c.newest
	case c.newest == stamp:
		return c, c.previous
	default:
		return c, c.newest
	}
}

// opening is an account that is being opened. Members delete a record once they have
// returned it, so the collected records are kept until the account is open.
type opening struct {
	term      lease.Term
	stamp     timeline.Stamp
	collected collectedRecords
	busy      bool
}

// acquire opens the account for a new term and reports whether it is open. The initial
// level comes from the records of the members. A majority has to reply, so that the next
// owner learns of this one.
func (q *Quota) acquire(c context.Context, w lists.WorkspaceID, p lists.Plan) bool {
	// Members have deleted the records that they returned, so these must not be lost
	// when the caller gives up.
	c = context.WithoutCancel(c)
	o := q.startOpening(c, w)
	if o == nil {
		return false
	}
	answers := q.collect(c, w, o.stamp)
	opened := false
	_ = q.worker.Do(c, func(s *state) {
		o.busy = false
		now := q.Timer.Now()
		o.collected.merge(answers)
		o.collected.add(s.releaseRecord(w, o.stamp, q.config.FloorLifetime, now))
		t, ok := q.Fleet.Owns(AccountName(w))
		if !ok || t != o.term || o.collected.answers < q.Fleet.Roster().Majority() || s.needsAnotherRound(w, o.collected, now) {
			return
		}
		level := q.startLevel(s, w, p, o.collected, now)
		s.accounts[w] = newAccount(w, t, o.stamp, p, level, now)
		delete(s.openings, w)
		opened = true
		q.wake.Offer(struct{}{})
		q.Recorder.Record(timeline.Event{
			Part: timeline.Quota, Kind: timeline.Acquired, Workspace: string(w),
			Detail: fmt.Sprintf("level %.0f from %d answers", level, o.collected.answers),
		})
	})
	return opened
}

// needsAnotherRound reports whether collecting again may establish that the workspace has
// just been created, so that its account can start full.
func (s *state) needsAnotherRound(w lists.WorkspaceID, k collectedRecords, now time.Time) bool {
	at, created := s.created[w]
	return created && !k.found && !k.all && now.Sub(at) < newWorkspacePeriod
}

// startOpening returns the opening of the current term, or nil if it is already in
// flight, the account is open or this instance does not own it.
func (q *Quota) startOpening(c context.Context, w lists.WorkspaceID) *opening {
	var started *opening
	_ = q.worker.Do(c, func(s *state) {
		t, ok := q.Fleet.Owns(AccountName(w))
		if !ok || q.ownedAccount(s, w) != nil {
			return
		}
		o := s.openings[w]
		if o == nil || o.term != t {
			o = &opening{term: t, stamp: q.Recorder.Tick()}
			s.openings[w] = o
		}
		if !o.busy {
			o.busy = true
			started = o
		}
	})
	return started
}

// startLevel returns the level of the newest record, unless a later owner has collected
// records since. Without a record it is the full burst for a workspace that was just
// created, and otherwise 0.
func (q *Quota) startLevel(s *state, w lists.WorkspaceID, p lists.Plan, k collectedRecords, now time.Time) float64 {
	at, created := s.created[w]
	switch {
	case k.found && !k.best.acquired.Before(k.taken):
		return k.best.level
	case created && k.all && k.taken == (timeline.Stamp{}) && now.Sub(at) < newWorkspacePeriod:
		return float64(p.Burst)
	default:
		return 0
	}
}

// memberRecord is what one member returns about an account.
type memberRecord struct {
	record record
	known  bool
	// taken is the stamp of the newest owner that collected the records before.
	taken timeline.Stamp
}

// collectedRecords combines the replies of the members.
type collectedRecords struct {
	best    record
	found   bool
	taken   timeline.Stamp
	answers int
	all     bool
}

// merge adds the replies of another round.
func (k *collectedRecords) merge(o collectedRecords) {
	k.answers, k.all = o.answers, o.all
	if k.taken.Before(o.taken) {
		k.taken = o.taken
	}
	if o.found && (!k.found || o.best.newer(k.best)) {
		k.best, k.found = o.best, true
	}
}

// add adds the reply of one member.
func (k *collectedRecords) add(a memberRecord) {
	k.answers++
	if k.taken.Before(a.taken) {
		k.taken = a.taken
	}
	if a.known && (!k.found || a.record.newer(k.best)) {
		k.best, k.found = a.record, true
	}
}

// releaseRecord returns and deletes what this instance holds of an account, for the owner
// with the stamp. The level of an account that this instance owned is included if it was
// owned within the given lifetime.
func (s *state) releaseRecord(w lists.WorkspaceID, stamp timeline.Stamp, lifetime time.Duration, now time.Time) memberRecord {
	out := memberRecord{}
	s.taken[w], out.taken = s.taken[w].add(stamp)
	if p := s.standbyFloors[w]; p != nil {
		out.record, out.known = p.floor(now)
	}
	delete(s.standbyFloors, w)
	a := s.accounts[w]
	delete(s.accounts, w)
	if a == nil || now.Sub(a.lastOwned) >= lifetime {
		return out
	}
	final := record{level: a.bucket.Level(now), acquired: a.acquired, final: true}
	if !out.known || final.newer(out.record) {
		out.record, out.known = final, true
	}
	return out
}
