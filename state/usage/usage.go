// Package usage decides what an instance tells the owners of engines of its
// requests there, and when.
//
// Load pattern: hundreds of instances each use a few engines at a time, for less
// time than it takes to tell everyone.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/state/pool"
)

const (
	// Interval is the time between two looks at what the owners of engines
	// have to be told. Its price is a datagram for each owner whose engines this
	// instance uses.
	Interval = 100 * time.Millisecond
	// repeat is the time after which work that goes on is told again, and
	// emptyRepeats the number of times that its end is told: reports may be lost.
	repeat       = 500 * time.Millisecond
	emptyRepeats = 3
	// believed is the age up to which a report is believed.
	believed = 4 * repeat
)

// told is what an owner was told of this instance's work on its engines.
type told struct {
	work []pool.Work
	at   time.Duration
	// empty counts the reports of no work in a row.
	empty int
	// asked is set when the owner counts a request that it was asked for.
	asked bool
}

// Report is what an instance has on the engines of one owner. Reports with a lower
// sequence are older.
type Report struct {
	Sequence int64
	Work     []pool.Work
}

// Reports keeps what the owners of engines were told, and which other instances
// report to this one. It is safe for concurrent use.
type Reports struct {
	mu       sync.Mutex
	sequence int64
	owners   map[string]*told
	// heard is when other instances reported to this one.
	heard map[string]time.Duration
}

// New returns the reports of an instance that has told nothing yet.
func New() *Reports {
	return &Reports{owners: map[string]*told{}, heard: map[string]time.Duration{}}
}

// Due takes over the work by owner, and returns the reports of the owners that
// have to be told now.
func (r *Reports) Due(work map[string][]pool.Work, now time.Duration) map[string]Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	for o := range work {
		if r.owners[o] == nil {
			r.owners[o] = &told{}
		}
	}
	out := map[string]Report{}
	for o, t := range r.owners {
		w := work[o]
		switch {
		case t.asked, !sameWork(t.work, w):
		case len(w) > 0 && now-t.at >= repeat:
		case len(w) == 0 && t.empty < emptyRepeats:
		case len(w) == 0:
			delete(r.owners, o)
			continue
		default:
			continue
		}
		t.work, t.at, t.asked = w, now, false
		t.empty++
		if len(w) > 0 {
			t.empty = 0
		}
		r.sequence++
		out[o] = Report{Sequence: r.sequence, Work: w}
	}
	return out
}

// sameWork reports whether two lists hold the same in any order.
func sameWork(a, b []pool.Work) bool {
	if len(a) != len(b) {
		return false
	}
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}

// MarkRequested notes that an owner counts a request, until the next report.
func (r *Reports) MarkRequested(owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners[owner] == nil {
		r.owners[owner] = &told{}
	}
	r.owners[owner].asked = true
}

// Reported returns what an owner was told of an upstream.
func (r *Reports) Reported(owner string, upstream pool.Tag) pool.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum pool.Usage
	if t := r.owners[owner]; t != nil {
		for _, w := range t.work {
			if w.Upstream == upstream {
				sum.Running += w.Running
				sum.PrefillTokens += w.PrefillTokens
				sum.Tokens += w.Tokens
			}
		}
	}
	return sum
}

// Received notes a report of another instance.
func (r *Reports) Received(name string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[name] = now
}

// Expired returns the instances whose last report is too old, and forgets them.
func (r *Reports) Expired(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	maps.DeleteFunc(r.heard, func(n string, at time.Duration) bool {
		if now-at <= believed {
			return false
		}
		out = append(out, n)
		return true
	})
	return out
}
