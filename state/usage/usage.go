// Package usage decides when an instance reports its requests on engines to the owners of
// those engines, and what it reports.
//
// Load pattern: hundreds of instances each use a few engines at a time, for less time
// than a report to all instances takes.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/state/pool"
)

const (
	// Interval is the time between two checks for due reports. Its cost is a datagram for
	// each owner whose engines this instance uses.
	Interval = 100 * time.Millisecond
	// repeatInterval is the time after which unchanged work is reported again, and
	// emptyRepeats the number of times that its end is reported, because reports may be
	// lost.
	repeatInterval = 500 * time.Millisecond
	emptyRepeats   = 3
	// reportLifetime is the age up to which a received report is used.
	reportLifetime = 4 * repeatInterval
)

// sentReport is the last report sent to an owner.
type sentReport struct {
	work []pool.Work
	at   time.Duration
	// emptyReports counts consecutive reports without work.
	emptyReports int
	// requested is set while the owner counts a request that it has granted to this
	// instance.
	requested bool
}

// Report is the work of an instance on the engines of one owner. Reports with a lower
// sequence are older.
type Report struct {
	Sequence int64
	Work     []pool.Work
}

// Reports tracks the reports sent to the owners of engines and the instances that report
// to this one. It is safe for concurrent use.
type Reports struct {
	mu       sync.Mutex
	sequence int64
	owners   map[string]*sentReport
	// lastReceived holds the instants of the last reports of other instances.
	lastReceived map[string]time.Duration
}

// New returns the reports of an instance that has sent none yet.
func New() *Reports {
	return &Reports{owners: map[string]*sentReport{}, lastReceived: map[string]time.Duration{}}
}

// Due takes the current work by owner and returns the reports to send now, by owner.
func (r *Reports) Due(work map[string][]pool.Work, now time.Duration) map[string]Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	for o := range work {
		if r.owners[o] == nil {
			r.owners[o] = &sentReport{}
		}
	}
	out := map[string]Report{}
	for o, t := range r.owners {
		w := work[o]
		switch {
		case t.requested, !sameWork(t.work, w):
		case len(w) > 0 && now-t.at >= repeatInterval:
		case len(w) == 0 && t.emptyReports < emptyRepeats:
		case len(w) == 0:
			delete(r.owners, o)
			continue
		default:
			continue
		}
		t.work, t.at, t.requested = w, now, false
		t.emptyReports++
		if len(w) > 0 {
			t.emptyReports = 0
		}
		r.sequence++
		out[o] = Report{Sequence: r.sequence, Work: w}
	}
	return out
}

// sameWork reports whether two lists hold the same work in any order.
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

// MarkRequested records that an owner counts a granted request of this instance. The next
// report replaces that count, so it is due immediately.
func (r *Reports) MarkRequested(owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners[owner] == nil {
		r.owners[owner] = &sentReport{}
	}
	r.owners[owner].requested = true
}

// Reported returns the usage of an upstream that was last reported to an owner.
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

// Received records that a report of another instance arrived.
func (r *Reports) Received(name string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReceived[name] = now
}

// Expired removes and returns the instances whose last report is older than
// reportLifetime.
func (r *Reports) Expired(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	maps.DeleteFunc(r.lastReceived, func(n string, at time.Duration) bool {
		if now-at <= reportLifetime {
			return false
		}
		out = append(out, n)
		return true
	})
	return out
}
