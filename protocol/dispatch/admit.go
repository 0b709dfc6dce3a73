package dispatch

import (
	"net/http"
	"time"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

const (
	// overloadRetryAfter is the Retry-After when no upstream has room.
	overloadRetryAfter = 250 * time.Millisecond
	// startingRetryAfter is the Retry-After while the instance is starting.
	startingRetryAfter = 400 * time.Millisecond
	// stoppingRetryAfter is the Retry-After while the instance is stopping. It is
	// short, because the caller reconnects to another instance.
	stoppingRetryAfter = 20 * time.Millisecond
	// stopMargin is how long before the instance stops the last requests are answered.
	stopMargin = 200 * time.Millisecond
	// assumedFirstEvent and assumedStepsPerToken are the assumed time to the first
	// event and number of engine steps per output token of a stream that has to end
	// before the instance stops.
	assumedFirstEvent    = time.Second
	assumedStepsPerToken = 2
	// defaultTimeout applies to callers that state no deadline.
	defaultTimeout = 30 * time.Second
)

// find looks up the route and the workspace of a request. The route is nil if there is none, and so is the workspace of
// an open one.
func (d *Dispatcher) find(t *route.Table, q *Request) (*route.Route, *route.Workspace, error) {
	if t == nil {
		return nil, nil, refusal.Later(refusal.StoreUnavailable, startingRetryAfter, "no configuration is known yet")
	}
	r, ok := t.Find(q.Host, q.Path)
	switch {
	case !ok:
		return nil, nil, refusal.New(refusal.RouteUnknown, http.StatusNotFound, "no route leads to %s", q.Path)
	case r.Open:
		return r, nil, nil
	case q.Key == "":
		return r, nil, refusal.New(refusal.KeyMissing, http.StatusUnauthorized, "the request carries no key")
	}
	w, ok := t.WorkspaceByKey(q.Key)
	if !ok {
		return r, nil, refusal.New(refusal.KeyUnknown, http.StatusUnauthorized, "the key is not known")
	}
	return r, w, nil
}

// Check refuses a request by its head alone, if no body would change that.
//
// Load pattern: many callers without a key send large bodies.
func (d *Dispatcher) Check(q *Request) error {
	if _, _, err := d.find(d.Table(), q); err != nil {
		return d.Refuse(q, err)
	}
	return nil
}

// Refuse records the refusal of a request that Serve does not get, and returns it.
func (d *Dispatcher) Refuse(q *Request, err error) error {
	d.jitterRetryAfter(err)
	d.logRefusal(q, nil, err)
	return err
}

// admit looks up the route and the workspace of a request and charges its units. The
// job is nil if there is no route.
func (d *Dispatcher) admit(q *Request) (*job, error) {
	t := d.Table()
	r, w, err := d.find(t, q)
	if r == nil {
		return nil, err
	}
	j := &job{Request: q, configuration: t.Version, route: r, tokens: q.PromptTokens + q.OutputTokens, avoid: map[pool.ID]bool{}, sentTo: map[pool.ID]bool{}, sequence: sequence{last: q.ResumeAfter}}
	if q.Timeout <= 0 {
		q.Timeout = defaultTimeout
	}
	j.deadline = q.Arrived + q.Timeout
	if r.Timeout > 0 {
		j.deadline = min(j.deadline, q.Arrived+r.Timeout)
	}
	j.firstDeadline = j.deadline
	if p := r.EventTimeout(); p > 0 {
		j.firstDeadline = min(j.deadline, q.Arrived+p)
	}
	if err != nil {
		return j, err
	}
	j.workspace = w
	draw := d.Rand()
	if r.Kind == route.Stream && r.Resumable {
		j.identifyStream()
		draw = j.stream.Draw()
	}
	var ok bool
	if j.service, ok = t.Service(r.Pick(draw)); !ok {
		return j, refusal.Later(refusal.NoUpstream, overloadRetryAfter, "the route names a service that is not configured")
	}
	if err := d.checkStopTime(j); err != nil {
		return j, err
	}
	if err := d.checkBlocked(j); err != nil {
		return j, err
	}
	return j, d.chargeUnits(j)
}

// checkStopTime refuses a request that may not end before the instance stops, so that the caller sends it to another
// instance: a stream that would not, and a request that must not be repeated and may take longer. The others get
// their answer by then.
//
// Load pattern: instances are stopped one after the other while callers that have not
// noticed it yet send long requests.
func (d *Dispatcher) checkStopTime(j *job) error {
	stop, now := d.StopsAt(), d.Timer.Boot()
	if stop == 0 {
		return nil
	}
	end := stop - stopMargin
	switch {
	case j.route.Kind == route.Stream:
		need := assumedFirstEvent + assumedStepsPerToken*d.settings.Load().Capacity.StepTime*time.Duration(j.OutputTokens)
		if need > stop-now {
			return refusal.Later(refusal.InstanceLeaving, stoppingRetryAfter, "the answer may take %v, the instance stops in %v", need, stop-now)
		}
	case !j.route.Repeatable() && j.deadline > end:
		return refusal.Later(refusal.InstanceLeaving, stoppingRetryAfter, "the answer may take %v, the instance stops in %v", j.deadline-now, stop-now)
	}
	j.deadline = min(j.deadline, end)
	j.firstDeadline = min(j.firstDeadline, j.deadline)
	return nil
}

func (d *Dispatcher) chargeUnits(j *job) error {
	d.Budget.RecordRequest(j.retryTag())
	if j.workspace == nil {
		return nil
	}
	j.units = j.workspace.Cost(j.tokens)
	return d.Charge(j.workspace, j.units)
}
