// Package bucket provides the token bucket that limits a workspace to its rate and burst.
// Requests reserve the maximum that they can use, and settle with what they used.
package bucket

import (
	"math"
	"time"

	"gentiangauge.example/gentiangauge/state/lists"
)

// RequestID identifies a reservation.
type RequestID string

type reservation struct {
	tokens float64
	// peak is the highest level since the reservation was made. A refund cannot raise the
	// level above what the bucket would have held without the reservation.
	peak float64
	at   time.Time
}

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	rate         float64
	burst        float64
	level        float64
	last         time.Time
	reservations map[RequestID]*reservation
	settled      map[RequestID]bool
	// settledOrder holds the settled ids, oldest first.
	settledOrder []settlement
}

type settlement struct {
	id RequestID
	at time.Time
}

// settledRetention is how long the ids of settled reservations are kept, so that a
// repeated message has no effect.
const settledRetention = time.Minute

// New returns a bucket that holds level tokens, at most burst.
func New(rate lists.TokensPerSecond, burst lists.Tokens, level float64, now time.Time) *Bucket {
	return &Bucket{
		rate:         float64(rate),
		burst:        float64(burst),
		level:        min(level, float64(burst)),
		last:         now,
		reservations: map[RequestID]*reservation{},
		settled:      map[RequestID]bool{},
	}
}

// SetPlan changes rate and burst. A smaller burst takes effect immediately.
func (b *Bucket) SetPlan(rate lists.TokensPerSecond, burst lists.Tokens, now time.Time) {
	if float64(rate) == b.rate && float64(burst) == b.burst {
		return
	}
	b.refill(now)
	b.rate = float64(rate)
	b.burst = float64(burst)
	b.level = min(b.level, b.burst)
}

// Level returns the tokens that can be reserved.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Burst returns the capacity of the bucket.
func (b *Bucket) Burst() lists.Tokens {
	return lists.Tokens(b.burst)
}

func (b *Bucket) refill(now time.Time) {
	d := now.Sub(b.last).Seconds()
	if d <= 0 {
		return
	}
	b.last = now
	b.level = min(b.burst, b.level+d*b.rate)
	for _, r := range b.reservations {
		r.peak = max(r.peak, b.level)
	}
}

// Reserve reserves tokens if they are available. Otherwise it returns the time after
// which they would be. Repeating an id reserves nothing more.
func (b *Bucket) Reserve(id RequestID, tokens lists.Tokens, now time.Time) (time.Duration, bool) {
	b.refill(now)
	_, open := b.reservations[id]
	if open || b.settled[id] {
		return 0, true
	}
	n := float64(tokens)
	if n > b.level {
		return b.Wait(n, now), false
	}
	b.level -= n
	b.reservations[id] = &reservation{tokens: n, peak: b.level, at: now}
	return 0, true
}

// Wait returns the time until the bucket holds n tokens.
func (b *Bucket) Wait(n float64, now time.Time) time.Duration {
	b.refill(now)
	if n <= b.level {
		return 0
	}
	return time.Duration(math.Ceil((n - b.level) / b.rate * float64(time.Second)))
}

// Settle refunds what a reservation did not use, or charges what it used in excess. It
// reports whether the reservation was open.
func (b *Bucket) Settle(id RequestID, used lists.Tokens, now time.Time) bool {
	b.refill(now)
	r, ok := b.reservations[id]
	if !ok {
		return false
	}
	delete(b.reservations, id)
	b.removeSettled(now)
	b.settled[id] = true
	b.settledOrder = append(b.settledOrder, settlement{id: id, at: now})
	refund := r.tokens - float64(used)
	if refund > 0 {
		refund = min(refund, b.burst-r.peak)
	}
	b.level = min(b.level+refund, b.burst)
	if refund > 0 {
		b.raisePeaks(refund)
	}
	return true
}

// raisePeaks raises the peaks of the other reservations as if the refunded tokens had
// never been taken.
func (b *Bucket) raisePeaks(refund float64) {
	for _, r := range b.reservations {
		r.peak = min(b.burst, r.peak+refund)
	}
}

// removeSettled deletes the settled ids that are older than settledRetention.
func (b *Bucket) removeSettled(now time.Time) {
	for len(b.settledOrder) > 0 && now.Sub(b.settledOrder[0].at) > settledRetention {
		delete(b.settled, b.settledOrder[0].id)
		b.settledOrder = b.settledOrder[1:]
	}
}

// Expire deletes the reservations that are older than d, without a refund.
func (b *Bucket) Expire(d time.Duration, now time.Time) {
	for id, r := range b.reservations {
		if now.Sub(r.at) > d {
			delete(b.reservations, id)
		}
	}
}
