// Package dispatch handles a caller's request from admission to response: it
// checks the route and key, charges the workspace's quota, chooses an upstream,
// has the adapter loaded if necessary, sends the request with retries, and
// forwards the response.
//
// It is independent of the wire protocols. A front end decodes requests and
// renders refusals; the function fields of Services connect to the upstreams and
// to the other parts of the instance.
package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/admission"
	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/coordination/suspect"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/retry"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/state/software"
	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// Request is a caller's request with its complete body.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path with its query.
	Path   string
	Target string
	// Header holds the end-to-end headers that may be sent to upstreams.
	Header http.Header
	Body   []byte
	// Key is the API key that the caller sent, or empty.
	Key     string
	Adapter pool.Adapter
	// PromptTokens and OutputTokens are 0 when the request does not state them.
	PromptTokens int
	OutputTokens int
	// Parts are the parts of the prompt that other requests may share.
	Parts []suspicion.Part
	// ResumeAfter is the id of the last event that the caller has received, and Resumes the ID of
	// the request that brought its first one.
	ResumeAfter string
	Resumes     string
	// Arrived is the instant at which the request arrived. Timeout is how long the
	// caller waits from then, or 0 if it does not say.
	Arrived time.Duration
	Timeout time.Duration
}

// UpstreamRequest is a caller's request as it is sent to an upstream.
type UpstreamRequest struct {
	*Request
	Upstream  pool.Upstream
	Workspace route.WorkspaceName
	// Version is the adapter version that the upstream must run.
	Version route.Version
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// ResumeAfter is the id of the last event that was forwarded to the caller.
	ResumeAfter string
	// AtMostOnce is set for requests that must not reach the upstream twice: those that
	// must not run twice, those for which a permit was taken, and those that have been sent
	// to the upstream before, whose earlier response must not come again.
	AtMostOnce bool
}

// Response is the response of an upstream.
type Response struct {
	Status int
	// Header holds the end-to-end headers for the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the number of bytes of the body, or 0 if it is not known.
	Length int64
	// Signed is set when the response carries an upstream's signature.
	Signed bool
	// Matches is set when the response carries the ID of the request.
	Matches bool
	// NotRun is set when the upstream states that it did not run the request,
	// Misdirected when the reason is that it is not the addressed upstream, or
	// does not hold the requested adapter version.
	NotRun      bool
	Misdirected bool
	// Resent is set when the request may have reached the upstream on an earlier connection, too. NotRun
	// says nothing of that.
	Resent bool
	// Notice is what the response headers say about the upstream itself.
	Notice pool.Notice
}

// Services are the dependencies of a dispatcher.
type Services struct {
	Timer *timer.Service
	Pool  *pool.Pool
	Log   *zap.Logger
	// Table returns the configuration in force, or nil before the first one.
	Table func() *route.Table
	// Versions returns the newest version of an adapter, the oldest one that may still be
	// sent to, and the instant by which a response of an older one than the newest must begin.
	Versions func(a pool.Adapter, now time.Duration) (newest, oldest route.Version, oldUntil time.Duration)
	// Charge takes units from the quota of a workspace. It returns a refusal if there
	// are too few.
	Charge func(w *route.Workspace, units float64) error
	// Refund returns units to the quota of a workspace.
	Refund func(w *route.Workspace, units float64)
	// Load asks the owner of an engine to load an adapter for a request that already
	// counts there with usage u. It returns the time until the adapter is ready.
	Load func(c context.Context, id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) (time.Duration, error)
	// Reserve asks the owner of an engine to keep an adapter loaded for a request that
	// is about to be sent. It returns the time until the adapter is ready, and fails
	// with orders.ErrNotLoaded if the engine does not hold it. Other errors mean that the
	// owner's state is not known.
	Reserve func(c context.Context, id pool.ID, a pool.Adapter, v route.Version, u pool.Usage) (time.Duration, error)
	// HasOwner reports whether an engine has an owner, that is, an instance that may
	// order loads on it.
	HasOwner func(id pool.ID) bool
	// ReportMissing reports that an engine lacks an adapter that it was expected to
	// hold.
	ReportMissing func(id pool.ID, a pool.Adapter)
	// Send sends a request to an upstream. It fails with relay.ErrNotSent or
	// relay.ErrConnectionBroken.
	Send func(c context.Context, s UpstreamRequest) (*Response, error)
	// Streams has the software versions at which streams began.
	Streams *streams.Registry
	// Suspects holds the parts of requests that crash upstreams.
	Suspects *suspect.Registry
	// TakeTrial requests the right to send one request with a suspected part. EndTrial gives it
	// back.
	TakeTrial func(c context.Context, p suspicion.Part) bool
	EndTrial  func(p suspicion.Part)
	// HasEnded reports whether the process at an address has ended.
	HasEnded func(c context.Context, address string) bool
	// IsReplaced reports whether an engine says that its process is another one than the known one.
	IsReplaced func(c context.Context, u pool.Upstream) bool
	// StopsAt returns the instant at which the instance stops, or 0 if it is not
	// stopping.
	StopsAt func() time.Duration
	// PeerCount returns the number of other instances.
	PeerCount func() int
	// DataAges returns how long ago the configuration and the list of upstreams were
	// last confirmed to be current.
	DataAges func() (configuration, upstreams time.Duration)
	// Rand returns a random number in [0, 1).
	Rand func() float64
	// Admission is checked before each send.
	Admission *admission.Admission
	// Budget bounds the retries.
	Budget *retry.Budget
	// Metrics counts refusals and measures latencies.
	Metrics *Metrics
	// Account counts the memory of responses that are not forwarded yet.
	Account *shedding.Account
}

// Settings holds the reloadable settings of a dispatcher.
type Settings struct {
	Zone string
	// Capacity is the assumed speed of an engine.
	Capacity pool.Capacity
	// RetryRatio is the number of retries allowed per request, and RetryBurst the
	// number that the fleet may send beyond that.
	RetryRatio float64
	RetryBurst float64
}

// Dispatcher handles callers' requests.
type Dispatcher struct {
	Services
	// breaks are the requests that broke off at upstreams that may have ended.
	breaks suspicion.Breaks
	// buffers bounds the memory of responses that are not forwarded yet.
	buffers *relay.Buffers
	// stopping is closed as the instance begins to stop.
	stopping chan struct{}
	stopOnce sync.Once
	settings atomic.Pointer[Settings]
}

// New returns a dispatcher.
func New(s Settings, v Services) *Dispatcher {
	v.Log = v.Log.Named("dispatch")
	d := &Dispatcher{Services: v, buffers: relay.NewBuffers(v.Account, shedding.Responses, v.Timer), stopping: make(chan struct{})}
	d.Reload(s)
	return d
}

// Reload replaces the settings for subsequent requests.
func (d *Dispatcher) Reload(s Settings) {
	d.settings.Store(&s)
	d.Budget.SetLimits(s.RetryRatio, s.RetryBurst)
}

// job is a request in progress.
type job struct {
	*Request
	// configuration is the configuration version under which it was admitted.
	configuration route.Version
	route         *route.Route
	service       *route.Service
	workspace     *route.Workspace
	// deadline is the instant by which the caller gets its final answer, firstDeadline
	// the one by which it expects the first part.
	deadline, firstDeadline time.Duration
	tokens                  int
	units                   float64
	// avoid holds the upstreams that failed or rejected the request.
	avoid map[pool.ID]bool
	// sentTo holds the upstreams to which the request was sent.
	sentTo map[pool.ID]bool
	// sends counts all sends, runs those after which an upstream may have run the
	// request.
	sends, runs int
	// misdirects counts the engines that rejected the request because they lacked the
	// adapter.
	misdirects int
	// started is set once a part of a response has been sent to the caller.
	started bool
	// sequence has the events that the caller has received, in this and in earlier responses.
	sequence sequence
	// stream and slot identify the stream that the request begins or takes up, if the route's streams
	// can go on elsewhere. software is the version at which it began, or empty as long as it has not.
	stream   software.StreamID
	slot     software.Slot
	software software.Version
	// begunAt is the upstream that wrote the first event.
	begunAt pool.Upstream
	// sentAs is the way of the present send.
	sentAs string
	// events is the number of events of the present send that have arrived.
	events int
	choice pool.Choice
	// oldUntil is the instant by which the response to the present send must begin because it
	// comes from an older version of the adapter, or 0. outdated is set once it has passed.
	oldUntil time.Duration
	outdated atomic.Bool
	// permitted is set if the present send has taken a permit for a limited or brittle upstream, outcome how
	// it has ended.
	permitted bool
	outcome   admission.Outcome
	// knownParts is the result of parts.
	knownParts []suspicion.Part
	// trial is the suspected part for whose trial the present send was granted, or 0.
	trial suspicion.Part
	// sound is set once the present send has shown that its parts do not crash the upstream.
	sound bool
	// usage is the load that the request adds to the chosen upstream in the pool.
	usage pool.Usage
}

// retryTag identifies the service in the retry budget.
func (j *job) retryTag() pool.Tag {
	return pool.NewTag(string(j.service.Name))
}

// Serve answers a request. It returns the refusal to render, or ErrTruncated if the
// response was started and cannot be completed.
func (d *Dispatcher) Serve(c context.Context, w http.ResponseWriter, q *Request) error {
	j, err := d.admit(q)
	if err != nil {
		d.jitterRetryAfter(err)
		d.logRefusal(q, j, err)
		return err
	}
	c, cancel := context.WithCancel(c)
	defer cancel()
	stop := d.startDeadlineTimer(j, cancel)
	defer stop()
	if err = d.findSoftware(c, j); err == nil {
		err = d.sendWithRetries(c, w, j)
	}
	if j.runs == 0 && j.workspace != nil {
		d.Refund(j.workspace, j.units)
	}
	if err != nil {
		d.jitterRetryAfter(err)
		d.logRefusal(q, j, err)
	}
	return err
}

// jitterRetryAfter extends the Retry-After of a refusal by a random share of up to a
// half, so that callers that were refused together do not retry together.
func (d *Dispatcher) jitterRetryAfter(err error) {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		r.RetryAfter += time.Duration(d.Rand() / 2 * float64(r.RetryAfter))
	}
}

// BeginStop has the requests in flight end before the instance stops, as StopsAt tells.
func (d *Dispatcher) BeginStop() { d.stopOnce.Do(func() { close(d.stopping) }) }

// startDeadlineTimer cancels a request at its deadline, or shortly before the instance stops. The returned function
// stops the timer.
func (d *Dispatcher) startDeadlineTimer(j *job, cancel context.CancelFunc) func() {
	done := make(chan struct{})
	// wait ends at an instant, with passed, as stopping is closed, with stops, or with the request.
	wait := func(until time.Duration, stopping <-chan struct{}) (passed, stops bool) {
		n, stop := d.Timer.Notify(max(0, until-d.Timer.Boot()))
		defer stop()
		select {
		case <-n:
			return true, false
		case <-stopping:
			return false, true
		case <-done:
			return false, false
		}
	}
	deadline := j.deadline
	go func() {
		passed, stops := wait(deadline, d.stopping)
		if stops {
			passed, _ = wait(min(deadline, d.StopsAt()-stopMargin), nil)
		}
		if passed {
			cancel()
		}
	}()
	return func() { close(done) }
}

// versionFields returns log fields with the versions of the configuration and upstream
// rows that were used for a request, and how long ago these were last confirmed to be
// current.
func (d *Dispatcher) versionFields(j *job) []zap.Field {
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
		zap.String("reason", r.Text), zap.Duration("age", d.Timer.Boot()-q.Arrived), zap.Duration("retry-after", r.RetryAfter), zap.String("resumes", q.Resumes),
	}
	f = append(f, d.versionFields(j)...)
	if j != nil {
		if j.workspace != nil {
			f = append(f, zap.String("workspace", string(j.workspace.Name)), zap.Float64("units", j.units))
		}
		f = append(f, zap.String("route", j.route.Name), zap.Int("sends", j.sends), zap.Int("runs", j.runs),
			zap.String("upstream", string(j.choice.ID)), zap.Duration("predicted", j.choice.FirstEvent), zap.Int("busy", j.choice.Usage.Running))
	}
	d.Metrics.countRefusal(r.Code)
	if errors.Is(err, ErrTruncated) {
		d.Log.Info("cut", append(f, zap.String("last-event", j.sequence.last))...)
		return
	}
	d.Log.Info("refused", f...)
}
