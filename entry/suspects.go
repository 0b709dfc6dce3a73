package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/gossip"
	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/suspicion"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/store"
)

const (
	trialMethod = "suspect/trial"
	// trialCallTimeout limits the call for a trial. A request that gets none is refused.
	trialCallTimeout = 150 * time.Millisecond
	// verdictPrefix is the prefix of the keys of verdicts in the fleet table.
	verdictPrefix = "verdict."
	// suspectAfter is the number of crashes after which a part is suspected. One crash makes
	// suspects of all requests on an upstream, most of which are sound.
	suspectAfter = 2
	// verdictWriteInterval is the minimum time between two attempts to store verdicts.
	verdictWriteInterval = time.Second
)

// trialRequest requests the trial of a part, or ends it.
type trialRequest struct {
	mesh.Message
	Part uint64 `protobuf:"fixed64,1,opt,name=part,proto3"`
	End  bool   `protobuf:"varint,2,opt,name=end,proto3"`
}

type trialReply struct {
	mesh.Message
	Granted bool `protobuf:"varint,1,opt,name=granted,proto3"`
}

// coordinator returns the instance that grants the trials of a part: the first live one in the
// rendezvous order of the part.
func (e *Entry) coordinator(key string) string {
	best, weight := e.Name, ownership.Weight(key, e.Name)
	for _, p := range e.gossip.LivePeers(e.timer.Boot()) {
		if w := ownership.Weight(key, p.Name); p.Serving && w > weight {
			best, weight = p.Name, w
		}
	}
	return best
}

// takeTrial requests the trial of a suspected part. It reports whether it was granted.
func (e *Entry) takeTrial(c context.Context, p suspicion.Part) bool {
	name := e.coordinator(p.String())
	if name == e.Name {
		return e.trials.Take(p, e.timer.Boot())
	}
	m, ok := e.members.get(name)
	if !ok || e.ownerCalls.backingOff(name, e.timer.Boot()) {
		return false
	}
	x, cancel := context.WithTimeout(c, trialCallTimeout)
	defer cancel()
	r, err := mesh.Call[trialRequest, trialReply](x, e.mesh, m.peer.String(), trialMethod, &trialRequest{Part: uint64(p)})
	if c.Err() == nil {
		e.ownerCalls.recordCall(name, err == nil, e.timer.Boot())
	}
	if err != nil {
		e.log.Info("no answer to request for a trial", zap.String("from", name), zap.Stringer("part", p), zap.Error(err))
		return false
	}
	return r.Granted
}

// endTrial tells the coordinator of a part that its trial has ended.
func (e *Entry) endTrial(p suspicion.Part) {
	name := e.coordinator(p.String())
	if name == e.Name {
		e.trials.End(p)
		return
	}
	m, ok := e.members.get(name)
	if !ok {
		return
	}
	queued := e.ownerCalls.notifier.Post(func(*struct{}) {
		x, cancel := context.WithTimeout(e.ctx, trialCallTimeout)
		defer cancel()
		if _, err := mesh.Call[trialRequest, trialReply](x, e.mesh, m.peer.String(), trialMethod, &trialRequest{Part: uint64(p), End: true}); err != nil {
			e.log.Info("end of a trial not delivered", zap.String("to", name), zap.Stringer("part", p), zap.Error(err))
		}
	})
	if !queued {
		e.log.Info("end of a trial not delivered: queue is full", zap.String("to", name), zap.Stringer("part", p))
	}
}

// registerTrialHandler registers the handlers for trials and for announcements of crashes.
func (e *Entry) registerTrialHandler() {
	mesh.Handle(e.mesh, trialMethod, func(_ context.Context, _ string, q *trialRequest) (*trialReply, error) {
		if q.End {
			e.trials.End(suspicion.Part(q.Part))
			return &trialReply{}, nil
		}
		return &trialReply{Granted: e.trials.Take(suspicion.Part(q.Part), e.timer.Boot())}, nil
	})
	e.gossip.OnSuspicions = func(s gossip.Suspicions) { e.suspects.Apply(s.Name, s.Data) }
}

// verdictRow is a verdict in the store. Parts are hexadecimal.
type verdictRow struct {
	Upstream  string   `json:"upstream"`
	StartedAt int64    `json:"started-at"`
	Lead      string   `json:"lead"`
	Parts     []string `json:"parts"`
}

func verdictKey(v suspicion.VerdictID) string {
	return fmt.Sprint(verdictPrefix, v.Upstream, ".", v.StartedAt, ".", v.Lead)
}

// A verdict names an upstream, whose ID is the key of a row, and the parts of one request.
const (
	maxUpstreamBytes = 200
	maxVerdictParts  = 128
)

func (m verdictRow) verdict() (suspicion.Verdict, error) {
	if len(m.Upstream) > maxUpstreamBytes || len(m.Parts) > maxVerdictParts {
		return suspicion.Verdict{}, eris.Errorf("an upstream of %d bytes and %d parts", len(m.Upstream), len(m.Parts))
	}
	v := suspicion.Verdict{VerdictID: suspicion.VerdictID{Crash: suspicion.Crash{Upstream: m.Upstream, StartedAt: m.StartedAt}}}
	for i, x := range append([]string{m.Lead}, m.Parts...) {
		n, err := strconv.ParseUint(x, 16, 64)
		switch {
		case err != nil:
			return v, err
		case i == 0:
			v.Lead = suspicion.Part(n)
		default:
			v.Parts = append(v.Parts, suspicion.Part(n))
		}
	}
	return v, nil
}

// applyVerdictRows applies the stored verdicts among rows of the fleet table. A row that was
// removed changes nothing: verdicts expire at each instance.
func (e *Entry) applyVerdictRows(rows []mirror.Row) {
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, verdictPrefix) || r.Removed {
			continue
		}
		var m verdictRow
		err := json.Unmarshal(r.Value, &m)
		var v suspicion.Verdict
		if err == nil {
			v, err = m.verdict()
		}
		if err != nil {
			e.log.Error("cannot decode verdict row", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		e.suspects.Merge(v, "the store")
	}
}

// storeVerdicts writes the verdicts that the store does not have as they are, and deletes the
// rows of expired ones. One instance does that for all of them.
func (e *Entry) storeVerdicts(c context.Context, now time.Duration) {
	expired := e.suspects.Expire()
	verdicts := e.suspects.Verdicts()
	if len(expired)+len(verdicts) == 0 || now-e.verdictsStoredAt < verdictWriteInterval || e.coordinator(verdictPrefix) != e.Name {
		return
	}
	e.verdictsStoredAt = now
	var t store.Transaction
	rows := e.feeds[ownership.FleetTable].Mirror
	for _, v := range verdicts {
		m := verdictRow{Upstream: v.Upstream, StartedAt: v.StartedAt, Lead: v.Lead.String(), Parts: []string{}}
		for _, p := range v.Parts {
			m.Parts = append(m.Parts, p.String())
		}
		value, err := json.Marshal(m)
		if err != nil {
			e.log.Error("cannot encode verdict row", zap.Error(err))
			continue
		}
		if r, ok := rows.Get(verdictKey(v.VerdictID)); !ok || r.Removed || string(r.Value) != string(value) {
			t.Writes = append(t.Writes, store.Write{Key: store.Key{Table: ownership.FleetTable, Key: verdictKey(v.VerdictID)}, Value: value})
		}
	}
	for _, id := range expired {
		t.Deletes = append(t.Deletes, store.Key{Table: ownership.FleetTable, Key: verdictKey(id)})
	}
	if len(t.Writes)+len(t.Deletes) == 0 {
		return
	}
	if _, err := e.Store.Transact(c, t); err != nil {
		e.log.Warn("could not store verdicts", zap.Error(err))
	}
}
