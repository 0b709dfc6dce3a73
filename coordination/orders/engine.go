// Package orders has engines load and unload adapters and models. Only the
// owner of an engine gives it orders.
package orders

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

// ErrNoAnswer says that an engine gave no answer. An order may have been
// accepted, or may be carried out seconds later if its sequence number still
// holds.
var ErrNoAnswer = eris.New("the engine gave no answer")

//go:generate go tool stringer -type=Answer -linecomment

// Answer is what an engine says to an order.
type Answer int

// Answers to orders.
const (
	Accepted    Answer = iota // accepted
	InEffect                  // holds
	Conflict                  // conflict
	Fenced                    // fenced
	Rejected                  // rejected
	Misdirected               // moved
)

// Report is what an engine says of itself. It lags.
type Report struct {
	// Sequence counts the accepted orders since the engine's start.
	Sequence int64
	Adapters map[pool.Adapter]route.Version
	// Loading are the adapters that are being loaded.
	Loading map[pool.Adapter]route.Version
}

// Order is an order to an engine.
type Order struct {
	Upstream pool.Upstream
	// Unload is false for an order to load.
	Unload  bool
	Adapter pool.Adapter
	// Version is that of the adapter to load.
	Version route.Version
	// Sequence is the number of orders that the engine must have accepted.
	Sequence int64
	Token    ownership.Token
}

// Engines calls engines. The function fields are filled by the adapter of the
// platform, and are seams for tests.
type Engines struct {
	// Report fails with ErrNoAnswer.
	Report func(c context.Context, u pool.Upstream) (Report, error)
	// Order fails with ErrNoAnswer.
	Order func(c context.Context, o Order) (Answer, error)
	// OnNotice is called with what an answer says of the engine. It is set by the
	// orders.
	OnNotice func(u pool.Upstream, n pool.Notice)
}

// LoadTiming is how long engines take to load.
type LoadTiming struct {
	// ColdLoad is the time of an adapter from the weight store, WarmLoad of one that
	// the engine held recently.
	ColdLoad, WarmLoad time.Duration
	// ParallelLoads is the least number of adapter loads over the fleet that run at
	// full speed, PerModelLoad the number for each load of a base model a second
	// that the weight store allows.
	ParallelLoads        int
	ParallelPerModelLoad float64
}

// parallel is the number of adapter loads over the fleet that run at full
// speed.
func (t LoadTiming) parallel(n *route.Engine) int {
	return max(t.ParallelLoads, int(t.ParallelPerModelLoad*n.LoadsPerSecond))
}
