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

const seatBytes = 8

func newSeat() lease.SeatID {
	b := make([]byte, seatBytes)
	_, _ = rand.Read(b)
	return lease.SeatID(hex.EncodeToString(b))
}

var errNotReady = eris.New("a majority is not yet at this epoch")

// succeed writes the roster that edit makes from the present one. It fails
// with errNotReady while a majority of the live members is not known to be at
// the present epoch.
func (f *Fleet) succeed(c context.Context, edit func(r *lease.Roster, gone map[lease.SeatID]bool)) error {
	r, version, err := ReadRoster(c, f.Table)
	if err != nil {
		return err
	}
	f.installRoster(c, r)
	gone := f.gone()
	maps.Copy(gone, f.orphans(r))
	ready := false
	f.with(func(s *lease.State, _ time.Time) {
		ready = s.Roster().Epoch == r.Epoch && s.MajorityAtEpoch(gone)
	})
	if !ready {
		return errNotReady
	}
	next := lease.Roster{Epoch: r.Epoch + 1, Members: slices.Clone(r.Members)}
	edit(&next, gone)
	if err := writeRoster(c, f.Table, next, version); err != nil {
		return err
	}
	f.installRoster(c, next)
	return nil
}

// gone returns the members that are silent and that the platform's list does
// not show.
func (f *Fleet) gone() map[lease.SeatID]bool {
	gone := map[lease.SeatID]bool{}
	f.mu.Lock()
	fresh := f.Timer.Now().Sub(f.listedAt) < purgeSilence
	listed := f.listed
	f.mu.Unlock()
	if !fresh {
		return gone
	}
	r := f.Roster()
	for _, seat := range f.silentFor() {
		m, _ := r.Member(seat)
		shown := slices.ContainsFunc(listed, func(l provider.Instance) bool { return l.ID == m.Instance })
		if !shown {
			gone[seat] = true
		}
	}
	return gone
}

// orphans returns the seats under this instance's name that it does not hold:
// those of an earlier process, or of a join whose answer was lost.
func (f *Fleet) orphans(r lease.Roster) map[lease.SeatID]bool {
	all := map[lease.SeatID]bool{}
	self := f.Self()
	for _, m := range r.Members {
		if m.Instance == f.config.Self.Instance && m.Seat != self {
			all[m.Seat] = true
		}
	}
	return all
}

func (f *Fleet) silentFor() []lease.SeatID {
	var silent []lease.SeatID
	f.with(func(s *lease.State, now time.Time) { silent = s.SilentFor(now, purgeSilence) })
	return silent
}

// maintain joins the roster, corrects the own entry and removes members that
// have ended.
func (f *Fleet) maintain(c context.Context) {
	f.mu.Lock()
	leaving := f.leaving
	f.mu.Unlock()
	self := f.Self()
	switch {
	case leaving:
	case self == "":
		f.join(c)
	case f.holderDiffers(self):
		f.publishHolder(c, self)
	case f.purges() || len(f.orphans(f.Roster())) > 0:
		f.purge(c)
	}
}

func (f *Fleet) join(c context.Context) {
	m := f.config.Self
	m.Seat = newSeat()
	f.pingAll(c)
	err := f.succeed(c, func(r *lease.Roster, gone map[lease.SeatID]bool) {
		f.removeGone(r, gone)
		r.Members = append(r.Members, m)
	})
	switch {
	case err == nil:
		f.takeSeat(m, f.Timer.Now(), 0)
	case errors.Is(err, provider.ErrUnavailable):
		f.settleJoin(c, m)
		f.askForSeat(c)
	}
}

// settleJoin takes the seat when the write with the lost answer took effect.
func (f *Fleet) settleJoin(c context.Context, m lease.Member) {
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
	f.with(func(s *lease.State, _ time.Time) { s.TakeSeat(m.Seat, abstain, required) })
	f.Recorder.Record(timeline.Event{Part: timeline.Fleet, Kind: timeline.Joined, Detail: string(m.Seat)})
	f.Log.Info("seat taken", zap.String("seat", string(m.Seat)))
}

func (f *Fleet) removeGone(r *lease.Roster, gone map[lease.SeatID]bool) {
	kept := slices.DeleteFunc(r.Members, func(m lease.Member) bool { return gone[m.Seat] })
	r.Purged = len(kept) < len(r.Members)
	r.Members = kept
}

// purges reports whether it falls to this instance to remove members.
func (f *Fleet) purges() bool {
	if len(f.gone()) == 0 {
		return false
	}
	m, ok := f.Owner(RosterRow)
	return ok && m.Seat == f.Self()
}

func (f *Fleet) purge(c context.Context) {
	err := f.succeed(c, f.removeGone)
	if err == nil {
		f.Log.Info("ended members removed")
	}
}

// holderDiffers reports whether the roster still shows an earlier holder of
// the own seat.
func (f *Fleet) holderDiffers(self lease.SeatID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.state.Roster().Member(self)
	return ok && m.Instance != f.config.Self.Instance
}

func (f *Fleet) publishHolder(c context.Context, self lease.SeatID) {
	f.mu.Lock()
	own := f.overlay[self]
	f.mu.Unlock()
	_ = f.succeed(c, func(r *lease.Roster, _ map[lease.SeatID]bool) {
		for i, m := range r.Members {
			if m.Seat == self {
				r.Members[i] = own
			}
		}
	})
}

// Leave tells the fleet that this instance takes no new work. It tries until
// c ends; without the table the seat can still be passed on. The last member
// goes on owning everything until it ends.
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

// ReleaseSeat gives up the seat after the last work has ended. While the table
// gives no answer it waits for a replacement that asks for the seat, until c
// ends.
func (f *Fleet) ReleaseSeat(c context.Context) {
	f.mu.Lock()
	f.idle = true
	f.mu.Unlock()
	self := f.Self()
	f.retry(c, func(r *lease.Roster, _ map[lease.SeatID]bool) {
		r.Members = slices.DeleteFunc(r.Members, func(m lease.Member) bool { return m.Seat == self })
	})
	f.with(func(s *lease.State, _ time.Time) { s.ReleaseSeat() })
}

func (f *Fleet) retry(c context.Context, edit func(r *lease.Roster, gone map[lease.SeatID]bool)) {
	for f.Self() != "" && f.succeed(c, edit) != nil {
		if f.Timer.Wait(c, membershipTick) != nil {
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

// answerSeat passes the own seat on once, after the last work has ended. Seat
// and votes are given up before the answer is sent.
func (f *Fleet) answerSeat(_ context.Context, _ string, q *seatQuery) (*seatReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.state.Self()
	if !f.idle || self == "" || q.Holder == nil {
		return &seatReply{}, nil
	}
	next := fromMessage(q.Holder)
	next.Seat = self
	m, _ := f.state.Roster().Member(self)
	next.Generation = max(m.Generation, f.overlay[self].Generation) + 1
	f.overlay[self] = next
	r := &seatReply{Passed: true, Holder: toMessage(next), Roster: encodeRoster(f.state.Roster()), Version: int64(f.state.InstalledLists())}
	for _, o := range f.overlay {
		r.Holders = append(r.Holders, toMessage(o))
	}
	f.state.ReleaseSeat()
	f.Recorder.Record(timeline.Event{Part: timeline.Fleet, Kind: timeline.SeatPassed, Detail: next.Instance})
	return r, nil
}

// askForSeat asks the leaving instances for a seat while the table gives no
// answer.
func (f *Fleet) askForSeat(c context.Context) {
	for _, l := range f.ListedInstances() {
		if l.Kind != provider.KindEntry || !l.Leaving() || l.ID == f.config.Self.Instance {
			continue
		}
		x, cancel := context.WithTimeout(c, pingTimeout)
		r, err := mesh.Call[seatQuery, seatReply](x, f.Mesh, l.Mesh, seatMethod, &seatQuery{Holder: toMessage(f.config.Self)})
		cancel()
		if err == nil && r.Passed {
			f.inherit(c, l.Mesh, r)
			return
		}
	}
}

// inherit takes a passed seat. The votes of the earlier holder lapse before
// this instance votes.
func (f *Fleet) inherit(c context.Context, from string, r *seatReply) {
	for _, m := range r.Holders {
		f.learnHolder(fromMessage(m))
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
