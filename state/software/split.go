package software

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// slots is the number of parts into which the streams of a service are divided.
const slots = 64

// Slot is a part of the streams of a service.
type Slot int

// SlotOf returns the slot of the streams with a key, which is the same for a request that begins a
// stream and those that take it up.
func SlotOf(key string) Slot { return Slot(xxhash.Sum64String(key) % slots) }

// Assignment is the version at which the streams of a slot begin, since a time of the store. Until
// SwitchDelay later they begin at Previous, unless that is empty.
type Assignment struct {
	Version, Previous Version
	Since             time.Duration
}

// planned returns the version at which streams begin at a time of the store.
func (a Assignment) planned(now time.Duration) Version {
	if a.Previous != "" && now-a.Since < SwitchDelay {
		return a.Previous
	}
	return a.Version
}

// Planned returns the version at which the streams of a slot begin at a time of the store, or an empty one.
func (s Split) Planned(x Slot, now time.Duration) Version { return s[x].planned(now) }

// Mixed reports whether streams begin at several versions at a time of the store, and all instances know that.
func (s Split) Mixed(now time.Duration) bool {
	for _, a := range s {
		if a.planned(now) != s[0].planned(now) {
			return true
		}
	}
	return false
}

// Split assigns the streams of a service to the versions of its upstreams, so that any instance can
// tell at which version a stream began. The zero value assigns none.
//
// Load pattern: upstreams of several versions serve side by side, and all instances are killed within
// a second of the first event of many streams.
type Split [slots]Assignment

// tolerance is the number of slots by which the share of a version may differ from that of its
// upstreams. A change costs a write and makes the streams of its slots unsettled for a while, and
// upstreams come and go.
const tolerance = 4

// Next returns the split for the present numbers of upstreams that serve each version, and whether
// it differs. The parameter now is a time of the store.
func (s Split) Next(serving map[Version]int, now time.Duration) (Split, bool) {
	total := 0
	for _, n := range serving {
		total += n
	}
	if total == 0 {
		return s, false
	}
	target := targets(serving, total)
	if s == (Split{}) {
		return first(target, now), true
	}
	if !s.differs(target) {
		return s, false
	}
	have := s.Counts()
	free := make([]int, 0, slots)
	for i := slots - 1; i >= 0; i-- {
		if v := s[i].Version; have[v] > target[v] {
			have[v]--
			free = append(free, i)
		}
	}
	for _, v := range slices.Sorted(maps.Keys(target)) {
		for have[v] < target[v] {
			i := free[0]
			s[i] = Assignment{Version: v, Previous: s[i].planned(now), Since: now}
			have[v]++
			free = free[1:]
		}
	}
	return s, true
}

// targets returns the number of slots for each version. Each one that serves has at least one.
func targets(serving map[Version]int, total int) map[Version]int {
	versions := slices.SortedFunc(maps.Keys(serving), func(a, b Version) int {
		return cmp.Or(cmp.Compare(serving[a], serving[b]), cmp.Compare(a, b))
	})
	out := map[Version]int{}
	rest := slots
	for _, v := range versions {
		n := serving[v]
		if n == 0 || rest == 0 {
			continue
		}
		out[v] = min(rest, max(1, rest*n/total))
		rest, total = rest-out[v], total-n
	}
	return out
}

// first returns the first split of a service. With a single version, no stream can have begun at
// another one.
func first(target map[Version]int, now time.Duration) Split {
	var s Split
	if len(target) == 1 {
		now = 0
	}
	i := 0
	for _, v := range slices.Sorted(maps.Keys(target)) {
		for range target[v] {
			s[i] = Assignment{Version: v, Since: now}
			i++
		}
	}
	return s
}

// Counts returns the number of slots of each version.
func (s Split) Counts() map[Version]int {
	out := map[Version]int{}
	for _, a := range s {
		out[a.Version]++
	}
	return out
}

// ChangedAt returns the time of the store at which the split last changed.
func (s Split) ChangedAt() time.Duration {
	var t time.Duration
	for _, a := range s {
		t = max(t, a.Since)
	}
	return t
}

// differs reports whether a version is missing from the split, is in it without need, or has a share
// that is too large or too small.
func (s Split) differs(target map[Version]int) bool {
	have := s.Counts()
	for v, n := range target {
		if have[v] == 0 || max(have[v]-n, n-have[v]) > tolerance {
			return true
		}
	}
	for v := range have {
		if target[v] == 0 {
			return true
		}
	}
	return false
}

// Single reports whether all streams begin at one version, and have done so for longer than d.
func (s Split) Single(now, d time.Duration) bool {
	for _, a := range s {
		if a.Version != s[0].Version || a.Version == "" || !a.settled(now, d) {
			return false
		}
	}
	return true
}

// Begun returns the version at which the streams of a slot that are not older than d began, and
// false if the slot has been assigned too recently to tell.
func (s Split) Begun(x Slot, now, d time.Duration) (Version, bool) {
	a := s[x]
	return a.Version, a.Version != "" && a.settled(now, d)
}

func (a Assignment) settled(now, d time.Duration) bool { return a.Since == 0 || now-a.Since > d }
