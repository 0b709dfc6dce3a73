package caller

import (
	"context"
	"errors"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/adapter"
)

// failure is the error of a failed attempt.
type failure struct {
	refusal *refusal.Refusal
	// sent is false if no byte of the request can have reached the upstream.
	sent bool
	// retryable is set if another attempt may succeed.
	retryable bool
}

// Error returns the text of the refusal.
func (f *failure) Error() string {
	return f.refusal.Error()
}

// recordFailure updates the state that the next attempt depends on.
func (g *generation) recordFailure(err error, u adapter.Use) {
	g.attemptCount++
	g.avoid = u.Upstream
	var f *failure
	if errors.As(err, &f) && f.refusal.Run != refusal.NotRun {
		g.mayHaveRun = true
	}
}

// finalError converts the error of the last attempt to a refusal.
func (s *Server) finalError(c context.Context, err error) error {
	var f *failure
	if errors.As(err, &f) {
		return s.causeOr(c, f.refusal)
	}
	return err
}

// mayRetry reports whether the request may be sent again. Attempts that cannot have reached
// an upstream do not use the retry budget.
func (s *Server) mayRetry(c context.Context, g *generation, err error) bool {
	var f *failure
	if !errors.As(err, &f) || !f.retryable || g.responseStarted || c.Err() != nil || g.attemptCount >= maxAttempts {
		return false
	}
	if f.sent && !s.budget.tryWithdraw(g.identity.workspace) {
		return false
	}
	s.Metrics.retries.Inc()
	return true
}
