// Package quota admits the requests of each workspace against its rate and burst. Every
// workspace has one account, which one instance owns. The owner promises a floor of the
// account's level to a standby, from which a new owner starts if the old one fails.
package quota

import (
	"time"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/bucket"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
)

// promise is what a standby may rely on: the level does not fall below the floor before
// the instant until.
type promise struct {
	floor float64
	until time.Time
	// sequence is that of the last offer, acked that of the last acknowledged one.
	sequence int64
	acked    int64
}

// account is the owner's state of one workspace's account.
type account struct {
	workspace lists.WorkspaceID
	term      lease.Term
	acquired  timeline.Stamp
	bucket    *bucket.Bucket
	promises  map[lease.SeatID]promise
	sequence  int64
	// lowering is set while standbys are asked to accept a lower floor.
	lowering bool
	// lastOwned is the last instant at which this instance was known to own the account.
	lastOwned time.Time
}

// decision is the result of one attempt to reserve tokens.
type decision int

const (
	granted decision = iota
	overRate
	// belowFloor means that the promised floors have to be lowered first.
	belowFloor
)

func newAccount(w lists.WorkspaceID, t lease.Term, at timeline.Stamp, p lists.Plan, level float64, now time.Time) *account {
	return &account{
		workspace: w,
		term:      t,
		acquired:  at,
		bucket:    bucket.New(p.Rate, p.Burst, level, now),
		promises:  map[lease.SeatID]promise{},
		lastOwned: now,
	}
}

// reserve attempts a reservation. If the decision is overRate, it also returns the time
// after which the tokens would be available.
func (a *account) reserve(x reservation, now time.Time) (decision, time.Duration) {
	a.lastOwned = now
	if x.replaces != "" {
		a.bucket.Settle(x.replaces, 0, now)
	}
	level := a.bucket.Level(now)
	if rest := level - float64(x.tokens); rest >= 0 && rest < a.floor(now) {
		return belowFloor, 0
	}
	wait, ok := a.bucket.Reserve(x.id, x.tokens, now)
	if !ok {
		return overRate, wait
	}
	return granted, 0
}

// floor returns the highest floor among the promises that have not expired, and deletes
// the expired ones.
func (a *account) floor(now time.Time) float64 {
	f := 0.0
	for seat, p := range a.promises {
		if now.After(p.until) {
			delete(a.promises, seat)
			continue
		}
		f = max(f, p.floor)
	}
	return f
}

// offer is a floor that the owner sends to a standby.
type offer struct {
	workspace lists.WorkspaceID
	seat      lease.SeatID
	floor     float64
	sequence  int64
	// confirmed is the sequence of the last offer that the standby has acknowledged to
	// the owner.
	confirmed int64
	acquired  timeline.Stamp
}

// lower returns the offer of a floor that is chunk below the level after tokens are
// taken. Until the standby has accepted it, the account is bound to the higher of the old
// and the new floor.
func (a *account) lower(seat lease.SeatID, tokens lists.Tokens, chunk float64, until, now time.Time) offer {
	a.sequence++
	p := a.promises[seat]
	o := offer{
		workspace: a.workspace, seat: seat, sequence: a.sequence, confirmed: p.acked, acquired: a.acquired,
		floor: max(0, a.bucket.Level(now)-float64(tokens)-chunk),
	}
	a.promises[seat] = promise{floor: max(p.floor, o.floor), until: latest(p.until, until), sequence: o.sequence, acked: p.acked}
	return o
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// accept binds the account to the floor that the standby has accepted. Replies to offers
// before the last one change no floor.
func (a *account) accept(o offer, until time.Time) {
	p := a.promises[o.seat]
	p.acked = max(p.acked, o.sequence)
	p.until = latest(p.until, until)
	if o.sequence == p.sequence {
		p.floor = o.floor
	}
	a.promises[o.seat] = p
}

// record is what another instance holds of an account: the final level of a former owner,
// or the floor that an owner promised to its standby.
type record struct {
	level    float64
	acquired timeline.Stamp
	sequence int64
	final    bool
	// until is the instant at which the promised floor expires.
	until time.Time
}

// newer reports whether r supersedes o: by the acquisition stamp of the owner, then a
// final level over a floor, then the sequence.
func (r record) newer(o record) bool {
	if r.acquired != o.acquired {
		return o.acquired.Before(r.acquired)
	}
	if r.final != o.final {
		return r.final
	}
	return r.sequence > o.sequence
}

// standbyFloor is the standby's state of one account. An offered floor is used only after
// the owner has confirmed that it received the acknowledgement: then the owner is bound
// by it for at least as long as the standby relies on it.
type standbyFloor struct {
	confirmed record
	pending   []record
}

// receive records an offer that arrived at the instant now and is valid for the given
// lifetime.
func (p *standbyFloor) receive(o offer, lifetime time.Duration, now time.Time) {
	if o.acquired != p.acquired() {
		if o.acquired.Before(p.acquired()) {
			return
		}
		*p = standbyFloor{}
	}
	for len(p.pending) > 0 && p.pending[0].sequence <= o.confirmed {
		p.confirmed = p.pending[0]
		p.pending = p.pending[1:]
	}
	if len(p.pending) > 0 && o.sequence <= p.pending[len(p.pending)-1].sequence {
		return
	}
	p.pending = append(p.pending, record{level: o.floor, acquired: o.acquired, sequence: o.sequence, until: now.Add(lifetime)})
}

// acquired returns the acquisition stamp of the owner that sent the offers.
func (p *standbyFloor) acquired() timeline.Stamp {
	if len(p.pending) > 0 {
		return p.pending[0].acquired
	}
	return p.confirmed.acquired
}

// floor returns the confirmed floor, or a lower one that was offered since. It returns
// false if no floor is confirmed or it has expired.
func (p *standbyFloor) floor(now time.Time) (record, bool) {
	r := p.confirmed
	if r.sequence == 0 || !now.Before(r.until) {
		return record{}, false
	}
	for _, x := range p.pending {
		r.level = min(r.level, x.level)
	}
	return r, true
}
