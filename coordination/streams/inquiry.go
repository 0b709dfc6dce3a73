package streams

import (
	"context"
	"sync"
	"time"

	"gentiangauge.example/gentiangauge/state/software"
)

const (
	// inquiryInterval is the minimum time between two rounds of questions to all other instances, inquiryPerPeer
	// the time for each of them.
	inquiryInterval = 25 * time.Millisecond
	inquiryPerPeer  = 5 * time.Millisecond
	// inquiryTimeout bounds the wait for the answers of one round.
	inquiryTimeout = 250 * time.Millisecond
	// maxInquired bounds the streams of one round: callers may name any stream.
	maxInquired = 256
)

// Answer is what other instances know of streams.
type Answer struct {
	// Versions are the versions at which they have begun streams.
	Versions map[software.StreamID]software.Version
	// Complete is set if all instances that may have begun any of the streams have answered.
	Complete bool
}

// round is a question to all other instances.
type round struct {
	ids  []software.StreamID
	done chan struct{}
	Answer
}

// inquiry asks the other instances for streams, in one round at a time. It is safe for concurrent use.
//
// Load pattern: the store is away, connections break, and hundreds of streams are taken up within a second at
// each of many instances.
type inquiry struct {
	mu sync.Mutex
	// next is the round that has not begun, or nil. running is set while rounds are asked.
	next    *round
	running bool
}

// join adds a stream to the next round, and reports whether the caller has to run the rounds. It returns nil if
// the round is full.
func (q *inquiry) join(id software.StreamID) (x *round, run bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == nil {
		q.next = &round{done: make(chan struct{})}
	}
	if len(q.next.ids) >= maxInquired {
		return nil, false
	}
	q.next.ids = append(q.next.ids, id)
	run = !q.running
	q.running = true
	return q.next, run
}

// take returns the next round and begins it. It returns nil if there is none; no more rounds are run then.
func (q *inquiry) take() *round {
	q.mu.Lock()
	defer q.mu.Unlock()
	x := q.next
	q.next, q.running = nil, x != nil
	return x
}

// inquire asks the other instances for a stream. It returns false if they do not know for certain.
func (r *Registry) inquire(c context.Context, id software.StreamID) (v software.Version, found, complete bool) {
	x, run := r.inquiry.join(id)
	if x == nil {
		return "", false, false
	}
	if run {
		// The rounds are run for the requests of other callers, too.
		go r.runInquiries(context.WithoutCancel(c))
	}
	select {
	case <-x.done:
	case <-c.Done():
		return "", false, false
	}
	v, found = x.Versions[id]
	return v, found, x.Complete
}

// runInquiries asks one round after the other until there are no more.
func (r *Registry) runInquiries(c context.Context) {
	for x := r.inquiry.take(); x != nil; x = r.inquiry.take() {
		a, cancel := context.WithTimeout(c, inquiryTimeout)
		x.Answer = r.Ask(a, x.ids)
		cancel()
		close(x.done)
		_ = r.Timer.Wait(c, max(inquiryInterval, inquiryPerPeer*time.Duration(r.PeerCount())))
	}
}

// Answer answers the question of another instance for streams. Complete says that this instance has begun no others: it
// holds all that can be taken up, and has run for longer than that, so that no earlier run can have begun them.
func (r *Registry) Answer(ids []software.StreamID, uptime time.Duration) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Boot()
	d := r.retention(now)
	a := Answer{Versions: map[software.StreamID]software.Version{}, Complete: uptime > d && !r.begun.LacksSince(now-d)}
	for _, id := range ids[:min(len(ids), maxInquired)] {
		if v, ok := r.version(id); ok {
			a.Versions[id] = v
		}
	}
	return a
}
