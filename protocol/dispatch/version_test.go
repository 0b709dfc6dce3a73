package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// A request was sent to an engine with the previous version of its adapter, and waits there in a
// long queue. It must not begin on that version after the version has expired; the engine is not to
// blame for that.
func TestQueuedRequestLeavesAnEngineWithAnExpiredVersion(t *testing.T) {
	for _, headers := range []bool{false, true} {
		b := newHarness(1)
		b.newest, b.oldest, b.oldUntil = 2, 1, b.timer.Boot()+200*time.Millisecond
		hold := func(v int) {
			b.pool.SetLoadedAdapters("e0", map[pool.Tag]pool.LoadedAdapter{adapter.Tag(): {Version: route.Version(v)}}, nil)
		}
		hold(1)
		b.respond = func(n int, s dispatch.UpstreamRequest) (*dispatch.Response, error) {
			if n > 1 {
				return stream("id: 1\ndata: a\n\n", false), nil
			}
			b.oldest = 2
			if headers {
				r := stream("id: 1\ndata: old\n\n", false)
				r.Body = struct {
					cancelledBody
					nopCloser
				}{cancelledBody: cancelledBody{r.Body, b.context}}
				hold(2)
				return r, nil
			}
			<-b.context.Done()
			hold(2)
			return nil, relay.ErrConnectionBroken
		}
		w, err := b.serve("/chat/x")
		if err != nil || w.Code != http.StatusOK || len(b.sends) != 2 || b.sends[0].Version != 1 || b.sends[1].Version != 2 {
			t.Errorf("headers %v: error %v, status %d after %d sends", headers, err, w.Code, len(b.sends))
		}
		if b.timer.Boot() < b.oldUntil {
			t.Errorf("headers %v: the first send was cancelled before the version expired", headers)
		}
	}
}

type nopCloser struct{}

func (nopCloser) Close() error { return nil }

// A response on the newest version may take as long as the caller waits.
func TestNewestVersionDoesNotExpire(t *testing.T) {
	b := newHarness(1)
	b.newest, b.oldest, b.oldUntil = 2, 2, b.timer.Boot()+50*time.Millisecond
	b.pool.SetLoadedAdapters("e0", map[pool.Tag]pool.LoadedAdapter{adapter.Tag(): {Version: 2}}, nil)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
		_ = b.timer.Wait(context.Background(), 100*time.Millisecond)
		return stream("id: 1\ndata: a\n\n", false), b.context.Err()
	}
	if w, err := b.serve("/chat/x"); err != nil || w.Code != http.StatusOK || len(b.sends) != 1 {
		t.Errorf("error %v, status %d after %d sends", err, w.Code, len(b.sends))
	}
}

// A request that may run only once waits for a connection to an engine with the previous version
// until that version has expired. Nothing was sent, so that the request may be sent elsewhere.
func TestUnsentRequestLeavesAnEngineWithAnExpiredVersion(t *testing.T) {
	b := newHarness(1)
	b.newest, b.oldest, b.oldUntil = 2, 1, b.timer.Boot()+100*time.Millisecond
	b.pool.SetLoadedAdapters("e0", map[pool.Tag]pool.LoadedAdapter{adapter.Tag(): {Version: 1}}, nil)
	b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n > 1 {
			return stream("id: 1\ndata: a\n\n", false), nil
		}
		<-b.context.Done()
		b.oldest = 2
		b.pool.SetLoadedAdapters("e0", map[pool.Tag]pool.LoadedAdapter{adapter.Tag(): {Version: 2}}, nil)
		return nil, relay.ErrNotSent
	}
	if w, err := b.serve("/once/x"); err != nil || w.Code != http.StatusOK || len(b.sends) != 2 {
		t.Errorf("error %v, status %d after %d sends, want the second send answered", err, w.Code, len(b.sends))
	}
}

// A newer version of the adapter is announced while a request that may run once waits at an engine with the one that
// was the newest as it was sent. It must not begin on that version once it has expired.
func TestVersionThatIsAnnouncedDuringTheWaitIsFollowed(t *testing.T) {
	b := newHarness(1)
	b.newest, b.oldest = 1, 1
	b.pool.SetLoadedAdapters("e0", map[pool.Tag]pool.LoadedAdapter{adapter.Tag(): {Version: 1}}, nil)
	b.respond = func(int, dispatch.UpstreamRequest) (*dispatch.Response, error) {
		b.newest, b.oldUntil = 2, b.timer.Boot()+400*time.Millisecond
		<-b.context.Done()
		return nil, relay.ErrConnectionBroken
	}
	began := b.timer.Boot()
	_, err := b.serve("/once/x")
	now := b.timer.Boot()
	if err == nil || len(b.sends) != 1 || now < b.oldUntil || now >= began+callerTimeout {
		t.Errorf("error %v after %d sends, %v after the version expired", err, len(b.sends), now-b.oldUntil)
	}
}
