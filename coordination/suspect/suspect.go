// Package suspect finds the requests that crash the engines that run them,
// and has them refused over the whole fleet.
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

//go:generate go tool stringer -type=Standing -linecomment

// Fingerprint is the hash of what a request asks of an engine.
type Fingerprint string

// Status is what is known of a request.
type Status int

// Standings. A suspected request ran on an engine that crashed and runs alone
// from then on. A blocked one crashed a second engine.
const (
	Clean     Status = iota // clean
	Suspected               // suspected
	Blocked                 // blocked
)

// Crash is one run of an engine that ended with the request on it.
type Crash struct {
	Upstream    adapter.UpstreamID
	Incarnation adapter.Incarnation
}

type entry struct {
	crashes map[Crash]bool
	until   time.Time
}

const (
	crashLimit  = 2
	remember    = 10 * time.Minute
	tellMethod  = "suspect/tell"
	rowPrefix   = "suspect/"
	tellTimeout = 500 * time.Millisecond
	readLimit   = 1000
)

// Services are the parts that the suspect part works with.
type Services struct {
	Timer    *timer.Service
	Fleet    *fleet.Fleet
	Mesh     *mesh.Mesh
	Table    *provider.Table
	Recorder *timeline.Recorder
	Log      *zap.Logger
}

// Registry knows the suspected and blocked requests of the fleet.
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

type tellQuery struct {
	mesh.Message
	Fingerprint string        `protobuf:"bytes,1,opt,name=fingerprint,proto3"`
	Crash       *crashMessage `protobuf:"bytes,2,opt,name=crash,proto3"`
	Cleared     bool          `protobuf:"varint,3,opt,name=cleared,proto3"`
}

type tellReply struct {
	mesh.Message
}

// New returns an empty register.
func New(s Services) *Registry {
	s.Log = s.Log.Named("suspect")
	r := &Registry{Services: s, entries: map[Fingerprint]*entry{}}
	mesh.Handle(s.Mesh, tellMethod, func(_ context.Context, _ string, q *tellQuery) (*tellReply, error) {
		f := Fingerprint(q.Fingerprint)
		if q.Cleared {
			r.forget(f)
		}
		if q.Crash != nil {
			r.add(f, Crash{Upstream: adapter.UpstreamID(q.Crash.Upstream), Incarnation: adapter.Incarnation(q.Crash.Incarnation)})
		}
		return &tellReply{}, nil
	})
	return r
}

// Status returns what is known of a request.
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
	case len(e.crashes) >= crashLimit:
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
	e.until = r.Timer.Now().Add(remember)
	if len(e.crashes) >= crashLimit {
		return Blocked
	}
	return Suspected
}

func (r *Registry) forget(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, f)
}

// RecordCrash notes that an engine crashed with the request on it and tells every
// member before it returns.
func (r *Registry) RecordCrash(c context.Context, f Fingerprint, x Crash) Status {
	s := r.add(f, x)
	kind := timeline.Suspected
	if s == Blocked {
		kind = timeline.Blocked
		r.store(c, f)
	}
	r.Recorder.Record(timeline.Event{Part: timeline.Suspect, Kind: kind, Upstream: string(x.Upstream), Detail: string(f)})
	r.tell(c, &tellQuery{Fingerprint: string(f), Crash: &crashMessage{Upstream: string(x.Upstream), Incarnation: int64(x.Incarnation)}})
	return s
}

// Clear notes that the request ran alone without a crash.
func (r *Registry) Clear(c context.Context, f Fingerprint) {
	r.forget(f)
	r.Recorder.Record(timeline.Event{Part: timeline.Suspect, Kind: timeline.Cleared, Detail: string(f)})
	r.tell(c, &tellQuery{Fingerprint: string(f), Cleared: true})
}

func (r *Registry) tell(c context.Context, q *tellQuery) {
	x, cancel := context.WithTimeout(context.WithoutCancel(c), tellTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, m := range r.Fleet.Peers() {
		w.Go(func() {
			_, _ = mesh.Call[tellQuery, tellReply](x, r.Mesh, m.Mesh, tellMethod, q)
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

// store keeps a blocked request for instances that start later.
func (r *Registry) store(c context.Context, f Fingerprint) {
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
		r.Log.Warn("blocked request is not stored", zap.Error(err))
	}
}

// Restore reads the blocked requests that were stored. It fails with
// provider.ErrUnavailable.
func (r *Registry) Restore(c context.Context) error {
	rows, err := r.Table.List(c, rowPrefix, "", readLimit)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var s storedEntry
		if json.Unmarshal([]byte(row.Value), &s) != nil {
			continue
		}
		if time.Unix(s.UntilUnix, 0).Before(r.Timer.Now()) {
			r.drop(c, row)
			continue
		}
		for _, x := range s.Crashes {
			r.add(Fingerprint(row.Key[len(rowPrefix):]), Crash{Upstream: adapter.UpstreamID(x.Upstream), Incarnation: adapter.Incarnation(x.Incarnation)})
		}
	}
	return nil
}

func (r *Registry) drop(c context.Context, row provider.Row) {
	_ = r.Table.Transact(c, provider.Transaction{
		Conditions: []provider.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
}
