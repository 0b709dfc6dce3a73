package dispatch_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// A request that must not be repeated comes late in a planned stop and may take longer than is left. It is not sent:
// the end of the process would cut it, and its caller could not send it again.
func TestUnsafeRequestThatMayOutlastTheStopIsRefused(t *testing.T) {
	b := newHarness(1)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
		return response(http.StatusOK, "done"), nil
	}
	for left, want := range map[time.Duration]bool{callerTimeout / 2: false, 2 * callerTimeout: true} {
		b.stopsAt, b.sends = b.timer.Boot()+left, nil
		_, err := b.serve("/pay/x")
		if r := refusal.As(err); want != (err == nil) || err != nil && (r.Code != refusal.InstanceLeaving || r.Run != refusal.NotRun || r.RetryAfter <= 0 || len(b.sends) > 0) {
			t.Errorf("with %v left: error %v after %d sends", left, err, len(b.sends))
		}
	}
}

// Requests are still at upstreams as the instance is about to stop: one that was admitted before the stop began, and
// one after. Their callers get an answer before it does.
func TestRequestsAreAnsweredBeforeTheInstanceStops(t *testing.T) {
	for name, late := range map[string]bool{"admitted before": false, "admitted later": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			stop := func() {
				b.stopsAt = b.timer.Boot() + 500*time.Millisecond
				b.d.BeginStop()
			}
			b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
				if !late {
					stop()
				}
				<-b.context.Done()
				return nil, relay.ErrConnectionBroken
			}
			if late {
				stop()
			}
			_, err := b.serve("/look/x")
			if now := b.timer.Boot(); now >= b.stopsAt || err == nil || errors.Is(err, dispatch.ErrTruncated) || refusal.As(err).Status < 500 {
				t.Errorf("error %v, %v before the stop", err, b.stopsAt-now)
			}
		})
	}
}
