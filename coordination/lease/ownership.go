package lease

import (
	"slices"
	"time"
)

// Term numbers the uninterrupted spans in which this instance owned a name.
type Term int64

type holding struct {
	tenure Term
	// until is the instant at which the evidence known so far ends.
	until time.Time
}

// precededBy reports whether every member before this instance in the next
// order was before it in the present one.
func (s *State) precededBy(next, present []Member) bool {
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

// order returns the members that may own name, best first.
func (s *State) order(name string) []Member {
	o, ok := s.orders[name]
	if !ok {
		o = s.roster.Candidates(name)
		s.orders[name] = o
	}
	return o
}

// Excluded reports whether a majority votes against a member.
func (s *State) Excluded(seat SeatID, now time.Time) bool {
	if seat == s.self {
		return false
	}
	_, ok := s.excludedUntil(seat, now)
	return ok
}

// Owner returns the member that this instance takes for the owner of name.
func (s *State) Owner(name string, now time.Time) (Member, bool) {
	for _, m := range s.order(name) {
		if !s.Excluded(m.Seat, now) {
			return m, true
		}
	}
	return Member{}, false
}

// Standby returns the member that follows the owner of name.
func (s *State) Standby(name string, now time.Time) (Member, bool) {
	skipped := false
	for _, m := range s.order(name) {
		if s.Excluded(m.Seat, now) {
			continue
		}
		if skipped {
			return m, true
		}
		skipped = true
	}
	return Member{}, false
}

// Owns reports whether this instance owns name at this instant, and the
// tenure. At most one instance owns a name at any instant. The tenure is the
// same as at an earlier call only if no other instance owned the name between.
func (s *State) Owns(name string, now time.Time) (Term, bool) {
	until, ok := s.owns(name, now)
	h, held := s.holdings[name]
	if !ok && s.carried[name] && now.Before(h.until) {
		// The votes of the epoch before last until then.
		return h.tenure, true
	}
	if !ok {
		delete(s.holdings, name)
		delete(s.carried, name)
		return 0, false
	}
	if !held || now.After(h.until) {
		s.tenures++
		h.tenure = s.tenures
	}
	h.until = until
	s.holdings[name] = h
	return h.tenure, true
}

// ExtendTerms evaluates every name that is held, so that a tenure goes on while
// the votes do.
func (s *State) ExtendTerms(now time.Time) {
	for name := range s.holdings {
		s.Owns(name, now)
	}
}

// owns returns the instant until which the known evidence suffices.
func (s *State) owns(name string, now time.Time) (time.Time, bool) {
	if s.self == "" || s.roster.Epoch == 0 {
		return now, false
	}
	if !s.carried[name] && !s.EarlierEpochsExpired(now) {
		return now, false
	}
	until, ok := s.until(now, 1, func(e evidence) bool { return e.Confirms })
	for _, m := range s.order(name) {
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

func (s *State) excludedUntil(seat SeatID, now time.Time) (time.Time, bool) {
	own := 0
	if slices.Contains(s.denials(now), seat) {
		own = 1
	}
	return s.until(now, own, func(e evidence) bool { return slices.Contains(e.Denies, seat) })
}

// until returns the instant until which a majority of votes lasts, when own
// votes are this instance's and the others are the evidence for which f
// holds. It returns false without a majority.
func (s *State) until(now time.Time, own int, f func(evidence) bool) (time.Time, bool) {
	var ats []time.Time
	for _, m := range s.roster.Members {
		e, ok := s.evidence[m.Seat]
		if m.Seat != s.self && ok && e.Epoch == s.roster.Epoch && now.Sub(e.at) < s.config.Duration && f(e) {
			ats = append(ats, e.at)
		}
	}
	needed := s.roster.Majority() - own
	switch {
	case needed <= 0:
		return now.Add(s.config.Duration), true
	case len(ats) < needed:
		return now, false
	}
	slices.SortFunc(ats, func(a, b time.Time) int { return b.Compare(a) })
	return ats[needed-1].Add(s.config.Duration), true
}
