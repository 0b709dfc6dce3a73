package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/lists"
)

const (
	step     = 50 * time.Millisecond
	interval = 500 * time.Millisecond
	duration = 2500 * time.Millisecond
)

var config = lease.Config{Duration: duration, SuspicionTimeout: 1500 * time.Millisecond}

// TestMain fixes the seed, so that each run gives the same verdict. A flag on
// the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// failer is the part of a test that the fleet needs.
type failer interface {
	Fatalf(format string, args ...any)
}

type node struct {
	state  *lease.State
	seat   lease.SeatID
	frozen bool
	dead   bool
	cut    map[lease.SeatID]bool
	noRows bool
	// stale members cannot fetch newer lists.
	stale bool
}

// fleet is a fleet of lease states with a network and a table that fail.
type fleet struct {
	t       failer
	delay   func() int
	now     time.Time
	nodes   map[lease.SeatID]*node
	roster  lease.Roster
	version lists.Version
	inForce map[lists.Version]time.Time
	joined  int
	owned   int
	events  []func()
	names   []string
	last    map[string]tenancy
	ended   map[tenancy]bool
}

type tenancy struct {
	name   string
	seat   lease.SeatID
	tenure lease.Term
}

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{t: t, delay: func() int { return rapid.IntRange(0, 4).Draw(t, "delay") }, now: time.Unix(1000, 0), nodes: map[lease.SeatID]*node{}, inForce: map[lists.Version]time.Time{}, last: map[string]tenancy{}, ended: map[tenancy]bool{}}
	f.roster.Epoch = 1
	salt := rapid.IntRange(0, 1000).Draw(t, "salt")
	for i := range 12 {
		f.names = append(f.names, fmt.Sprintf("quota/w%d-%d", i, salt))
	}
	for range n {
		f.add()
	}
	return f
}

func (f *fleet) add() lease.SeatID {
	f.joined++
	seat := lease.SeatID(fmt.Sprintf("s%d", f.joined))
	s := lease.New(config)
	s.TakeSeat(seat, f.now, 0)
	f.nodes[seat] = &node{state: s, seat: seat, cut: map[lease.SeatID]bool{}}
	f.roster.Members = append(append([]lease.Member(nil), f.roster.Members...), lease.Member{Seat: seat})
	return seat
}

func (f *fleet) live(seat lease.SeatID) *node {
	n := f.nodes[seat]
	if n == nil || n.dead || n.frozen {
		return nil
	}
	return n
}

// ping sends a ping from a to b; both ways may be slow.
func (f *fleet) ping(a, b *node, delay int) {
	at := f.now
	if a.cut[b.seat] || b.cut[a.seat] {
		return
	}
	f.later(delay, func() {
		if b.dead {
			return
		}
		if b.frozen {
			return
		}
		f.learn(a, b)
		r, ok := b.state.AnswerPing(a.seat, f.now)
		if !ok {
			return
		}
		f.later(delay, func() {
			if !a.dead && !a.frozen {
				a.state.RecordReply(r, at, f.now)
			}
		})
	})
}

// learn lets both ends of a connection move to the newer roster and version.
func (f *fleet) learn(a, b *node) {
	if a.dead || a.frozen {
		return
	}
	a.state.InstallRoster(b.state.Roster(), f.now)
	b.state.InstallRoster(a.state.Roster(), f.now)
	if !b.stale {
		b.state.InstallLists(a.state.InstalledLists())
	}
}

func (f *fleet) later(steps int, g func()) {
	due := f.now.Add(time.Duration(steps) * step)
	f.events = append(f.events, f.wait(due, g))
}

func (f *fleet) wait(due time.Time, g func()) func() {
	return func() {
		if !f.now.Before(due) {
			g()
			return
		}
		f.events = append(f.events, f.wait(due, g))
	}
}

func (f *fleet) tick(i int) {
	f.now = f.now.Add(step)
	due := f.events
	f.events = nil
	for _, e := range due {
		e()
	}
	for _, m := range f.roster.Members {
		a := f.live(m.Seat)
		if a == nil || i%int(interval/step) != 0 {
			continue
		}
		if !a.noRows {
			a.state.InstallRoster(f.roster, f.now)
			if !a.stale {
				a.state.InstallLists(f.version)
			}
			a.state.RecordTableRead(f.now, f.version)
		}
		for _, o := range f.roster.Members {
			if b := f.nodes[o.Seat]; b != nil && b != a {
				f.ping(a, b, f.delay())
			}
		}
	}
	f.check()
}

// check holds the two promises: one owner a name, and nobody acts on lists
// that were replaced in force more than one lease ago.
func (f *fleet) check() {
	for _, name := range f.names {
		var owners []lease.SeatID
		for _, n := range f.nodes {
			if f.owns(n, name) {
				owners = append(owners, n.seat)
			}
		}
		if len(owners) > 1 {
			f.t.Fatalf("%s has owners %v", name, owners)
		}
		f.owned += len(owners)
	}
	f.checkVersions()
}

func (f *fleet) owns(n *node, name string) bool {
	if n.dead || n.frozen {
		return false
	}
	t, ok := n.state.Owns(name, f.now)
	if ok {
		f.checkTenure(tenancy{name: name, seat: n.seat, tenure: t})
	}
	return ok
}

// checkTenure holds that no tenure goes on after another owner's.
func (f *fleet) checkTenure(t tenancy) {
	last := f.last[t.name]
	if last == t {
		return
	}
	if f.ended[t] {
		f.t.Fatalf("%v goes on after %v", t, last)
	}
	f.ended[last] = true
	f.last[t.name] = t
}

func (f *fleet) checkVersions() {
	for v := lists.Version(1); v <= f.version; v++ {
		if _, ok := f.inForce[v]; !ok && f.acknowledged(v) {
			f.inForce[v] = f.now
		}
		at, ok := f.inForce[v]
		if !ok || f.now.Sub(at) < duration {
			continue
		}
		for _, n := range f.nodes {
			if !n.dead && !n.frozen && n.state.InstalledLists() < v && n.state.Serving(f.now) {
				f.t.Fatalf("%s serves version %d, %d is in force", n.seat, n.state.InstalledLists(), v)
			}
		}
	}
}

func (f *fleet) acknowledged(v lists.Version) bool {
	n := 0
	for _, m := range f.roster.Members {
		if x := f.nodes[m.Seat]; x.state.InstalledLists() >= v {
			n++
		}
	}
	return n >= f.roster.Majority()
}

func (f *fleet) change(t *rapid.T) {
	op := rapid.SampledFrom([]string{"freeze", "thaw", "cut", "heal", "kill", "store", "lists", "join", "leave", "purge", "none", "none"}).Draw(t, "op")
	seat := rapid.SampledFrom(f.roster.Members).Draw(t, "member").Seat
	n := f.nodes[seat]
	other := rapid.SampledFrom(f.roster.Members).Draw(t, "other").Seat
	switch op {
	case "freeze":
		n.frozen = true
	case "thaw":
		n.frozen = false
	case "cut":
		n.cut[other] = true
	case "heal":
		n.cut = map[lease.SeatID]bool{}
	case "kill":
		n.dead = true
	case "store":
		n.noRows = !n.noRows
	case "lists":
		f.version++
	default:
		f.succeed(op, n)
	}
}

// succeed makes the next roster the way the fleet package does: only after a
// majority is known to be at the present one.
func (f *fleet) succeed(op string, n *node) {
	gone := map[lease.SeatID]bool{}
	for s, x := range f.nodes {
		gone[s] = x.dead
	}
	if n.dead || n.frozen || n.noRows || n.state.Roster().Epoch != f.roster.Epoch || !n.state.MajorityAtEpoch(gone) {
		return
	}
	next := lease.Roster{Epoch: f.roster.Epoch + 1, Members: append([]lease.Member(nil), f.roster.Members...)}
	switch op {
	case "join":
		f.roster = next
		f.add()
	case "leave":
		for i := range next.Members {
			if next.Members[i].Seat == n.seat {
				next.Members[i].Leaving = true
			}
		}
		f.roster = next
	case "purge":
		var kept []lease.Member
		for _, m := range next.Members {
			if !gone[m.Seat] {
				kept = append(kept, m)
			}
		}
		next.Members = kept
		next.Purged = true
		f.roster = next
	}
}

func TestAtMostOneOwnerUnderFaults(t *testing.T) {
	owned := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 7).Draw(t, "size"))
		for i := range 400 {
			f.tick(i)
			if i%20 == 19 {
				f.change(t)
			}
		}
		owned += f.owned
	})
	if owned == 0 {
		t.Fatal("no name was ever owned")
	}
}

func run(f *fleet, from, steps int) {
	for i := from; i < from+steps; i++ {
		f.tick(i)
	}
}

func TestOwnerDeathMovesOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5)
		run(f, 0, 100)
		owner, _ := f.nodes["s1"].state.Owner(f.names[0], f.now)
		f.nodes[owner.Seat].dead = true
		run(f, 100, 100)
		if n := f.ownersOf(f.names[0]); len(n) != 1 || n[0] == owner.Seat {
			t.Fatalf("owners five seconds after the death of %s: %v", owner.Seat, n)
		}
	})
}

func (f *fleet) ownersOf(name string) []lease.SeatID {
	var owners []lease.SeatID
	for _, n := range f.nodes {
		if f.owns(n, name) {
			owners = append(owners, n.seat)
		}
	}
	return owners
}

func TestMinorityStopsAndMajorityServesWithoutTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5)
		run(f, 0, 100)
		for _, n := range f.nodes {
			n.noRows = true
			for _, o := range []lease.SeatID{"s1", "s2"} {
				if n.seat != "s1" && n.seat != "s2" {
					n.cut[o] = true
				}
			}
		}
		run(f, 100, 100)
		for seat, n := range f.nodes {
			minority := seat == "s1" || seat == "s2"
			if n.state.Serving(f.now) == minority {
				t.Fatalf("%s serving: %t", seat, !minority)
			}
		}
	})
}

// isolate cuts a member from the table and from every peer.
func (f *fleet) isolate(seat lease.SeatID) {
	n := f.nodes[seat]
	n.noRows = true
	for o := range f.nodes {
		n.cut[o] = true
	}
}

func (f *fleet) rejoin(seat lease.SeatID) {
	f.nodes[seat].noRows = false
	f.nodes[seat].cut = map[lease.SeatID]bool{}
}

func TestReturningOwnerDoesNotOverlapItsSuccessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5)
		run(f, 0, 60)
		owner, _ := f.nodes["s1"].state.Owner(f.names[0], f.now)
		f.isolate(owner.Seat)
		away := rapid.IntRange(40, 120).Draw(t, "steps away")
		run(f, 60, away)
		f.rejoin(owner.Seat)
		run(f, 60+away, 240)
		if n := f.ownersOf(f.names[0]); len(n) != 1 || n[0] != owner.Seat {
			t.Fatalf("owners after %s came back: %v", owner.Seat, n)
		}
	})
}

func TestNewMemberWaitsForAnIsolatedOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5)
		run(f, 0, 60)
		owner, _ := f.nodes["s1"].state.Owner(f.names[0], f.now)
		f.isolate(owner.Seat)
		for range rapid.IntRange(1, 2).Draw(t, "joins") {
			run(f, 60, rapid.IntRange(0, 20).Draw(t, "steps"))
			if seat := f.liveSeat(owner.Seat); f.nodes[seat].state.MajorityAtEpoch(nil) {
				f.succeed("join", f.nodes[seat])
			}
		}
		run(f, 60, 100)
	})
}

func (f *fleet) liveSeat(except lease.SeatID) lease.SeatID {
	for _, m := range f.roster.Members {
		if m.Seat != except && f.live(m.Seat) != nil {
			return m.Seat
		}
	}
	return except
}

func TestInstanceWithoutTableStopsOnOldLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5)
		run(f, 0, 60)
		f.nodes["s1"].noRows = rapid.Bool().Draw(t, "no table")
		f.nodes["s1"].stale = true
		run(f, 60, rapid.IntRange(0, 60).Draw(t, "steps"))
		f.version++
		run(f, 60, 150)
		if f.nodes["s1"].state.Serving(f.now) {
			t.Fatal("s1 serves lists that were replaced")
		}
	})
}
