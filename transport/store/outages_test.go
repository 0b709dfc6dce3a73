package store_test

import (
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/transport/store"
)

// The store answers now and then, and some calls fail. Only an answer after a long silence ends an outage.
func TestAnswerAfterASilenceEndsAnOutage(t *testing.T) {
	now := time.Hour
	x := &store.Outages{Now: func() time.Duration { return now }}
	x.Record(true)
	end := x.End()
	ended := func() bool {
		select {
		case <-end.Done:
			return true
		default:
			return false
		}
	}
	for i := range 10 {
		now += store.MaxSilence / 2
		x.Record(false)
		x.Record(true)
		if ended() {
			t.Fatalf("%d: a call that failed between two answers counts as an outage", i)
		}
	}
	now += store.MaxSilence
	if s := x.Silence(); s != store.MaxSilence {
		t.Errorf("silent for %v", s)
	}
	x.Record(false)
	if ended() {
		t.Error("the outage has ended without an answer")
	}
	x.Record(true)
	if !ended() || !end.Failed {
		t.Errorf("ended %v, failed %v", ended(), end.Failed)
	}
	end = x.End()
	now += store.MaxSilence
	x.Record(true)
	if !ended() || end.Failed {
		t.Errorf("no call has failed: ended %v, failed %v", ended(), end.Failed)
	}
}
