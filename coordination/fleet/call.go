package fleet

import (
	"context"
	"errors"
	"iter"
	"slices"
	"time"

	"google.golang.org/protobuf/protoadapt"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

// silenceReport is what a member has told of the members that it does not hear.
type silenceReport struct {
	at     time.Time
	silent []lease.SeatID
}

// recordSilence records which members a peer does not hear.
func (f *Fleet) recordSilence(from lease.SeatID, silent []string, at time.Time) {
	r := silenceReport{at: at}
	for _, x := range silent {
		r.silent = append(r.silent, lease.SeatID(x))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silenceReports[from] = r
}

// Hears reports whether a member has replied to a ping of the last lease duration.
func (f *Fleet) Hears(seat lease.SeatID) bool {
	return !slices.Contains(f.Silent(), seat)
}

// Relays returns the members that this instance hears, and that hear another member.
//
// Load pattern: the connection between two instances is cut while both reach all others, so that
// the one keeps what it owns and the other needs it.
func (f *Fleet) Relays(seat lease.SeatID) []lease.Member {
	silent, now := f.Silent(), f.Timer.Now()
	var out []lease.Member
	for _, m := range f.Peers() {
		f.mu.Lock()
		r, ok := f.silenceReports[m.Seat]
		f.mu.Unlock()
		if ok && m.Seat != seat && now.Sub(r.at) < f.config.Lease.Duration && !slices.Contains(silent, m.Seat) && !slices.Contains(r.silent, seat) {
			out = append(out, m)
		}
	}
	return out
}

// Reachable reports whether calls can reach a member, directly or through another one.
func (f *Fleet) Reachable(seat lease.SeatID) bool {
	return f.Hears(seat) || len(f.Relays(seat)) > 0
}

// Path is a way to call a member: directly, or through another one, whose mesh address is Via, if
// that is not empty.
type Path struct {
	To  lease.Member
	Via string
}

// Paths returns the ways to call a member, the best first. Relays are looked for only once they are
// needed.
func (f *Fleet) Paths(m lease.Member) iter.Seq[Path] {
	return func(yield func(Path) bool) {
		direct, heard := Path{To: m}, f.Hears(m.Seat)
		if heard && !yield(direct) {
			return
		}
		relays := f.Relays(m.Seat)
		for _, x := range relays {
			if !yield(Path{To: m, Via: x.Mesh}) {
				return
			}
		}
		if !heard && len(relays) == 0 {
			yield(direct)
		}
	}
}

// CallOver calls a method of a member over one path. It fails with mesh.ErrUnreachable, or with
// mesh.ErrRefused if the member, or the one that passes the call on, returns an error.
func CallOver[Q, R any, PQ interface {
	*Q
	protoadapt.MessageV1
}, PR interface {
	*R
	protoadapt.MessageV1
}](c context.Context, f *Fleet, x Path, method string, q *Q) (*R, error) {
	if x.Via == "" {
		return mesh.Call[Q, R, PQ, PR](c, f.Mesh, x.To.Mesh, method, q)
	}
	return mesh.CallVia[Q, R, PQ, PR](c, f.Mesh, x.Via, x.To.Mesh, method, q)
}

// Call calls a method of a member over one path after the other, until the member answers. It may get
// the call more than once. Call fails as CallOver does.
func Call[Q, R any, PQ interface {
	*Q
	protoadapt.MessageV1
}, PR interface {
	*R
	protoadapt.MessageV1
}](c context.Context, f *Fleet, m lease.Member, method string, q *Q) (r *R, err error) {
	for x := range f.Paths(m) {
		r, err = CallOver[Q, R, PQ, PR](c, f, x, method, q)
		if err == nil || x.Via == "" && !errors.Is(err, mesh.ErrUnreachable) {
			break
		}
	}
	return r, err
}
