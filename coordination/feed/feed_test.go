package feed_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/feed"
	"gentiangauge.example/gentiangauge/standin/memory"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/store"
)

const patience = 10 * time.Second

// bench is a feed of a table with the rows that it told.
type bench struct {
	t      *testing.T
	store  *memory.Store
	feed   *feed.Feed
	timer  *timer.Service
	mu     sync.Mutex
	told   map[string]bool
	faulty bool
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, store: memory.New(), timer: timer.New(), told: map[string]bool{}}
	b.store.Fault = func(string) (bool, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.faulty {
			return false, store.ErrUnavailable
		}
		return true, nil
	}
	b.feed = feed.New("t", b.store.Client(), b.timer, zap.NewNop(), func(rows []mirror.Row, _ time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, r := range rows {
			b.told[r.Key] = !r.Removed
		}
	})
	return b
}

func (b *bench) start() {
	c, cancel := context.WithCancel(b.t.Context())
	b.t.Cleanup(cancel)
	go b.feed.Run(c)
}

func (b *bench) put(key string) {
	b.store.Do(store.Transaction{Writes: []store.Write{{Key: store.Key{Table: "t", Key: key}, Value: []byte("v")}}})
}

func (b *bench) remove(key string) {
	b.store.Do(store.Transaction{Deletes: []store.Key{{Table: "t", Key: key}}})
}

func (b *bench) setFaulty(x bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faulty = x
}

func (b *bench) until(what string, f func() bool) {
	b.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	b.t.Fatalf("not within %v: %s", patience, what)
}

func (b *bench) knows(key string, there bool) func() bool {
	return func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		x, told := b.told[key]
		return told && x == there
	}
}

func TestChangesAreTold(t *testing.T) {
	b := newBench(t)
	b.put("before")
	b.start()
	b.until("the row before the start", b.knows("before", true))
	b.put("after")
	b.until("the row after the start", b.knows("after", true))
	b.remove("before")
	b.until("the removal", b.knows("before", false))
}

// TestForgottenHistoryLosesNoRemoval discards the history that holds a
// removal: the table is read anew, and the missing row counts as removed.
func TestForgottenHistoryLosesNoRemoval(t *testing.T) {
	b := newBench(t)
	b.put("gone")
	b.start()
	b.until("the row", b.knows("gone", true))
	b.setFaulty(true)
	b.remove("gone")
	b.store.Forget()
	b.setFaulty(false)
	b.put("new")
	b.until("the removal", b.knows("gone", false))
	b.until("the new row", b.knows("new", true))
}

// TestOlderRowIsNotTakenOverAfterANewerOne takes a row over from the store while a
// newer version of it comes from another instance.
func TestOlderRowIsNotTakenOverAfterANewerOne(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var taken []mirror.Version
	f := feed.New("t", memory.New().Client(), timer.New(), zap.NewNop(), func(rows []mirror.Row, _ time.Duration) {
		if rows[0].Version == 1 {
			close(began)
			<-release
		}
		mu.Lock()
		defer mu.Unlock()
		taken = append(taken, rows[0].Version)
	})
	learn := func(v mirror.Version) chan struct{} {
		done := make(chan struct{})
		go func() {
			f.ApplyFromPeer([]mirror.Row{{Key: "k", Version: v}}, v, 0)
			close(done)
		}()
		return done
	}
	first := learn(1)
	<-began
	second := learn(2)
	select {
	case <-second:
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	<-first
	<-second
	if len(taken) != 2 || taken[0] != 1 || taken[1] != 2 {
		t.Errorf("taken over in the order %v", taken)
	}
}

// TestInstanceThatHasJustStartedIsSteady replays pdl-central trouble-3, where
// an instance that had just been restarted kept a leaving upstream for two
// seconds too long.
func TestInstanceThatHasJustStartedIsSteady(t *testing.T) {
	b := newBench(t)
	b.put("a")
	b.start()
	b.until("the row", b.knows("a", true))
	b.until("steady", func() bool { return b.feed.SettlesIn() == 0 })
}

func TestFeedIsNotSteadyAfterAnOutage(t *testing.T) {
	b := newBench(t)
	b.put("a")
	b.start()
	b.until("the row", b.knows("a", true))
	b.setFaulty(true)
	b.put("wakes the feed")
	b.until("failing", b.feed.Failing)
	if b.feed.SettlesIn() == 0 {
		t.Error("steady while the store does not answer")
	}
	b.setFaulty(false)
	b.until("regained", func() bool { return !b.feed.Failing() })
	if b.feed.SettlesIn() == 0 {
		t.Error("steady right after the outage")
	}
}
