package pool_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
)

// placement is a replay of streams that begin and end at engines of two software versions.
type placement struct {
	*pool.Pool
	now time.Duration
	// ends are the streams at each engine, by the time at which they end.
	ends map[pool.ID][]time.Duration
	// planned and elsewhere count the streams that have begun at v1, for which all are planned, and at v2.
	planned, elsewhere int
}

const replaySlots = 64

// newPlacement returns a replay with some engines of each version.
func newPlacement(v1, v2 int) *placement {
	p := &placement{Pool: pool.New(), ends: map[pool.ID][]time.Duration{}, now: time.Hour}
	for i := range v1 + v2 {
		u := pool.Upstream{ID: pool.ID(fmt.Sprint("e", i)), Service: "s", Slots: replaySlots, Software: software.Stated("v1"), Models: map[route.ModelName]route.Version{"": 1}}
		if i >= v1 {
			u.Software = software.Stated("v2")
		}
		p.Put(u)
	}
	return p
}

func (p *placement) start(id pool.ID, lasts time.Duration) {
	p.Begin(id, pool.Adapter{}, pool.Usage{Running: 1})
	p.ends[id] = append(p.ends[id], p.now+lasts)
}

// advance ends the streams whose time is over.
func (p *placement) advance(d time.Duration) {
	p.now += d
	for id, l := range p.ends {
		var left []time.Duration
		for _, t := range l {
			if t > p.now {
				left = append(left, t)
				continue
			}
			p.End(id, pool.Adapter{}, pool.Usage{Running: 1})
		}
		p.ends[id] = left
	}
}

func (p *placement) request(v software.Version) pool.Request {
	return pool.Request{Service: "s", Software: v, Engine: &pool.Capacity{CacheTokens: 1 << 30, TokensPerSecond: 25_800, StepTime: 8 * time.Millisecond}}
}

// begin has a new stream begin.
func (p *placement) begin(lasts time.Duration) {
	h, ok := p.Choose(p.request(software.Stated("v1")), p.now)
	if ok && p.YieldsAt(h, p.now) {
		q := p.request("")
		q.Leave = h.Software
		if x, found := p.Choose(q, p.now); found {
			h = x
		}
	}
	if h.Software == software.Stated("v1") {
		p.planned++
	} else {
		p.elsewhere++
	}
	p.start(h.ID, lasts)
}

// The streams of a version are a little more than its engines have room for, and one of these crashes. The streams
// that it ran find slots at the other engines of the version within a second, as new ones begin at the other
// version.
func TestStreamsOfACrashedEngineFindSlots(t *testing.T) {
	const lasts, rate = 4 * time.Second, 20 * time.Millisecond
	p := newPlacement(3, 3)
	for range 9 * time.Second / rate {
		p.begin(lasts)
		p.advance(rate)
	}
	broken := len(p.ends["e0"])
	p.Remove("e0", p.now)
	delete(p.ends, "e0")
	for range broken {
		p.BeginWait("s", software.Stated("v1"))
	}
	left := broken
	for range time.Second / rate {
		p.begin(lasts)
		for left > 0 {
			h, ok := p.Choose(p.request(software.Stated("v1")), p.now)
			if !ok || !p.SlotsLeft(h.ID, p.now).Any() {
				break
			}
			p.start(h.ID, lasts/2)
			p.EndWait("s", software.Stated("v1"))
			left--
		}
		p.advance(rate)
	}
	t.Logf("%d streams were broken off, %d found no slot; %d began at the planned version, %d at the other", broken, left, p.planned, p.elsewhere)
	// All new streams begin; half as many of those that have begun must go on.
	if broken < replaySlots/2 || 2*left > broken {
		t.Errorf("%d of %d streams found no slot", left, broken)
	}
}

// All engines of a version are in moderate use. No stream leaves its version.
func TestStreamsStayAtTheirVersionWhileItHasRoom(t *testing.T) {
	p := newPlacement(3, 3)
	for range 400 {
		p.begin(3 * time.Second)
		p.advance(25 * time.Millisecond)
	}
	if p.elsewhere > 0 {
		t.Errorf("%d of %d streams began at another version", p.elsewhere, p.elsewhere+p.planned)
	}
}

// No other version has room. The reserve of the planned one is given back to new streams.
func TestReserveIsGivenBackWithoutRoomElsewhere(t *testing.T) {
	p := newPlacement(1, 1)
	for range 2 * replaySlots {
		p.begin(time.Minute)
	}
	if n := len(p.ends["e0"]); n < replaySlots {
		t.Errorf("%d of %d slots of the planned version are in use", n, replaySlots)
	}
	if p.HasSpareElsewhere("s", software.Stated("v1"), p.now) {
		t.Error("the other version has spare slots")
	}
}
