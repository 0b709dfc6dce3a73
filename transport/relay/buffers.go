package relay

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

const (
	// maxBufferedBytes bounds the bodies that one Buffers holds at a time: an eighth of the memory of the smallest
	// machines.
	maxBufferedBytes = 24 << 20
	// freeBufferBytes is the part of each body that does not count. Most bodies are smaller.
	freeBufferBytes = 64 << 10
	// bufferWait is how long a body waits for others to make room.
	bufferWait = 500 * time.Millisecond
)

// Buffers bounds the memory of all bodies that are read completely before they are forwarded. It is safe for
// concurrent use.
//
// Load pattern: an upstream sends bytes without end on many connections at once.
type Buffers struct{ room *semaphore.Weighted }

// NewBuffers returns a Buffers that holds nothing.
func NewBuffers() *Buffers { return &Buffers{room: semaphore.NewWeighted(maxBufferedBytes)} }

// Buffer is memory of a Buffers. It grows as needed until Release.
type Buffer struct {
	buffers *Buffers
	taken   int64
}

// Buffer returns an empty Buffer.
func (b *Buffers) Buffer() *Buffer { return &Buffer{buffers: b} }

// Grow takes the memory for n bytes in all. It fails with ErrResponseTooLarge if there is none left.
func (x *Buffer) Grow(c context.Context, n int64) error {
	more := n - freeBufferBytes - x.taken
	if more <= 0 {
		return nil
	}
	c, cancel := context.WithTimeout(c, bufferWait)
	defer cancel()
	if err := x.buffers.room.Acquire(c, more); err != nil {
		return eris.Wrapf(ErrResponseTooLarge, "no memory for %d bytes: %v", n, err)
	}
	x.taken += more
	return nil
}

// Append appends data to b, and takes the memory for that before it is used.
func (x *Buffer) Append(c context.Context, b, data []byte) ([]byte, error) {
	if need := len(b) + len(data); need > cap(b) {
		// The old bytes are held beside the new ones while they are copied.
		if err := x.Grow(c, int64(2*need+len(b))); err != nil {
			return b, err
		}
		b = append(make([]byte, 0, 2*need), b...)
	}
	return append(b, data...), nil
}

// Release gives the memory back.
func (x *Buffer) Release() {
	x.buffers.room.Release(x.taken)
	x.taken = 0
}

// ReadAll reads a body of at most limit bytes. It fails with ErrResponseTooLarge if there are more, or if no memory is
// left for it. The body counts until Release.
func (x *Buffer) ReadAll(c context.Context, r io.Reader, limit int64) ([]byte, error) {
	r = io.LimitReader(r, limit+1)
	var b []byte
	for size := int64(freeBufferBytes) / 2; ; size *= 2 {
		// The old bytes are held beside the new ones while they are copied.
		if err := x.Grow(c, size+int64(len(b))); err != nil {
			return nil, err
		}
		b = append(make([]byte, 0, size), b...)
		for len(b) < cap(b) {
			n, err := r.Read(b[len(b):cap(b)])
			b = b[:len(b)+n]
			switch {
			case int64(len(b)) > limit:
				return nil, eris.Wrapf(ErrResponseTooLarge, "more than %d bytes", limit)
			case err == io.EOF:
				return b, nil
			case err != nil:
				return nil, err
			}
		}
	}
}
