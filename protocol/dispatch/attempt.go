package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// ErrTruncated says that an answer was begun and cannot be finished.
var ErrTruncated = eris.New("the answer was cut")

// errNext says that another send may help.
var errNext = eris.New("another upstream may answer")

const (
	// maxSends bounds the sends of a request, with those that were rejected.
	maxSends = 6
	// maxMoved is the number of engines that may lack the adapter before the
	// next one has it loaded anew, loadRetry the pause after each.
	maxMoved  = 4
	loadRetry = 60 * time.Millisecond
	// silentFactor is the number of latency objectives after which an upstream
	// that gave no part of an answer counts as silent.
	silentFactor = 1
)

// attempts sends the request to upstreams until one answers.
func (d *Dispatcher) attempts(c context.Context, w http.ResponseWriter, j *job) error {
	var last error
	for {
		h, err := d.place(c, j)
		if err != nil {
			return d.final(c, j, last, err)
		}
		j.choice = h
		if err = d.Admission.Check(h.Upstream, j.ID); err != nil {
			d.end(j, h.ID)
			j.avoid[h.ID] = true
			last = err
			continue
		}
		err = d.send(c, w, j)
		d.end(j, h.ID)
		if err == nil || errors.Is(err, ErrTruncated) {
			return err
		}
		last = err
		if !d.again(c, j, err) {
			return d.final(c, j, last, err)
		}
	}
}

// again reports whether the request may be sent once more, and takes that
// from the retry budget.
func (d *Dispatcher) again(c context.Context, j *job, err error) bool {
	if !errors.Is(err, errNext) || c.Err() != nil || j.sends >= maxSends {
		return false
	}
	if j.runs > 0 && (!j.route.Repeatable() || j.runs >= max(1, j.route.MaxAttempts)) {
		return false
	}
	return d.Budget.Spend(j.serviceTag())
}

// final returns what the caller gets when no upstream answered.
func (d *Dispatcher) final(c context.Context, j *job, last, err error) error {
	if j.first {
		return ErrTruncated
	}
	var r *refusal.Refusal
	if j.runs == 0 && errors.As(err, &r) {
		return r
	}
	if j.runs == 0 && d.Timer.Boot() < j.until && c.Err() == nil {
		return refusal.Later(refusal.Overloaded, shortRetry, "no upstream took the request: %v", last)
	}
	status, text := http.StatusBadGateway, "the upstream broke off"
	if d.Timer.Boot() >= j.until {
		status, text = http.StatusGatewayTimeout, "the request took too long"
	}
	x := refusal.New(refusal.UpstreamFailed, status, "%s", text)
	if j.runs > 0 {
		return x.WithRun(refusal.Unknown)
	}
	return x
}

// send sends the request to the chosen upstream and passes its answer on.
func (d *Dispatcher) send(c context.Context, w http.ResponseWriter, j *job) error {
	id := j.choice.ID
	x, cancel := context.WithCancel(c)
	defer cancel()
	answering := d.guard(x, j, cancel)
	sent := d.Timer.Boot()
	j.sends++
	q := UpstreamRequest{
		Request: j.Request, Upstream: j.choice.Upstream, Version: j.choice.Version, Remaining: j.until - sent,
		Urgency: d.urgency(j), ResumeAfter: j.lastEvent, AtMostOnce: !j.route.Repeatable(),
	}
	if j.workspace != nil {
		q.Workspace = j.workspace.Name
	}
	a, err := d.Send(x, q)
	if err != nil {
		return d.broken(c, j, err)
	}
	defer a.Body.Close()
	d.Admission.ApplyNotice(j.choice.Upstream, a.Notice, j.ID)
	if err := d.judge(j, a); err != nil {
		return err
	}
	read := func() {
		d.Pool.End(id, j.Adapter, pool.Usage{PrefillTokens: j.use.PrefillTokens})
		j.use.PrefillTokens = 0
	}
	err = d.pass(c, w, j, a, func() bool {
		if !answering() {
			return false
		}
		read()
		d.noteFirst(j, sent)
		return true
	})
	d.logSend(j, a, sent, err)
	if err == nil {
		d.Pool.RecordOutcome(id, pool.Served, d.Timer.Boot())
	}
	return err
}

func (d *Dispatcher) urgency(j *job) int {
	p := j.route.Priority
	if j.workspace != nil && j.workspace.HasPriority {
		p = j.workspace.Priority
	}
	return min(max(p, 0), 9)
}

// guard cancels a send that gives no first part of an answer while another
// upstream could still give one in time, if a retry is left. The function that it returns ends
// the guard, and returns false if the send was cancelled before.
//
// Load pattern: an upstream takes requests and stays silent.
func (d *Dispatcher) guard(c context.Context, j *job, cancel context.CancelFunc) func() bool {
	limit := j.route.Objective*silentFactor + 2*j.choice.FirstEvent
	if !j.route.Repeatable() || j.first || j.runs+1 >= j.route.MaxAttempts || j.until-d.Timer.Boot() < 2*limit {
		return func() bool { return true }
	}
	n, stop := d.Timer.Notify(limit)
	done := make(chan struct{})
	// decided is set by the first of the answer and the end of the time.
	var decided atomic.Bool
	go func() {
		defer stop()
		select {
		case <-n:
			if !d.Budget.Available(j.serviceTag()) {
				d.Log.Info("upstream is silent, and no retry is left", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)))
				return
			}
			if decided.CompareAndSwap(false, true) {
				d.Log.Info("upstream is silent", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.Duration("limit", limit))
				cancel()
			}
		case <-done:
		case <-c.Done():
		}
	}()
	return sync.OnceValue(func() bool {
		close(done)
		return decided.CompareAndSwap(false, true)
	})
}

// broken deals with a send that brought no answer.
func (d *Dispatcher) broken(c context.Context, j *job, err error) error {
	now := d.Timer.Boot()
	if c.Err() != nil {
		j.runs++
		return eris.Wrap(context.Cause(c), "the caller left or its time ended")
	}
	j.avoid[j.choice.ID] = true
	d.Pool.RecordOutcome(j.choice.ID, pool.Unreachable, now)
	d.Log.Info("send failed", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.Error(err))
	if errors.Is(err, relay.ErrNotSent) {
		return eris.Wrap(errNext, "the upstream cannot be reached")
	}
	j.runs++
	return eris.Wrap(errNext, "the upstream gave no answer")
}

// judge decides whether an answer may be passed on.
func (d *Dispatcher) judge(j *job, a *Response) error {
	id, now := j.choice.ID, d.Timer.Boot()
	switch {
	case a.NotRun:
		d.Log.Info("not run", zap.String("request", j.ID), zap.String("upstream", string(id)), zap.Int("status", a.Status),
			zap.Bool("moved", a.Misdirected), zap.String("adapter", string(j.Adapter.Name)), zap.Int64("version", int64(j.choice.Version)))
		if a.Misdirected {
			d.missing(j, now)
		} else {
			d.Pool.RecordOutcome(id, pool.Busy, now)
			j.avoid[id] = true
		}
		return eris.Wrapf(errNext, "the upstream did not run the request, status %d", a.Status)
	case !a.Signed || !a.Matches:
		j.runs++
		j.avoid[id] = true
		d.Pool.RecordOutcome(id, pool.Failed, now)
		d.Log.Warn("answer does not belong to the request", zap.String("request", j.ID), zap.String("upstream", string(id)),
			zap.Int("status", a.Status), zap.Bool("signed", a.Signed), zap.Bool("matches", a.Matches))
		return eris.Wrap(errNext, "the answer does not belong to the request")
	}
	j.runs++
	if j.first && a.Status != http.StatusOK {
		j.avoid[id] = true
		d.Pool.RecordOutcome(id, pool.Failed, now)
		return eris.Wrapf(errNext, "the stream is not resumed, status %d", a.Status)
	}
	if a.Status >= http.StatusInternalServerError {
		d.Pool.RecordOutcome(id, pool.Failed, now)
		if j.route.Repeatable() && j.runs < j.route.MaxAttempts && !j.first {
			j.avoid[id] = true
			if d.Budget.Available(j.serviceTag()) {
				return eris.Wrapf(errNext, "the upstream failed, status %d", a.Status)
			}
		}
	}
	return nil
}

// missing deals with an engine that lacks the adapter: its load takes longer
// than estimated, or it was unloaded.
func (d *Dispatcher) missing(j *job, now time.Duration) {
	id := j.choice.ID
	j.moved++
	d.ReportMissing(id, j.Adapter)
	if j.moved > maxMoved || !d.Pool.ExtendLoad(id, j.Adapter, now, loadRetry) {
		d.Pool.MarkMissing(id, j.Adapter)
	}
}

func (d *Dispatcher) noteFirst(j *job, sent time.Duration) {
	took := d.Timer.Boot() - sent
	if j.service.Engine != nil {
		d.Pool.RecordFirstEvent(j.choice.ID, took, j.choice.FirstEvent)
	}
	d.Metrics.first(j.route.Kind, took)
}

func (d *Dispatcher) logSend(j *job, a *Response, sent time.Duration, err error) {
	var workspace string
	if j.workspace != nil {
		workspace = string(j.workspace.Name)
	}
	d.Log.Info("answered", append(d.decidedOn(j), zap.String("request", j.ID), zap.String("route", j.route.Name), zap.String("upstream", string(j.choice.ID)),
		zap.String("workspace", workspace), zap.Float64("units", j.units),
		zap.Int("status", a.Status), zap.String("adapter", string(j.Adapter.Name)), zap.Int64("version", int64(j.choice.Version)),
		zap.Duration("waited", sent-j.Arrived), zap.Duration("took", d.Timer.Boot()-sent), zap.Duration("predicted", j.choice.FirstEvent),
		zap.Int("busy", j.choice.Usage.Running), zap.Int("sends", j.sends), zap.Error(err))...)
}
