package commands

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// errNotInForce says that an accepted change is not known to be in force.
var errNotInForce = eris.New("the change was accepted, but is not known to be in force everywhere yet; ask again with: gentiangauge status")

var clock = timer.New()

const (
	forceInterval  = 200 * time.Millisecond
	operatorAnswer = time.Second
)

type instanceStatus struct {
	Name    string   `json:"name"`
	Zone    string   `json:"availability-zone"`
	Seat    string   `json:"seat"`
	Epoch   int64    `json:"epoch"`
	Members int      `json:"members"`
	Version int64    `json:"lists-version"`
	Serving bool     `json:"serving"`
	Lease   int64    `json:"lease-milliseconds"`
	Running int      `json:"running"`
	Silent  []string `json:"silent"`
	Answers bool     `json:"answers"`
}

// awaitForce waits until a version is in force: every member has installed
// it, or a majority has and one lease has passed since, so that the others
// have installed it or stopped.
func awaitForce(c context.Context, t *provider.Table, v lists.Version, wait time.Duration) error {
	c, cancel := context.WithTimeout(c, wait)
	defer cancel()
	var majority time.Time
	lease := time.Duration(0)
	for {
		r, _, err := fleet.ReadRoster(c, t)
		if err == nil && len(r.Members) == 0 {
			return nil
		}
		if err == nil {
			all := askAll(c, r)
			n := countInstalled(all, v)
			lease = max(lease, leaseOf(all))
			if n == len(r.Members) {
				return nil
			}
			if n >= r.Majority() && majority.IsZero() {
				majority = clock.Now()
			}
		}
		if !majority.IsZero() && clock.Now().Sub(majority) > lease {
			return nil
		}
		if clock.Wait(c, forceInterval) != nil {
			return errNotInForce
		}
	}
}

// leaseOf returns the longest lease that an instance reports. All instances
// have the same.
func leaseOf(all []instanceStatus) time.Duration {
	longest := time.Duration(0)
	for _, s := range all {
		longest = max(longest, time.Duration(s.Lease)*time.Millisecond)
	}
	return longest
}

func countInstalled(all []instanceStatus, v lists.Version) int {
	n := 0
	for _, s := range all {
		if s.Answers && s.Seat != "" && s.Version >= int64(v) {
			n++
		}
	}
	return n
}

// askAll asks every member for its status, in the order of the roster.
func askAll(c context.Context, r lease.Roster) []instanceStatus {
	out := make([]instanceStatus, len(r.Members))
	var w sync.WaitGroup
	for i, m := range r.Members {
		w.Go(func() {
			out[i] = instanceStatus{Name: m.Instance, Zone: m.Zone}
			if getJSON(c, "http://"+m.Operator+"/v1/status", &out[i]) == nil {
				out[i].Answers = true
			}
		})
	}
	w.Wait()
	return out
}

func getJSON(c context.Context, url string, v any) error {
	c, cancel := context.WithTimeout(c, operatorAnswer)
	defer cancel()
	r, err := http.NewRequestWithContext(c, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "ask instance")
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return eris.Errorf("ask instance: status %d", a.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(a.Body).Decode(v), "read answer")
}
