package standin_test

import (
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin"
)

// Requests count from half a second after an instance was told of the limit, and windows
// from three seconds after the limit was first set.
func TestRateLimitsDetectExcess(t *testing.T) {
	var now time.Duration
	l := standin.NewRateLimits(func() time.Duration { return now })
	l.Set(1)
	if h := l.Header("n0"); h != "1" {
		t.Errorf("header %q, want 1", h)
	}
	for range 30 {
		l.Arrive("n0")
	}
	now = standin.LimitContact
	for range 11 {
		l.Arrive("n0")
	}
	l.Arrive("n1")
	if v := l.Violation(); v != "" {
		t.Errorf("%s; want none at the bound, for an instance that was not told, and before half a second", v)
	}
	l.Arrive("n0")
	if l.Violation() == "" {
		t.Error("12 requests in a window at a limit of 1 a second are not detected")
	}
}

// The end of a limit is no limit, and a change allows the higher limit for one window.
func TestRateLimitsFollowChanges(t *testing.T) {
	var now time.Duration
	l := standin.NewRateLimits(func() time.Duration { return now })
	l.Set(4)
	l.Header("n0")
	now = 5 * time.Second
	l.Set(1)
	for range 29 {
		l.Arrive("n0")
	}
	now = 10 * time.Second
	l.Set(0)
	for range 100 {
		l.Arrive("n0")
	}
	if v := l.Violation(); v != "" || l.Header("n0") != "" {
		t.Errorf("%q; want no violation and no header", v)
	}
}
