package lease

import (
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// Config sets the durations of the lease.
type Config struct {
	// Duration is how long a vote counts after the ping that it answers was sent.
	Duration time.Duration
	// SuspicionTimeout is the time without a ping after which a member is suspected.
	SuspicionTimeout time.Duration
}

// Reply is a member's reply to a ping.
type Reply struct {
	Seat    SeatID
	Epoch   Epoch
	Version lists.Version
	// Confirms is the vote that the sender of the ping may own names.
	Confirms bool
	// Denies lists the members that the replying member votes against.
	Denies []SeatID
}

// timedReply is the latest reply of a member.
type timedReply struct {
	Reply
	// sentAt is the instant just before the ping was sent.
	sentAt time.Time
}

// vote is the basis of the votes of this instance for and against one member.
type vote struct {
	knownSince time.Time
	lastPing   time.Time
	// steadySince is the first ping after the last gap of SuspicionTimeout or more.
	steadySince   time.Time
	lastConfirmed time.Time
	lastDenied    time.Time
}

// State is the view that one instance has of the fleet. It is not safe for concurrent
// use.
type State struct {
	config         Config
	self           SeatID
	roster         Roster
	installedLists lists.Version
	requiredLists  lists.Version
	tableReadAt    time.Time
	replies        map[SeatID]timedReply
	votes          map[SeatID]*vote
	abstainUntil   time.Time
	majorityAt     time.Time
	owned          map[string]ownership
	carriedOver    map[string]bool
	candidateCache map[string][]Member
	lastTerm       Term
}

// New returns the state of an instance without a seat.
func New(c Config) *State {
	return &State{
		config:         c,
		replies:        map[SeatID]timedReply{},
		votes:          map[SeatID]*vote{},
		owned:          map[string]ownership{},
		carriedOver:    map[string]bool{},
		candidateCache: map[string][]Member{},
	}
}

// Self returns the seat of this instance, or an empty SeatID without one.
func (s *State) Self() SeatID {
	return s.self
}

// Roster returns the installed roster.
func (s *State) Roster() Roster {
	return s.roster
}

// InstalledLists returns the installed version of the lists.
func (s *State) InstalledLists() lists.Version {
	return s.installedLists
}

// TakeSeat assigns a seat to the instance. The instance does not vote before abstain, so
// that the votes of an earlier holder of the seat have expired. It replies to pings only
// after it has installed version required of the lists.
func (s *State) TakeSeat(self SeatID, abstain time.Time, required lists.Version) {
	s.self = self
	s.abstainUntil = abstain
	s.requiredLists = required
}

// ReleaseSeat gives up the seat and every name that was owned with it.
func (s *State) ReleaseSeat() {
	s.self = ""
	s.owned = map[string]ownership{}
	s.carriedOver = map[string]bool{}
}

// InstallLists records that version v of the lists is installed. An older version than
// the recorded one is ignored.
func (s *State) InstallLists(v lists.Version) {
	s.installedLists = max(s.installedLists, v)
}

// InstallRoster installs r and returns true if it is newer than the present roster. A
// name that the instance owns at this instant stays owned, without waiting for earlier
// epochs to expire, if no new member ranks before this instance.
func (s *State) InstallRoster(r Roster, now time.Time) bool {
	if r.Epoch <= s.roster.Epoch {
		return false
	}
	carried := map[string]bool{}
	for name := range s.owned {
		_, ok := s.Owns(name, now)
		carried[name] = ok && s.noNewPredecessor(r.Candidates(name), s.candidates(name))
	}
	s.carriedOver = carried
	s.candidateCache = map[string][]Member{}
	s.roster = r
	s.majorityAt = time.Time{}
	s.pruneMembers(now)
	s.updateMajority(now)
	return true
}

// pruneMembers removes the votes and replies of seats that are not in the roster.
func (s *State) pruneMembers(now time.Time) {
	votes := map[SeatID]*vote{}
	kept := map[SeatID]timedReply{}
	for _, m := range s.roster.Members {
		votes[m.Seat] = s.vote(m.Seat, now)
		if e, ok := s.replies[m.Seat]; ok {
			kept[m.Seat] = e
		}
	}
	s.votes = votes
	s.replies = kept
}

func (s *State) vote(seat SeatID, now time.Time) *vote {
	v, ok := s.votes[seat]
	if !ok {
		v = &vote{knownSince: now, lastPing: now, steadySince: now}
		s.votes[seat] = v
	}
	return v
}

// RecordTableRead records that a read of the platform's table, sent at the instant at,
// returned v as the newest version of the lists. A version that is not installed yet is
// ignored.
func (s *State) RecordTableRead(at time.Time, v lists.Version) {
	if v <= s.installedLists && at.After(s.tableReadAt) {
		s.tableReadAt = at
	}
}

// RecordReply records the reply to a ping that was sent at the instant at. Replies of
// seats that are not in the roster and replies that arrive out of order are ignored.
func (s *State) RecordReply(r Reply, at, now time.Time) {
	if _, ok := s.roster.Member(r.Seat); !ok {
		return
	}
	if e, ok := s.replies[r.Seat]; ok && e.sentAt.After(at) {
		return
	}
	s.replies[r.Seat] = timedReply{Reply: r, sentAt: at}
	s.updateMajority(now)
}

// updateMajority records when a majority of the members was first known to be at this
// epoch.
func (s *State) updateMajority(now time.Time) {
	if s.majorityAt.IsZero() && s.countAtEpoch() >= s.roster.Majority() {
		s.majorityAt = now
	}
}

// countAtEpoch returns the number of members known to be at this epoch, including this
// instance.
func (s *State) countAtEpoch() int {
	n := 0
	for _, m := range s.roster.Members {
		if m.Seat == s.self {
			n++
			continue
		}
		if e, ok := s.replies[m.Seat]; ok && e.Epoch >= s.roster.Epoch {
			n++
		}
	}
	return n
}

// AnswerPing returns the reply to a ping of the member from. It returns false when the
// instance has no seat, or has not installed the required version of the lists and must
// not vote yet.
func (s *State) AnswerPing(from SeatID, now time.Time) (Reply, bool) {
	if s.self == "" || s.installedLists < s.requiredLists {
		return Reply{}, false
	}
	r := Reply{Seat: s.self, Epoch: s.roster.Epoch, Version: s.installedLists}
	if _, ok := s.roster.Member(from); ok && from != s.self {
		s.recordPing(from, now)
		r.Confirms = s.confirm(from, now)
	}
	r.Denies = s.denials(now)
	return r, true
}

func (s *State) recordPing(from SeatID, now time.Time) {
	v := s.vote(from, now)
	if now.Sub(v.lastPing) >= s.config.SuspicionTimeout {
		v.steadySince = now
	}
	v.lastPing = now
}

func (s *State) confirm(seat SeatID, now time.Time) bool {
	v := s.vote(seat, now)
	if now.Before(s.abstainUntil) || s.suspects(v, now) || now.Sub(v.lastDenied) < s.config.Duration {
		return false
	}
	v.lastConfirmed = now
	return true
}

// denials returns the members that this instance votes against. It casts a vote against a
// member only when its last vote for that member has expired, and the reverse.
func (s *State) denials(now time.Time) []SeatID {
	if s.self == "" || now.Before(s.abstainUntil) {
		return nil
	}
	var denied []SeatID
	for _, m := range s.roster.Members {
		if m.Seat == s.self {
			continue
		}
		v := s.vote(m.Seat, now)
		if s.suspects(v, now) && now.Sub(v.lastConfirmed) >= s.config.Duration {
			v.lastDenied = now
			denied = append(denied, m.Seat)
		}
	}
	return denied
}

// suspects reports whether a member has sent no ping within SuspicionTimeout, or was
// denied and has not pinged without such a gap for two lease durations.
func (s *State) suspects(v *vote, now time.Time) bool {
	if now.Sub(v.lastPing) >= s.config.SuspicionTimeout {
		return true
	}
	return v.lastDenied.After(v.lastConfirmed) && now.Sub(v.steadySince) < 2*s.config.Duration
}

// Serving reports whether the instance may serve with its installed lists: within one
// lease duration, either the table confirmed them or a majority of the members replied
// with no newer version.
func (s *State) Serving(now time.Time) bool {
	if s.self == "" || s.roster.Epoch == 0 {
		return false
	}
	if now.Sub(s.tableReadAt) < s.config.Duration {
		return true
	}
	_, ok := s.majorityUntil(now, 1, func(e timedReply) bool { return e.Version <= s.installedLists })
	return ok
}

// EarlierEpochsExpired reports whether no instance can own a name under an earlier epoch
// any more: every member is at this epoch, or a majority has been for one lease duration.
// Only the second condition counts if the epoch removed ended members (Roster.Purged).
func (s *State) EarlierEpochsExpired(now time.Time) bool {
	if !s.roster.Purged && s.countAtEpoch() == len(s.roster.Members) {
		return true
	}
	return !s.majorityAt.IsZero() && now.Sub(s.majorityAt) >= s.config.Duration
}

// AllAtEpoch reports whether every member is known to be at this epoch.
func (s *State) AllAtEpoch() bool {
	return s.countAtEpoch() == len(s.roster.Members)
}

// MajorityAtEpoch reports whether a majority of the members that are not in ended is
// known to be at this epoch. The next epoch may be written only then.
func (s *State) MajorityAtEpoch(ended map[SeatID]bool) bool {
	alive := 0
	reached := 0
	for _, m := range s.roster.Members {
		if ended[m.Seat] {
			continue
		}
		alive++
		if e, ok := s.replies[m.Seat]; m.Seat == s.self || (ok && e.Epoch >= s.roster.Epoch) {
			reached++
		}
	}
	return alive == 0 || reached >= alive/2+1
}

// Silent returns the members without a reply to a ping of the last lease duration.
func (s *State) Silent(now time.Time) []SeatID {
	return s.SilentFor(now, s.config.Duration)
}

// SilentFor returns the members that have been known for at least d and have not replied
// to a ping sent within the last d.
func (s *State) SilentFor(now time.Time, d time.Duration) []SeatID {
	var silent []SeatID
	for _, m := range s.roster.Members {
		if m.Seat == s.self {
			continue
		}
		e, ok := s.replies[m.Seat]
		known := s.vote(m.Seat, now).knownSince
		if now.Sub(known) >= d && (!ok || now.Sub(e.sentAt) >= d) {
			silent = append(silent, m.Seat)
		}
	}
	return silent
}
