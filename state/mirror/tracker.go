package mirror

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ChangeTracker records which rows of a table changed in a way that is relevant to
// requests, in a table whose rows change more often than that. X is the relevant part of
// a row; its zero value represents a removed row.
//
// Two readers may have seen different versions of a row that changed, and changed back,
// between two reads. Their digests then differ, and an instance that takes changes from
// both must take all rows. A ChangeTracker is safe for concurrent use.
type ChangeTracker[X comparable] struct {
	mu sync.Mutex
	// values has the relevant part of each row, and changedAt the version at which it
	// last changed.
	values    map[string]X
	changedAt map[string]Version
	// version is the version up to which all changes are recorded.
	version Version
	digest  uint64
}

// NewChangeTracker returns a tracker without rows.
func NewChangeTracker[X comparable]() *ChangeTracker[X] {
	return &ChangeTracker[X]{values: map[string]X{}, changedAt: map[string]Version{}}
}

// Change is the relevant part of a row, with the version at which it last changed.
type Change[X comparable] struct {
	Key   string
	Value X
	Since Version
}

// Differs reports whether the relevant part of a row differs from the recorded one.
func (t *ChangeTracker[X]) Differs(key string, x X) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.values[key]
	return !ok || old != x
}

// Record records rows that were read together. Other instances see all of them or none:
// when a whole table is read again, removed rows get the version of the table, and a peer
// must not get the newer rows without these removals.
func (t *ChangeTracker[X]) Record(l []Change[X]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range l {
		if old, ok := t.values[x.Key]; ok && old == x.Value {
			continue
		}
		t.digest ^= rowDigest(x.Key, t.values[x.Key]) ^ rowDigest(x.Key, x.Value)
		t.values[x.Key], t.changedAt[x.Key] = x.Value, x.Since
		t.version = max(t.version, x.Since)
	}
}

// AdvanceTo records that all changes up to a version are known.
func (t *ChangeTracker[X]) AdvanceTo(v Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, v)
}

// Version returns the version up to which all changes are recorded.
func (t *ChangeTracker[X]) Version() Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Summary returns the version up to which all changes are recorded, and a digest of the
// relevant parts of all rows.
func (t *ChangeTracker[X]) Summary() (Version, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.digest
}

// AdvanceIfEqual advances to the version of another instance if the digests show that its
// rows are equal in their relevant parts, and reports whether they are.
func (t *ChangeTracker[X]) AdvanceIfEqual(v Version, digest uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if digest != t.digest {
		return false
	}
	t.version = max(t.version, v)
	return true
}

// rowDigest returns the contribution of a row to the digest of a table. It is 0 for a
// removed row.
func rowDigest[X comparable](key string, x X) uint64 {
	var removed X
	if x == removed {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprint(key, "/", x))
}

// ChangedRow is a row with the version at which its relevant part last changed.
type ChangedRow struct {
	Row
	Since Version
}

// ChangedSince returns those of the rows whose relevant part changed after a version, the
// version up to which they are complete, and the digest at that version. The function rows
// is called with the tracker locked, so that its rows match the version.
func (t *ChangeTracker[X]) ChangedSince(after Version, rows func() []Row) (changed []ChangedRow, upTo Version, digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows() {
		if v := t.changedAt[r.Key]; v > after {
			changed = append(changed, ChangedRow{Row: r, Since: v})
		}
	}
	return changed, t.version, t.digest
}
