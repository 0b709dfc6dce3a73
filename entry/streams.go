package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/coordination/streams"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// streamsTable holds the records of streams. It is read only as a stream is taken up.
const streamsTable = "streams"

// newStreams creates the registry of streams.
func (e *Entry) newStreams(log *zap.Logger) {
	e.streams = streams.New(fmt.Sprint(e.Name, ".", e.run), streams.Services{
		Timer: e.timer, Log: log, Store: e.Store, FleetTable: ownership.FleetTable, RecordTable: streamsTable,
		Serving: func(s route.ServiceName) map[software.Version]int { return e.pool.Serving(s, e.timer.Boot()) },
		Ask:     e.askStreams,
		Ready:   e.Ready, Responsible: func() bool { return e.coordinator(streams.SplitPrefix) == e.Name },
		SplitAge:       func() time.Duration { return e.freshness[ownership.FleetTable].State(e.timer.Boot()).Age },
		PeerCount:      func() int { return int(e.peers.Load()) },
		Instances:      func() []string { return append(slices.Collect(maps.Keys(e.members.all())), e.Name) },
		StoreReachable: func() bool { return !e.feeds[e.Tables.Upstreams].Contact().Unstable(e.timer.Boot()) },
	})
	e.Store.OnTime = e.streams.ObserveStoreTime
	mesh.Handle(e.mesh, streamsMethod, func(_ context.Context, _ string, q *streamsRequest) (*streamsReply, error) {
		return encodeAnswer(e.streams.Answer(decodeStreamIDs(q.IDs), e.timer.Boot()-e.startedAt)), nil
	})
}

const streamsMethod = "streams/begun"

// streamsRequest asks an instance for the streams that it has begun.
type streamsRequest struct {
	mesh.Message
	IDs []uint64 `protobuf:"fixed64,1,rep,packed,name=ids,proto3"`
}

// streamsReply has the IDs and the versions of those that it has begun, in the same order.
type streamsReply struct {
	mesh.Message
	IDs      []uint64 `protobuf:"fixed64,1,rep,packed,name=ids,proto3"`
	Versions []string `protobuf:"bytes,2,rep,name=versions,proto3"`
	Complete bool     `protobuf:"varint,3,opt,name=complete,proto3"`
}

func encodeAnswer(a streams.Answer) *streamsReply {
	r := &streamsReply{Complete: a.Complete}
	for id, v := range a.Versions {
		r.IDs, r.Versions = append(r.IDs, uint64(id)), append(r.Versions, string(v))
	}
	return r
}

func decodeStreamIDs(l []uint64) []software.StreamID {
	out := make([]software.StreamID, len(l))
	for i, id := range l {
		out[i] = software.StreamID(id)
	}
	return out
}

// answer returns the content of a reply. It is not complete if the lists differ in length.
func (r *streamsReply) answer() streams.Answer {
	a := streams.Answer{Versions: map[software.StreamID]software.Version{}, Complete: r.Complete && len(r.IDs) == len(r.Versions)}
	for i, id := range r.IDs[:min(len(r.IDs), len(r.Versions))] {
		a.Versions[software.StreamID(id)] = software.Version(r.Versions[i])
	}
	return a
}

// askStreams asks all other instances for streams. An instance that does not answer may have begun any of them,
// and so may the run of this one before the present one.
func (e *Entry) askStreams(c context.Context, ids []software.StreamID) streams.Answer {
	now := e.timer.Boot()
	all := streams.Answer{Versions: map[software.StreamID]software.Version{}, Complete: now-e.startedAt > e.streams.Retention()}
	q := &streamsRequest{}
	for _, id := range ids {
		q.IDs = append(q.IDs, uint64(id))
	}
	var mu sync.Mutex
	var w sync.WaitGroup
	for name, m := range e.members.all() {
		if _, live := e.gossip.LivePeer(name, now); !live || e.ownerCalls.backingOff(name, now) {
			mu.Lock()
			all.Complete = false
			mu.Unlock()
			continue
		}
		w.Go(func() {
			r, err := mesh.Call[streamsRequest, streamsReply](c, e.mesh, m.peer.String(), streamsMethod, q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				e.log.Info("no answer to question for streams", zap.String("from", name), zap.Int("streams", len(ids)), zap.Error(err))
				all.Complete = false
				return
			}
			a := r.answer()
			all.Complete = all.Complete && a.Complete
			maps.Copy(all.Versions, a.Versions)
		})
	}
	w.Wait()
	e.log.Info("streams asked for", zap.Int("streams", len(ids)), zap.Int("found", len(all.Versions)), zap.Bool("complete", all.Complete))
	return all
}
