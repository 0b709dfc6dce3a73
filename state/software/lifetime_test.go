package software_test

import (
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/software"
)

// A shorter lifetime is configured. The longer one counts, also for instances that start, until all streams that began
// by it have ended. Without that, such streams were taken to have begun by the newest split (review/13).
func TestLongerLifetimeCountsUntilItsStreamsHaveEnded(t *testing.T) {
	const long, short, changedAt = 15 * time.Second, 4 * time.Second, 100 * time.Second
	end := changedAt + software.SwitchDelay + long
	var old, started software.Lifetime
	old.Configure(long, 0)
	if d, differs := old.ToStore(0); d != long || !differs {
		t.Errorf("%v is to be stored, %v", d, differs)
	}
	old.Store(long, 0)
	old.Configure(short, changedAt)
	started.Configure(short, changedAt+time.Second)
	started.Store(long, changedAt+time.Second)
	for _, x := range []struct {
		name string
		l    *software.Lifetime
		now  time.Duration
	}{
		{"an instance that knew it", &old, changedAt}, {"at the end", &old, end}, {"an instance that starts", &started, changedAt + time.Second}, {"at the end, there", &started, end},
	} {
		if d, differs := x.l.ToStore(x.now); x.l.At(x.now) != long || d != long || differs {
			t.Errorf("%s: streams may be taken up for %v, want %v; to be stored %v, %v", x.name, x.l.At(x.now), long, d, differs)
		}
	}
	if d, differs := old.ToStore(end + 1); d != short || !differs {
		t.Errorf("after the end %v is to be stored, %v", d, differs)
	}
	for _, l := range []*software.Lifetime{&old, &started} {
		l.Store(short, end+1)
		if d, differs := l.ToStore(end + 1); l.At(end+1) != short || d != short || differs {
			t.Errorf("once the row has it, streams may be taken up for %v, want %v; to be stored %v, %v", l.At(end+1), short, d, differs)
		}
	}
}

// A route is removed while its service has streams, and a longer timeout is in force for a moment only.
func TestLifetimesOfQuickChangesAddUp(t *testing.T) {
	var l software.Lifetime
	l.Configure(4*time.Second, 0)
	l.Configure(20*time.Second, time.Second)
	l.Configure(0, 2*time.Second)
	l.Configure(time.Second, 3*time.Second)
	l.Configure(0, 4*time.Second)
	if d := l.At(25 * time.Second); d != 20*time.Second {
		t.Errorf("streams may be taken up for %v", d)
	}
	if d := l.At(26 * time.Second); d != 0 {
		t.Errorf("streams may be taken up for %v after all have ended", d)
	}
	l.Configure(software.MaxLifetime+1, 30*time.Second)
	if d := l.At(30 * time.Second); d != software.MaxLifetime {
		t.Errorf("streams may be taken up for %v", d)
	}
}

// A timeout is not a whole number of milliseconds, in which the row has it. The row would be written again and again.
func TestStoredLifetimeIsThatOfTheRow(t *testing.T) {
	var l software.Lifetime
	l.Configure(1500*time.Millisecond+500*time.Microsecond, 0)
	d, _ := l.ToStore(0)
	l.Store(d.Truncate(time.Millisecond), 0)
	if d, differs := l.ToStore(0); differs || d < 1500*time.Millisecond+500*time.Microsecond {
		t.Errorf("%v is to be stored, %v", d, differs)
	}
}
