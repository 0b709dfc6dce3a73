package feed_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/feed"
	"gentiangauge.example/gentiangauge/standin/memory"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/store"
)

const waitTimeout = 10 * time.Second

// fixture is a feed of a table in a memory store, with the rows that it has reported.
type fixture struct {
	t     *testing.T
	store *memory.Store
	feed  *feed.Feed
	timer *timer.Service
	mu    sync.Mutex
	// present has the reported rows: true if the row exists, false if it was removed.
	present   map[string]bool
	storeDown bool
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{t: t, store: memory.New(), timer: timer.New(), present: map[string]bool{}}
	b.store.InjectFault = func(string) (bool, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.storeDown {
			return false, store.ErrUnavailable
		}
		return true, nil
	}
	b.feed = feed.New("t", b.store.Client(), b.timer, zap.NewNop(), func(rows []mirror.Row, _ time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, r := range rows {
			b.present[r.Key] = !r.Removed
		}
	})
	return b
}

// applyFromPeer applies rows of an instance that states that missing ones are gone for good.
func applyFromPeer(f *feed.Feed, rows []mirror.Row, upTo mirror.Version) {
	f.Apply(rows, upTo, func(l []mirror.Row) { f.OnChange(l, f.PeerSettlesIn(0)) })
}

func (b *fixture) start() {
	c, cancel := context.WithCancel(b.t.Context())
	b.t.Cleanup(cancel)
	go b.feed.Run(c)
}

func (b *fixture) put(key string) {
	b.store.Apply(store.Transaction{Writes: []store.Write{{Key: store.Key{Table: "t", Key: key}, Value: []byte("v")}}})
}

func (b *fixture) remove(key string) {
	b.store.Apply(store.Transaction{Deletes: []store.Key{{Table: "t", Key: key}}})
}

func (b *fixture) setStoreDown(x bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeDown = x
}

// waitFor fails the test if f does not become true within waitTimeout.
func (b *fixture) waitFor(what string, f func() bool) {
	b.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	b.t.Fatalf("%s: not within %v", what, waitTimeout)
}

// reported returns a condition: the feed has reported the row as present or removed.
func (b *fixture) reported(key string, present bool) func() bool {
	return func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		x, ok := b.present[key]
		return ok && x == present
	}
}

func TestChangesAreReported(t *testing.T) {
	b := newFixture(t)
	b.put("before")
	b.start()
	b.waitFor("the row before the start", b.reported("before", true))
	b.put("after")
	b.waitFor("the row after the start", b.reported("after", true))
	b.remove("before")
	b.waitFor("the removal", b.reported("before", false))
}

// TestDiscardedHistoryLosesNoRemoval makes the store discard the history that has a
// removal. The feed must read the whole table and report the missing row as removed.
func TestDiscardedHistoryLosesNoRemoval(t *testing.T) {
	b := newFixture(t)
	b.put("gone")
	b.start()
	b.waitFor("the row", b.reported("gone", true))
	b.setStoreDown(true)
	b.remove("gone")
	b.store.Compact()
	b.setStoreDown(false)
	b.put("new")
	b.waitFor("the removal", b.reported("gone", false))
	b.waitFor("the new row", b.reported("new", true))
}

// TestConcurrentRowsAreReportedInOrder applies two versions of a row at the same time, as
// when one comes from the store and the other from an instance. The newer version must be
// reported last.
func TestConcurrentRowsAreReportedInOrder(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var versions []mirror.Version
	f := feed.New("t", memory.New().Client(), timer.New(), zap.NewNop(), func(rows []mirror.Row, _ time.Duration) {
		if rows[0].Version == 1 {
			close(started)
			<-release
		}
		mu.Lock()
		defer mu.Unlock()
		versions = append(versions, rows[0].Version)
	})
	apply := func(v mirror.Version) chan struct{} {
		done := make(chan struct{})
		go func() {
			applyFromPeer(f, []mirror.Row{{Key: "k", Version: v}}, v)
			close(done)
		}()
		return done
	}
	first := apply(1)
	<-started
	second := apply(2)
	select {
	case <-second:
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	<-first
	<-second
	if len(versions) != 2 || versions[0] != 1 || versions[1] != 2 {
		t.Errorf("versions reported in the order %v, want 1 and 2", versions)
	}
}

// TestRowsAreSettledRightAfterTheStart guards against treating a start like an outage: a
// restarted instance kept a leaving upstream for two seconds too long (pdl-central
// trouble-3).
func TestRowsAreSettledRightAfterTheStart(t *testing.T) {
	b := newFixture(t)
	b.put("a")
	b.start()
	b.waitFor("the row", b.reported("a", true))
	b.waitFor("rows settled", func() bool { return b.feed.SettlesIn() == 0 })
}

func TestRowsAreNotSettledRightAfterAnOutage(t *testing.T) {
	b := newFixture(t)
	b.put("a")
	b.start()
	b.waitFor("the row", b.reported("a", true))
	b.setStoreDown(true)
	b.put("wakes the feed")
	b.waitFor("the failure of the call", b.feed.Failing)
	if b.feed.SettlesIn() == 0 {
		t.Error("rows are settled while the store does not answer")
	}
	b.setStoreDown(false)
	b.waitFor("an answer of the store", func() bool { return !b.feed.Failing() })
	if b.feed.SettlesIn() == 0 {
		t.Error("rows are settled right after the outage")
	}
}

// A store answers each watch with "read the whole table", as it did while its version was lower
// than the mirror's. Instances read 760 tables a second then, for seconds.
func TestWholeReadsAreNotRepeatedInALoop(t *testing.T) {
	b := newFixture(t)
	c := b.store.Client()
	var reads atomic.Int64
	read := c.Read
	c.Read = func(x context.Context, table string) ([]mirror.Row, mirror.Version, error) {
		reads.Add(1)
		return read(x, table)
	}
	c.Watch = func(context.Context, string, mirror.Version) ([]mirror.Row, mirror.Version, error) {
		return nil, 0, store.ErrCompacted
	}
	b.feed = feed.New("t", c, b.timer, zap.NewNop(), func([]mirror.Row, time.Duration) {})
	b.start()
	time.Sleep(2 * time.Second)
	// Two at once, and then after 100, 200, 400 and 800 ms.
	if n := reads.Load(); n < 2 || n > 8 {
		t.Errorf("%d whole reads in 2 s", n)
	}
}

// The store comes back from a copy and has passed the mirror's version again, with another row, so
// that a watch after that version would wait for the next change. Once a peer has told of the new
// era, the mirror follows, and rows that are missing may return within the time that the users state.
func TestRestoredStoreIsReadWhole(t *testing.T) {
	b := newFixture(t)
	c := b.store.Client()
	settles := map[string]time.Duration{}
	changed := b.feed.OnChange
	b.feed = feed.New("t", c, b.timer, zap.NewNop(), func(rows []mirror.Row, settlesIn time.Duration) {
		b.mu.Lock()
		for _, r := range rows {
			if r.Removed {
				settles[r.Key] = settlesIn
			}
		}
		b.mu.Unlock()
		changed(rows, settlesIn)
	})
	b.put("kept")
	old := b.store.Copy()
	b.start()
	b.put("lost")
	b.waitFor("the kept row", b.reported("kept", true))
	b.waitFor("the row that will be lost", b.reported("lost", true))
	b.store.Restore(old)
	b.put("new")
	time.Sleep(300 * time.Millisecond)
	c.Eras.Observe(b.store.Era())
	b.waitFor("the loss", b.reported("lost", false))
	b.waitFor("the new row", b.reported("new", true))
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := settles["lost"]; d < 2*time.Second {
		t.Errorf("the lost row may return within %v, want more than 2 s", d)
	}
}

// An instance that does not read the store gets the rows of the copy from another one that does not
// either, and therefore states that missing rows are gone for good.
func TestRowsOfAPeerSettleAfterARestoredStore(t *testing.T) {
	var settlesIn []time.Duration
	f := feed.New("t", memory.New().Client(), timer.New(), zap.NewNop(), func(_ []mirror.Row, d time.Duration) { settlesIn = append(settlesIn, d) })
	row := func(key string, v mirror.Version) mirror.Row { return mirror.Row{Key: key, Version: v} }
	applyFromPeer(f, []mirror.Row{row("a", 7), row("b", 7)}, 7)
	copied := mirror.NewVersion(2, 5)
	f.Replace([]mirror.Row{row("a", copied)}, copied, func([]mirror.Row) { settlesIn = append(settlesIn, f.PeerSettlesIn(0)) })
	applyFromPeer(f, []mirror.Row{{Key: "a", Version: copied + 1, Removed: true}}, copied+1)
	if len(settlesIn) != 3 || settlesIn[0] != 0 || settlesIn[1] <= 0 || settlesIn[2] <= 0 {
		t.Errorf("rows settle in %v, want none at first and some after the drill", settlesIn)
	}
	if d := f.SettlesIn(); d <= 0 {
		t.Errorf("tells others that rows settle in %v", d)
	}
}
