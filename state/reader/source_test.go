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
		all = append(all, reader.Source{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprint(i % zones), Uptime: time.Hour, Steady: true})
	}
	asked := map[string]int{}
	for i, x := range all {
		others := append(append([]reader.Source{}, all[:i]...), all[i+1:]...)
		y, ok := reader.Self{Name: x.Name, Zone: x.Zone}.Ask(others)
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
	if young.Tells(time.Hour) {
		t.Error("a young instance tells a settled one")
	}
	if !young.Tells(2 * time.Second) {
		t.Error("young instances of a fleet that starts anew do not tell each other")
	}
	young.Reads = true
	if !young.Tells(time.Hour) {
		t.Error("a reader does not tell")
	}
}

func ExampleSelf_Ask() {
	s := reader.Self{Name: "n0", Zone: "east"}
	x, _ := s.Ask([]reader.Source{
		{Name: "far", Zone: "west", Steady: true},
		{Name: "silent", Zone: "east", Steady: true, Failed: true},
		{Name: "cut-off", Zone: "east"},
		{Name: "near", Zone: "east", Steady: true},
	})
	fmt.Println(x.Name)
	// Output: near
}
