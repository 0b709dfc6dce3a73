package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// seatBytes is the length of a random seat ID before hex encoding.
const seatBytes = 8

func newSeatID() lease.SeatID {
	b := make([]byte, seatBytes)
	_, _ = rand.Read(b)
	return lease.SeatID(hex.EncodeToString(b))
}

var errNoMajorityAtEpoch = eris.New("no majority of the members is known to be at the present epoch")

// changeRoster writes the next roster, which edit makes from the one in the table. It
// returns errNoMajorityAtEpoch until a majority of the members that have not ended is
// known to be at the present epoch, and provider.ErrConflict if another instance changed
// the roster first.
func (f *Fleet) changeRoster(c context.Context, edit func(r *lease.Roster, ended map[lease.SeatID]bool)) error {
	r, version, err := ReadRoster(c, f.Table)
	if err != nil {
		return err
	}
	f.installRoster(c, r)
	ended := f.endedMembers()
	maps.Copy(ended, f.orphanedSeats(r))
	ready := false
	f.withState(func(s *lease.State, _ time.Time) {
		ready = s.Roster().Epoch == r.Epoch && s.MajorityAtEpoch(ended)
	})
	if !ready {
		return errNoMajorityAtEpoch
	}
	next := lease.Roster{Epoch: r.Epoch + 1, Members: slices.Clone(r.Members)}
	edit(&next, ended)
	if err := writeRoster(c, f.Table, next, version); err != nil {
		return err
	}
	f.installRoster(c, next)
	return nil
}

// endedMembers returns the members that have been silent for purgeTimeout and are not on
// the platform's list of instances. It returns none if the list is older than
// purgeTimeout.
func (f *Fleet) endedMembers() map[lease.SeatID]bool {
	ended := map[lease.SeatID]bool{}
	f.mu.Lock()
	fresh := f.Timer.Now().Sub(f.listReadAt) < purgeTimeout
	listed := f.listedInstances
	f.mu.Unlock()
	if !fresh {
		return ended
	}
	r := f.Roster()
	for _, seat := range f.longSilentMembers() {
		m, _ := r.Member(seat)
		shown := slices.ContainsFunc(listed, func(l provider.Instance) bool { return l.ID == m.Instance })
		if !shown {
			ended[seat] = true
		}
	}
	return ended
}

// orphanedSeats returns the seats of members with the name of this instance that it does
// not hold: those of an earlier process, or of a join whose response was lost.
func (f *Fleet) orphanedSeats(r lease.Roster) map[lease.SeatID]bool {
	all := map[lease.SeatID]bool{}
	self := f.Self()
	for _, m := range r.Members {
		if m.Instance == f.config.Self.Instance && m.Seat != self {
			all[m.Seat] = true
		}
	}
	return all
}

func (f *Fleet) longSilentMembers() []lease.SeatID {
	var silent []lease.SeatID
	f.withState(func(s *lease.State, now time.Time) { silent = s.SilentFor(now, purgeTimeout) })
	return silent
}

// maintain joins the roster, else updates the holder of the own seat in it, else removes
// ended members and orphaned seats.
func (f *Fleet) maintain(c context.Context) {
	f.mu.Lock()
	leaving := f.leaving
	f.mu.Unlock()
	self := f.Self()
	switch {
	case leaving:
	case self == "":
		f.join(c)
	case f.holderOutdated(self):
		f.publishHolder(c, self)
	case f.shouldPurge() || len(f.orphanedSeats(f.Roster())) > 0:
		f.purge(c)
	}
}

// join adds this instance to the roster under a new seat. While the table is unavailable
// it asks the leaving instances for a seat instead.
func (f *Fleet) join(c context.Context) {
	m := f.config.Self
	m.Seat = newSeatID()
	f.pingAll(c)
	err := f.changeRoster(c, func(r *lease.Roster, ended map[lease.SeatID]bool) {
		f.removeMembers(r, ended)
		r.Members = append(r.Members, m)
	})
	switch {
	case err == nil:
		f.takeSeat(m, f.Timer.Now(), 0)
	case errors.Is(err, provider.ErrUnavailable):
		f.confirmJoin(c, m)
		f.requestSeat(c)
	}
}

// confirmJoin takes the seat if the write succeeded although its response was lost.
func (f *Fleet) confirmJoin(c context.Context, m lease.Member) {
	r, _, err := ReadRoster(c, f.Table)
	if err != nil {
		return
	}
	if _, ok := r.Member(m.Seat); ok {
		f.installRoster(c, r)
		f.takeSeat(m, f.Timer.Now(), 0)
	}
}

func (f *Fleet) takeSeat(m lease.Member, abstain time.Time, required lists.Version) {
	f.withState(func(s *lease.State, _ time.Time) { s.TakeSeat(m.Seat, abstain, required) })
	f.Recorder.Record(timeline.Event{Part: timeline.Fleet, Kind: timeline.Joined, Detail: string(m.Seat)})
	f.Log.Info("seat taken", zap.String("seat", string(m.Seat)))
}

// removeMembers removes the ended members from r and sets r.Purged accordingly.
func (f *Fleet) removeMembers(r *lease.Roster, ended map[lease.SeatID]bool) {
	kept := slices.DeleteFunc(r.Members, func(m lease.Member) bool { return ended[m.Seat] })
	r.Purged = len(kept) < len(r.Members)
	r.Members = kept
}

// shouldPurge reports whether there are ended members and this instance is the one to
// remove them, which is the owner of the name RosterRow.
func (f *Fleet) shouldPurge() bool {
	if len(f.endedMembers()) == 0 {
		return false
	}
	m, ok := f.Owner(RosterRow)
	return ok && m.Seat == f.Self()
}

func (f *Fleet) purge(c context.Context) {
	err := f.changeRoster(c, f.removeMembers)
	if err == nil {
		f.Log.Info("ended members removed from the roster")
	}
}

// holderOutdated reports whether the roster still names an earlier holder of the seat of
// this instance.
func (f *Fleet) holderOutdated(self lease.SeatID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.state.Roster().Member(self)
	return ok && m.Instance != f.config.Self.Instance
}

// publishHolder writes this instance to the roster as the holder of its seat.
func (f *Fleet) publishHolder(c context.Context, self lease.SeatID) {
	f.mu.Lock()
	own := f.latestHolders[self]
	f.mu.Unlock()
	_ = f.changeRoster(c, func(r *lease.Roster, _ map[lease.SeatID]bool) {
		for i, m := range r.Members {
			if m.Seat == self {
				r.Members[i] = own
			}
		}
	})
}

// Leave marks this instance as leaving in the roster, so that it owns no names any more.
// It retries until c ends; if the table stays unavailable, the seat can still be passed
// on. If no other member stays, this instance is not marked and owns every name until it
// ends.
func (f *Fleet) Leave(c context.Context) {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	self := f.Self()
	stays := func(m lease.Member) bool { return m.Seat != self && !m.Leaving }
	f.retry(c, func(r *lease.Roster, _ map[lease.SeatID]bool) {
		if !slices.ContainsFunc(r.Members, stays) {
			return
		}
		for i, m := range r.Members {
			if m.Seat == self {
				r.Members[i].Leaving = true
			}
		}
	})
}

// ReleaseSeat removes this instance from the roster after its last request has ended.
// While the table is unavailable it retries, and passes the seat on to a replacement that
// asks for it, until c ends.
func (f *Fleet) ReleaseSeat(c context.Context) {
	f.mu.Lock()
	f.drained = true
	f.mu.Unlock()
	self := f.Self()
	f.retry(c, func(r *lease.Roster, _ map[lease.SeatID]bool) {
		r.Members = slices.DeleteFunc(r.Members, func(m lease.Member) bool { return m.Seat == self })
	})
	f.withState(func(s *lease.State, _ time.Time) { s.ReleaseSeat() })
}

// retry calls changeRoster until it succeeds, the seat was given up or c ends.
func (f *Fleet) retry(c context.Context, edit func(r *lease.Roster, ended map[lease.SeatID]bool)) {
	for f.Self() != "" && f.changeRoster(c, edit) != nil {
		if f.Timer.Wait(c, maintenanceInterval) != nil {
			return
		}
	}
}

type seatQuery struct {
	mesh.Message
	Holder *memberMessage `protobuf:"bytes,1,opt,name=holder,proto3"`
}

type seatReply struct {
	mesh.Message
	Passed  bool             `protobuf:"varint,1,opt,name=passed,proto3"`
	Holder  *memberMessage   `protobuf:"bytes,2,opt,name=holder,proto3"`
	Roster  []byte           `protobuf:"bytes,3,opt,name=roster,proto3"`
	Holders []*memberMessage `protobuf:"bytes,4,rep,name=holders,proto3"`
	Version int64            `protobuf:"varint,5,opt,name=version,proto3"`
}

// answerSeatRequest passes the seat of this instance on, at most once and only after the
// last request has ended. It gives up the seat and its votes before it returns the reply,
// so that the seat never has two holders that vote.
func (f *Fleet) answerSeatRequest(_ context.Context, _ string, q *seatQuery) (*seatReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.state.Self()
	if !f.drained || self == "" || q.Holder == nil {
		return &seatReply{}, nil
	}
	next := fromMessage(q.Holder)
	next.Seat = self
	m, _ := f.state.Roster().Member(self)
	next.Generation = max(m.Generation, f.latestHolders[self].Generation) + 1
	f.latestHolders[self] = next
	r := &seatReply{Passed: true, Holder: toMessage(next), Roster: encodeRoster(f.state.Roster()), Version: int64(f.state.InstalledLists())}
	for _, o := range f.latestHolders {
		r.Holders = append(r.Holders, toMessage(o))
	}
	f.state.ReleaseSeat()
	f.Recorder.Record(timeline.Event{Part: timeline.Fleet, Kind: timeline.SeatPassed, Detail: next.Instance})
	return r, nil
}

// requestSeat asks the leaving instances in turn for their seat while the table is
// unavailable.
func (f *Fleet) requestSeat(c context.Context) {
	for _, l := range f.ListedInstances() {
		if l.Kind != provider.KindEntry || !l.Leaving() || l.ID == f.config.Self.Instance {
			continue
		}
		x, cancel := context.WithTimeout(c, pingTimeout)
		r, err := mesh.Call[seatQuery, seatReply](x, f.Mesh, l.Mesh, seatMethod, &seatQuery{Holder: toMessage(f.config.Self)})
		cancel()
		if err == nil && r.Passed {
			f.takePassedSeat(c, l.Mesh, r)
			return
		}
	}
}

// takePassedSeat takes the seat that another instance passed on in r. This instance does
// not vote for one lease duration, until the votes of the earlier holder have expired.
func (f *Fleet) takePassedSeat(c context.Context, from string, r *seatReply) {
	for _, m := range r.Holders {
		f.updateHolder(fromMessage(m))
	}
	roster, err := DecodeRoster(r.Roster)
	if err != nil {
		return
	}
	f.installRoster(c, roster)
	_ = f.Catalog.Pull(c, f.Mesh, from)
	f.takeSeat(fromMessage(r.Holder), f.Timer.Now().Add(f.config.Lease.Duration), lists.Version(r.Version))
	f.pingAll(c)
}
