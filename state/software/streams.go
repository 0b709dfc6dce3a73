package software

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StreamID identifies a stream by a hash of its workspace and of the ID of the request that began it.
type StreamID uint64

// NewStreamID returns the ID of a stream.
func NewStreamID(workspace, request string) StreamID {
	return StreamID(xxhash.Sum64String(workspace + "\x00" + request))
}

// String returns the ID in hexadecimal.
func (i StreamID) String() string { return strconv.FormatUint(uint64(i), 16) }

// Draw returns a number in [0, 1) that is the same for all requests of the stream.
func (i StreamID) Draw() float64 { return float64(i>>11) / (1 << 53) }

// Stream is a stream that an instance has begun.
type Stream struct {
	ID      StreamID
	Service string
	Slot    Slot
	// Version is the version at which it began, and Upstream the upstream.
	Version  Version
	Upstream string
	BegunAt  time.Duration
	// Stale is set if the instance had not known for long that its split was the newest, such as one that
	// was frozen.
	Stale bool
}

// Streams holds the streams that an instance has begun lately. It is bounded: the oldest ones are
// dropped. It is not safe for concurrent use.
type Streams struct {
	byID map[StreamID]Stream
	// order has the IDs in the order in which the streams began.
	order []StreamID
}

// maxStreams bounds the streams that are held. It is far more than one instance begins in the time for
// which a stream may be taken up.
const maxStreams = 16_384

// NewStreams returns no streams.
func NewStreams() *Streams { return &Streams{byID: map[StreamID]Stream{}} }

// Add adds a stream, or the version at which it began anew, and drops those that began before an
// instant.
func (s *Streams) Add(x Stream, before time.Duration) {
	if _, ok := s.byID[x.ID]; !ok {
		s.order = append(s.order, x.ID)
	}
	s.byID[x.ID] = x
	s.drop(before)
}

func (s *Streams) drop(before time.Duration) {
	for len(s.order) > 0 && (len(s.order) > maxStreams || s.byID[s.order[0]].BegunAt < before) {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
}

// Get returns a stream, and false if it is not held.
func (s *Streams) Get(id StreamID) (Stream, bool) {
	x, ok := s.byID[id]
	return x, ok
}

// Since returns the streams that began at or after an instant, the newest first.
func (s *Streams) Since(t time.Duration) []Stream {
	var out []Stream
	for i := len(s.order) - 1; i >= 0; i-- {
		if x := s.byID[s.order[i]]; x.BegunAt >= t {
			out = append(out, x)
		}
	}
	return out
}
