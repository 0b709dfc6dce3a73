package reader_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/reader"
)

// TestRequestsAreSpreadOverTheZone has 118 instances choose a source when all instances of
// their zone have the rows. No instance may be chosen by more than a few of them.
func TestRequestsAreSpreadOverTheZone(t *testing.T) {
	const instances, maxRequests = 118, 8
	var all []reader.Source
	for i := range instances {
		all = append(all, reader.Source{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprint(i % zones), Uptime: time.Hour, StoreReachable: true})
	}
	asked := map[string]int{}
	for i, x := range all {
		others := append(append([]reader.Source{}, all[:i]...), all[i+1:]...)
		y, ok := reader.Self{Name: x.Name, Zone: x.Zone}.ChooseSource(others)
		if !ok || y.Zone != x.Zone {
			t.Fatalf("%s in zone %s asks %+v, want a source in the same zone", x.Name, x.Zone, y)
		}
		if asked[y.Name]++; asked[y.Name] > maxRequests {
			t.Errorf("%s is asked by %d instances, want at most %d", y.Name, asked[y.Name], maxRequests)
		}
	}
}

func TestRecentlyStartedSourceEligibility(t *testing.T) {
	recent := reader.Source{Name: "a", Uptime: time.Second}
	if recent.EligibleFor(time.Hour) {
		t.Error("a recently started instance is eligible for one that runs for an hour")
	}
	if !recent.EligibleFor(2 * time.Second) {
		t.Error("recently started instances are not eligible for each other")
	}
	recent.ReadsStore = true
	if !recent.EligibleFor(time.Hour) {
		t.Error("a recently started reader is not eligible")
	}
}

func ExampleSelf_ChooseSource() {
	s := reader.Self{Name: "n0", Zone: "east"}
	x, _ := s.ChooseSource([]reader.Source{
		{Name: "far", Zone: "west", StoreReachable: true},
		{Name: "silent", Zone: "east", StoreReachable: true, RecentlyFailed: true},
		{Name: "cut-off", Zone: "east"},
		{Name: "near", Zone: "east", StoreReachable: true},
	})
	fmt.Println(x.Name)
	// Output: near
}
