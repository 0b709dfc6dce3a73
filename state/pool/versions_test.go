package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
)

const versionTime = 5 * time.Second

// An instance reads announcements at random moments, starts now and then, and knows nothing of what happened before.
// No request may be sent to an older version in the second half of the time after its announcement, whenever that was
// read: a start took all versions for announced at that moment (review/9).
func TestOlderVersionIsNotUsedLongAfterItsAnnouncement(t *testing.T) {
	a := pool.Adapter{Model: "base", Name: "a1"}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		v, confirmedAt := pool.NewVersions(), time.Duration(0)
		// announcedAt has the instants at which the versions 1, 2 and so on were announced.
		announcedAt := []time.Duration{time.Second}
		uses := 0
		for now := 2 * time.Second; now < 5*time.Minute; now += time.Duration(r.Int64N(int64(time.Second))) {
			switch r.IntN(20) {
			case 0:
				announcedAt = append(announcedAt, now)
			case 1:
				v, confirmedAt = pool.NewVersions(), 0
			case 2, 3, 4, 5, 6:
				v.Announce(a, route.Version(len(announcedAt)), confirmedAt)
				confirmedAt = now
			}
			newest, oldest, until := v.Usable(a, versionTime, now)
			if newest == 0 || oldest == newest {
				continue
			}
			uses++
			// The version after the oldest one was announced at this instant.
			if age := now - announcedAt[oldest]; age > versionTime/2 || until > announcedAt[oldest]+versionTime {
				t.Fatalf("seed %d: version %d may be used %v after version %d was announced, until %v after that", seed, oldest, age, oldest+1, until-announcedAt[oldest])
			}
		}
		if uses == 0 {
			t.Fatalf("seed %d: no older version was ever used", seed)
		}
	}
}

// Versions are announced while an instance that has read the announcements runs: the one before may be used for a
// moment, also if it is the first announcement of an adapter. An instance that has just started may not use it.
func TestPreviousVersionMayBeUsedForAMoment(t *testing.T) {
	const now = time.Minute
	a := pool.Adapter{Model: "base", Name: "a1"}
	for name, x := range map[string]struct {
		after time.Duration
		first route.Version
		want  route.Version
	}{
		"running":            {after: now - 100*time.Millisecond, first: 1, want: 1},
		"first announcement": {after: now - 100*time.Millisecond, want: 0},
		"long without news":  {after: now - versionTime, first: 1, want: 2},
		"just started":       {want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			v := pool.NewVersions()
			if x.first > 0 {
				v.Announce(a, x.first, time.Second)
			}
			if !v.Announce(a, 2, x.after) || v.Announce(a, 2, now) || v.Announce(a, 1, now) {
				t.Error("only the newest version counts, and once")
			}
			newest, oldest, until := v.Usable(a, versionTime, now)
			if newest != 2 || oldest != x.want || until > now+versionTime {
				t.Errorf("newest %d, oldest %d until %v, want 2 and %d", newest, oldest, until, x.want)
			}
		})
	}
	if newest, oldest, _ := pool.NewVersions().Usable(a, versionTime, now); newest != 0 || oldest != 0 {
		t.Errorf("versions %d and %d without an announcement", newest, oldest)
	}
}
