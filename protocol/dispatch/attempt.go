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

	"gentiangauge.example/gentiangauge/coordination/orders"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// ErrCut says that an answer was begun and cannot be finished.
var ErrCut = eris.New("the answer was cut")

// errNext says that another send may help.
var errNext = eris.New("another upstream may answer")

const (
	// maxTried is the number of engines that are asked for a load before a
	// pause.
	maxTried = 3
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
		err = d.send(c, w, j)
		d.end(j, h.ID)
		if err == nil || errors.Is(err, ErrCut) {
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
		return ErrCut
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

// reconsider is how much later than predicted the first event may be by what the
// owner of the engine tells, before another engine is looked for.
const reconsider = 100 * time.Millisecond

// begin counts the request on an upstream, until end.
func (d *Dispatcher) begin(j *job, id pool.ID) {
	j.use = pool.Use{Running: 1, Unread: j.PromptTokens, Tokens: j.tokens}
	d.Pool.Begin(id, j.Adapter, j.use)
}

func (d *Dispatcher) end(j *job, id pool.ID) {
	d.Pool.End(id, j.Adapter, j.use)
}

// place chooses an upstream, has the adapter loaded if it must be, and counts the
// request there. It looks again while the caller can still be answered.
func (d *Dispatcher) place(c context.Context, j *job) (pool.Choice, error) {
	tried, asked := map[pool.ID]bool{}, map[pool.ID]bool{}
	by := j.placeBy(d.Timer.Boot())
	for {
		now := d.Timer.Boot()
		if c.Err() != nil || now >= by {
			return pool.Choice{}, refusal.Later(refusal.Overloaded, shortRetry, "no upstream had room in time")
		}
		q := d.ask(j, tried, now)
		h, ok := d.Pool.Choose(q, now)
		if !ok {
			if len(tried) == 0 && len(j.avoid) == 0 && !d.Pool.Serves(j.service.Name, now) {
				return h, refusal.Later(refusal.NoUpstream, shortRetry, "no upstream of the service is known")
			}
			clear(tried)
			clear(j.avoid)
			d.pause(c, j)
			continue
		}
		if late := d.tooLate(j, h, now); late != nil {
			return h, late
		}
		if !h.Load {
			if !asked[h.ID] {
				ready, held := d.granted(c, j, h)
				first := len(asked) == 0
				asked[h.ID] = true
				if !held || first && d.Pool.Predict(h.ID, q, now) > h.First+reconsider {
					continue
				}
				h.ReadyIn = ready
			}
			d.begin(j, h.ID)
			return h, d.await(c, j, h.ID, h.ReadyIn)
		}
		d.begin(j, h.ID)
		ready, err := d.Load(c, h.ID, j.Adapter, h.Version, j.use)
		if err == nil {
			d.Pool.Coming(h.ID, j.Adapter, pool.Held{Version: h.Version, ReadyAt: d.Timer.Boot() + ready})
			return h, d.await(c, j, h.ID, ready)
		}
		d.end(j, h.ID)
		d.Log.Info("load refused", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.Error(err))
		tried[h.ID] = true
		d.postpone(h.ID, err)
		if errors.Is(err, orders.ErrStoreBusy) || len(tried) >= maxTried {
			// No other engine can load it sooner, or none is likely to.
			clear(tried)
			d.pause(c, j)
		}
	}
}

// unsurePause is the time before an engine is asked for a load again whose
// owner does not know its state, cannot be reached or is another one: an owner
// reads the state after a quarter of a second.
const unsurePause = 250 * time.Millisecond

// postpone leaves an engine alone that cannot load any adapter now. One that is
// full may have room at any moment.
//
// Load pattern: many requests wait for adapters that no engine has, and each
// asks the owners of the engines again and again.
func (d *Dispatcher) postpone(id pool.ID, err error) {
	if !errors.Is(err, orders.ErrStoreBusy) && !errors.Is(err, orders.ErrFull) {
		d.Pool.Defer(id, d.Timer.Boot()+unsurePause)
	}
}

// granted asks the owner of an engine for an adapter that is known to be there.
// It returns the time until it is ready, and false if it is not there any more.
// If the owner cannot be asked, what is known holds. An owner that was told of a
// load which takes longer than expected is asked again a little later.
func (d *Dispatcher) granted(c context.Context, j *job, h pool.Choice) (time.Duration, bool) {
	if j.service.Engine == nil || j.Adapter.Name == "" {
		return h.ReadyIn, true
	}
	if j.moved > 0 && d.Timer.Wait(c, h.ReadyIn) != nil {
		return h.ReadyIn, true
	}
	ready, err := d.Grant(c, h.ID, j.Adapter, h.Version, pool.Use{Running: 1, Unread: j.PromptTokens, Tokens: j.tokens})
	switch {
	case err == nil:
		return ready, true
	case errors.Is(err, orders.ErrAbsent):
		d.Log.Info("adapter is gone", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.String("adapter", string(j.Adapter.Name)))
		d.Pool.Missing(h.ID, j.Adapter)
		return 0, false
	default:
		d.Log.Debug("owner cannot be asked", zap.String("request", j.ID), zap.String("upstream", string(h.ID)), zap.Error(err))
		return h.ReadyIn, true
	}
}

// tooLate refuses a request whose answer would begin after its time.
func (d *Dispatcher) tooLate(j *job, h pool.Choice, now time.Duration) error {
	if j.service.Engine == nil || j.runs > 0 {
		return nil
	}
	begin := h.First + h.ReadyIn
	if begin <= j.firstBy-now || h.Room {
		return nil
	}
	return refusal.Later(refusal.Overloaded, shortRetry, "the answer would begin after %v, the caller waits for %v", begin, j.firstBy-now)
}

// await waits until an adapter is ready by what its owner says meanwhile.
func (d *Dispatcher) await(c context.Context, j *job, id pool.ID, t time.Duration) error {
	for t > 0 {
		if err := d.Timer.Wait(c, t); err != nil {
			d.end(j, id)
			return refusal.Later(refusal.Overloaded, shortRetry, "the adapter was not ready in time")
		}
		t, _ = d.Pool.ReadyIn(id, j.Adapter, d.Timer.Boot())
	}
	return nil
}

func (d *Dispatcher) ask(j *job, tried map[pool.ID]bool, now time.Duration) pool.Ask {
	a := pool.Ask{
		Service: j.service.Name, Adapter: j.Adapter, Prompt: j.PromptTokens, Output: j.OutputTokens,
		Zone: d.settings.Load().Zone, Avoid: map[pool.ID]bool{}, Orderable: d.Orderable,
	}
	for id := range tried {
		a.Avoid[id] = true
	}
	for id := range j.avoid {
		a.Avoid[id] = true
	}
	if e := j.service.Engine; e != nil {
		k := d.settings.Load().Capacity
		k.CacheTokens, k.AdapterSlots = e.CacheTokens, e.AdapterSlots
		a.Engine = &k
		a.Version, a.Oldest = d.Versions(j.Adapter, now)
	}
	return a
}

// send sends the request to the chosen upstream and passes its answer on.
func (d *Dispatcher) send(c context.Context, w http.ResponseWriter, j *job) error {
	id := j.choice.ID
	x, cancel := context.WithCancel(c)
	defer cancel()
	answering := d.guard(x, j, cancel)
	sent := d.Timer.Boot()
	j.sends++
	q := Send{
		Request: j.Request, Upstream: j.choice.Upstream, Version: j.choice.Version, Left: j.until - sent,
		Urgency: d.urgency(j), ResumeAfter: j.lastEvent, Once: !j.route.Repeatable(),
	}
	if j.workspace != nil {
		q.Workspace = j.workspace.Name
	}
	a, err := d.Send(x, q)
	if err != nil {
		return d.broken(c, j, err)
	}
	defer a.Body.Close()
	if err := d.judge(j, a); err != nil {
		return err
	}
	read := func() {
		d.Pool.End(id, j.Adapter, pool.Use{Unread: j.use.Unread})
		j.use.Unread = 0
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
		d.Pool.Note(id, pool.Served, d.Timer.Boot())
	}
	return err
}

func (d *Dispatcher) urgency(j *job) int {
	p := j.route.Priority
	if j.workspace != nil && j.workspace.Ranked {
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
	limit := j.route.Objective*silentFactor + 2*j.choice.First
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
			if !d.Budget.Left(j.serviceTag()) {
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
	d.Pool.Note(j.choice.ID, pool.Unreachable, now)
	d.Log.Info("send failed", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.Error(err))
	if errors.Is(err, relay.ErrNotSent) {
		return eris.Wrap(errNext, "the upstream cannot be reached")
	}
	j.runs++
	return eris.Wrap(errNext, "the upstream gave no answer")
}

// judge decides whether an answer may be passed on.
func (d *Dispatcher) judge(j *job, a *Answer) error {
	id, now := j.choice.ID, d.Timer.Boot()
	switch {
	case a.NotRun:
		d.Log.Info("not run", zap.String("request", j.ID), zap.String("upstream", string(id)), zap.Int("status", a.Status),
			zap.Bool("moved", a.Moved), zap.String("adapter", string(j.Adapter.Name)), zap.Int64("version", int64(j.choice.Version)))
		if a.Moved {
			d.missing(j, now)
		} else {
			d.Pool.Note(id, pool.Busy, now)
			j.avoid[id] = true
		}
		return eris.Wrapf(errNext, "the upstream did not run the request, status %d", a.Status)
	case !a.Signed || !a.Matches:
		j.runs++
		j.avoid[id] = true
		d.Pool.Note(id, pool.Failed, now)
		d.Log.Warn("answer does not belong to the request", zap.String("request", j.ID), zap.String("upstream", string(id)),
			zap.Int("status", a.Status), zap.Bool("signed", a.Signed), zap.Bool("matches", a.Matches))
		return eris.Wrap(errNext, "the answer does not belong to the request")
	}
	j.runs++
	if j.first && a.Status != http.StatusOK {
		j.avoid[id] = true
		d.Pool.Note(id, pool.Failed, now)
		return eris.Wrapf(errNext, "the stream is not resumed, status %d", a.Status)
	}
	if a.Status >= http.StatusInternalServerError {
		d.Pool.Note(id, pool.Failed, now)
		if j.route.Repeatable() && j.runs < j.route.MaxAttempts && !j.first {
			j.avoid[id] = true
			if d.Budget.Left(j.serviceTag()) {
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
	d.Lost(id, j.Adapter)
	if j.moved > maxMoved || !d.Pool.Postpone(id, j.Adapter, now, loadRetry) {
		d.Pool.Missing(id, j.Adapter)
	}
}

func (d *Dispatcher) noteFirst(j *job, sent time.Duration) {
	took := d.Timer.Boot() - sent
	if j.service.Engine != nil {
		d.Pool.Paced(j.choice.ID, took, j.choice.First)
	}
	d.Metrics.first(j.route.Kind, took)
}

func (d *Dispatcher) logSend(j *job, a *Answer, sent time.Duration, err error) {
	var workspace string
	if j.workspace != nil {
		workspace = string(j.workspace.Name)
	}
	d.Log.Info("answered", zap.String("request", j.ID), zap.String("route", j.route.Name), zap.String("upstream", string(j.choice.ID)),
		zap.String("workspace", workspace), zap.Float64("units", j.units),
		zap.Int("status", a.Status), zap.String("adapter", string(j.Adapter.Name)), zap.Int64("version", int64(j.choice.Version)),
		zap.Duration("waited", sent-j.Arrived), zap.Duration("took", d.Timer.Boot()-sent), zap.Duration("predicted", j.choice.First),
		zap.Int("busy", j.choice.Busy.Running), zap.Int("sends", j.sends), zap.Error(err))
}
