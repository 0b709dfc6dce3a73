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

// Config holds the limits of quota.
type Config struct {
	// ChunkPercent is the share of the burst, in per cent, by which the offered floor is
	// below the level. The owner may admit that much before the standby has to accept a
	// lower floor.
	ChunkPercent int64
	// FloorLifetime is how long a standby may rely on a promised floor.
	FloorLifetime time.Duration
	// MaxCallTime is the longest time from admission to settlement. Older reservations
	// expire.
	MaxCallTime time.Duration
}

// Services are the dependencies of Quota.
type Services struct {
	Timer    *timer.Service
	Fleet    *fleet.Fleet
	Mesh     *mesh.Mesh
	Catalog  *catalog.Catalog
	Recorder *timeline.Recorder
	Log      *zap.Logger
}

// errNotOwner is returned when this instance does not own the account.
var errNotOwner = eris.New("this instance does not own the account")

// state is the worker's state: the accounts that this instance owns or opens, and the
// floors promised to it.
type state struct {
	accounts map[lists.WorkspaceID]*account
	openings map[lists.WorkspaceID]*opening
	// standbyFloors are the floors that owners promised to this instance.
	standbyFloors map[lists.WorkspaceID]*standbyFloor
	// taken are the stamps of the newest owners that collected the records of this
	// instance. Records of earlier owners are no longer valid.
	taken map[lists.WorkspaceID]claims
	// created holds the instants at which workspaces were observed to be created.
	created map[lists.WorkspaceID]time.Time
}

// Quota is the quota service of one instance: owner of some accounts, standby of others,
// and client of all.
type Quota struct {
	config Config
	Services
	worker      *worker.Worker[state]
	settlements settleRing
	// wake requests a refresh before the next one is due.
	wake *ring.Ring[struct{}]
}

const (
	workerRing         = 8192
	refreshInterval    = time.Second
	callTimeout        = 500 * time.Millisecond
	lowerRetryInterval = time.Millisecond
	// newWorkspacePeriod is how long after its creation was observed a workspace counts
	// as just created.
	newWorkspacePeriod = 5 * time.Second
)

// New starts the quota service. It stops when c ends.
func New(c context.Context, g Config, s Services) *Quota {
	s.Log = s.Log.Named("quota")
	q := &Quota{config: g, Services: s, settlements: newSettleRing(), wake: ring.New[struct{}](1)}
	q.worker = worker.Start(c, workerRing, &state{
		accounts:      map[lists.WorkspaceID]*account{},
		openings:      map[lists.WorkspaceID]*opening{},
		standbyFloors: map[lists.WorkspaceID]*standbyFloor{},
		taken:         map[lists.WorkspaceID]claims{},
		created:       map[lists.WorkspaceID]time.Time{},
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

// HandleInstall records the workspaces that a change created while the instance was
// connected: their accounts start full. The first snapshot of an instance that joins an
// existing fleet is ignored.
func (q *Quota) HandleInstall(before, after *lists.State) {
	if before.Version == 0 && after.Version > 1 {
		return
	}
	var created []lists.WorkspaceID
	for w := range after.Workspaces {
		if _, ok := before.Workspaces[w]; !ok {
			created = append(created, w)
		}
	}
	if len(created) == 0 {
		return
	}
	now := q.Timer.Now()
	q.worker.Post(func(s *state) {
		for _, w := range created {
			s.created[w] = now
		}
	})
	q.wake.Offer(struct{}{})
}

// reserveLocal reserves on an account that this instance owns, and lowers the promised
// floors if necessary.
func (q *Quota) reserveLocal(c context.Context, x reservation) (decision, time.Duration, error) {
	for {
		v, wait, err := q.attempt(c, x)
		if err != nil || v != belowFloor {
			return v, wait, err
		}
		if err := q.lowerFloors(c, x.workspace, x.tokens); err != nil {
			return v, 0, err
		}
	}
}

// attempt tries a reservation once, after opening the account if it is not open.
func (q *Quota) attempt(c context.Context, x reservation) (decision, time.Duration, error) {
	p, ok := q.Catalog.State().PlanOf(x.workspace)
	if !ok || !q.Fleet.Serving() {
		return granted, 0, errNotOwner
	}
	var v decision
	var wait time.Duration
	failure := errNotOwner
	err := q.worker.Do(c, func(s *state) {
		a := q.ownedAccount(s, x.workspace)
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

// ownedAccount returns the account of the current term, or nil.
func (q *Quota) ownedAccount(s *state, w lists.WorkspaceID) *account {
	t, ok := q.Fleet.Owns(AccountName(w))
	a := s.accounts[w]
	if !ok || a == nil || a.term != t {
		return nil
	}
	return a
}

// lowerFloors asks every standby that holds a promise above the required floor to accept
// a lower one. One request does so at a time, because each offer replaces the last one;
// the others wait for lowerRetryInterval. The promise of a standby that does not respond
// has to expire first.
func (q *Quota) lowerFloors(c context.Context, w lists.WorkspaceID, tokens lists.Tokens) error {
	var offers []offer
	busy := false
	err := q.worker.Do(c, func(s *state) {
		a := q.ownedAccount(s, w)
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
				offers = append(offers, a.lower(seat, tokens, q.chunk(a), q.offerDeadline(now), now))
			}
		}
	})
	if err != nil {
		return err
	}
	if busy {
		return q.Timer.Wait(c, lowerRetryInterval)
	}
	defer q.worker.Post(func(s *state) {
		if a := s.accounts[w]; a != nil {
			a.lowering = false
		}
	})
	for _, o := range offers {
		if !q.send(c, o.seat, []offer{o}) {
			return eris.Wrapf(errNotOwner, "standby %s did not accept a lower floor", o.seat)
		}
	}
	return nil
}

// refresh opens the accounts that this instance owns and offers each standby new floors,
// in one message per standby. Idle accounts are refreshed too, so that a new owner does
// not start them empty.
func (q *Quota) refresh(c context.Context, now time.Time) {
	var closed []lists.WorkspaceID
	offers := map[lease.SeatID][]offer{}
	standbys := q.standbys()
	_ = q.worker.Do(c, func(s *state) {
		for w, standby := range standbys {
			a := q.ownedAccount(s, w)
			if a == nil {
				closed = append(closed, w)
				continue
			}
			a.lastOwned = now
			a.bucket.Expire(q.config.MaxCallTime, now)
			// While a floor is being lowered, a new offer would replace that one.
			if standby != "" && !a.lowering {
				offers[standby] = append(offers[standby], a.lower(standby, 0, q.chunk(a), q.offerDeadline(now), now))
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

// offerDeadline returns the instant until which an offer binds the owner if the standby
// does not reply.
func (q *Quota) offerDeadline(now time.Time) time.Time {
	return now.Add(callTimeout + q.config.FloorLifetime)
}

// chunk returns ChunkPercent of the burst.
func (q *Quota) chunk(a *account) float64 {
	const percent = 100
	return float64(int64(a.bucket.Burst())*q.config.ChunkPercent) / percent
}

// standbys returns the workspaces whose accounts this instance owns, with the standby of
// each, or an empty seat ID if there is none.
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

// send sends offers to a standby and reports whether it accepted them. The owner is bound
// for as long as the standby may rely on them, counted from the reply.
func (q *Quota) send(c context.Context, seat lease.SeatID, offers []offer) bool {
	m, ok := q.Fleet.Roster().Member(seat)
	if !ok {
		return false
	}
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	if _, err := mesh.Call[floorQuery, floorReply](x, q.Mesh, m.Mesh, floorMethod, toMessage(offers)); err != nil {
		return false
	}
	_ = q.worker.Do(c, func(s *state) {
		until := q.Timer.Now().Add(q.config.FloorLifetime)
		for _, o := range offers {
			if o.confirmed == 0 {
				// The standby may rely on the first floor only after the next offer confirms it.
				q.wake.Offer(struct{}{})
			}
			if a := s.accounts[o.workspace]; a != nil && a.acquired == o.acquired {
				a.accept(o, until)
			}
		}
	})
	return true
}
