package reader_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/reader"
)

// TestQuestionsAreSpreadOverTheZone has 118 instances ask for rows that all of
// their zone know: nobody is asked by more than a few of them.
func TestQuestionsAreSpreadOverTheZone(t *testing.T) {
	const instances, most = 118, 8
	var all []reader.Source
	for i := range instances {
		all = append(all, reader.Source{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprint(i % zones), Uptime: time.Hour, StoreReachable: true})
	}
	asked := map[string]int{}
	for i, x := range all {
		others := append(append([]reader.Source{}, all[:i]...), all[i+1:]...)
		y, ok := reader.Self{Name: x.Name, Zone: x.Zone}.ChooseSource(others)
		if !ok || y.Zone != x.Zone {
			t.Fatalf("%s asks %+v", x.Name, y)
		}
		if asked[y.Name]++; asked[y.Name] > most {
			t.Errorf("%s is asked by %d instances", y.Name, asked[y.Name])
		}
	}
}

func TestInstanceThatHasJustStartedTellsOnlyOthersLikeIt(t *testing.T) {
	young := reader.Source{Name: "a", Uptime: time.Second}
	if young.EligibleFor(time.Hour) {
		t.Error("a young instance tells a settled one")
	}
	if !young.EligibleFor(2 * time.Second) {
		t.Error("young instances of a fleet that starts anew do not tell each other")
	}
	young.ReadsStore = true
	if !young.EligibleFor(time.Hour) {
		t.Error("a reader does not tell")
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
