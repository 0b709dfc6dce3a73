// Package suspect detects parts of prompts, and whole requests, that crash the upstreams that run
// them, so that the whole fleet refuses them. It exchanges what package suspicion decides by.
package suspect

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

const (
	// repeatTime is how long own evidence is repeated, because announcements may be lost. The
	// heartbeats between availability zones of a large fleet are some three seconds apart.
	repeatTime = 4 * time.Second
	// maxRepeated bounds the crashes and the cleared parts that are repeated at a time, and
	// maxRepeatedParts the parts of these crashes, so that a heartbeat fits into a datagram.
	maxRepeated      = 128
	maxRepeatedParts = 1024
	// reportWait is the time in which the other instances report what they had on an upstream
	// that has crashed.
	reportWait = 100 * time.Millisecond
	// maintainInterval is the interval between two calls of Registry.Maintain.
	maintainInterval = time.Minute
)

// Services are the dependencies of Registry.
type Services struct {
	Timer *timer.Service
	Log   *zap.Logger
	// Announce sends an encoded announcement to all other instances. It may be lost. FleetRegistry
	// makes calls instead.
	Announce func(c context.Context, data []byte)
	// OnCrash is called with each new crash, of this instance or another. Nil ignores it.
	OnCrash func(x suspicion.Crash)
	// Store stores a verdict, or extends the time for which it is stored, for instances that start
	// later. Nil stores none here.
	Store func(c context.Context, v suspicion.Verdict)
	// Recorder records crashes and verdicts in the time line. It may be nil.
	Recorder *timeline.Recorder
	// Metrics may be nil.
	Metrics *Metrics
}

// Registry holds what the fleet knows about parts that crash upstreams. It is safe for concurrent
// use.
type Registry struct {
	Services
	// announce sends an announcement to all other instances. It may be lost.
	announce func(c context.Context, m *announcement)
	ledger   *suspicion.Ledger
	mu       sync.Mutex
	// crashes and sound are what this instance has observed lately.
	crashes []ownCrash
	sound   []ownSound
}

type ownCrash struct {
	suspicion.Evidence
	at time.Duration
}

type ownSound struct {
	part suspicion.Part
	at   time.Duration
}

// New returns an empty registry, in which a part is suspected after a number of crashes.
func New(suspectAfter int, s Services) *Registry {
	s.Log = s.Log.Named("suspect")
	r := &Registry{Services: s, ledger: suspicion.NewLedger(suspectAfter)}
	r.announce = r.encodeAndAnnounce
	return r
}

// Status returns the status of a request with some parts and, if it is suspected, the part that
// has crashed the most upstreams.
func (r *Registry) Status(parts []suspicion.Part) (suspicion.Status, suspicion.Part) {
	return r.ledger.Status(parts, r.Timer.Boot())
}

// Quiet reports whether neither a crash nor a verdict is known, so that every request is clean.
func (r *Registry) Quiet() bool {
	return r.ledger.Quiet()
}

// RecordCrash records that the process of an upstream ended before it had answered a request with
// some parts, the last of which stands for the request itself, and tells all instances. Trial is set if
// the request was sent although it was suspected, without another such request beside it. It returns the
// new status of the request.
func (r *Registry) RecordCrash(c context.Context, x suspicion.Crash, parts []suspicion.Part, trial bool) suspicion.Status {
	e := suspicion.Evidence{Crash: x, Parts: parts}
	now := r.Timer.Boot()
	if r.addCrash(e, "this instance") {
		r.mu.Lock()
		r.crashes = append(r.crashes, ownCrash{Evidence: e, at: now})
		r.mu.Unlock()
		r.announce(c, &announcement{Crashes: []*crashMessage{encodeCrash(e)}})
	}
	if trial && len(parts) > 0 {
		r.decide(c, x, parts)
	}
	s, _ := r.Status(parts)
	return s
}

// RecordUnresolved records that a request with some parts broke off on trial, though its upstream is not known
// to have ended: it may have fallen silent, or be back already. Else requests that crash upstreams in this
// way would be tried without end.
func (r *Registry) RecordUnresolved(c context.Context, upstream string, parts []suspicion.Part) {
	r.RecordCrash(c, suspicion.NewUnresolved(upstream, r.Timer.Boot()), parts, true)
}

// decide reaches a verdict on a suspected request that was on an upstream as it crashed.
func (r *Registry) decide(c context.Context, x suspicion.Crash, parts []suspicion.Part) {
	// The caller's context may end first; the verdict counts all the same.
	c = context.WithoutCancel(c)
	_ = r.Timer.Wait(c, reportWait)
	v, ok := r.ledger.Decide(x, parts, parts[len(parts)-1], r.Timer.Boot())
	if !ok {
		r.Log.Info("no verdict after a trial: another request may be the cause", zap.String("upstream", x.Upstream), zap.Int64("born", x.StartedAt), zap.Stringers("parts", parts))
		return
	}
	r.logVerdict("blocked", v, "this instance")
	r.record(timeline.Blocked, x, v.Lead)
	r.announce(c, &announcement{Verdicts: []*verdictMessage{encodeVerdict(v)}})
	if r.Store != nil {
		r.Store(c, v)
	}
}

// RecordSound records that an upstream answered a request with some parts and lives on. It costs
// little as long as no crash is known.
func (r *Registry) RecordSound(c context.Context, parts []suspicion.Part) {
	now := r.Timer.Boot()
	cleared, suspected := r.ledger.Clear(parts, now)
	if len(cleared) == 0 {
		return
	}
	r.mu.Lock()
	for _, p := range cleared {
		r.sound = append(r.sound, ownSound{part: p, at: now})
	}
	r.mu.Unlock()
	r.Metrics.countCleared(len(cleared))
	if !suspected {
		// The next heartbeats are soon enough.
		return
	}
	r.Log.Info("parts cleared", zap.Stringers("parts", cleared))
	r.record(timeline.Cleared, suspicion.Crash{}, cleared[0])
	r.announce(c, &announcement{Sound: encodeParts(cleared)})
}

func (r *Registry) addCrash(e suspicion.Evidence, from string) bool {
	if !r.ledger.AddCrash(e, r.Timer.Boot()) {
		return false
	}
	r.Log.Info("crash", zap.String("upstream", e.Upstream), zap.Int64("born", e.StartedAt), zap.String("from", from), zap.Stringers("parts", e.Parts))
	r.Metrics.countCrashReport()
	if len(e.Parts) > 0 {
		r.record(timeline.Suspected, e.Crash, e.Parts[0])
	}
	if r.OnCrash != nil && !e.IsUnresolved() {
		r.OnCrash(e.Crash)
	}
	return true
}

func (r *Registry) record(k timeline.Kind, x suspicion.Crash, p suspicion.Part) {
	if r.Recorder != nil {
		r.Recorder.Record(timeline.Event{Part: timeline.Suspect, Kind: k, Upstream: x.Upstream, Detail: p.String()})
	}
}

func (r *Registry) logVerdict(text string, v suspicion.Verdict, from string) {
	r.Log.Warn(text, zap.String("upstream", v.Upstream), zap.Int64("born", v.StartedAt), zap.Stringer("lead", v.Lead), zap.Stringers("parts", v.Parts), zap.String("from", from))
}

func (r *Registry) encodeAndAnnounce(c context.Context, m *announcement) {
	data, err := mesh.Marshal(m)
	if err != nil {
		r.Log.Error("failed to encode announcement", zap.Error(err))
		return
	}
	r.Announce(c, data)
}

// Apply applies an encoded announcement of another instance.
func (r *Registry) Apply(from string, data []byte) {
	var m announcement
	if err := mesh.Unmarshal(data, &m); err != nil {
		r.Log.Warn("failed to decode announcement", zap.String("from", from), zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	r.apply(from, &m)
}

func (r *Registry) apply(from string, m *announcement) {
	for _, x := range m.Crashes {
		r.addCrash(x.evidence(), from)
	}
	for _, x := range m.Verdicts {
		if v, ok := x.verdict(); ok {
			r.Merge(v, from)
		}
	}
	if len(m.Sound) > 0 {
		cleared, _ := r.ledger.Clear(decodeParts(m.Sound), r.Timer.Boot())
		r.Metrics.countCleared(len(cleared))
	}
}

// Merge applies a verdict that another instance has told or stored.
func (r *Registry) Merge(v suspicion.Verdict, from string) {
	if r.ledger.Merge(v, r.Timer.Boot()) {
		r.logVerdict("verdict learned", v, from)
	}
}

// Verdicts returns all known verdicts, withdrawn ones too.
func (r *Registry) Verdicts() []suspicion.Verdict {
	return r.ledger.Verdicts(r.Timer.Boot())
}

// Expire removes what is too old to count, and returns the verdicts among it.
func (r *Registry) Expire() []suspicion.VerdictID {
	return r.ledger.Expire(r.Timer.Boot())
}

// Maintain removes what is too old to count, and stores the verdicts again that have blocked a
// request since the last time, so that they do not expire in the store.
func (r *Registry) Maintain(c context.Context) {
	r.Expire()
	if r.Store == nil {
		return
	}
	for _, v := range r.Verdicts() {
		if len(v.Parts) > 0 && v.Quiet < maintainInterval {
			r.Store(c, v)
		}
	}
}

// Payload returns what this instance repeats in its heartbeats: its own evidence of the last
// seconds and all verdicts. It is nil if there is nothing.
func (r *Registry) Payload() []byte {
	now := r.Timer.Boot()
	m := &announcement{}
	r.mu.Lock()
	for len(r.crashes) > 0 && (now-r.crashes[0].at > repeatTime || len(r.crashes) > maxRepeated) {
		r.crashes = r.crashes[1:]
	}
	for len(r.sound) > 0 && (now-r.sound[0].at > repeatTime || len(r.sound) > maxRepeated) {
		r.sound = r.sound[1:]
	}
	parts := 0
	for _, x := range slices.Backward(r.crashes) {
		if parts += len(x.Parts); parts > maxRepeatedParts {
			break
		}
		m.Crashes = append(m.Crashes, encodeCrash(x.Evidence))
	}
	for _, x := range r.sound {
		m.Sound = append(m.Sound, uint64(x.part))
	}
	r.mu.Unlock()
	for _, v := range r.ledger.Verdicts(now) {
		m.Verdicts = append(m.Verdicts, encodeVerdict(v))
	}
	if len(m.Crashes)+len(m.Sound)+len(m.Verdicts) == 0 {
		return nil
	}
	data, err := mesh.Marshal(m)
	if err != nil {
		r.Log.Error("failed to encode announcement", zap.Error(err))
	}
	return data
}

// Metrics are the metrics of a registry.
type Metrics struct {
	crashReports, cleared prometheus.Counter
}

// NewMetrics registers the metrics of a registry. The function verdicts returns those in force.
func NewMetrics(p prometheus.Registerer, verdicts func() []suspicion.Verdict) *Metrics {
	m := &Metrics{
		crashReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiangauge_suspect_crash_reports_total", Help: "Reports of requests that were on an upstream as it crashed.",
		}),
		cleared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentiangauge_suspect_cleared_total", Help: "Parts of requests that an upstream answered after a crash with them.",
		}),
	}
	count := func(withdrawn bool) float64 {
		n := 0.0
		for _, v := range verdicts() {
			if (len(v.Parts) == 0) == withdrawn {
				n++
			}
		}
		return n
	}
	p.MustRegister(m.crashReports, m.cleared, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gentiangauge_suspect_verdicts", Help: "Verdicts that block requests.",
	}, func() float64 { return count(false) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gentiangauge_suspect_withdrawn_verdicts", Help: "Verdicts that turned out to be wrong.",
	}, func() float64 { return count(true) }))
	return m
}

func (m *Metrics) countCrashReport() {
	if m != nil {
		m.crashReports.Inc()
	}
}

func (m *Metrics) countCleared(n int) {
	if m != nil {
		m.cleared.Add(float64(n))
	}
}
