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

// errNotInForce is returned when a change was committed, but it could not be confirmed
// within the time to wait that it is in force everywhere.
var errNotInForce = eris.New("the change was accepted, but is not confirmed to be in force everywhere yet; check with: gentiangauge status")

var clock = timer.New()

const (
	inForcePollInterval = 200 * time.Millisecond
	// operatorTimeout limits each request to the operator address of an instance.
	operatorTimeout = time.Second
)

// instanceStatus is the status that an instance reports at its operator address.
type instanceStatus struct {
	Name              string `json:"name"`
	Zone              string `json:"availability-zone"`
	Seat              string `json:"seat"`
	Epoch             int64  `json:"epoch"`
	Members           int    `json:"members"`
	ListsVersion      int64  `json:"lists-version"`
	Serving           bool   `json:"serving"`
	LeaseMilliseconds int64  `json:"lease-milliseconds"`
	Running           int    `json:"running"`
	// Silent names the members that have not answered this instance within one lease
	// duration.
	Silent []string `json:"silent"`
	// Reachable is true if the instance answered this program.
	Reachable bool `json:"answers"`
}

// waitUntilInForce waits until a version is in force: either every member has installed
// it, or a majority has and one lease duration has passed since. By then each other
// member has installed it as well or has lost its lease and stopped serving. It returns
// errNotInForce after the time to wait, and nil if the roster is empty.
func waitUntilInForce(c context.Context, t *provider.Table, v lists.Version, wait time.Duration) error {
	c, cancel := context.WithTimeout(c, wait)
	defer cancel()
	var majorityAt time.Time
	leaseDuration := time.Duration(0)
	for {
		r, _, err := fleet.ReadRoster(c, t)
		if err == nil && len(r.Members) == 0 {
			return nil
		}
		if err == nil {
			all := queryInstances(c, r)
			n := countInstalled(all, v)
			leaseDuration = max(leaseDuration, longestLease(all))
			if n == len(r.Members) {
				return nil
			}
			if n >= r.Majority() && majorityAt.IsZero() {
				majorityAt = clock.Now()
			}
		}
		if !majorityAt.IsZero() && clock.Now().Sub(majorityAt) > leaseDuration {
			return nil
		}
		if clock.Wait(c, inForcePollInterval) != nil {
			return errNotInForce
		}
	}
}

// longestLease returns the longest lease duration that an instance reports. All instances
// are configured with the same one.
func longestLease(all []instanceStatus) time.Duration {
	longest := time.Duration(0)
	for _, s := range all {
		longest = max(longest, time.Duration(s.LeaseMilliseconds)*time.Millisecond)
	}
	return longest
}

// countInstalled counts the members that have installed version v or a later one.
func countInstalled(all []instanceStatus, v lists.Version) int {
	n := 0
	for _, s := range all {
		if s.Reachable && s.Seat != "" && s.ListsVersion >= int64(v) {
			n++
		}
	}
	return n
}

// queryInstances requests the status of every member concurrently. The results are in
// the order of the roster; Reachable is false for members that did not answer.
func queryInstances(c context.Context, r lease.Roster) []instanceStatus {
	out := make([]instanceStatus, len(r.Members))
	var w sync.WaitGroup
	for i, m := range r.Members {
		w.Go(func() {
			out[i] = instanceStatus{Name: m.Instance, Zone: m.Zone}
			if getJSON(c, "http://"+m.Operator+"/v1/status", &out[i]) == nil {
				out[i].Reachable = true
			}
		})
	}
	w.Wait()
	return out
}

// getJSON requests a URL and decodes the JSON body of the response into v.
func getJSON(c context.Context, url string, v any) error {
	c, cancel := context.WithTimeout(c, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(c, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "query instance")
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return eris.Errorf("query instance: unexpected status %d", a.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(a.Body).Decode(v), "decode response of instance")
}
