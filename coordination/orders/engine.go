// Package orders sends load and unload orders for adapters and base models to engines. Only
// the owner of an engine sends it orders.
package orders

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/coordination/ownership"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

// ErrNoAnswer means that an engine did not answer. It may have accepted the order, or may
// still execute it seconds later if its sequence number matches by then.
var ErrNoAnswer = eris.New("engine did not answer")

//go:generate go tool stringer -type=Answer -linecomment

// Answer is the response of an engine to an order.
type Answer int

// Answers to orders. Accepted: an order to load was started, an order to unload waits until
// the adapter is no longer in use. InEffect: the engine is in the ordered state.
// Conflict: the sequence number does not match. Fenced: the engine knows a newer fencing
// token. Misdirected: another engine now responds at the address.
const (
	Accepted    Answer = iota // accepted
	InEffect                  // holds
	Conflict                  // conflict
	Fenced                    // fenced
	Rejected                  // rejected
	Misdirected               // moved
)

// Report is the state that an engine reports. It lags behind the orders that the engine has
// accepted.
type Report struct {
	// StartedAt is the start time of the process, as pool.Upstream.StartedAt, or 0 if it is not stated.
	StartedAt int64
	// Sequence is the number of orders accepted since the engine started.
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
	// Version is the version of the adapter to load.
	Version route.Version
	// Sequence is the number of accepted orders at which the engine executes this one.
	Sequence int64
	// Token is the fencing token of the owner.
	Token ownership.Token
}

// Engines is the client for engines. The platform package sets the function fields; tests
// replace them.
type Engines struct {
	// Report reads the state of an engine. It fails with ErrNoAnswer.
	Report func(c context.Context, u pool.Upstream) (Report, error)
	// Order sends an order. It fails with ErrNoAnswer.
	Order func(c context.Context, o Order) (Answer, error)
	// OnNotice is called with the notice in each response of an engine. New sets it.
	OnNotice func(u pool.Upstream, n pool.Notice)
}

// LoadTiming describes how long engines take to load adapters.
type LoadTiming struct {
	// ColdLoad is the load time of an adapter from the weight store, WarmLoad that of an
	// adapter that the engine still has in memory.
	ColdLoad, WarmLoad time.Duration
	// ParallelLoads is the minimum number of adapter loads in the fleet that run at full
	// speed. ParallelPerModelLoad is the number of such loads for each base model load per
	// second that the weight store allows.
	ParallelLoads        int
	ParallelPerModelLoad float64
}

// parallel returns the number of adapter loads in the fleet that run at full speed.
func (t LoadTiming) parallel(n *route.Engine) int {
	return max(t.ParallelLoads, int(t.ParallelPerModelLoad*n.LoadsPerSecond))
}
