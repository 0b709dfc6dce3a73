package dispatch

import (
	"context"

	"go.uber.org/zap"
)

// recordBreak records that the connection of a request broke after the request was sent, with
// what tells an upstream that has ended from a connection that has failed.
func (d *Dispatcher) recordBreak(c context.Context, j *job) {
	u := j.choice.Upstream
	ended := d.HasEnded != nil && d.HasEnded(c, u.Address)
	d.Metrics.countBreak(ended)
	d.Log.Info("connection broke during request", zap.String("request", j.ID), zap.String("upstream", string(u.ID)), zap.Int64("born", u.StartedAt),
		zap.Bool("ended", ended), zap.Bool("leaving", u.Draining), zap.String("way", j.sentAs), zap.Int("events", j.events), zap.Stringers("parts", j.Parts))
}
