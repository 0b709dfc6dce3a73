package adapter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentiangauge.example/gentiangauge/state/lists"
)

// View is the state of an upstream as known by an instance: the last report of its owner and
// the requests that the instance itself has sent since.
type View struct {
	ID      UpstreamID
	Running int
	Queued  int
	// FreeSlots is the number of slots available to a new adapter: free ones and those of
	// idle adapters.
	FreeSlots int
	Down      bool
	// Adapters maps each adapter on the upstream to its running requests.
	Adapters map[lists.Adapter]int
	// SentSinceReport counts the requests sent since the report.
	SentSinceReport int
}

// Load is the number of running, queued and just sent requests.
func (v View) Load() int {
	return v.Running + v.Queued + v.SentSinceReport
}

// Has reports whether the adapter is loaded or loading on the upstream.
func (v View) Has(a lists.Adapter) bool {
	_, ok := v.Adapters[a]
	return ok
}

// Chooser returns the upstreams for a request in the order in which to try them.
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

// ChooseLeastLoaded prefers the least loaded upstream, whether the adapter is loaded there or
// not. It is a baseline for comparison.
func ChooseLeastLoaded(_ lists.Adapter, views []View) []UpstreamID {
	slices.SortFunc(views, byLoad)
	return ids(views)
}

// ChooseHash orders the upstreams by rendezvous hashing. It is a baseline for comparison.
func ChooseHash(a lists.Adapter, views []View) []UpstreamID {
	return ids(rendezvousOrder(a, views))
}

func rendezvousOrder(a lists.Adapter, views []View) []View {
	weights := map[UpstreamID]uint64{}
	for _, v := range views {
		weights[v.ID] = xxhash.Sum64String(string(v.ID) + "/" + string(a))
	}
	out := slices.Clone(views)
	slices.SortFunc(out, func(x, y View) int { return cmp.Compare(weights[y.ID], weights[x.ID]) })
	return out
}

// ChooseAffinity prefers the least loaded upstream on which the adapter is loaded. If at least
// spread requests of the adapter run there, and another upstream with free slots has less than
// half the load, that one loads a second copy. An adapter that is loaded nowhere goes to the
// first upstream in rendezvous order, or to the second if that has less than half the load of
// the first.
func ChooseAffinity(spread int) Chooser {
	return func(a lists.Adapter, views []View) []UpstreamID {
		holders := slices.DeleteFunc(slices.Clone(views), func(v View) bool { return !v.Has(a) })
		others := slices.DeleteFunc(rendezvousOrder(a, views), func(v View) bool { return v.Has(a) })
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

// spreadTarget returns the index of the least loaded upstream that has free slots and less than
// half the load of best, or -1.
func spreadTarget(best View, others []View) int {
	target := -1
	for i, v := range others {
		if v.FreeSlots > 0 && v.Load()*2 < best.Load() && (target < 0 || v.Load() < others[target].Load()) {
			target = i
		}
	}
	return target
}
