package standin

import (
	"strconv"
	"sync"
	"time"
)

const (
	// BrittleContact is how long after an upstream first states that it is brittle the fleet must keep it
	// from falling over. From then on it lets nobody wait.
	BrittleContact = 3 * time.Second
	// roomWindow is the span over which rejections are counted.
	roomWindow = time.Second
)

// Room is the room of one upstream: requests that run and some that wait. While the upstream is brittle, it
// falls over if it has to reject too many requests within a second. It is safe for concurrent use.
type Room struct {
	// Excused reports whether the requests of an instance do not count at a time. Nil excuses none.
	Excused func(instance string, at time.Duration) bool

	now          func() time.Duration
	mu           sync.Mutex
	slots, queue int
	inside       int
	brittle      bool
	most         int
	since        time.Duration
	rejections   []rejection
	falls        int
}

type rejection struct {
	at      time.Duration
	excused bool
}

// NewRoom returns the room of an upstream that runs slots requests and lets queue others wait. The parameter
// now is its clock.
func NewRoom(slots, queue int, now func() time.Duration) *Room {
	return &Room{now: now, slots: slots, queue: queue}
}

// SetBrittle has the upstream be brittle, and fall over with more than most rejections within a second.
func (r *Room) SetBrittle(most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.brittle {
		r.since, r.falls, r.rejections = r.now(), 0, nil
	}
	r.brittle, r.most = true, most
}

// EndBrittle has the upstream be sound again.
func (r *Room) EndBrittle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle = false
}

// Header returns what the upstream states in its responses, or "" while it is sound.
func (r *Room) Header() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.brittle {
		return ""
	}
	return strconv.Itoa(r.most)
}

// Enter takes a request of an instance in until Leave. It is false if there is no room, and fell is true if
// the upstream falls over because of that.
func (r *Room) Enter(instance string) (ok, fell bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	room := r.slots + r.queue
	if r.brittle && now-r.since >= BrittleContact {
		room = r.slots
	}
	if r.inside < room {
		r.inside++
		return true, false
	}
	if !r.brittle || now-r.since < BrittleContact {
		return false, false
	}
	r.rejections = append(r.rejections, rejection{at: now, excused: r.Excused != nil && r.Excused(instance, now)})
	for now-r.rejections[0].at > roomWindow {
		r.rejections = r.rejections[1:]
	}
	if len(r.rejections) <= r.most {
		return false, false
	}
	counted := 0
	for _, x := range r.rejections {
		if !x.excused {
			counted++
		}
	}
	if 2*counted > len(r.rejections) {
		r.falls++
	}
	r.rejections, r.inside = nil, 0
	return false, true
}

// Leave ends a request that was taken in.
func (r *Room) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inside = max(0, r.inside-1)
}

// Falls returns how often the upstream has fallen over since it became brittle.
func (r *Room) Falls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.falls
}
