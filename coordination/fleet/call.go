package fleet

import (
	"context"
	"errors"
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

// Route is a way to call a member: directly, or through another one if Via is not empty.
type Route struct {
	To  lease.Member
	Via string
}

// Routes returns the ways to call a member, the best first.
func (f *Fleet) Routes(m lease.Member) []Route {
	relays := f.Relays(m.Seat)
	var out []Route
	if len(relays) == 0 || f.Hears(m.Seat) {
		out = append(out, Route{To: m})
	}
	for _, x := range relays {
		out = append(out, Route{To: m, Via: x.Mesh})
	}
	return out
}

// CallBy calls a method of a member by one way. It fails with mesh.ErrUnreachable, or with
// mesh.ErrRefused if the member, or the one that passes the call on, returns an error.
func CallBy[Q, R any, PQ interface {
	*Q
	protoadapt.MessageV1
}, PR interface {
	*R
	protoadapt.MessageV1
}](c context.Context, f *Fleet, w Route, method string, q *Q) (*R, error) {
	if w.Via == "" {
		return mesh.Call[Q, R, PQ, PR](c, f.Mesh, w.To.Mesh, method, q)
	}
	return mesh.CallVia[Q, R, PQ, PR](c, f.Mesh, w.Via, w.To.Mesh, method, q)
}

// Call calls a method of a member by one way after the other, until the member answers. It may get
// the call more than once. Call fails as CallBy does.
func Call[Q, R any, PQ interface {
	*Q
	protoadapt.MessageV1
}, PR interface {
	*R
	protoadapt.MessageV1
}](c context.Context, f *Fleet, m lease.Member, method string, q *Q) (r *R, err error) {
	for _, w := range f.Routes(m) {
		r, err = CallBy[Q, R, PQ, PR](c, f, w, method, q)
		if err == nil || w.Via == "" && !errors.Is(err, mesh.ErrUnreachable) {
			break
		}
	}
	return r, err
}
