package relay

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/timer"
)

const (
	// firstBufferBytes is the size of a buffer before any data has arrived.
	firstBufferBytes = 4 << 10
	// bufferWait is how long a body waits for memory. It is longer than it takes to see that a client makes no progress.
	bufferWait = time.Second
	// bufferPoll is the time between two checks of the clients' progress in that time.
	bufferPoll = 100 * time.Millisecond
	// maxWaiting bounds the bodies that wait for memory. Each looks through the connections as memory becomes free.
	maxWaiting = 32
)

// ErrNoMemory means, with ErrTooLarge, that others hold the memory that a body needs.
var ErrNoMemory = eris.New("no memory is left")

// Buffers bounds the memory of all bodies of one use that are read completely. It is safe for concurrent use.
//
// Load pattern: upstreams or callers send bodies without end, or that stop short of their end, on many connections.
type Buffers struct {
	account *shedding.Account
	use     shedding.Use
	timer   *timer.Service
	// waiting is the number of bodies that wait for memory.
	waiting atomic.Int64
}

// NewBuffers returns the buffers for one use of the memory of an account.
func NewBuffers(a *shedding.Account, u shedding.Use, t *timer.Service) *Buffers {
	return &Buffers{account: a, use: u, timer: t}
}

// Buffer is memory of a Buffers. It grows as needed until Release.
type Buffer struct {
	buffers *Buffers
	claim   *shedding.Claim
}

// Buffer returns an empty Buffer for a connection of a client, which may be nil.
func (b *Buffers) Buffer(k *shedding.Connection) *Buffer {
	return &Buffer{buffers: b, claim: b.account.Claim(b.use, k)}
}

// Grow takes the memory for n bytes in all. It fails with ErrTooLarge and ErrNoMemory if there is none left.
func (x *Buffer) Grow(c context.Context, n int64) error {
	more := shedding.Bytes(n) - x.claim.Taken()
	if more <= 0 {
		return nil
	}
	if ok, _ := x.claim.Grow(more); ok {
		return nil
	}
	defer x.buffers.waiting.Add(-1)
	if x.buffers.waiting.Add(1) > maxWaiting {
		x.claim.CountShort()
		return noMemory(n)
	}
	t := x.buffers.timer
	for left := bufferWait; ; left -= bufferPoll {
		ok, freed := x.claim.Grow(more)
		if ok {
			return nil
		}
		if left <= 0 || c.Err() != nil {
			x.claim.CountShort()
			return noMemory(n)
		}
		poll, stop := t.Notify(bufferPoll)
		select {
		case <-freed:
		case <-poll:
		case <-c.Done():
		}
		stop()
	}
}

// noMemory returns the failure of a body that needs n bytes.
func noMemory(n int64) error {
	return joined{eris.Wrapf(ErrNoMemory, "%d bytes", n)}
}

// joined is an error that is ErrTooLarge, too.
type joined struct{ error }

func (j joined) Unwrap() []error { return []error{j.error, ErrTooLarge} }

// Append appends data to b, and takes the memory for that before it is used.
func (x *Buffer) Append(c context.Context, b, data []byte) ([]byte, error) {
	if need := len(b) + len(data); need > cap(b) {
		// The old bytes are held beside the new ones while they are copied.
		if err := x.Grow(c, int64(2*need+len(b))); err != nil {
			return b, err
		}
		b = append(make([]byte, 0, 2*need), b...)
		x.claim.ShrinkTo(shedding.Bytes(cap(b)))
	}
	return append(b, data...), nil
}

// ShrinkTo gives back the memory beyond n bytes.
func (x *Buffer) ShrinkTo(n int64) { x.claim.ShrinkTo(shedding.Bytes(n)) }

// Release gives the memory back.
func (x *Buffer) Release() { x.claim.ShrinkTo(0) }

// nextSize returns the size of a buffer after one that is full. Few steps keep small what is held beside it while it is
// copied.
func nextSize(size, most int64) int64 {
	if most <= 8*size+1 {
		return most
	}
	return 4 * size
}

// ReadAll reads a body of at most limit bytes, of which length are announced, or 0 if that is not
// known. It fails with ErrTooLarge if
// there are more, and also with ErrNoMemory if no memory is left for it. The body counts until Release. What has arrived
// decides how much memory is taken, not what was announced.
func (x *Buffer) ReadAll(c context.Context, r io.Reader, limit, length int64) ([]byte, error) {
	most := limit + 1
	if length > 0 {
		// One byte more, so that the end is seen.
		most = min(most, length+1)
	}
	var b []byte
	for size := min(int64(firstBufferBytes), most); ; size = nextSize(size, most) {
		// The old bytes are held beside the new ones while they are copied.
		if err := x.Grow(c, size+int64(len(b))); err != nil {
			return nil, err
		}
		b = append(make([]byte, 0, size), b...)
		x.claim.ShrinkTo(shedding.Bytes(size))
		for len(b) < cap(b) {
			n, err := r.Read(b[len(b):cap(b)])
			b = b[:len(b)+n]
			switch {
			case int64(len(b)) > limit:
				return nil, eris.Wrapf(ErrTooLarge, "more than %d bytes", limit)
			case err == io.EOF:
				return b, nil
			case err != nil:
				return nil, err
			}
		}
		if size == most {
			return nil, eris.Wrapf(ErrTooLarge, "more than the %d bytes that were announced", length)
		}
	}
}
