package lease

import (
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// Config sets the spans of the lease.
type Config struct {
	// Duration is how long evidence counts.
	Duration time.Duration
	// SuspicionTimeout is the silence after which a member is suspected.
	SuspicionTimeout time.Duration
}

// Reply is a member's answer to a ping.
type Reply struct {
	Seat    SeatID
	Epoch   Epoch
	Version lists.Version
	// Confirms is the vote for the sender's ownership.
	Confirms bool
	// Denies lists the members against which the answering member votes.
	Denies []SeatID
}

type evidence struct {
	Reply
	// at is the instant just before the ping was sent.
	at time.Time
}

type vote struct {
	known     time.Time
	heard     time.Time
	streak    time.Time
	confirmed time.Time
	denied    time.Time
}

// State is what one instance knows. It is not safe for concurrent use.
type State struct {
	config    Config
	self      SeatID
	roster    Roster
	installed lists.Version
	required  lists.Version
	store     time.Time
	evidence  map[SeatID]evidence
	votes     map[SeatID]*vote
	abstain   time.Time
	majority  time.Time
	holdings  map[string]holding
	carried   map[string]bool
	orders    map[string][]Member
	tenures   Term
}

// New returns the state of an instance without a seat.
func New(c Config) *State {
	return &State{
		config:   c,
		evidence: map[SeatID]evidence{},
		votes:    map[SeatID]*vote{},
		holdings: map[string]holding{},
		carried:  map[string]bool{},
		orders:   map[string][]Member{},
	}
}

// Self returns the own seat, or an empty text without one.
func (s *State) Self() SeatID {
	return s.self
}

// Roster returns the roster that the state is at.
func (s *State) Roster() Roster {
	return s.roster
}

// InstalledLists returns the version of the lists that is installed.
func (s *State) InstalledLists() lists.Version {
	return s.installed
}

// TakeSeat gives the instance its seat. Until the instant abstain it does not
// vote, so that votes of an earlier holder have lapsed. It answers pings only
// when it has installed version required.
func (s *State) TakeSeat(self SeatID, abstain time.Time, required lists.Version) {
	s.self = self
	s.abstain = abstain
	s.required = required
}

// ReleaseSeat gives up the seat and everything that was owned with it.
func (s *State) ReleaseSeat() {
	s.self = ""
	s.holdings = map[string]holding{}
	s.carried = map[string]bool{}
}

// InstallLists records that a version of the lists is in effect here.
func (s *State) InstallLists(v lists.Version) {
	s.installed = max(s.installed, v)
}

// InstallRoster moves to a newer roster. What the instance owns at this
// instant and still comes first for, it may keep without waiting.
func (s *State) InstallRoster(r Roster, now time.Time) bool {
	if r.Epoch <= s.roster.Epoch {
		return false
	}
	carried := map[string]bool{}
	for name := range s.holdings {
		_, ok := s.Owns(name, now)
		carried[name] = ok && s.precededBy(r.Candidates(name), s.order(name))
	}
	s.carried = carried
	s.orders = map[string][]Member{}
	s.roster = r
	s.majority = time.Time{}
	s.forget(now)
	s.noteMajority(now)
	return true
}

func (s *State) forget(now time.Time) {
	votes := map[SeatID]*vote{}
	kept := map[SeatID]evidence{}
	for _, m := range s.roster.Members {
		votes[m.Seat] = s.vote(m.Seat, now)
		if e, ok := s.evidence[m.Seat]; ok {
			kept[m.Seat] = e
		}
	}
	s.votes = votes
	s.evidence = kept
}

func (s *State) vote(seat SeatID, now time.Time) *vote {
	v, ok := s.votes[seat]
	if !ok {
		v = &vote{known: now, heard: now, streak: now}
		s.votes[seat] = v
	}
	return v
}

// RecordTableRead records that the platform's table confirmed version v, asked for at
// the instant at.
func (s *State) RecordTableRead(at time.Time, v lists.Version) {
	if v <= s.installed && at.After(s.store) {
		s.store = at
	}
}

// RecordReply records the reply to a ping that was sent at the instant at.
func (s *State) RecordReply(r Reply, at, now time.Time) {
	if _, ok := s.roster.Member(r.Seat); !ok {
		return
	}
	if e, ok := s.evidence[r.Seat]; ok && e.at.After(at) {
		return
	}
	s.evidence[r.Seat] = evidence{Reply: r, at: at}
	s.noteMajority(now)
}

func (s *State) noteMajority(now time.Time) {
	if s.majority.IsZero() && s.reached() >= s.roster.Majority() {
		s.majority = now
	}
}

// reached counts the members known to be at this epoch, itself included.
func (s *State) reached() int {
	n := 0
	for _, m := range s.roster.Members {
		if m.Seat == s.self {
			n++
			continue
		}
		if e, ok := s.evidence[m.Seat]; ok && e.Epoch >= s.roster.Epoch {
			n++
		}
	}
	return n
}

// AnswerPing replies to a ping of a member. It returns false when the instance
// has no seat or must not give evidence yet.
func (s *State) AnswerPing(from SeatID, now time.Time) (Reply, bool) {
	if s.self == "" || s.installed < s.required {
		return Reply{}, false
	}
	r := Reply{Seat: s.self, Epoch: s.roster.Epoch, Version: s.installed}
	if _, ok := s.roster.Member(from); ok && from != s.self {
		s.hear(from, now)
		r.Confirms = s.confirms(from, now)
	}
	r.Denies = s.denials(now)
	return r, true
}

func (s *State) hear(from SeatID, now time.Time) {
	v := s.vote(from, now)
	if now.Sub(v.heard) >= s.config.SuspicionTimeout {
		v.streak = now
	}
	v.heard = now
}

func (s *State) confirms(seat SeatID, now time.Time) bool {
	v := s.vote(seat, now)
	if now.Before(s.abstain) || s.suspects(v, now) || now.Sub(v.denied) < s.config.Duration {
		return false
	}
	v.confirmed = now
	return true
}

// denials returns the members that this instance votes against. A vote for
// and a vote against the same member lie at least one lease apart.
func (s *State) denials(now time.Time) []SeatID {
	if s.self == "" || now.Before(s.abstain) {
		return nil
	}
	var denied []SeatID
	for _, m := range s.roster.Members {
		if m.Seat == s.self {
			continue
		}
		v := s.vote(m.Seat, now)
		if s.suspects(v, now) && now.Sub(v.confirmed) >= s.config.Duration {
			v.denied = now
			denied = append(denied, m.Seat)
		}
	}
	return denied
}

// suspects reports whether a member is silent, or was denied and has not been
// heard steadily since.
func (s *State) suspects(v *vote, now time.Time) bool {
	if now.Sub(v.heard) >= s.config.SuspicionTimeout {
		return true
	}
	return v.denied.After(v.confirmed) && now.Sub(v.streak) < 2*s.config.Duration
}

// Serving reports whether the instance may act on its installed lists: either
// the table confirmed them within one lease, or a majority of the roster did.
func (s *State) Serving(now time.Time) bool {
	if s.self == "" || s.roster.Epoch == 0 {
		return false
	}
	if now.Sub(s.store) < s.config.Duration {
		return true
	}
	_, ok := s.until(now, 1, func(e evidence) bool { return e.Version <= s.installed })
	return ok
}

// EarlierEpochsExpired reports whether no instance can own anything under an earlier
// epoch any more.
func (s *State) EarlierEpochsExpired(now time.Time) bool {
	if !s.roster.Purged && s.reached() == len(s.roster.Members) {
		return true
	}
	return !s.majority.IsZero() && now.Sub(s.majority) >= s.config.Duration
}

// AllAtEpoch reports whether every member is known to be at this epoch.
func (s *State) AllAtEpoch() bool {
	return s.reached() == len(s.roster.Members)
}

// MajorityAtEpoch reports whether a majority of the members that are not
// listed in gone is known to be at this epoch, so that a next one may follow.
func (s *State) MajorityAtEpoch(gone map[SeatID]bool) bool {
	alive := 0
	reached := 0
	for _, m := range s.roster.Members {
		if gone[m.Seat] {
			continue
		}
		alive++
		if e, ok := s.evidence[m.Seat]; m.Seat == s.self || (ok && e.Epoch >= s.roster.Epoch) {
			reached++
		}
	}
	return alive == 0 || reached >= alive/2+1
}

// Silent returns the members from which no reply is younger than one lease.
func (s *State) Silent(now time.Time) []SeatID {
	return s.SilentFor(now, s.config.Duration)
}

// SilentFor returns the members from which no reply is younger than d and
// that have been known for d.
func (s *State) SilentFor(now time.Time, d time.Duration) []SeatID {
	var silent []SeatID
	for _, m := range s.roster.Members {
		if m.Seat == s.self {
			continue
		}
		e, ok := s.evidence[m.Seat]
		known := s.vote(m.Seat, now).known
		if now.Sub(known) >= d && (!ok || now.Sub(e.at) >= d) {
			silent = append(silent, m.Seat)
		}
	}
	return silent
}
