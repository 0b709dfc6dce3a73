package dispatch

import (
	"net/http"
	"time"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

const (
	// shortRetry is when a caller may come back that no upstream had room for.
	shortRetry = 250 * time.Millisecond
	// startRetry is when a caller may come back to an instance that starts.
	startRetry = 400 * time.Millisecond
	// stopRetry is when a caller may come back that finds an instance stopping:
	// at once, since it connects to another one.
	stopRetry = 20 * time.Millisecond
	// stopFirst and stopSteps are the assumed time to the first event, and the
	// steps for each output token, of a stream that has to end before a stop.
	stopFirst = time.Second
	stopSteps = 2
	// defaultPatience is assumed of callers that state no deadline.
	defaultPatience = 30 * time.Second
)

// admit finds the route and the workspace of a request and takes its units.
// The job is nil if there is no route.
func (d *Dispatcher) admit(q *Request) (*job, error) {
	t := d.Table()
	if t == nil {
		return nil, refusal.Later(refusal.StoreUnavailable, startRetry, "no configuration is known yet")
	}
	r, ok := t.Find(q.Host, q.Path)
	if !ok {
		return nil, refusal.New(refusal.RouteUnknown, http.StatusNotFound, "no route leads to %s", q.Path)
	}
	j := &job{Request: q, configuration: t.Version, route: r, tokens: q.PromptTokens + q.OutputTokens, avoid: map[pool.ID]bool{}, lastEvent: q.ResumeAfter}
	if q.Timeout <= 0 {
		q.Timeout = defaultPatience
	}
	j.until = q.Arrived + q.Timeout
	if r.Timeout > 0 {
		j.until = min(j.until, q.Arrived+r.Timeout)
	}
	j.firstBy = j.until
	if p := r.EventTimeout(); p > 0 {
		j.firstBy = min(j.until, q.Arrived+p)
	}
	if !r.Open {
		if q.Key == "" {
			return j, refusal.New(refusal.KeyMissing, http.StatusUnauthorized, "the request carries no key")
		}
		if j.workspace, ok = t.WorkspaceByKey(q.Key); !ok {
			return j, refusal.New(refusal.KeyUnknown, http.StatusUnauthorized, "the key is not known")
		}
	}
	if j.service, ok = t.Service(r.Pick(d.Rand())); !ok {
		return j, refusal.Later(refusal.NoUpstream, shortRetry, "the route names a service that is not configured")
	}
	if err := d.fitsStop(j); err != nil {
		return j, err
	}
	return j, d.takeUnits(j)
}

// fitsStop refuses a stream that an instance which is about to stop could not
// finish, so that the caller begins it elsewhere.
//
// Load pattern: instances are stopped in turn while callers that have not yet
// heard of it send long requests.
func (d *Dispatcher) fitsStop(j *job) error {
	end, now := d.StopsAt(), d.Timer.Boot()
	if end == 0 || j.route.Kind != route.Stream {
		return nil
	}
	need := stopFirst + stopSteps*d.settings.Load().Capacity.StepTime*time.Duration(j.OutputTokens)
	if need <= end-now {
		return nil
	}
	return refusal.Later(refusal.InstanceLeaving, stopRetry, "the answer may take %v, the instance stops in %v", need, end-now)
}

func (d *Dispatcher) takeUnits(j *job) error {
	d.Budget.RecordRequest(j.serviceTag())
	if j.workspace == nil {
		return nil
	}
	j.units = j.workspace.Cost(j.tokens)
	return d.Charge(j.workspace, j.units)
}
