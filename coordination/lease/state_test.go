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
	step         = 50 * time.Millisecond
	pingInterval = 500 * time.Millisecond
	duration     = 2500 * time.Millisecond
)

var config = lease.Config{Duration: duration, SuspicionTimeout: 1500 * time.Millisecond}

// TestMain fixes the seed of rapid, so that every run draws the same cases. The flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

type node struct {
	state     *lease.State
	seat      lease.SeatID
	frozen    bool
	dead      bool
	cutFrom   map[lease.SeatID]bool
	tableDown bool
	// stale members do not receive newer lists.
	stale bool
}

// fleet simulates the members of a fleet, the network between them and the table, all of
// which can fail.
type fleet struct {
	t       fataler
	delay   func() int
	now     time.Time
	nodes   map[lease.SeatID]*node
	roster  lease.Roster
	version lists.Version
	// installedByMajority is the instant at which a majority first installed a version.
	installedByMajority map[lists.Version]time.Time
	joined              int
	// ownedCount counts the names that had an owner, over all steps.
	ownedCount int
	pending    []func()
	names      []string
	lastTerm   map[string]ownerTerm
	endedTerms map[ownerTerm]bool
}

// ownerTerm is a term of one owner of a name.
type ownerTerm struct {
	name string
	seat lease.SeatID
	term lease.Term
}

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{t: t, delay: func() int { return rapid.IntRange(0, 4).Draw(t, "delay") }, now: time.Unix(1000, 0), nodes: map[lease.SeatID]*node{}, installedByMajority: map[lists.Version]time.Time{}, lastTerm: map[string]ownerTerm{}, endedTerms: map[ownerTerm]bool{}}
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
	f.nodes[seat] = &node{state: s, seat: seat, cutFrom: map[lease.SeatID]bool{}}
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

// ping sends a ping from a to b. The ping and the reply take delay steps each.
func (f *fleet) ping(a, b *node, delay int) {
	at := f.now
	if a.cutFrom[b.seat] || b.cutFrom[a.seat] {
		return
	}
	f.schedule(delay, func() {
		if b.dead {
			return
		}
		if b.frozen {
			return
		}
		f.syncNewer(a, b)
		r, ok := b.state.AnswerPing(a.seat, f.now)
		if !ok {
			return
		}
		f.schedule(delay, func() {
			if !a.dead && !a.frozen {
				a.state.RecordReply(r, at, f.now)
			}
		})
	})
}

// syncNewer installs the newer roster on both ends of a connection, and the lists of a on
// b unless b is stale.
func (f *fleet) syncNewer(a, b *node) {
	if a.dead || a.frozen {
		return
	}
	a.state.InstallRoster(b.state.Roster(), f.now)
	b.state.InstallRoster(a.state.Roster(), f.now)
	if !b.stale {
		b.state.InstallLists(a.state.InstalledLists())
	}
}

func (f *fleet) schedule(steps int, g func()) {
	due := f.now.Add(time.Duration(steps) * step)
	f.pending = append(f.pending, f.runAt(due, g))
}

// runAt returns a function that runs g from the instant due on, and until then schedules
// itself for the next step.
func (f *fleet) runAt(due time.Time, g func()) func() {
	return func() {
		if !f.now.Before(due) {
			g()
			return
		}
		f.pending = append(f.pending, f.runAt(due, g))
	}
}

func (f *fleet) tick(i int) {
	f.now = f.now.Add(step)
	due := f.pending
	f.pending = nil
	for _, e := range due {
		e()
	}
	for _, m := range f.roster.Members {
		a := f.live(m.Seat)
		if a == nil || i%int(pingInterval/step) != 0 {
			continue
		}
		if !a.tableDown {
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

// check fails the test if a name has two owners, or if a member serves with lists more
// than one lease duration after a majority installed newer ones.
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
		f.ownedCount += len(owners)
	}
	f.checkVersions()
}

func (f *fleet) owns(n *node, name string) bool {
	if n.dead || n.frozen {
		return false
	}
	t, ok := n.state.Owns(name, f.now)
	if ok {
		f.checkTerm(ownerTerm{name: name, seat: n.seat, term: t})
	}
	return ok
}

// checkTerm fails the test if a term continues after the term of another owner.
func (f *fleet) checkTerm(t ownerTerm) {
	last := f.lastTerm[t.name]
	if last == t {
		return
	}
	if f.endedTerms[t] {
		f.t.Fatalf("term %v continues after term %v", t, last)
	}
	f.endedTerms[last] = true
	f.lastTerm[t.name] = t
}

func (f *fleet) checkVersions() {
	for v := lists.Version(1); v <= f.version; v++ {
		if _, ok := f.installedByMajority[v]; !ok && f.majorityInstalled(v) {
			f.installedByMajority[v] = f.now
		}
		at, ok := f.installedByMajority[v]
		if !ok || f.now.Sub(at) < duration {
			continue
		}
		for _, n := range f.nodes {
			if !n.dead && !n.frozen && n.state.InstalledLists() < v && n.state.Serving(f.now) {
				f.t.Fatalf("%s serves version %d more than one lease duration after a majority installed version %d", n.seat, n.state.InstalledLists(), v)
			}
		}
	}
}

func (f *fleet) majorityInstalled(v lists.Version) bool {
	n := 0
	for _, m := range f.roster.Members {
		if x := f.nodes[m.Seat]; x.state.InstalledLists() >= v {
			n++
		}
	}
	return n >= f.roster.Majority()
}

func (f *fleet) applyRandomFault(t *rapid.T) {
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
		n.cutFrom[other] = true
	case "heal":
		n.cutFrom = map[lease.SeatID]bool{}
	case "kill":
		n.dead = true
	case "store":
		n.tableDown = !n.tableDown
	case "lists":
		f.version++
	default:
		f.changeRoster(op, n)
	}
}

// changeRoster writes the next roster like the fleet package: only after a majority is
// known to be at the present epoch.
func (f *fleet) changeRoster(op string, n *node) {
	ended := map[lease.SeatID]bool{}
	for s, x := range f.nodes {
		ended[s] = x.dead
	}
	if n.dead || n.frozen || n.tableDown || n.state.Roster().Epoch != f.roster.Epoch || !n.state.MajorityAtEpoch(ended) {
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
			if !ended[m.Seat] {
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
				f.applyRandomFault(t)
			}
		}
		owned += f.ownedCount
	})
	if owned == 0 {
		t.Fatal("no name had an owner in any run")
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
			t.Fatalf("owners five seconds after %s failed: %v", owner.Seat, n)
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
			n.tableDown = true
			for _, o := range []lease.SeatID{"s1", "s2"} {
				if n.seat != "s1" && n.seat != "s2" {
					n.cutFrom[o] = true
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

// isolate disconnects a member from the table and from every peer.
func (f *fleet) isolate(seat lease.SeatID) {
	n := f.nodes[seat]
	n.tableDown = true
	for o := range f.nodes {
		n.cutFrom[o] = true
	}
}

func (f *fleet) rejoin(seat lease.SeatID) {
	f.nodes[seat].tableDown = false
	f.nodes[seat].cutFrom = map[lease.SeatID]bool{}
}

func TestReturningOwnerDoesNotOverlapItsSuccessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5)
		run(f, 0, 60)
		owner, _ := f.nodes["s1"].state.Owner(f.names[0], f.now)
		f.isolate(owner.Seat)
		isolated := rapid.IntRange(40, 120).Draw(t, "steps away")
		run(f, 60, isolated)
		f.rejoin(owner.Seat)
		run(f, 60+isolated, 240)
		if n := f.ownersOf(f.names[0]); len(n) != 1 || n[0] != owner.Seat {
			t.Fatalf("owners after %s rejoined: %v", owner.Seat, n)
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
				f.changeRoster("join", f.nodes[seat])
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

func TestInstanceWithoutTableStopsServingStaleLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5)
		run(f, 0, 60)
		f.nodes["s1"].tableDown = rapid.Bool().Draw(t, "no table")
		f.nodes["s1"].stale = true
		run(f, 60, rapid.IntRange(0, 60).Draw(t, "steps"))
		f.version++
		run(f, 60, 150)
		if f.nodes["s1"].state.Serving(f.now) {
			t.Fatal("s1 serves stale lists")
		}
	})
}
