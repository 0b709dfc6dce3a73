package software

import (
	"cmp"
	"slices"
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

// Streams holds the streams that an instance has begun lately. It is not safe for concurrent use.
//
// Load pattern: callers begin streams without end, and the streams of one service may be taken up for longer than
// those of another.
type Streams struct {
	byID map[StreamID]Stream
	// order has the IDs of each service in the order in which the streams began.
	order map[string][]StreamID
	// lacksUntil is the latest begin of a stream that was dropped for want of room, or 0.
	lacksUntil time.Duration
}

// maxStreams bounds the streams that are held. It is far more than one instance begins in the time for
// which a stream may be taken up.
const maxStreams = 16_384

// NewStreams returns no streams.
func NewStreams() *Streams {
	return &Streams{byID: map[StreamID]Stream{}, order: map[string][]StreamID{}}
}

// Add adds a stream, or the version at which it began anew. If there are too many, the oldest one of the service with
// the most is dropped.
func (s *Streams) Add(x Stream) {
	if _, ok := s.byID[x.ID]; !ok {
		s.order[x.Service] = append(s.order[x.Service], x.ID)
	}
	s.byID[x.ID] = x
	if len(s.byID) <= maxStreams {
		return
	}
	largest := x.Service
	for n, l := range s.order {
		if len(l) > len(s.order[largest]) {
			largest = n
		}
	}
	s.lacksUntil = max(s.lacksUntil, s.byID[s.order[largest][0]].BegunAt)
	s.dropOldest(largest)
}

// Drop drops the streams of a service that began before an instant.
func (s *Streams) Drop(service string, before time.Duration) {
	for l := s.order[service]; len(l) > 0 && s.byID[l[0]].BegunAt < before; l = s.order[service] {
		s.dropOldest(service)
	}
}

func (s *Streams) dropOldest(service string) {
	l := s.order[service]
	delete(s.byID, l[0])
	s.order[service] = l[1:]
}

// LacksSince reports whether streams that began at or after an instant were dropped for want of room.
func (s *Streams) LacksSince(t time.Duration) bool { return s.lacksUntil > 0 && s.lacksUntil >= t }

// Get returns a stream, and false if it is not held.
func (s *Streams) Get(id StreamID) (Stream, bool) {
	x, ok := s.byID[id]
	return x, ok
}

// Since returns the streams that began at or after an instant, the newest first.
func (s *Streams) Since(t time.Duration) []Stream {
	var out []Stream
	for _, l := range s.order {
		for i := len(l) - 1; i >= 0; i-- {
			if x := s.byID[l[i]]; x.BegunAt >= t {
				out = append(out, x)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Stream) int { return cmp.Compare(b.BegunAt, a.BegunAt) })
	return out
}
