package caller

import (
	"sync"

	"gentiangauge.example/gentiangauge/state/lists"
)

// retryBudget limits the retries of each workspace to a ratio of its requests, so that
// retries cannot multiply the load on the remaining upstreams.
type retryBudget struct {
	mu        sync.Mutex
	ratio     float64
	remaining map[lists.WorkspaceID]float64
}

// A workspace starts with initialRetries and accumulates at most maxSavedRetries.
const (
	initialRetries  = 20
	maxSavedRetries = 50
)

// newRetryBudget returns a budget that allows percent retries per 100 requests.
func newRetryBudget(percent int64) *retryBudget {
	return &retryBudget{ratio: float64(percent) / 100, remaining: map[lists.WorkspaceID]float64{}}
}

func (b *retryBudget) balance(w lists.WorkspaceID) float64 {
	n, ok := b.remaining[w]
	if !ok {
		n = initialRetries
	}
	return n
}

// deposit credits the workspace for one request.
func (b *retryBudget) deposit(w lists.WorkspaceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining[w] = min(maxSavedRetries, b.balance(w)+b.ratio)
}

// tryWithdraw consumes one retry and reports whether one was available.
func (b *retryBudget) tryWithdraw(w lists.WorkspaceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.balance(w)
	if n < 1 {
		return false
	}
	b.remaining[w] = n - 1
	return true
}
