package contact_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/contact"
)

const now = time.Hour

// since returns a contact that began some time ago.
func since(d time.Duration, c contact.Cause) contact.Contact {
	return contact.Contact{Reached: true, Since: now - d, Cause: c}
}

// TestRemovalIsAppliedAtOnceWhileOthersReachTheStore guards against keeping a stopped
// upstream because a single instance could not reach the store: 94 of 116 instances kept
// one for two more seconds (wtw-prod-grown trouble-3, second 27, at 2fab0c8).
func TestRemovalIsAppliedAtOnceWhileOthersReachTheStore(t *testing.T) {
	others := contact.Peers{Confirming: 5, Unstable: 1}
	for name, k := range map[string]contact.Contact{
		"reads all along":    since(time.Minute, contact.Started),
		"has just started":   since(time.Second, contact.Started),
		"regained the store": since(time.Second, contact.Regained),
		"resumed reading":    since(time.Second, contact.Resumed),
		"lost the store":     {Reached: true, Failing: true},
	} {
		if d := k.SettlesIn(others, now); d != 0 {
			t.Errorf("an instance that %s applies the removal after %v, want at once", name, d)
		}
	}
}

// TestRowIsWaitedForAfterAnOutage has the store unavailable for all instances: missing rows
// are waited for until SettleTime after the outage, and no longer.
func TestRowIsWaitedForAfterAnOutage(t *testing.T) {
	outage := contact.Peers{Confirming: 1, Unstable: 5}
	for _, c := range []contact.Cause{contact.Regained, contact.Resumed} {
		for _, d := range []time.Duration{0, time.Second, 2 * time.Second, contact.SettleTime, time.Minute} {
			if got, want := since(d, c).SettlesIn(outage, now), max(0, contact.SettleTime-d); got != want {
				t.Errorf("%v for %v: settles in %v, want %v", c, d, got, want)
			}
		}
	}
	if d := (contact.Contact{Reached: true, Failing: true}).SettlesIn(outage, now); d != contact.SettleTime {
		t.Errorf("settles in %v while the store is unavailable, want %v", d, contact.SettleTime)
	}
}

func TestLoneInstanceReliesOnItsOwnContact(t *testing.T) {
	if d := since(time.Second, contact.Regained).SettlesIn(contact.Peers{}, now); d == 0 {
		t.Error("a lone instance applies removals right after an outage")
	}
	if d := since(time.Second, contact.Resumed).SettlesIn(contact.Peers{}, now); d != 0 {
		t.Errorf("settles in %v though no instance found the store unavailable", d)
	}
}

func TestOnlyALastingContactConfirms(t *testing.T) {
	if since(time.Second, contact.Resumed).Confirms(now) || !since(contact.SettleTime, contact.Resumed).Confirms(now) {
		t.Error("an instance confirms a time in which it did not read, or does not confirm after SettleTime")
	}
}

func ExampleContact_SettlesIn() {
	k := contact.Contact{Reached: true, Since: time.Minute, Cause: contact.Regained}
	fmt.Println(k.SettlesIn(contact.Peers{Confirming: 1, Unstable: 4}, time.Minute+time.Second))
	// Output: 1.3s
}

// After the store has come back from a copy, rows settle at each instance, however it learned of
// that and whatever the others found.
func TestRowsSettleAfterARestoredStore(t *testing.T) {
	for _, c := range []contact.Cause{contact.Started, contact.Regained, contact.Resumed} {
		k := since(time.Minute, c)
		k.RestoredAt = now - time.Second
		if d, want := k.SettlesIn(contact.Peers{Confirming: 9}, now), contact.SettleTime-time.Second; d != want {
			t.Errorf("%v: settles in %v, want %v", c, d, want)
		}
		if k.Confirms(now) || !k.Unstable(now) {
			t.Errorf("%v: confirms %v, unstable %v", c, k.Confirms(now), k.Unstable(now))
		}
		k.RestoredAt = now - contact.SettleTime
		if d := k.SettlesIn(contact.Peers{}, now); d != 0 || k.Unstable(now) {
			t.Errorf("%v: settles in %v after SettleTime, unstable %v", c, d, k.Unstable(now))
		}
	}
}
