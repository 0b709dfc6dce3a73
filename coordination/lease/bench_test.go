package lease_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/coordination/lease"
)

// convergedMember returns the state of one member among n that has the votes of all
// others.
func convergedMember(n int, now time.Time) *lease.State {
	r := lease.Roster{Epoch: 1}
	for i := range n {
		r.Members = append(r.Members, lease.Member{Seat: lease.SeatID(fmt.Sprint("seat-", i))})
	}
	s := lease.New(config)
	s.TakeSeat("seat-0", now, 0)
	s.InstallRoster(r, now)
	for _, m := range r.Members[1:] {
		s.RecordReply(lease.Reply{Seat: m.Seat, Epoch: 1, Confirms: true}, now, now)
	}
	return s
}

func BenchmarkOwns(b *testing.B) {
	for _, n := range []int{15, 55, 110, 330} {
		b.Run(fmt.Sprint("members-", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := convergedMember(n, now)
			name := ""
			for i := 0; name == ""; i++ {
				if x := fmt.Sprint("quota/", i); s.Roster().Candidates(x)[0].Seat == "seat-0" {
					name = x
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.Owns(name, now); !ok {
					b.Fatal("not owned")
				}
			}
		})
	}
}

// BenchmarkPing measures the cost of one ping for both ends together, without the
// network.
func BenchmarkPing(b *testing.B) {
	for _, n := range []int{15, 55, 110, 330} {
		b.Run(fmt.Sprint("members-", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := convergedMember(n, now)
			for b.Loop() {
				r, _ := s.AnswerPing("seat-1", now)
				r.Seat = "seat-1"
				s.RecordReply(r, now, now)
			}
		})
	}
}
