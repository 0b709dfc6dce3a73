package adapter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentiangauge.example/gentiangauge/state/lists"
)

// View is what an instance knows of an upstream: the last report of its
// owner, and what the instance itself sent since.
type View struct {
	ID      UpstreamID
	Running int
	Queued  int
	// FreeSlots is the number of slots that a new adapter could take.
	FreeSlots int
	Down      bool
	// Adapters maps each adapter on the upstream to its running requests.
	Adapters map[lists.Adapter]int
	// SentSinceReport counts the requests sent since the report.
	SentSinceReport int
}

// Load is the number of requests that run, wait or were just sent.
func (v View) Load() int {
	return v.Running + v.Queued + v.SentSinceReport
}

// Has reports whether the upstream has the adapter or loads it.
func (v View) Has(a lists.Adapter) bool {
	_, ok := v.Adapters[a]
	return ok
}

// Chooser orders the upstreams that a request should try.
type Chooser func(a lists.Adapter, views []View) []UpstreamID

func byLoad(x, y View) int {
	return cmp.Or(cmp.Compare(x.Load(), y.Load()), cmp.Compare(x.ID, y.ID))
}

func ids(views []View) []UpstreamID {
	out := make([]UpstreamID, len(views))
	for i, v := range views {
		out[i] = v.ID
	}
	return out
}

// ChooseLeastLoaded tries the least loaded upstream, whether it has the adapter or
// not. It is a baseline.
func ChooseLeastLoaded(_ lists.Adapter, views []View) []UpstreamID {
	slices.SortFunc(views, byLoad)
	return ids(views)
}

// ChooseHash tries the upstreams in rendezvous order. It is a baseline.
func ChooseHash(a lists.Adapter, views []View) []UpstreamID {
	return ids(ranked(a, views))
}

func ranked(a lists.Adapter, views []View) []View {
	weights := map[UpstreamID]uint64{}
	for _, v := range views {
		weights[v.ID] = xxhash.Sum64String(string(v.ID) + "/" + string(a))
	}
	out := slices.Clone(views)
	slices.SortFunc(out, func(x, y View) int { return cmp.Compare(weights[y.ID], weights[x.ID]) })
	return out
}

// ChooseAffinity tries the least loaded upstream that has the adapter. When
// that one runs spread requests of the adapter or more, a clearly less loaded
// one takes a second copy. An adapter that is nowhere goes to the less loaded
// of its first two upstreams in rendezvous order.
func ChooseAffinity(spread int) Chooser {
	return func(a lists.Adapter, views []View) []UpstreamID {
		holders := slices.DeleteFunc(slices.Clone(views), func(v View) bool { return !v.Has(a) })
		others := slices.DeleteFunc(ranked(a, views), func(v View) bool { return v.Has(a) })
		slices.SortFunc(holders, byLoad)
		if len(others) > 1 && others[1].Load()*2 < others[0].Load() {
			others[0], others[1] = others[1], others[0]
		}
		if len(holders) == 0 {
			return ids(others)
		}
		best := holders[0]
		if i := spreadTarget(best, others); i >= 0 && best.Adapters[a]+best.SentSinceReport >= spread {
			target := others[i]
			others = slices.Delete(others, i, i+1)
			return append([]UpstreamID{target.ID}, ids(append(holders, others...))...)
		}
		return ids(append(holders, others...))
	}
}

// spreadTarget returns the least loaded of the upstreams with room that has
// less than half the load of best, or -1.
func spreadTarget(best View, others []View) int {
	target := -1
	for i, v := range others {
		if v.FreeSlots > 0 && v.Load()*2 < best.Load() && (target < 0 || v.Load() < others[target].Load()) {
			target = i
		}
	}
	return target
}
