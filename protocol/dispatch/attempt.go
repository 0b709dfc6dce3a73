package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/admission"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// ErrTruncated means that the caller has received a part of a response that cannot be
// completed.
var ErrTruncated = eris.New("response truncated after its first part was sent")

// errTryAnother means that sending the request again, to another upstream, may succeed.
var errTryAnother = eris.New("another upstream may answer")

// errOutdated means that an engine with an older version of the adapter did not begin in time.
var errOutdated = eris.Wrap(errTryAnother, "the engine did not begin before the older version of the adapter expired")

const (
	// maxSends bounds the sends of a request, including those that an upstream rejected
	// without running the request.
	maxSends = 6
	// maxMisdirects is the number of engines that may turn out to lack the adapter
	// before the next one has to load it again. After each of them, a load that should
	// have ended is expected to take misdirectRetry longer.
	maxMisdirects  = 4
	misdirectRetry = 60 * time.Millisecond
)

// sendWithRetries sends the request to one upstream after the other until one responds
// or the retries are used up.
func (d *Dispatcher) sendWithRetries(c context.Context, w http.ResponseWriter, j *job) error {
	var last error
	for {
		h, err := d.place(c, j)
		if err != nil {
			return d.finalError(c, j, last, err)
		}
		d.setChoice(j, h)
		if err = d.checkKey(j); err != nil {
			d.countEnd(j, h.ID)
			return d.finalError(c, j, last, err)
		}
		if d.checkReplaced(c, j) {
			d.countEnd(j, h.ID)
			continue
		}
		if err = d.awaitTrial(c, j); err != nil {
			d.countEnd(j, h.ID)
			return d.finalError(c, j, last, err)
		}
		if j.permitted, err = d.Admission.CheckRequest(c, h.Upstream, j.ID, pool.Need{Lifetime: j.deadline - d.Timer.Boot(), Tokens: j.tokens}); err != nil {
			d.countEnd(j, h.ID)
			d.endTrial(j)
			j.avoid[h.ID] = true
			last = err
			continue
		}
		j.outcome = admission.Finished
		err = d.send(c, w, j)
		if j.permitted {
			d.Admission.End(h.Upstream, j.outcome)
		}
		d.countEnd(j, h.ID)
		d.endTrial(j)
		if err == nil || errors.Is(err, ErrTruncated) {
			return err
		}
		last = err
		if blocked := d.checkBlocked(j); blocked != nil {
			return d.finalError(c, j, last, blocked)
		}
		if !d.mayRetry(c, j, err) {
			return d.finalError(c, j, last, err)
		}
	}
}

// setChoice records the upstream that was chosen for the next send. A newer version of the adapter
// may have been announced since the choice, while the request waited.
func (d *Dispatcher) setChoice(j *job, h pool.Choice) {
	j.choice, j.oldUntil = h, 0
	if j.Adapter.Name == "" || j.service.Engine == nil {
		return
	}
	if newest, _, until := d.Versions(j.Adapter, d.Timer.Boot()); h.Version < newest {
		j.oldUntil = until
	}
}

// checkKey refuses a request whose key was revoked since it was admitted.
//
// Load pattern: a request waits for an adapter or for an unresponsive upstream while the
// configuration that revokes its key comes into force.
func (d *Dispatcher) checkKey(j *job) error {
	t := d.Table()
	if j.workspace == nil || t.Version == j.configuration {
		return nil
	}
	if w, ok := t.WorkspaceByKey(j.Key); ok && w.Name == j.workspace.Name {
		return nil
	}
	return refusal.New(refusal.KeyUnknown, http.StatusUnauthorized, "the key was revoked while the request waited")
}

// mayRetry reports whether the request may be sent again. If so, it takes a retry from
// the retry budget.
func (d *Dispatcher) mayRetry(c context.Context, j *job, err error) bool {
	if !errors.Is(err, errTryAnother) || c.Err() != nil || j.sends >= maxSends {
		return false
	}
	if j.runs > 0 && (!j.route.Repeatable() || j.runs >= max(1, j.route.MaxAttempts)) {
		return false
	}
	return d.Budget.Spend(j.retryTag())
}

// finalError returns the error for a request that no upstream answered. The caller gets
// a refusal, or ErrTruncated if it has received a part of a response.
func (d *Dispatcher) finalError(c context.Context, j *job, last, err error) error {
	if j.started {
		return ErrTruncated
	}
	var r *refusal.Refusal
	switch {
	case !errors.As(err, &r):
	case j.runs == 0:
		return r
	case r.Code == refusal.RequestBlocked:
		return r.WithRun(refusal.Ran)
	}
	if j.runs == 0 && d.Timer.Boot() < j.deadline && c.Err() == nil {
		return refusal.Later(refusal.Overloaded, overloadRetryAfter, "no upstream took the request: %v", last)
	}
	status, text := http.StatusBadGateway, "the upstream broke off"
	if d.Timer.Boot() >= j.deadline {
		status, text = http.StatusGatewayTimeout, "the request took too long"
	}
	x := refusal.New(refusal.UpstreamFailed, status, "%s", text)
	if j.runs > 0 {
		return x.WithRun(refusal.Unknown)
	}
	return x
}

// send sends the request to the chosen upstream and forwards the response.
func (d *Dispatcher) send(c context.Context, w http.ResponseWriter, j *job) error {
	id := j.choice.ID
	x, cancel := context.WithCancel(c)
	defer cancel()
	j.outdated.Store(false)
	stopTimer := d.startFirstPartTimer(x, j, cancel)
	sent := d.Timer.Boot()
	d.recordLimitedSend(j)
	j.sentAs, j.events, j.sound = j.way(), 0, false
	j.sends++
	d.recordBegin(j, false)
	q := UpstreamRequest{
		Request: j.Request, Upstream: j.choice.Upstream, Version: j.choice.Version, Remaining: j.deadline - sent,
		Urgency: d.urgency(j), ResumeAfter: j.sequence.last, AtMostOnce: !j.route.Repeatable() || j.sentTo[id] || j.permitted && d.Pool.Limit(id).Rate > 0,
	}
	j.sentTo[id] = true
	if j.workspace != nil {
		q.Workspace = j.workspace.Name
	}
	d.Pool.RecordSend(id, sent)
	a, err := d.Send(x, q)
	if err != nil {
		return d.handleSendError(c, j, err, stopTimer())
	}
	defer a.Body.Close()
	d.Pool.RecordResponse(id)
	d.recordAlive(j.choice.Upstream)
	d.Admission.ApplyNotice(j.choice.Upstream, a.Notice, j.ID)
	if err := d.checkResponse(j, a); err != nil {
		return err
	}
	promptRead := func() {
		d.Pool.End(id, j.Adapter, pool.Usage{PrefillTokens: j.usage.PrefillTokens})
		j.usage.PrefillTokens = 0
	}
	err = d.forward(c, w, j, a, func() bool {
		if !stopTimer() {
			return false
		}
		promptRead()
		d.recordFirstPart(j, sent)
		return true
	})
	d.logResponse(j, a, sent, err)
	if err == nil {
		d.recordSound(c, j)
		d.Pool.RecordOutcome(id, pool.Served, d.Timer.Boot())
	}
	return err
}

// recordLimitedSend logs and counts a send to an upstream that has set a rate limit.
func (d *Dispatcher) recordLimitedSend(j *job) {
	l := d.Pool.Limit(j.choice.ID)
	if l.Rate == 0 {
		return
	}
	way := j.way()
	d.Metrics.countLimitedSend(way)
	d.Log.Info("sent to limited upstream", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.String("way", way),
		zap.Float64("limit", float64(l.Rate)), zap.Int64("limit-revision", l.Revision))
}

// way returns the way of the next send: first, retry or resume.
func (j *job) way() string {
	switch {
	case j.started:
		return "resume"
	case j.sends > 0:
		return "retry"
	default:
		return "first"
	}
}

// urgency returns the urgency of a request, from 0 for the most urgent to 9. The
// priority of the workspace, if it has one, replaces that of the route.
func (d *Dispatcher) urgency(j *job) int {
	p := j.route.Priority
	if j.workspace != nil && j.workspace.HasPriority {
		p = j.workspace.Priority
	}
	return min(max(p, 0), 9)
}

// handleSendError handles a send that failed without a response. The parameter broken is false if it was
// cancelled because the upstream had said nothing.
func (d *Dispatcher) handleSendError(c context.Context, j *job, err error, broken bool) error {
	now := d.Timer.Boot()
	if c.Err() != nil {
		j.runs++
		d.recordUnsettled(j)
		return eris.Wrap(context.Cause(c), "caller disconnected or deadline passed")
	}
	outdated := j.outdated.Load()
	if !outdated {
		j.avoid[j.choice.ID] = true
		if broken && !errors.Is(err, relay.ErrSilent) {
			d.Pool.RecordOutcome(j.choice.ID, pool.Unreachable, now)
		} else {
			d.Pool.RecordSilence(j.choice.ID, now)
		}
	}
	d.Log.Info("sending to upstream failed", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.Error(err))
	if errors.Is(err, relay.ErrNotSent) {
		j.outcome = admission.NotSent
		return eris.Wrap(errTryAnother, "the upstream cannot be reached")
	}
	j.runs++
	if outdated {
		return errOutdated
	}
	d.recordBreak(c, j)
	return eris.Wrap(errTryAnother, "upstream did not respond")
}

// checkResponse returns an error if a response must not be forwarded to the caller.
func (d *Dispatcher) checkResponse(j *job, a *Response) error {
	id, now := j.choice.ID, d.Timer.Boot()
	if a.NotRun && a.Resent {
		j.runs++
	}
	switch {
	case a.NotRun:
		d.Log.Info("not run", zap.String("request", j.ID), zap.String("upstream", string(id)), zap.Int("status", a.Status),
			zap.Bool("moved", a.Misdirected), zap.String("adapter", string(j.Adapter.Name)), zap.Int64("version", int64(j.choice.Version)))
		if a.Misdirected {
			d.handleMissingAdapter(j, now)
		} else {
			d.Pool.RecordOutcome(id, pool.Busy, now)
			j.avoid[id] = true
			j.outcome = admission.Rejected
		}
		return eris.Wrapf(errTryAnother, "the upstream did not run the request, status %d", a.Status)
	case !a.Signed || !a.Matches:
		j.runs++
		j.avoid[id] = true
		d.Pool.RecordOutcome(id, pool.Failed, now)
		d.Log.Warn("response does not belong to the request", zap.String("request", j.ID), zap.String("upstream", string(id)),
			zap.Int("status", a.Status), zap.Bool("signed", a.Signed), zap.Bool("matches", a.Matches))
		return eris.Wrap(errTryAnother, "response does not belong to the request")
	}
	j.runs++
	if j.started && a.Status != http.StatusOK {
		j.avoid[id] = true
		d.Pool.RecordOutcome(id, pool.Failed, now)
		return eris.Wrapf(errTryAnother, "upstream did not resume the stream: status %d", a.Status)
	}
	if a.Status >= http.StatusInternalServerError {
		d.Pool.RecordOutcome(id, pool.Failed, now)
		if j.route.Repeatable() && j.runs < j.route.MaxAttempts && !j.started {
			j.avoid[id] = true
			if d.Budget.Available(j.retryTag()) {
				return eris.Wrapf(errTryAnother, "upstream failed: status %d", a.Status)
			}
		}
	}
	return nil
}

// handleMissingAdapter handles an engine that lacks the adapter, either because its
// load takes longer than estimated or because it was unloaded.
func (d *Dispatcher) handleMissingAdapter(j *job, now time.Duration) {
	id := j.choice.ID
	j.misdirects++
	d.ReportMissing(id, j.Adapter)
	if j.misdirects > maxMisdirects || !d.Pool.ExtendLoad(id, j.Adapter, now, misdirectRetry) {
		d.Pool.MarkMissing(id, j.Adapter)
	}
}

// recordFirstPart records the time from the send to the first part of the response.
func (d *Dispatcher) recordFirstPart(j *job, sent time.Duration) {
	took := d.Timer.Boot() - sent
	if j.service.Engine != nil {
		d.Pool.RecordFirstEvent(j.choice.ID, took, j.choice.FirstEvent)
	}
	d.Metrics.observeFirstPart(j.route.Kind, took)
}

func (d *Dispatcher) logResponse(j *job, a *Response, sent time.Duration, err error) {
	var workspace string
	if j.workspace != nil {
		workspace = string(j.workspace.Name)
	}
	d.Log.Info("answered", append(d.versionFields(j), zap.String("request", j.ID), zap.String("route", j.route.Name), zap.String("upstream", string(j.choice.ID)),
		zap.String("workspace", workspace), zap.Float64("units", j.units),
		zap.Int("status", a.Status), zap.String("adapter", string(j.Adapter.Name)), zap.Int64("version", int64(j.choice.Version)),
		zap.Duration("waited", sent-j.Arrived), zap.Duration("took", d.Timer.Boot()-sent), zap.Duration("predicted", j.choice.FirstEvent),
		zap.Int("busy", j.choice.Usage.Running), zap.Int("sends", j.sends), zap.Error(err))...)
}
