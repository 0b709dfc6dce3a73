// Package mirror keeps a copy of one table of the platform's store, and
// answers which rows have changed since a version.
package mirror

import (
	"slices"
	"sync"
)

// Version is a value of the store's counter, which rises with every
// transaction over all tables.
type Version int64

// Row is a row of the table. A removed row keeps the version of its removal.
type Row struct {
	Key     string
	Value   []byte
	Version Version
	Removed bool
}

// Mirror is a copy of a table. It is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	rows    map[string]Row
	version Version
	newest  Version
	loaded  bool
}

// New returns an empty copy.
func New() *Mirror {
	return &Mirror{rows: map[string]Row{}}
}

// Apply takes over rows that are newer than the copy's and returns those that
// changed it. An older row never replaces a newer one. The rows are complete up
// to a version, or 0.
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

// Replace takes over a whole table as of a version: rows that are missing and
// not newer have been removed. It returns the rows that changed.
//
// An instance that hands out its copy has not been told of a row that changed and
// changed back. Its older version of the row holds as of the version of the table,
// against one between the two.
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

// Loaded reports whether the whole table was read once.
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

// Newest returns the version of the newest row.
func (m *Mirror) Newest() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// Since returns the rows that changed after a version, removed ones too.
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
