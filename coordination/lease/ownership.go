package lease

import (
	"slices"
	"time"
)

// Term identifies an uninterrupted period in which this instance owned a name.
type Term int64

// ownership is the current term of an owned name.
type ownership struct {
	term Term
	// validUntil is the instant at which the votes received so far expire.
	validUntil time.Time
}

// noNewPredecessor reports whether every candidate that ranks before this instance in
// next already ranked before it in present.
func (s *State) noNewPredecessor(next, present []Member) bool {
	before := map[SeatID]bool{}
	for _, m := range present {
		if m.Seat == s.self {
			break
		}
		before[m.Seat] = true
	}
	for _, m := range next {
		if m.Seat == s.self {
			return true
		}
		if !before[m.Seat] {
			return false
		}
	}
	return false
}

// candidates returns the members that may own name, highest ranked first.
func (s *State) candidates(name string) []Member {
	o, ok := s.candidateCache[name]
	if !ok {
		o = s.roster.Candidates(name)
		s.candidateCache[name] = o
	}
	return o
}

// Excluded reports whether a majority votes against the member in seat.
func (s *State) Excluded(seat SeatID, now time.Time) bool {
	if seat == s.self {
		return false
	}
	_, ok := s.excludedUntil(seat, now)
	return ok
}

// Owner returns the member that this instance takes for the owner of name: the highest
// ranked candidate that is not excluded.
func (s *State) Owner(name string, now time.Time) (Member, bool) {
	for _, m := range s.candidates(name) {
		if !s.Excluded(m.Seat, now) {
			return m, true
		}
	}
	return Member{}, false
}

// Standby returns the candidate that becomes the owner of name if the present owner is
// excluded.
func (s *State) Standby(name string, now time.Time) (Member, bool) {
	ownerFound := false
	for _, m := range s.candidates(name) {
		if s.Excluded(m.Seat, now) {
			continue
		}
		if ownerFound {
			return m, true
		}
		ownerFound = true
	}
	return Member{}, false
}

// Owns reports whether this instance owns name at the instant now, and returns its term.
// At most one instance owns a name at any instant. The term is the same as at an earlier
// call only if no other instance owned the name in between.
func (s *State) Owns(name string, now time.Time) (Term, bool) {
	until, ok := s.ownedUntil(name, now)
	h, held := s.owned[name]
	if !ok && s.carriedOver[name] && now.Before(h.validUntil) {
		// The votes of the previous epoch have not expired yet.
		return h.term, true
	}
	if !ok {
		delete(s.owned, name)
		delete(s.carriedOver, name)
		return 0, false
	}
	if !held || now.After(h.validUntil) {
		s.lastTerm++
		h.term = s.lastTerm
	}
	h.validUntil = until
	s.owned[name] = h
	return h.term, true
}

// ExtendTerms re-evaluates every owned name, so that its term continues while the votes
// suffice. Without the call, a name that Owns does not evaluate before its votes expire
// gets a new term.
func (s *State) ExtendTerms(now time.Time) {
	for name := range s.owned {
		s.Owns(name, now)
	}
}

// ownedUntil returns the instant until which the votes received so far prove that this
// instance owns name.
func (s *State) ownedUntil(name string, now time.Time) (time.Time, bool) {
	if s.self == "" || s.roster.Epoch == 0 {
		return now, false
	}
	if !s.carriedOver[name] && !s.EarlierEpochsExpired(now) {
		return now, false
	}
	until, ok := s.majorityUntil(now, 1, func(e timedReply) bool { return e.Confirms })
	for _, m := range s.candidates(name) {
		if !ok || m.Seat == s.self {
			return until, ok
		}
		var excluded time.Time
		excluded, ok = s.excludedUntil(m.Seat, now)
		if excluded.Before(until) {
			until = excluded
		}
	}
	return now, false
}

// excludedUntil returns the instant until which a majority votes against the member in
// seat.
func (s *State) excludedUntil(seat SeatID, now time.Time) (time.Time, bool) {
	own := 0
	if slices.Contains(s.denials(now), seat) {
		own = 1
	}
	return s.majorityUntil(now, own, func(e timedReply) bool { return slices.Contains(e.Denies, seat) })
}

// majorityUntil returns the instant until which a majority agrees. own is the number of
// votes of this instance; each unexpired reply for which f holds counts as one vote more.
// It returns false without a majority.
func (s *State) majorityUntil(now time.Time, own int, f func(timedReply) bool) (time.Time, bool) {
	var sentTimes []time.Time
	for _, m := range s.roster.Members {
		e, ok := s.replies[m.Seat]
		if m.Seat != s.self && ok && e.Epoch == s.roster.Epoch && now.Sub(e.sentAt) < s.config.Duration && f(e) {
			sentTimes = append(sentTimes, e.sentAt)
		}
	}
	needed := s.roster.Majority() - own
	switch {
	case needed <= 0:
		return now.Add(s.config.Duration), true
	case len(sentTimes) < needed:
		return now, false
	}
	slices.SortFunc(sentTimes, func(a, b time.Time) int { return b.Compare(a) })
	return sentTimes[needed-1].Add(s.config.Duration), true
}
