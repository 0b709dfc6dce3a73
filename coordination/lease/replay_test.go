package lease_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/state/lists"
)

// TestTracesMatchGoldenFiles replays fault traces on a fleet with a constant network
// delay and compares the owner of a name and the serving members over time with the
// golden file of the trace.
func TestTracesMatchGoldenFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/traces"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".trace")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			r := &replayer{t: t, last: map[string]string{}}
			for _, line := range strings.Split(string(data), "\n") {
				if line != "" && !strings.HasPrefix(line, "#") {
					r.step(strings.Fields(line))
				}
			}
			g.Assert(t, name, []byte(strings.Join(r.out, "\n")+"\n"))
		})
	}
}

// replayer runs one trace. Each line is an instant in milliseconds, an operation and its
// arguments.
type replayer struct {
	t     *testing.T
	fleet *fleet
	ticks int
	last  map[string]string
	out   []string
}

const ownedName = "quota/workspace"

func (r *replayer) step(fields []string) {
	at, err := strconv.Atoi(fields[0])
	if err != nil {
		r.t.Fatalf("bad instant %q", fields[0])
	}
	if fields[1] == "members" {
		n, _ := strconv.Atoi(fields[2])
		r.start(n)
		return
	}
	for r.ticks < at/int(step.Milliseconds()) {
		r.fleet.tick(r.ticks)
		r.ticks++
		r.recordChanges()
	}
	r.apply(fields[1], fields[2:])
}

func (r *replayer) start(n int) {
	f := &fleet{
		t: r.t, delay: func() int { return 1 }, now: time.Unix(1000, 0), nodes: map[lease.SeatID]*node{},
		installedByMajority: map[lists.Version]time.Time{}, lastTerm: map[string]ownerTerm{}, endedTerms: map[ownerTerm]bool{}, names: []string{ownedName},
	}
	f.roster.Epoch = 1
	for range n {
		f.add()
	}
	r.fleet = f
}

func (r *replayer) apply(op string, args []string) {
	f := r.fleet
	var seats []lease.SeatID
	for _, a := range args {
		if a == "owner" {
			o, _ := f.nodes[f.liveSeat("")].state.Owner(ownedName, f.now)
			a = string(o.Seat)
		}
		seats = append(seats, lease.SeatID(a))
	}
	r.out = append(r.out, fmt.Sprintf("%6d -- %s %v", r.ticks*int(step.Milliseconds()), op, seats))
	for _, s := range seats {
		n := f.nodes[s]
		switch op {
		case "isolate":
			f.isolate(s)
		case "rejoin":
			f.rejoin(s)
		case "kill":
			n.dead = true
		case "freeze", "thaw":
			n.frozen = op == "freeze"
		case "table":
			n.tableDown = !n.tableDown
		case "join", "leave", "purge":
			f.changeRoster(op, n)
		}
	}
	if op == "lists" {
		f.version++
	}
}

// recordChanges adds what changed in this step to the output.
func (r *replayer) recordChanges() {
	f := r.fleet
	var serving []string
	for _, m := range f.roster.Members {
		if n := f.live(m.Seat); n != nil && n.state.Serving(f.now) {
			serving = append(serving, string(m.Seat))
		}
	}
	slices.Sort(serving)
	r.recordChange("owner", fmt.Sprint(f.ownersOf(ownedName)))
	r.recordChange("serving", fmt.Sprint(serving))
}

func (r *replayer) recordChange(what, value string) {
	if r.last[what] != value {
		r.last[what] = value
		r.out = append(r.out, fmt.Sprintf("%6d %s %s", r.ticks*int(step.Milliseconds()), what, value))
	}
}
