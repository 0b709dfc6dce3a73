// Package suspect detects requests that crash the engines that run them, so that the whole fleet
// refuses them.
package suspect

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/state/adapter"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

//go:generate go tool stringer -type=Status -linecomment

// Fingerprint is the hash of the content of a request to an engine.
type Fingerprint string

// Status is the status of a request by its fingerprint.
type Status int

// Statuses. A suspected request ran on an engine that crashed, and runs without other requests on
// the engine from then on. A blocked one crashed a second engine.
const (
	Clean     Status = iota // clean
	Suspected               // suspected
	Blocked                 // blocked
)

// Crash identifies the run of an engine that ended while the request ran on it.
type Crash struct {
	Upstream    adapter.UpstreamID
	Incarnation adapter.Incarnation
}

type entry struct {
	crashes map[Crash]bool
	until   time.Time
}

const (
	blockAfterCrashes = 2
	retention         = 10 * time.Minute
	announceMethod    = "suspect/tell"
	rowPrefix         = "suspect/"
	announceTimeout   = 500 * time.Millisecond
	maxRows           = 1000
)

// Services are the dependencies of Registry.
type Services struct {
	Timer    *timer.Service
	Fleet    *fleet.Fleet
	Mesh     *mesh.Mesh
	Table    *provider.Table
	Recorder *timeline.Recorder
	Log      *zap.Logger
}

// Registry holds the suspected and blocked requests of the fleet.
type Registry struct {
	Services
	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

type crashMessage struct {
	mesh.Message
	Upstream    string `protobuf:"bytes,1,opt,name=upstream,proto3"`
	Incarnation int64  `protobuf:"varint,2,opt,name=incarnation,proto3"`
}

type announcement struct {
	mesh.Message
	Fingerprint string        `protobuf:"bytes,1,opt,name=fingerprint,proto3"`
	Crash       *crashMessage `protobuf:"bytes,2,opt,name=crash,proto3"`
	Cleared     bool          `protobuf:"varint,3,opt,name=cleared,proto3"`
}

type announcementReply struct {
	mesh.Message
}

// New returns an empty registry.
func New(s Services) *Registry {
	s.Log = s.Log.Named("suspect")
	r := &Registry{Services: s, entries: map[Fingerprint]*entry{}}
	mesh.Handle(s.Mesh, announceMethod, func(_ context.Context, _ string, q *announcement) (*announcementReply, error) {
		f := Fingerprint(q.Fingerprint)
		if q.Cleared {
			r.remove(f)
		}
		if q.Crash != nil {
			r.add(f, Crash{Upstream: adapter.UpstreamID(q.Crash.Upstream), Incarnation: adapter.Incarnation(q.Crash.Incarnation)})
		}
		return &announcementReply{}, nil
	})
	return r
}

// Status returns the status of a request.
func (r *Registry) Status(f Fingerprint) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	switch {
	case !ok:
		return Clean
	case r.Timer.Now().After(e.until):
		delete(r.entries, f)
		return Clean
	case len(e.crashes) >= blockAfterCrashes:
		return Blocked
	default:
		return Suspected
	}
}

func (r *Registry) add(f Fingerprint, x Crash) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if !ok {
		e = &entry{crashes: map[Crash]bool{}}
		r.entries[f] = e
	}
	e.crashes[x] = true
	e.until = r.Timer.Now().Add(retention)
	if len(e.crashes) >= blockAfterCrashes {
		return Blocked
	}
	return Suspected
}

func (r *Registry) remove(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, f)
}

// RecordCrash records that an engine crashed while the request ran on it, and returns the new
// status of the request. It announces the crash to every member before it returns.
func (r *Registry) RecordCrash(c context.Context, f Fingerprint, x Crash) Status {
	s := r.add(f, x)
	kind := timeline.Suspected
	if s == Blocked {
		kind = timeline.Blocked
		r.persist(c, f)
	}
	r.Recorder.Record(timeline.Event{Part: timeline.Suspect, Kind: kind, Upstream: string(x.Upstream), Detail: string(f)})
	r.announce(c, &announcement{Fingerprint: string(f), Crash: &crashMessage{Upstream: string(x.Upstream), Incarnation: int64(x.Incarnation)}})
	return s
}

// Clear records that the request ran without other requests on the engine and did not crash it,
// and announces that to every member.
func (r *Registry) Clear(c context.Context, f Fingerprint) {
	r.remove(f)
	r.Recorder.Record(timeline.Event{Part: timeline.Suspect, Kind: timeline.Cleared, Detail: string(f)})
	r.announce(c, &announcement{Fingerprint: string(f), Cleared: true})
}

// announce sends q to all peers in parallel. Failed calls are ignored.
func (r *Registry) announce(c context.Context, q *announcement) {
	x, cancel := context.WithTimeout(context.WithoutCancel(c), announceTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, m := range r.Fleet.Peers() {
		w.Go(func() {
			_, _ = mesh.Call[announcement, announcementReply](x, r.Mesh, m.Mesh, announceMethod, q)
		})
	}
	w.Wait()
}

type storedCrash struct {
	Upstream    string `json:"upstream"`
	Incarnation int64  `json:"incarnation"`
}

type storedEntry struct {
	Crashes   []storedCrash `json:"crashes"`
	UntilUnix int64         `json:"until-unix-seconds"`
}

// persist stores a blocked request for instances that start later.
func (r *Registry) persist(c context.Context, f Fingerprint) {
	r.mu.Lock()
	var s storedEntry
	if e := r.entries[f]; e != nil {
		s.UntilUnix = e.until.Unix()
		for x := range e.crashes {
			s.Crashes = append(s.Crashes, storedCrash{Upstream: string(x.Upstream), Incarnation: int64(x.Incarnation)})
		}
	}
	r.mu.Unlock()
	b, _ := json.Marshal(s)
	err := r.Table.Transact(context.WithoutCancel(c), provider.Transaction{Puts: []provider.Put{{Key: rowPrefix + string(f), Value: string(b)}}})
	if err != nil {
		r.Log.Warn("could not store blocked request", zap.Error(err))
	}
}

// Restore reads the stored blocked requests and deletes the expired ones. It fails with
// provider.ErrUnavailable.
func (r *Registry) Restore(c context.Context) error {
	rows, err := r.Table.List(c, rowPrefix, "", maxRows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var s storedEntry
		if json.Unmarshal([]byte(row.Value), &s) != nil {
			continue
		}
		if time.Unix(s.UntilUnix, 0).Before(r.Timer.Now()) {
			r.deleteRow(c, row)
			continue
		}
		for _, x := range s.Crashes {
			r.add(Fingerprint(row.Key[len(rowPrefix):]), Crash{Upstream: adapter.UpstreamID(x.Upstream), Incarnation: adapter.Incarnation(x.Incarnation)})
		}
	}
	return nil
}

func (r *Registry) deleteRow(c context.Context, row provider.Row) {
	_ = r.Table.Transact(c, provider.Transaction{
		Conditions: []provider.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
}
