package quota

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/ring"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/worker"
)

// Config sets the quota part.
type Config struct {
	// ChunkPercent is the share of a burst that an owner may admit ahead of
	// its standby.
	ChunkPercent int64
	// FloorLifetime is how long a standby may rely on a promised floor.
	FloorLifetime time.Duration
	// MaxCallTime is the longest time from admission to settlement.
	MaxCallTime time.Duration
}

// Services are the parts that the quota part works with.
type Services struct {
	Timer    *timer.Service
	Fleet    *fleet.Fleet
	Mesh     *mesh.Mesh
	Catalog  *catalog.Catalog
	Recorder *timeline.Recorder
	Log      *zap.Logger
}

// errNotOwner says that this instance does not own the account.
var errNotOwner = eris.New("this instance does not own the account")

type ownerState struct {
	accounts map[lists.WorkspaceID]*account
	openings map[lists.WorkspaceID]*opening
	// promised are the floors that owners promised to this instance.
	promised map[lists.WorkspaceID]*promised
	// taken are the stamps of the newest owners that asked for what this
	// instance knows. What an earlier owner left proves nothing any more.
	taken map[lists.WorkspaceID]claims
	// created holds the instants at which workspaces were seen to be made.
	created map[lists.WorkspaceID]time.Time
}

// Quota is the quota part of one instance: owner of some accounts, standby of
// others, and client of all.
type Quota struct {
	config Config
	Services
	worker *worker.Worker[ownerState]
	settle settleRing
	// wake asks for a refresh before the next one is due.
	wake *ring.Ring[struct{}]
}

const (
	workerRing      = 8192
	refreshInterval = time.Second
	callTimeout     = 500 * time.Millisecond
	lowerWait       = time.Millisecond
	createdTime     = 5 * time.Second
)

// New starts the quota part. It ends with c.
func New(c context.Context, g Config, s Services) *Quota {
	s.Log = s.Log.Named("quota")
	q := &Quota{config: g, Services: s, settle: newSettleRing(), wake: ring.New[struct{}](1)}
	q.worker = worker.Start(c, workerRing, &ownerState{
		accounts: map[lists.WorkspaceID]*account{},
		openings: map[lists.WorkspaceID]*opening{},
		promised: map[lists.WorkspaceID]*promised{},
		taken:    map[lists.WorkspaceID]claims{},
		created:  map[lists.WorkspaceID]time.Time{},
	})
	q.register()
	return q
}

// Run refreshes promises and sends settlements until c ends.
func (q *Quota) Run(c context.Context) {
	go q.sendSettlements(c)
	for c.Err() == nil {
		q.refresh(c, q.Timer.Now())
		q.awaitRefresh(c)
	}
}

func (q *Quota) awaitRefresh(c context.Context) {
	n, stop := q.Timer.Notify(refreshInterval)
	defer stop()
	select {
	case <-n:
	case <-q.wake.Out():
	case <-c.Done():
	}
}

// AccountName returns the name under which the account of a workspace is owned.
func AccountName(w lists.WorkspaceID) string {
	return "quota/" + string(w)
}

// HandleInstall notes the workspaces that a change made, while the instance was
// in touch: their buckets start full.
func (q *Quota) HandleInstall(before, after *lists.State) {
	if before.Version == 0 && after.Version > 1 {
		return
	}
	var made []lists.WorkspaceID
	for w := range after.Workspaces {
		if _, ok := before.Workspaces[w]; !ok {
			made = append(made, w)
		}
	}
	if len(made) == 0 {
		return
	}
	now := q.Timer.Now()
	q.worker.Post(func(s *ownerState) {
		for _, w := range made {
			s.created[w] = now
		}
	})
	q.wake.Offer(struct{}{})
}

// reserveLocal reserves on this instance's own account.
func (q *Quota) reserveLocal(c context.Context, x wanted) (verdict, time.Duration, error) {
	for {
		v, wait, err := q.attempt(c, x)
		if err != nil || v != heldByFloor {
			return v, wait, err
		}
		if err := q.lowerFloors(c, x.workspace, x.tokens); err != nil {
			return v, 0, err
		}
	}
}

func (q *Quota) attempt(c context.Context, x wanted) (verdict, time.Duration, error) {
	p, ok := q.Catalog.State().PlanOf(x.workspace)
	if !ok || !q.Fleet.Serving() {
		return granted, 0, errNotOwner
	}
	var v verdict
	var wait time.Duration
	failure := errNotOwner
	err := q.worker.Do(c, func(s *ownerState) {
		a := q.owned(s, x.workspace)
		if a == nil {
			return
		}
		now := q.Timer.Now()
		a.bucket.SetPlan(p.Rate, p.Burst, now)
		v, wait = a.reserve(x, now)
		failure = nil
	})
	if err != nil {
		return v, 0, err
	}
	if failure != nil && q.acquire(c, x.workspace, p) {
		return q.attempt(c, x)
	}
	return v, wait, failure
}

// owned returns the account of the present tenure, or nil.
func (q *Quota) owned(s *ownerState, w lists.WorkspaceID) *account {
	t, ok := q.Fleet.Owns(AccountName(w))
	a := s.accounts[w]
	if !ok || a == nil || a.tenure != t {
		return nil
	}
	return a
}

// lowerFloors asks every standby that holds a promise to accept a lower one.
// One request does so at a time, because each offer replaces the last one; the
// others wait a moment. The promise of a standby that does not answer has to
// end first.
func (q *Quota) lowerFloors(c context.Context, w lists.WorkspaceID, tokens lists.Tokens) error {
	var offers []offer
	busy := false
	err := q.worker.Do(c, func(s *ownerState) {
		a := q.owned(s, w)
		if a == nil {
			return
		}
		busy = a.lowering
		if busy {
			return
		}
		a.lowering = true
		now := q.Timer.Now()
		for seat, p := range a.promises {
			if p.floor > a.bucket.Level(now)-float64(tokens) {
				offers = append(offers, a.lower(seat, tokens, q.chunk(a), q.boundUntil(now), now))
			}
		}
	})
	if err != nil {
		return err
	}
	if busy {
		return q.Timer.Wait(c, lowerWait)
	}
	defer q.worker.Post(func(s *ownerState) {
		if a := s.accounts[w]; a != nil {
			a.lowering = false
		}
	})
	for _, o := range offers {
		if !q.send(c, o.seat, []offer{o}) {
			return eris.Wrap(errNotOwner, "a standby does not answer")
		}
	}
	return nil
}

// refresh opens the accounts that this instance owns and offers each standby
// new floors, one message a standby. Idle accounts are kept too, so that a
// new owner does not start them empty.
func (q *Quota) refresh(c context.Context, now time.Time) {
	var closed []lists.WorkspaceID
	offers := map[lease.SeatID][]offer{}
	standbys := q.standbys()
	_ = q.worker.Do(c, func(s *ownerState) {
		for w, standby := range standbys {
			a := q.owned(s, w)
			if a == nil {
				closed = append(closed, w)
				continue
			}
			a.owned = now
			a.bucket.Expire(q.config.MaxCallTime, now)
			// While a floor is being lowered, a new offer would replace it.
			if standby != "" && !a.lowering {
				offers[standby] = append(offers[standby], a.lower(standby, 0, q.chunk(a), q.boundUntil(now), now))
			}
		}
	})
	for seat, all := range offers {
		go q.send(c, seat, all)
	}
	for _, w := range closed {
		if p, ok := q.Catalog.State().PlanOf(w); ok {
			go q.acquire(c, w, p)
		}
	}
}

// boundUntil is how long an offer binds that gets no answer.
func (q *Quota) boundUntil(now time.Time) time.Time {
	return now.Add(callTimeout + q.config.FloorLifetime)
}

func (q *Quota) chunk(a *account) float64 {
	const percent = 100
	return float64(int64(a.bucket.Burst())*q.config.ChunkPercent) / percent
}

// standbys returns the workspaces that this instance owns, with the standby
// of each, or an empty text without one.
func (q *Quota) standbys() map[lists.WorkspaceID]lease.SeatID {
	owned := map[lists.WorkspaceID]lease.SeatID{}
	self := q.Fleet.Self()
	for w := range q.Catalog.State().Workspaces {
		if _, ok := q.Fleet.Owns(AccountName(w)); !ok {
			continue
		}
		owned[w] = ""
		if m, ok := q.Fleet.Standby(AccountName(w)); ok && m.Seat != self {
			owned[w] = m.Seat
		}
	}
	return owned
}

// send hands offers to the standby. The owner is bound for as long as the
// standby may rely on them, counted from after the answer.
func (q *Quota) send(c context.Context, seat lease.SeatID, offers []offer) bool {
	m, ok := q.Fleet.Members().Member(seat)
	if !ok {
		return false
	}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	if _, err := mesh.Call[floorQuery, floorReply](x, q.Mesh, m.Mesh, floorMethod, toMessage(offers)); err != nil {
		return false
	}
	_ = q.worker.Do(c, func(s *ownerState) {
		until := q.Timer.Now().Add(q.config.FloorLifetime)
		for _, o := range offers {
			if o.confirmed == 0 {
				// The standby may rely on the first floor after the next offer.
				q.wake.Offer(struct{}{})
			}
			if a := s.accounts[o.workspace]; a != nil && a.acquired == o.acquired {
				a.accepted(o, until)
			}
		}
	})
	return true
}
