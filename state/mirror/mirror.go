// Package mirror keeps a local copy of one table of the platform's store, and returns the
// rows that changed after a version.
package mirror

import (
	"slices"
	"sync"
)

// Era counts how often the store has come back from an older copy of itself. Era 0 means that the
// store states none; it is the same as the first one, 1.
type Era int64

// Version is the era of the store and the value of its transaction counter, which is common to all
// tables. Versions are ordered by era first. Version 0 stands for a row that does not exist.
type Version int64

// counterBits are the lower bits of a version, which hold the counter: enough for a century at a
// rate of several hundred transactions a second. The versions of the first 8,192 eras are exact in
// JSON numbers, and those of the first era equal the counter, as earlier builds exchange them.
const counterBits = 40

// MaxEra is the highest era that a version can hold.
const MaxEra Era = 1 << (62 - counterBits)

// NewVersion returns a version. The era must not be above MaxEra.
func NewVersion(e Era, counter int64) Version {
	return Version(int64(max(e, 1)-1)<<counterBits | counter)
}

// Era returns the era of a version, 1 or higher.
func (v Version) Era() Era { return Era(v>>counterBits) + 1 }

// Counter returns the value of the store's counter.
func (v Version) Counter() int64 { return int64(v) & (1<<counterBits - 1) }

// Row is a row of a table. A removed row is kept as a tombstone with the version of its
// removal.
type Row struct {
	Key     string
	Value   []byte
	Version Version
	Removed bool
}

// Mirror is a local copy of a table. It is safe for concurrent use.
type Mirror struct {
	mu   sync.Mutex
	rows map[string]Row
	// version is the version up to which the copy is complete, and newest that of the
	// newest row, which may be higher.
	version Version
	newest  Version
	loaded  bool
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{rows: map[string]Row{}}
}

// Apply applies the rows that are newer than those of the copy, and returns them. With
// these rows the copy is complete up to version upTo; 0 means that this is not known.
func (m *Mirror) Apply(rows []Row, upTo Version) []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []Row
	for _, r := range rows {
		if old, ok := m.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		m.rows[r.Key] = r
		m.newest = max(m.newest, r.Version)
		changed = append(changed, r)
	}
	m.version = max(m.version, upTo)
	return changed
}

// Replace replaces the copy by the whole table as of a version, and returns the rows that
// changed. Rows that are missing from the table are removed, unless they are newer.
//
// The table may come from another instance that never saw a row change and change back.
// Its older version of such a row is still valid as of the version of the table, so it
// replaces a version between the two.
func (m *Mirror) Replace(rows []Row, asOf Version) []Row {
	rows = slices.Clone(rows)
	seen := map[string]bool{}
	m.mu.Lock()
	for i, r := range rows {
		seen[r.Key] = true
		if old, ok := m.rows[r.Key]; ok && r.Version < old.Version && old.Version < asOf {
			rows[i].Version = asOf
		}
	}
	for k, r := range m.rows {
		if !seen[k] && !r.Removed && r.Version <= asOf {
			rows = append(rows, Row{Key: k, Version: asOf, Removed: true})
		}
	}
	m.loaded = true
	m.mu.Unlock()
	return m.Apply(rows, asOf)
}

// Loaded reports whether the whole table has been read at least once.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// Version returns the version up to which the copy is complete.
func (m *Mirror) Version() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Newest returns the highest version of a row.
func (m *Mirror) Newest() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// Get returns a row, which may be a removed one, and false if there never was one.
func (m *Mirror) Get(key string) (Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[key]
	return r, ok
}

// Since returns the rows that changed after a version, including removed ones.
func (m *Mirror) Since(v Version) []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Row
	for _, r := range m.rows {
		if r.Version > v {
			out = append(out, r)
		}
	}
	return out
}
