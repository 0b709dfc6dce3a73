package streams_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/standin/memory"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/store"
)

const (
	service = route.ServiceName("models")
	timeout = 10 * time.Second
	// shortService is a service whose streams may be taken up for shortLifetime.
	shortService  = route.ServiceName("notes")
	shortLifetime = 4 * time.Second
)

var v1, v2 = software.Stated("v1"), software.Stated("v2")

// fleet is a number of registries with a common store, whose time each of them knows.
type fleet struct {
	store    *memory.Store
	clock    *timer.Service
	serving  map[software.Version]int
	lifetime time.Duration
	// configured are the lifetimes of all services, if they are not lifetime and shortLifetime.
	configured map[route.ServiceName]time.Duration
	// age is the age of the splits.
	age time.Duration
	// mu guards registries, which are the instances by name, and left. Unreachable are those that do not answer others.
	mu          sync.Mutex
	registries  map[string]*streams.Registry
	unreachable map[string]bool
	// left are the instances that are known no more. The functions of stops end them.
	left  map[string]bool
	stops map[string]func()
	// peers is the number of other instances, if it is not 1. transactions counts those of the store.
	peers        int
	transactions atomic.Int64
	// uptime is the uptime of all instances at their start, which was at started.
	uptime  time.Duration
	started map[string]time.Duration
	// failing are the kinds of calls to the store that fail. While hanging is set, all wait for hang to close.
	failing atomic.Pointer[[]string]
	hanging atomic.Bool
	hang    chan struct{}
	// ahead is the time by which the clock is ahead of the system's. The store has run for an hour at startedAt.
	ahead     atomic.Int64
	startedAt time.Duration
}

func newFleet() *fleet {
	f := &fleet{store: memory.New(), clock: timer.New(), lifetime: time.Minute, registries: map[string]*streams.Registry{}, unreachable: map[string]bool{}, left: map[string]bool{}, stops: map[string]func(){}, started: map[string]time.Duration{}, uptime: time.Hour, hang: make(chan struct{})}
	boot := f.clock.Boot
	f.clock.Boot = func() time.Duration { return boot() + time.Duration(f.ahead.Load()) }
	f.startedAt = f.clock.Boot()
	return f
}

func (f *fleet) add(t *testing.T, name string) *streams.Registry {
	r := streams.New(name, streams.Services{
		Timer: f.clock, Log: zap.NewNop(), Store: f.store.Client(), FleetTable: "fleet", RecordTable: "streams",
		Serving: func(route.ServiceName) map[software.Version]int { return f.serving },
		Ready:   func() bool { return false }, Responsible: func() bool { return true }, PeerCount: func() int { return max(1, f.peers) },
		StoreReachable: func() bool { return true }, SplitAge: func() time.Duration { return f.age },
		Instances: f.instances,
		Ask:       func(_ context.Context, ids []software.StreamID) streams.Answer { return f.ask(name, ids) },
	})
	f.mu.Lock()
	f.registries[name] = r
	f.mu.Unlock()
	r.ObserveStoreTime(time.Hour + f.clock.Boot() - f.startedAt)
	r.Configure(f.lifetimes())
	f.read(t, r)
	c, cancel := context.WithCancel(t.Context())
	f.mu.Lock()
	f.stops[name], f.started[name] = cancel, f.clock.Boot()
	f.mu.Unlock()
	go r.Run(c)
	return r
}

func (f *fleet) lifetimes() map[route.ServiceName]time.Duration {
	if f.configured != nil {
		return maps.Clone(f.configured)
	}
	if f.lifetime == 0 {
		return nil
	}
	return map[route.ServiceName]time.Duration{service: f.lifetime, shortService: shortLifetime}
}

// configure has all instances learn of a configuration by which streams may be taken up for d. With 0, there are no
// such streams.
func (f *fleet) configure(d time.Duration) {
	f.lifetime = d
	f.spreadConfiguration()
}

func (f *fleet) spreadConfiguration() {
	for _, r := range f.all() {
		r.Configure(f.lifetimes())
	}
}

// all returns the instances by name.
func (f *fleet) all() map[string]*streams.Registry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.registries)
}

// advance moves the clocks of all instances and of the store on.
func (f *fleet) advance(d time.Duration) { f.ahead.Add(int64(d)) }

// instances returns the names of the instances that have not left, without those of their runs.
func (f *fleet) instances() (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.registries {
		if !f.left[n] {
			name, _, _ := strings.Cut(n, ".")
			out = append(out, name)
		}
	}
	return out
}

// ask asks all instances but the named one for streams. It holds no lock meanwhile: a Registry asks for the instances
// with its own lock held.
func (f *fleet) ask(name string, ids []software.StreamID) streams.Answer {
	f.mu.Lock()
	left, unreachable, started := maps.Clone(f.left), maps.Clone(f.unreachable), maps.Clone(f.started)
	f.mu.Unlock()
	uptime := func(n string) time.Duration { return f.uptime + f.clock.Boot() - started[n] }
	l := f.all()
	all := streams.Answer{Versions: map[software.StreamID]software.Version{}, Complete: uptime(name) > l[name].Retention()}
	for other, r := range l {
		switch {
		case other == name || left[other]:
		case unreachable[other]:
			all.Complete = false
		default:
			a := r.Answer(ids, uptime(other))
			all.Complete = all.Complete && a.Complete
			maps.Copy(all.Versions, a.Versions)
		}
	}
	return all
}

// read has a registry read the fleet table, as a feed does.
func (f *fleet) read(t *testing.T, r *streams.Registry) {
	rows, _, err := f.store.Client().Read(t.Context(), "fleet")
	if err != nil {
		t.Fatal(err)
	}
	r.ApplyRows(rows)
}

func stream(name string, v software.Version) software.Stream {
	return software.Stream{ID: software.NewStreamID("guild", name), Service: string(service), Slot: software.SlotOf(name), Version: v}
}

func find(t *testing.T, r *streams.Registry, x software.Stream) (software.Version, bool) {
	return r.Find(t.Context(), service, x.Slot, x.ID)
}

// eventuallyFound waits until a registry finds the version of a stream.
func eventuallyFound(t *testing.T, r *streams.Registry, x software.Stream) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v, ok := find(t, r, x); ok {
			if v != x.Version {
				t.Fatalf("found at %q, it began at %q", v, x.Version)
			}
			return
		}
	}
	t.Fatalf("not found within %v", timeout)
}

// While a split is new, the version of a stream is unknown without a record, and known by it at an
// instance that starts after all others have ended.
func TestStreamsOfANewSplitAreRecorded(t *testing.T) {
	f := newFleet()
	f.serving = map[software.Version]int{v1: 9, v2: 9}
	a := f.add(t, "a")
	a.Step(t.Context())
	b := f.add(t, "b")
	for i := range 300 {
		x := stream(fmt.Sprint("s", i), v1)
		if p, ok := a.Planned(service, x.Slot); !ok || p != v1 && p != v2 {
			t.Fatalf("planned %q, %v", p, ok)
		} else if i%3 > 0 {
			x.Version = p
		}
		if v, ok := find(t, b, x); ok {
			t.Fatalf("%d: found at %q before it began", i, v)
		}
		a.Begin(x)
		if i%50 == 0 {
			eventuallyFound(t, b, x)
			eventuallyFound(t, f.add(t, fmt.Sprint("c", i)), x)
			other := x
			other.ID = software.NewStreamID("shop", fmt.Sprint("s", i))
			if _, ok := find(t, b, other); ok {
				t.Error("a stream of another workspace is found")
			}
		}
	}
}

// A stream that begins at another version than the planned one is recorded at once, also long after the
// split has changed.
func TestDeviatingStreamsAreRecorded(t *testing.T) {
	f := newFleet()
	f.lifetime = 100 * time.Millisecond
	f.serving = map[software.Version]int{v1: 9, v2: 9}
	a := f.add(t, "a")
	a.Step(t.Context())
	b := f.add(t, "b")
	b.ObserveStoreTime(2 * time.Hour)
	a.ObserveStoreTime(2 * time.Hour)
	x := stream("s", v1)
	if p, _ := a.Planned(service, x.Slot); p == v1 {
		x.Version = v2
	}
	if v, ok := find(t, b, x); !ok || v == x.Version {
		t.Fatalf("planned at %q, %v", v, ok)
	}
	f.configure(time.Hour / 2)
	a.Begin(x)
	time.Sleep(100 * time.Millisecond)
	eventuallyFound(t, b, x)
}

// An instance that was frozen has not heard of a newer split. The streams that it begins are recorded, though
// its own split says that they follow from it.
func TestStreamsOfAnOldSplitAreRecorded(t *testing.T) {
	f := newFleet()
	f.serving = map[software.Version]int{v1: 9, v2: 9}
	a := f.add(t, "a")
	a.Step(t.Context())
	a.ObserveStoreTime(2 * time.Hour)
	f.age = 5 * time.Second
	x := stream("s", v1)
	x.Version, _ = a.Planned(service, x.Slot)
	a.Begin(x)
	for end := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		rows, _, err := f.store.Client().Read(t.Context(), "streams")
		if err != nil || time.Now().After(end) {
			t.Fatalf("no record, %v", err)
		}
		if len(rows) > 0 {
			return
		}
	}
}

// The store is away: what is settled is known all the same, what is not is unknown.
func TestStreamsDuringAnOutage(t *testing.T) {
	f := newFleet()
	f.serving = map[software.Version]int{v1: 9, v2: 9}
	a := f.add(t, "a")
	a.Step(t.Context())
	f.store.InjectFault = func(string) (bool, error) { return false, errors.New("away") }
	x := stream("s", v1)
	if v, ok := find(t, a, x); ok {
		t.Errorf("found at %q while the split is new", v)
	}
	a.ObserveStoreTime(2 * time.Hour)
	p, _ := a.Planned(service, x.Slot)
	if v, ok := find(t, a, x); !ok || v != p {
		t.Errorf("found at %q, %v, planned at %q", v, ok, p)
	}
}

// The store comes back from a copy with an older split, or with none. The newer one stays in force and
// is written again.
func TestSplitSurvivesARestoredStore(t *testing.T) {
	f := newFleet()
	empty := f.store.Copy()
	f.serving = map[software.Version]int{v1: 9}
	a := f.add(t, "a")
	a.Step(t.Context())
	old := f.store.Copy()
	f.serving = map[software.Version]int{v1: 9, v2: 9}
	time.Sleep(1100 * time.Millisecond)
	a.Step(t.Context())
	for i, c := range []memory.Copy{old, empty} {
		f.store.Restore(c)
		rows, version, err := a.Store.Read(t.Context(), "fleet")
		if err != nil {
			t.Fatal(err)
		}
		if len(rows) == 0 {
			rows = []mirror.Row{{Key: streams.SplitPrefix + string(service), Version: version, Removed: true}}
		}
		a.ApplyRows(rows)
		time.Sleep(1100 * time.Millisecond)
		a.Step(t.Context())
		b := f.add(t, fmt.Sprint("b", i))
		for x := range software.Slot(64) {
			p, _ := a.Planned(service, x)
			if q, ok := b.Planned(service, x); !ok || p != q {
				t.Fatalf("copy %d: slot %d is planned at %q and, in the store, at %q", i, x, p, q)
			}
		}
	}
}

// FuzzRows applies rows of splits and records that another writer has spoilt.
func FuzzRows(f *testing.F) {
	for _, text := range []string{
		"", "[]", "{}", `{"versions":["=v1"],"slots":[0],"since-ms":[0]}`, `{"versions":[],"streams":{"zz":1}}`, `{"streams":{"1":65535}}`,
		`{"slots":[-1,1e300]}`, `{"versions":["=v1"],"slots":[0],"since-ms":[0],"previous":[7]}`, `{"versions":"=v1"}`, `{"written-ms":9e99}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		x := newFleet()
		x.store.Apply(store.Transaction{Writes: []store.Write{
			{Key: store.Key{Table: "fleet", Key: streams.SplitPrefix + string(service)}, Value: value},
			{Key: store.Key{Table: "streams", Key: "odd"}, Value: value},
		}})
		c, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := x.add(t, "a")
		r.Find(c, service, 7, 7)
		x.serving = map[software.Version]int{v1: 1}
		r.Step(c)
	})
}

// The row of an upstream shows late that its process is another one with other software. At which of
// both versions its last streams began is unknown.
func TestLastStreamsBeforeALateRowAreUnknown(t *testing.T) {
	f := newFleet()
	f.serving = map[software.Version]int{v1: 9}
	a := f.add(t, "a")
	a.Step(t.Context())
	x, y := stream("s", v1), stream("other", v1)
	x.Upstream, y.Upstream = "e0", "e1"
	a.Begin(x)
	a.Begin(y)
	a.Doubt("e0", v1)
	if v, _ := find(t, a, x); v == v1 {
		t.Errorf("found at %q", v)
	}
	if v, ok := find(t, a, y); !ok || v != v1 {
		t.Errorf("the stream of another upstream is found at %q, %v", v, ok)
	}
	f.serving = map[software.Version]int{v1: 8, v2: 1}
	time.Sleep(1100 * time.Millisecond)
	a.Step(t.Context())
	time.Sleep(300 * time.Millisecond)
	if v, ok := find(t, f.add(t, "b"), x); ok && v.IsStated() {
		t.Errorf("found at %q by another instance", v)
	}
}
