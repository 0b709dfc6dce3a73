// Package instance assembles and runs one entry instance.
package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/idempotency"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/coordination/placement"
	"gentiangauge.example/gentiangauge/coordination/quota"
	"gentiangauge.example/gentiangauge/coordination/suspect"
	"gentiangauge.example/gentiangauge/protocol/caller"
	"gentiangauge.example/gentiangauge/protocol/engine"
	"gentiangauge.example/gentiangauge/protocol/operator"
	"gentiangauge.example/gentiangauge/settings"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/inbound"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// Instance is one entry instance. Its fields are exported for tests.
type Instance struct {
	Settings    *settings.Settings
	Timer       *timer.Service
	Recorder    *timeline.Recorder
	Mesh        *mesh.Mesh
	Table       *provider.Table
	Catalog     *catalog.Catalog
	Fleet       *fleet.Fleet
	Quota       *quota.Quota
	Placement   *placement.Placement
	Suspects    *suspect.FleetRegistry
	Idempotency *idempotency.Executor
	Relay       *relay.Relay
	Server      *caller.Server
	// Inbound has the account of what is held for callers and upstreams.
	Inbound inbound.Services

	metrics *prometheus.Registry
	log     *zap.Logger
	life    context.Context
	stopAll context.CancelFunc
}

const (
	// tableTimeout bounds the wait for the table during a graceful stop.
	tableTimeout = 5 * time.Second
	// drainPollInterval is the interval at which a graceful stop checks for calls in flight.
	drainPollInterval = 100 * time.Millisecond
	// propagationMargin is added to two ping intervals for the time in which peers receive
	// that this instance is leaving.
	propagationMargin = time.Second
	// readTimeout, idleTimeout and maxHeaderBytes bound the requests of operators.
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// New assembles an instance. Nothing runs until Run is called.
func New(s *settings.Settings, log *zap.Logger) *Instance {
	i := &Instance{Settings: s, Timer: timer.New(), log: log, metrics: prometheus.NewRegistry(), Relay: relay.New()}
	i.life, i.stopAll = context.WithCancel(context.Background())
	i.Inbound = inbound.Services{Account: shedding.New(limits(s), i.Timer.Boot), Timer: i.Timer, Log: log, StallTimeout: s.Caller.StallTimeout.Duration()}
	inbound.RegisterMetrics(i.metrics, i.Inbound.Account)
	i.Relay.SetMaxIdle(i.Inbound.Account.Limits().IdleUpstream)
	i.metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	i.Recorder = timeline.New(s.Instance.Name, s.Instance.TimelineEvents, i.Timer.Now)
	i.Mesh = mesh.New(s.Instance.MeshAddress, mesh.Clock{Tick: i.Recorder.Tick, Observe: i.Recorder.Observe})
	i.countMeshBytes()
	timeout := s.Platform.Timeout.Duration()
	i.Table = provider.NewTable(s.Platform.TableAddress, timeout)
	i.Catalog = catalog.New(i.Table, provider.NewObjects(s.Platform.ObjectAddress, timeout), i.Recorder)
	i.Catalog.Register(i.Mesh)
	i.newFleet(provider.NewDirectory(s.Platform.DirectoryAddress, timeout))
	i.newCoordination()
	i.newServer()
	return i
}

// limits returns the bounds of what the instance holds for callers and upstreams.
func limits(s *settings.Settings) shedding.Limits {
	return inbound.NewLimits(shedding.Bytes(s.Instance.MemoryMegabytes<<20), min(s.Instance.Descriptors, inbound.KernelDescriptors()))
}

// countMeshBytes counts the traffic with other instances in the metrics.
func (i *Instance) countMeshBytes() {
	n := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gentiangauge_mesh_bytes_total", Help: "Bytes between instances."}, []string{"direction"})
	i.metrics.MustRegister(n)
	received, sent := n.WithLabelValues("received"), n.WithLabelValues("sent")
	i.Mesh.OnTransfer = func(r, s int) {
		received.Add(float64(r))
		sent.Add(float64(s))
	}
}

func (i *Instance) newFleet(d *provider.Directory) {
	s := i.Settings
	i.Fleet = fleet.New(fleet.Config{
		Self: lease.Member{
			Instance: s.Instance.Name, Zone: s.Instance.Zone, Address: s.Instance.Address,
			Mesh: s.Instance.MeshAddress, Operator: s.Instance.OperatorAddress,
		},
		Lease:           lease.Config{Duration: s.Lease.Duration.Duration(), SuspicionTimeout: s.Lease.SuspicionTimeout.Duration()},
		RenewalInterval: s.Lease.RenewalInterval.Duration(),
		PingInterval:    s.Lease.PingInterval.Duration(),
	}, fleet.Services{
		Timer: i.Timer, Table: i.Table, Directory: d, Mesh: i.Mesh, Catalog: i.Catalog, Recorder: i.Recorder, Log: i.log,
	})
}

// newCoordination creates the parts that coordinate with the other instances.
func (i *Instance) newCoordination() {
	s := i.Settings
	call := s.Caller.CallTimeout.Duration()
	i.Quota = quota.New(i.life, quota.Config{
		ChunkPercent: s.Quota.ChunkPercent, FloorLifetime: s.Quota.FloorDuration.Duration(), MaxCallTime: call,
	}, quota.Services{Timer: i.Timer, Fleet: i.Fleet, Mesh: i.Mesh, Catalog: i.Catalog, Recorder: i.Recorder, Log: i.log})
	i.Placement = placement.New(i.life, placement.Config{
		Pool: s.EnginePool(), Loads: s.Loads, Policy: s.Placement.Policy, SpreadRequests: s.Placement.SpreadRequests,
		QueueTimeout: s.Caller.QueueTimeout.Duration(), CallTimeout: call, LoadTimeout: s.Loads.LoadTimeout.Duration(), LeaseDuration: s.Lease.Duration.Duration(),
	}, placement.Services{Timer: i.Timer, Fleet: i.Fleet, Mesh: i.Mesh, Engines: engine.New(), Recorder: i.Recorder, Log: i.log})
	i.Fleet.GossipPayload = i.Placement.ReportViews
	i.Fleet.OnGossip = i.Placement.ApplyViews
	i.Suspects = suspect.NewFleetRegistry(suspect.FleetServices{Timer: i.Timer, Fleet: i.Fleet, Mesh: i.Mesh, Table: i.Table, Recorder: i.Recorder, Log: i.log})
	i.Idempotency = idempotency.New(i.life, idempotency.Services{
		Timer: i.Timer, Fleet: i.Fleet, Mesh: i.Mesh, Table: i.Table, Recorder: i.Recorder, Log: i.log,
		Instance: s.Instance.Name, MeshAddress: s.Instance.MeshAddress,
	})
}

func (i *Instance) newServer() {
	i.Server = caller.New(i.Settings, caller.Services{
		Timer: i.Timer, Fleet: i.Fleet, Catalog: i.Catalog, Quota: i.Quota, Placement: i.Placement, Suspects: i.Suspects,
		Idempotency: i.Idempotency, Relay: i.Relay, Engines: engine.New(), Recorder: i.Recorder, Metrics: caller.NewMetrics(i.metrics), Log: i.log,
		Account: i.Inbound.Account,
	})
	i.Catalog.OnInstall = func(before, after *lists.State) {
		i.Server.HandleInstall(before, after)
		i.Quota.HandleInstall(before, after)
	}
}

// Run serves until c ends and then stops gracefully: the instance is no longer advertised
// to callers, accepts requests for as long as callers may use its address, completes the
// requests in flight, and releases its seat in the fleet.
func (i *Instance) Run(c context.Context) error {
	defer i.stopAll()
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	i.recordEvent(timeline.Started)
	if err := i.Suspects.Restore(c); err != nil {
		i.log.Warn("failed to restore the blocked requests", zap.Error(err))
	}
	serving, stopServing := context.WithCancel(i.life)
	defer stopServing()
	failed := make(chan error, len(listeners))
	var w sync.WaitGroup
	w.Go(func() { failed <- i.Server.Serve(serving, listeners[0]) })
	go func() { failed <- i.Mesh.Serve(i.life, listeners[1]) }()
	go func() { failed <- i.serveOperators(listeners[2]) }()
	go i.Fleet.Run(i.life)
	go i.Quota.Run(i.life)
	go i.Placement.Run(i.life)
	go i.Suspects.Run(i.life)
	select {
	case err := <-failed:
		return err
	case <-c.Done():
	}
	i.stop(stopServing, &w)
	return nil
}

// Kill stops the instance at once, without a graceful stop. It is for tests.
func (i *Instance) Kill() {
	i.stopAll()
}

// listen opens the listeners for callers, for the mesh and for operators, in this order.
func (i *Instance) listen() ([]net.Listener, error) {
	var all []net.Listener
	n := i.Settings.Instance
	for _, x := range []struct {
		address string
		door    shedding.Door
	}{{n.Address, shedding.Callers}, {n.MeshAddress, shedding.Peers}, {n.OperatorAddress, shedding.Operators}} {
		l, err := inbound.Listen(x.address, x.door, i.Inbound)
		if err != nil {
			for _, x := range all {
				_ = x.Close()
			}
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}

func (i *Instance) serveOperators(l net.Listener) error {
	h := operator.Handler(operator.Services{
		Name: i.Settings.Instance.Name, Zone: i.Settings.Instance.Zone, Fleet: i.Fleet, Catalog: i.Catalog,
		Recorder: i.Recorder, Metrics: i.metrics, InFlight: i.Server.InFlight, Lease: i.Settings.Lease.Duration.Duration(),
	})
	s := &http.Server{Handler: inbound.WithoutBodies(h, i.Timer), ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	inbound.Configure(s, i.log)
	stop := context.AfterFunc(i.life, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if i.life.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serve operators")
}

// stop performs the graceful stop that Run describes.
func (i *Instance) stop(stopServing context.CancelFunc, w *sync.WaitGroup) {
	i.recordEvent(timeline.Stopping)
	i.log.Info("stop begins")
	began := i.Timer.Now()
	i.Server.StartDraining()
	i.withTimeout(i.Fleet.Leave)
	// Peers advertise this address until they have received the change.
	propagation := 2*i.Settings.Lease.PingInterval.Duration() + propagationMargin
	_ = i.Timer.Wait(i.life, i.Settings.Caller.AddressTTL.Duration()+propagation)
	stopServing()
	w.Wait()
	for i.Idempotency.InFlight() > 0 && i.Timer.Now().Sub(began) < i.Settings.Caller.CallTimeout.Duration() {
		_ = i.Timer.Wait(i.life, drainPollInterval)
	}
	i.withTimeout(i.Fleet.ReleaseSeat)
	i.recordEvent(timeline.Stopped)
	i.log.Info("stop ends")
}

// withTimeout calls f with a context that ends after tableTimeout.
func (i *Instance) withTimeout(f func(context.Context)) {
	c, cancel := context.WithTimeout(i.life, tableTimeout)
	defer cancel()
	f(c)
}

func (i *Instance) recordEvent(k timeline.Kind) {
	i.Recorder.Record(timeline.Event{Part: timeline.Process, Kind: k})
}
