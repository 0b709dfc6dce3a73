package mirror

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Marks tell which rows of a table changed in what matters to requests, of a
// table whose rows change more often than that. X is what matters of a row; its
// zero value is that of a row that was removed.
//
// Two readers can differ in what they saw of a row that changed and changed
// back between two reads. Their digests differ then, and whoever asks both has
// to take over all rows. It is safe for concurrent use.
type Marks[X comparable] struct {
	mu    sync.Mutex
	known map[string]X
	since map[string]Version
	// newest is the version up to which the changes are known.
	newest Version
	digest uint64
}

// NewMarks returns marks of a table of which no row is known.
func NewMarks[X comparable]() *Marks[X] {
	return &Marks[X]{known: map[string]X{}, since: map[string]Version{}}
}

// Note records what matters of a row, and reports whether that has changed.
func (m *Marks[X]) Note(key string, x X, v Version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.known[key]; ok && old == x {
		return false
	}
	m.digest ^= digest(key, m.known[key]) ^ digest(key, x)
	m.known[key], m.since[key] = x, v
	m.newest = max(m.newest, v)
	return true
}

// Reach notes that the changes up to a version are known.
func (m *Marks[X]) Reach(v Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.newest, v)
}

// Version returns the version up to which the changes are known.
func (m *Marks[X]) Version() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// Told returns the version up to which the changes are known and the digest of
// them, of one moment.
func (m *Marks[X]) Told() (Version, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest, m.digest
}

// Agree takes over the version of an instance that knows the same of all rows, by
// its digest, and reports whether it does.
func (m *Marks[X]) Agree(v Version, digest uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if digest != m.digest {
		return false
	}
	m.newest = max(m.newest, v)
	return true
}

// Digest is the same for two instances that know the same of all rows.
func (m *Marks[X]) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.digest
}

func digest[X comparable](key string, x X) uint64 {
	var removed X
	if x == removed {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprint(key, "/", x))
}

// Changed is a row with the version of its last change in what matters.
type Changed struct {
	Row
	Since Version
}

// Changed returns those of some rows that changed in what matters after a
// version.
func (m *Marks[X]) Changed(rows []Row, after Version) []Changed {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Changed
	for _, r := range rows {
		if v := m.since[r.Key]; v > after {
			out = append(out, Changed{Row: r, Since: v})
		}
	}
	return out
}
