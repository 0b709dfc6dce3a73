// Package dispatch takes a caller's request through the instance: it admits
// the request, chooses an upstream, has its adapter loaded, sends it, and
// passes the answer on.
//
// It knows no wire. A front door decodes requests and renders refusals; the
// function fields of Services reach the upstreams.
package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/admission"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/timer"
)

// Request is a request of a caller. Its body is held whole.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path with its query.
	Path   string
	Target string
	// Header are the end-to-end headers that upstreams may see.
	Header http.Header
	Body   []byte
	// Key is the key that the caller presented, or empty.
	Key     string
	Adapter pool.Adapter
	// PromptTokens and OutputTokens are 0 when the request states none.
	PromptTokens int
	OutputTokens int
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
	// Arrived is the instant of the request, Patience how long the caller
	// waits from then, or 0.
	Arrived time.Duration
	Timeout time.Duration
}

// UpstreamRequest is a request on its way to an upstream.
type UpstreamRequest struct {
	*Request
	Upstream  pool.Upstream
	Workspace route.WorkspaceName
	// Version is the version of the adapter that must run.
	Version route.Version
	// Remaining is the time that the upstream may take.
	Remaining time.Duration
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// ResumeAfter is the id of the last event that was passed on.
	ResumeAfter string
	// AtMostOnce is set for requests that must not run twice.
	AtMostOnce bool
}

// Response is what an upstream answers.
type Response struct {
	Status int
	// Header are the end-to-end headers for the caller.
	Header http.Header
	Body   io.ReadCloser
	// Signed is set when the answer bears an upstream's signature.
	Signed bool
	// Matches is set when the answer names the request.
	Matches bool
	// NotRun is set when the upstream states that it did not run the request,
	// Moved when because another upstream or adapter is in its place.
	NotRun      bool
	Misdirected bool
	// Notice is what the answer says of the upstream.
	Notice pool.Notice
}

// Services are the parts that a dispatcher works with.
type Services struct {
	Timer *timer.Service
	Pool  *pool.Pool
	Log   *zap.Logger
	// Table returns the configuration in force, or nil before the first one.
	Table func() *route.Table
	// Versions returns the newest version of an adapter and the oldest one
	// that may still run.
	Versions func(a pool.Adapter, now time.Duration) (newest, oldest route.Version)
	// Charge takes units of a workspace's plan, or returns the refusal.
	Charge func(w *route.Workspace, units float64) error
	// Refund gives units back.
	Refund func(w *route.Workspace, units float64)
	// Load has the owner of an engine load an adapter for a request that is
	// counted with some use, and returns the time until it is ready.
	Load func(c context.Context, id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) (time.Duration, error)
	// Reserve has the owner of an engine keep an adapter for a request on its way,
	// and returns the time until it is ready. It fails with orders.ErrAbsent if
	// the engine does not hold it; other errors say that the owner cannot tell.
	Reserve func(c context.Context, id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) (time.Duration, error)
	// HasOwner reports whether an engine has an owner that gives orders.
	HasOwner func(id pool.ID) bool
	// ReportMissing notes that an engine lacks an adapter that it was said to hold.
	ReportMissing func(id pool.ID, a pool.Adapter)
	// Send sends a request. It fails with relay.ErrNotSent or relay.ErrBroken.
	Send func(c context.Context, s UpstreamRequest) (*Response, error)
	// StopsAt returns the instant at which the instance stops, or 0.
	StopsAt func() time.Duration
	// PeerCount returns the number of other instances.
	PeerCount func() int
	// DataAges returns how long ago the configuration and the list of upstreams were
	// known to be the newest.
	DataAges func() (configuration, upstreams time.Duration)
	// Rand returns a random number from 0 up to, not including, 1.
	Rand func() float64
	// Admission is asked before each send.
	Admission *admission.Admission
	// Budget bounds the sends beyond the first of each request.
	Budget *retry.Budget
	// Metrics count the outcomes.
	Metrics *Metrics
}

// Settings are the limits and assumptions of a dispatcher.
type Settings struct {
	Zone string
	// Capacity is the assumed speed of engines.
	Capacity pool.Capacity
	// RetryRatio is the share of requests that may be sent once more, and
	// RetryBurst what the fleet may send beyond.
	RetryRatio float64
	RetryBurst float64
}

// Dispatcher serves requests.
type Dispatcher struct {
	Services
	settings atomic.Pointer[Settings]
}

// New returns a dispatcher.
func New(s Settings, v Services) *Dispatcher {
	v.Log = v.Log.Named("dispatch")
	d := &Dispatcher{Services: v}
	d.Reload(s)
	return d
}

// Reload changes the settings for the requests that come from now on.
func (d *Dispatcher) Reload(s Settings) {
	d.settings.Store(&s)
	d.Budget.SetLimits(s.RetryRatio, s.RetryBurst)
}

// job is a request with what was decided about it.
type job struct {
	*Request
	// configuration is the version that the request was admitted under.
	configuration route.Version
	route         *route.Route
	service       *route.Service
	workspace     *route.Workspace
	// until is the instant at which the caller gets a final answer, firstBy the
	// one until which it waits for the first part.
	until, firstBy time.Duration
	tokens         int
	units          float64
	avoid          map[pool.ID]bool
	// sends counts the sends, runs those that may have run.
	sends, runs int
	// moved counts the engines that did not hold the adapter.
	moved int
	// first is set once an event or an answer has reached the caller.
	first     bool
	lastEvent string
	choice    pool.Choice
	// use is what the request is counted with on the chosen upstream.
	use pool.Usage
}

// serviceTag stands for the service in the budget of retries.
func (j *job) serviceTag() pool.Tag {
	return pool.NewTag(string(j.service.Name))
}

// Serve answers a request. The error is the refusal to render, or ErrBroken
// when a part of an answer was written that cannot be finished.
func (d *Dispatcher) Serve(c context.Context, w http.ResponseWriter, q *Request) error {
	j, err := d.admit(q)
	if err != nil {
		d.spread(err)
		d.logRefusal(q, j, err)
		return err
	}
	c, cancel := context.WithCancel(c)
	defer cancel()
	stop := d.expire(j, cancel)
	defer stop()
	err = d.attempts(c, w, j)
	if j.runs == 0 && j.workspace != nil {
		d.Refund(j.workspace, j.units)
	}
	if err != nil {
		d.spread(err)
		d.logRefusal(q, j, err)
	}
	return err
}

// spread draws when a refused caller may come back, so that those refused
// together do not return together: up to half as long again.
func (d *Dispatcher) spread(err error) {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		r.RetryAfter += time.Duration(d.Rand() / 2 * float64(r.RetryAfter))
	}
}

// expire cancels a request at the end of its time.
func (d *Dispatcher) expire(j *job, cancel context.CancelFunc) func() {
	n, stop := d.Timer.Notify(max(0, j.until-d.Timer.Boot()))
	done := make(chan struct{})
	go func() {
		select {
		case <-n:
			cancel()
		case <-done:
		}
	}()
	return func() { close(done); stop() }
}

// decidedOn are the log fields of the rows that a request was decided on, and how
// long ago these were known to be the newest.
func (d *Dispatcher) decidedOn(j *job) []zap.Field {
	configuration, upstreams := d.DataAges()
	f := []zap.Field{zap.Duration("configuration-age", configuration), zap.Duration("upstreams-age", upstreams)}
	switch t := d.Table(); {
	case j != nil:
		f = append(f, zap.Int64("configuration", int64(j.configuration)), zap.Int64("upstream-row", int64(j.choice.RowVersion)))
	case t != nil:
		f = append(f, zap.Int64("configuration", int64(t.Version)))
	}
	return f
}

func (d *Dispatcher) logRefusal(q *Request, j *job, err error) {
	r := refusal.As(err)
	if errors.Is(err, ErrTruncated) {
		r = refusal.New(refusal.UpstreamFailed, http.StatusOK, "the answer was begun and cannot be finished").WithRun(refusal.Ran)
	}
	f := []zap.Field{
		zap.String("request", q.ID), zap.String("code", string(r.Code)), zap.Int("status", r.Status), zap.Stringer("run", r.Run),
		zap.String("reason", r.Text), zap.Duration("age", d.Timer.Boot()-q.Arrived), zap.Duration("retry-after", r.RetryAfter),
	}
	f = append(f, d.decidedOn(j)...)
	if j != nil {
		if j.workspace != nil {
			f = append(f, zap.String("workspace", string(j.workspace.Name)), zap.Float64("units", j.units))
		}
		f = append(f, zap.String("route", j.route.Name), zap.Int("sends", j.sends), zap.Int("runs", j.runs),
			zap.String("upstream", string(j.choice.ID)), zap.Duration("predicted", j.choice.FirstEvent), zap.Int("busy", j.choice.Usage.Running))
	}
	d.Metrics.refused(r.Code)
	if errors.Is(err, ErrTruncated) {
		d.Log.Info("cut", append(f, zap.String("last-event", j.lastEvent))...)
		return
	}
	d.Log.Info("refused", f...)
}
