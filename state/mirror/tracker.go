package mirror

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ChangeTracker tell which rows of a table changed in what matters to requests, of a
// table whose rows change more often than that. X is what matters of a row; its
// zero value is that of a row that was removed.
//
// Two readers can differ in what they saw of a row that changed and changed
// back between two reads. Their digests differ then, and whoever asks both has
// to take over all rows. It is safe for concurrent use.
type ChangeTracker[X comparable] struct {
	mu    sync.Mutex
	known map[string]X
	since map[string]Version
	// newest is the version up to which the changes are known.
	newest Version
	digest uint64
}

// NewChangeTracker returns marks of a table of which no row is known.
func NewChangeTracker[X comparable]() *ChangeTracker[X] {
	return &ChangeTracker[X]{known: map[string]X{}, since: map[string]Version{}}
}

// Change is what matters of a row, with the version of its last change in that.
type Change[X comparable] struct {
	Key   string
	Value X
	Since Version
}

// Differs reports whether what matters of a row is not what is known of it.
func (m *ChangeTracker[X]) Differs(key string, x X) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.known[key]
	return !ok || old != x
}

// Record records what matters of some rows that were read together. It is told whole:
// of a table that is read anew, the versions of the rows that are gone are not known.
func (m *ChangeTracker[X]) Record(l []Change[X]) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range l {
		if old, ok := m.known[x.Key]; ok && old == x.Value {
			continue
		}
		m.digest ^= digest(x.Key, m.known[x.Key]) ^ digest(x.Key, x.Value)
		m.known[x.Key], m.since[x.Key] = x.Value, x.Since
		m.newest = max(m.newest, x.Since)
	}
}

// AdvanceTo notes that the changes up to a version are known.
func (m *ChangeTracker[X]) AdvanceTo(v Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.newest, v)
}

// Version returns the version up to which the changes are known.
func (m *ChangeTracker[X]) Version() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// Summary returns the version up to which the changes are known, and a digest that is the
// same for two instances that know the same of all rows.
func (m *ChangeTracker[X]) Summary() (Version, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest, m.digest
}

// AdvanceIfEqual takes over the version of an instance that knows the same of all rows, by
// its digest, and reports whether it does.
func (m *ChangeTracker[X]) AdvanceIfEqual(v Version, digest uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if digest != m.digest {
		return false
	}
	m.newest = max(m.newest, v)
	return true
}

func digest[X comparable](key string, x X) uint64 {
	var removed X
	if x == removed {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprint(key, "/", x))
}

// ChangedRow is a row with the version of its last change in what matters.
type ChangedRow struct {
	Row
	Since Version
}

// ChangedSince returns the rows that changed in what matters after a version, of those
// that rows returns, with the version up to which they are complete and the digest of
// what is known then.
func (m *ChangeTracker[X]) ChangedSince(after Version, rows func() []Row) (changed []ChangedRow, upTo Version, digest uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows() {
		if v := m.since[r.Key]; v > after {
			changed = append(changed, ChangedRow{Row: r, Since: v})
		}
	}
	return changed, m.newest, m.digest
}
