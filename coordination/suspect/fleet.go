package suspect

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

const (
	announceMethod  = "suspect/tell"
	rowPrefix       = "suspect/"
	announceTimeout = 500 * time.Millisecond
	maxRows         = 1000
	// rowRetention is how long a stored verdict that blocks no more requests is used by instances
	// that start.
	rowRetention = 10 * time.Minute
	// partDigits is the number of hexadecimal digits of a part. Earlier versions stored the whole
	// hash of the request, which begins with them.
	partDigits = 16
)

// FleetServices are the dependencies of a registry that exchanges announcements by calls and
// stores verdicts in the provider's table.
type FleetServices struct {
	Timer    *timer.Service
	Fleet    *fleet.Fleet
	Mesh     *mesh.Mesh
	Table    *provider.Table
	Recorder *timeline.Recorder
	Log      *zap.Logger
}

// FleetRegistry is a Registry whose instances reach each other by calls. The upstream of a
// suspected request runs nothing else, so that one crash makes a request suspected.
type FleetRegistry struct {
	*Registry
	services FleetServices
}

// NewFleetRegistry returns an empty registry.
func NewFleetRegistry(s FleetServices) *FleetRegistry {
	r := &FleetRegistry{services: s}
	r.Registry = New(1, Services{Timer: s.Timer, Log: s.Log, Store: r.store, Recorder: s.Recorder})
	r.announce = r.call
	mesh.Handle(s.Mesh, announceMethod, func(_ context.Context, from string, q *announcement) (*announcementReply, error) {
		r.apply(from, q)
		return &announcementReply{}, nil
	})
	return r
}

// call sends an announcement to all peers in parallel, and waits for them.
func (r *FleetRegistry) call(c context.Context, q *announcement) {
	x, cancel := context.WithTimeout(context.WithoutCancel(c), announceTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, m := range r.services.Fleet.Peers() {
		w.Go(func() {
			if _, err := mesh.Call[announcement, announcementReply](x, r.services.Mesh, m.Mesh, announceMethod, q); err != nil {
				r.Log.Info("announcement not delivered", zap.String("to", m.Mesh), zap.Error(err))
			}
		})
	}
	w.Wait()
}

// Run keeps the registry and the stored verdicts up to date until c ends.
func (r *FleetRegistry) Run(c context.Context) {
	r.Timer.Subscribe(c, maintainInterval, func(time.Time) { r.Maintain(c) })
}

type storedCrash struct {
	Upstream    string `json:"upstream"`
	Incarnation int64  `json:"incarnation"`
}

type storedVerdict struct {
	Crashes   []storedCrash `json:"crashes"`
	UntilUnix int64         `json:"until-unix-seconds"`
}

// store stores a verdict for instances that start later.
func (r *FleetRegistry) store(c context.Context, v suspicion.Verdict) {
	s := storedVerdict{UntilUnix: r.Timer.Now().Add(rowRetention).Unix(), Crashes: []storedCrash{{Upstream: v.Upstream, Incarnation: v.StartedAt}}}
	b, err := json.Marshal(s)
	if err == nil {
		err = r.services.Table.Transact(c, provider.Transaction{Puts: []provider.Put{{Key: rowPrefix + v.Lead.String(), Value: string(b)}}})
	}
	if err != nil {
		r.Log.Warn("could not store verdict", zap.Error(err))
	}
}

// Restore reads the stored verdicts and deletes the expired ones. It fails with
// provider.ErrUnavailable.
func (r *FleetRegistry) Restore(c context.Context) error {
	rows, err := r.services.Table.List(c, rowPrefix, "", maxRows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		v, until, ok := decodeRow(row)
		switch {
		case !ok:
			r.Log.Warn("cannot decode stored verdict", zap.String("key", row.Key))
		case until.Before(r.Timer.Now()):
			r.deleteRow(c, row)
		default:
			r.Merge(v, "the store")
		}
	}
	return nil
}

func decodeRow(row provider.Row) (suspicion.Verdict, time.Time, bool) {
	var s storedVerdict
	digits := strings.TrimPrefix(row.Key, rowPrefix)
	if len(digits) < partDigits || json.Unmarshal([]byte(row.Value), &s) != nil || len(s.Crashes) == 0 {
		return suspicion.Verdict{}, time.Time{}, false
	}
	n, err := strconv.ParseUint(digits[:partDigits], 16, 64)
	p := suspicion.Part(n)
	x := suspicion.Crash{Upstream: s.Crashes[0].Upstream, StartedAt: s.Crashes[0].Incarnation}
	return suspicion.Verdict{VerdictID: suspicion.VerdictID{Crash: x, Lead: p}, Parts: []suspicion.Part{p}}, time.Unix(s.UntilUnix, 0), err == nil
}

func (r *FleetRegistry) deleteRow(c context.Context, row provider.Row) {
	err := r.services.Table.Transact(c, provider.Transaction{
		Conditions: []provider.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	if err != nil {
		r.Log.Info("could not delete expired verdict", zap.String("key", row.Key), zap.Error(err))
	}
}
