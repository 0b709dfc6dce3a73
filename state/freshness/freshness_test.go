package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/freshness"
)

func TestCopyIsBehindUntilItHasAllReportedRows(t *testing.T) {
	x := &freshness.Table{}
	x.ObservePeer(5, 7, "a", true, time.Second)
	x.ObservePeer(5, 9, "b", true, 2*time.Second)
	if s := x.State(3 * time.Second); s.Behind != 2*time.Second || s.Newest != 9 || s.ReportedBy != "b" {
		t.Errorf("state %+v, want 2s behind version 9, reported by b", s)
	}
	if d := x.Advance(7, 4*time.Second); d != 0 {
		t.Errorf("caught up after %v with only a part of the rows", d)
	}
	if d := x.Advance(9, 5*time.Second); d != 4*time.Second {
		t.Errorf("caught up after %v, want 4s", d)
	}
	if s := x.State(6 * time.Second); s.Behind != 0 {
		t.Errorf("%v behind after catching up, want 0", s.Behind)
	}
}

func TestOnlyReadersConfirmACopy(t *testing.T) {
	x := &freshness.Table{}
	x.MarkRead(5, "store", time.Second)
	x.ObservePeer(5, 5, "a", false, 3*time.Second)
	if s := x.State(4 * time.Second); s.Age != 3*time.Second || s.ConfirmedBy != "store" {
		t.Errorf("state %+v, want confirmed 3s ago by the store", s)
	}
	x.ObservePeer(5, 4, "b", true, 5*time.Second)
	if s := x.State(6 * time.Second); s.Age != time.Second || s.ConfirmedBy != "b" {
		t.Errorf("state %+v, want confirmed 1s ago by b", s)
	}
}

func ExampleTable() {
	x := &freshness.Table{}
	x.MarkRead(3, "store", time.Second)
	x.ObservePeer(3, 4, "n1", true, 2*time.Second)
	s := x.State(2500 * time.Millisecond)
	fmt.Println(s.Age, s.Behind, s.ReportedBy)
	// Output: 1.5s 500ms n1
}
