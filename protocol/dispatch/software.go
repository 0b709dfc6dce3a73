package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/software"
)

// takesUp reports whether the request takes a stream up that an earlier request began.
func (j *job) takesUp() bool { return j.stream != 0 && j.ResumeAfter != "" }

// identifyStream sets the stream that the request begins or takes up, and its slot. Requests for one
// adapter share a slot, so that each version holds the adapters of its slots only.
func (j *job) identifyStream() {
	id, workspace := j.ID, ""
	if j.ResumeAfter != "" && j.Resumes != "" {
		id = j.Resumes
	}
	if j.workspace != nil {
		workspace = string(j.workspace.Name)
	}
	j.stream = software.NewStreamID(workspace, id)
	key := id
	if j.Adapter.Name != "" {
		key = string(j.Adapter.Model) + "/" + string(j.Adapter.Name)
	}
	j.slot = software.SlotOf(key)
}

// findSoftware finds the software version at which a stream that is taken up began, or refuses the
// request: the rest of a stream by another version does not fit.
func (d *Dispatcher) findSoftware(c context.Context, j *job) error {
	if !j.takesUp() {
		return nil
	}
	v, ok := d.Streams.Find(c, j.service.Name, j.slot, j.stream)
	if !ok {
		d.Metrics.countContinued("unknown")
		return refusal.Later(refusal.StreamUnknown, overloadRetryAfter, "the software version that began the stream is not known")
	}
	j.software = v
	return nil
}

// choose chooses an upstream. The first events of a stream come from the planned software version, and
// all others from the one that wrote them. New streams leave the last slots of a version to those that can go on
// only there.
//
// Load pattern: upstreams of several software versions serve side by side, and those of one version are
// overloaded, or have ended or left.
func (d *Dispatcher) choose(j *job, q pool.Request, now time.Duration) (pool.Choice, bool) {
	q.Software = j.software
	planned := false
	if q.Software == "" && j.stream != 0 {
		q.Software, planned = d.Streams.Planned(j.service.Name, j.slot)
	}
	h, ok := d.Pool.Choose(q, now)
	left := j.Arrived + j.route.Objective - now
	if !planned {
		return h, ok
	}
	if ok && h.StartsIn() <= left {
		if j.service.Engine == nil || !d.Pool.YieldsAt(h, now) || !d.Streams.MayDeviate(j.service.Name) {
			return h, true
		}
		return d.chooseElsewhere(q, h, left, now), true
	}
	if !d.Streams.MayDeviate(j.service.Name) && d.Pool.Serves(j.service.Name, q.Software, now) {
		return h, ok
	}
	q.Software = ""
	if x, found := d.Pool.Choose(q, now); found && (!ok || x.StartsIn() <= left) {
		return x, true
	}
	return h, ok
}

// chooseElsewhere returns an upstream of another software version than the one that was chosen, if one has spare
// slots and the response begins in time. An adapter is loaded for that only while streams wait that can go on at
// that version alone.
func (d *Dispatcher) chooseElsewhere(q pool.Request, h pool.Choice, left, now time.Duration) pool.Choice {
	q.Software, q.Leave = "", h.Software
	x, ok := d.Pool.Choose(q, now)
	if !ok || x.StartsIn() > left || x.NeedsLoad && !d.Pool.HasWaits(h.Service, h.Software) {
		return h
	}
	return x
}

const (
	// slotWaitShare is the part of the time for placing a request for which it waits for a slot. After that it is
	// sent all the same: the upstream may queue it.
	slotWaitShare = 0.75
	// slotPoll is the mean pause between two looks for a slot.
	slotPoll = 25 * time.Millisecond
)

// slotWait is the wait of a request for a slot at the only software version that it can run at.
type slotWait struct {
	end time.Duration
	// begun is set while the request counts as waiting.
	begun bool
}

func newSlotWait(now, deadline time.Duration) slotWait {
	return slotWait{end: now + time.Duration(float64(deadline-now)*slotWaitShare)}
}

// awaitSlot waits for a moment if a stream that has begun finds no slot at its software version, while new ones can
// begin at another one and leave it the next slots. It reports whether the upstream has to be chosen again. Without
// that wait the upstreams would reject most of the streams of one that has crashed, and retries would be used up.
func (d *Dispatcher) awaitSlot(c context.Context, j *job, w *slotWait, id pool.ID) bool {
	now := d.Timer.Boot()
	if now >= w.end || d.Pool.SlotsLeft(id, now).Any() || !d.beginSlotWait(j, w, id) {
		return false
	}
	return d.Timer.Wait(c, time.Duration((0.5+d.Rand())*float64(slotPoll))) == nil
}

// beginSlotWait has new streams leave the software version of a stream that has begun, if they can begin at another
// one. The stream has found no slot for itself or for its adapter at an upstream.
func (d *Dispatcher) beginSlotWait(j *job, w *slotWait, id pool.ID) bool {
	if j.software == "" || j.service.Engine == nil || !d.Pool.HasSpareElsewhere(j.service.Name, j.software, d.Timer.Boot()) {
		return false
	}
	if !w.begun {
		w.begun = true
		d.Pool.BeginWait(j.service.Name, j.software)
		d.Log.Info("stream waits for a slot at its software version", zap.String("request", j.ID), zap.String("software", string(j.software)), zap.String("upstream", string(id)))
	}
	return true
}

func (d *Dispatcher) endSlotWait(j *job, w *slotWait) {
	if w.begun {
		d.Pool.EndWait(j.service.Name, j.software)
	}
}

// checkReplaced reports whether the engine that was chosen for the rest of a stream turns out to run
// another process, whose software may differ. An engine with a rate limit is not asked.
//
// Load pattern: engines start again under their ids with other software, one after the other, and their
// rows lag behind.
func (d *Dispatcher) checkReplaced(c context.Context, j *job) bool {
	u := j.choice.Upstream
	if j.software == "" || j.service.Engine == nil || d.Pool.Limit(u.ID).Rate > 0 {
		return false
	}
	if j.started && j.begunAt.ID != "" && d.IsReplaced(c, j.begunAt) {
		// Its process may have been replaced before the stream began there.
		d.Streams.Doubt(string(j.begunAt.ID), j.software)
		j.software = software.Unstated(string(j.begunAt.ID), 0)
		return true
	}
	if !d.IsReplaced(c, u) {
		return false
	}
	d.Log.Info("engine has started again, and its row lags", zap.String("request", j.ID), zap.String("upstream", string(u.ID)), zap.Int64("born", u.StartedAt))
	j.avoid[u.ID] = true
	d.Pool.MarkEnded(u.ID, u.StartedAt, d.Timer.Boot())
	return true
}

// recordBegin records the software version at which a stream is about to begin, or has begun. Before it
// has, that is needed only for a version that does not follow from the request.
func (d *Dispatcher) recordBegin(j *job, begun bool) {
	if j.stream == 0 || j.software != "" {
		return
	}
	j.begunAt = j.choice.Upstream
	v := j.begunAt.Software
	if planned, ok := d.Streams.Planned(j.service.Name, j.slot); begun || ok && planned != v {
		d.Streams.Begin(software.Stream{ID: j.stream, Service: string(j.service.Name), Slot: j.slot, Version: v, Upstream: string(j.begunAt.ID)})
	}
	if begun {
		j.software = v
	}
}

// recordContinued logs and counts a stream that goes on, with the software versions of its begin and of
// the upstream.
func (d *Dispatcher) recordContinued(j *job) {
	if j.sequence.last == "" {
		return
	}
	u := j.choice.Upstream
	d.Metrics.countContinued(j.sentAs)
	d.Log.Info("stream goes on", zap.String("request", j.ID), zap.String("resumes", j.Resumes), zap.String("way", j.sentAs), zap.String("last-event", j.sequence.last),
		zap.String("begun-software", string(j.software)), zap.String("upstream", string(u.ID)), zap.Int64("born", u.StartedAt), zap.String("software", string(u.Software)))
}
