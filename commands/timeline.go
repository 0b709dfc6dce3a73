package commands

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"gentiangauge.example/gentiangauge/coordination/lease"
)

func init() {
	register(&cli.Command{
		Name:  "timeline",
		Usage: "show the events of all instances in the order of their clocks",
		Flags: []cli.Flag{
			optionalTableFlag, operatorsFlag, outputFlag,
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.StringFlag{Name: "workspace", Usage: "only events of this workspace"},
			&cli.StringFlag{Name: "adapter", Usage: "only events of this adapter"},
			&cli.StringFlag{Name: "upstream", Usage: "only events of this upstream"},
			&cli.StringFlag{Name: "part", Usage: "only events of this part"},
			&cli.BoolFlag{Name: "follow", Usage: "go on with new events until interrupted"},
		},
		Action: showTimeline,
	})
}

// timelineEvent is an event of an instance. Wall, Logical, Process and Sequence are its
// hybrid logical timestamp with the tie-breakers.
type timelineEvent struct {
	Wall      int64  `json:"wall-microseconds"`
	Logical   int64  `json:"logical"`
	Process   string `json:"process"`
	Sequence  uint64 `json:"sequence"`
	Part      string `json:"part"`
	Kind      string `json:"kind"`
	Request   string `json:"request,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

// timelineResponse is the response of one instance. Next is the sequence number to read
// on from; Lost counts events that were overwritten before they were read.
type timelineResponse struct {
	Events []timelineEvent `json:"events"`
	Next   uint64          `json:"next"`
	Lost   uint64          `json:"lost"`
}

type timelineOutput struct {
	Events      []timelineEvent   `json:"events"`
	Lost        map[string]uint64 `json:"lost,omitempty"`
	Unreachable []string          `json:"silent,omitempty"`
}

// timelineReader reads the events of every instance, each from the position at which the
// previous read ended. next is keyed by operator address.
type timelineReader struct {
	members []lease.Member
	next    map[string]uint64
}

const followInterval = 500 * time.Millisecond

func showTimeline(c context.Context, k *cli.Command) error {
	r, err := findMembers(c, k)
	if err != nil {
		return err
	}
	reader := &timelineReader{members: r.Members, next: map[string]uint64{}}
	for {
		m := reader.read(c)
		if len(m.Unreachable) == len(r.Members) {
			return errNoInstanceReachable
		}
		m.Events = slices.DeleteFunc(m.Events, func(e timelineEvent) bool { return !matchesFilters(k, e) })
		if err := writeOutput(k, m, m.print); err != nil || !k.Bool("follow") {
			return err
		}
		if clock.Wait(c, followInterval) != nil {
			return nil
		}
	}
}

// read fetches the new events of all members and returns them in the order of their
// timestamps.
func (r *timelineReader) read(c context.Context) timelineOutput {
	responses := make([]timelineResponse, len(r.members))
	errs := make([]error, len(r.members))
	var w sync.WaitGroup
	for i, m := range r.members {
		w.Go(func() {
			url := fmt.Sprintf("http://%s/v1/events?since=%d", m.Operator, r.next[m.Operator])
			errs[i] = getJSON(c, url, &responses[i])
		})
	}
	w.Wait()
	out := timelineOutput{Events: []timelineEvent{}, Lost: map[string]uint64{}}
	for i, m := range r.members {
		if errs[i] != nil {
			out.Unreachable = append(out.Unreachable, m.Instance)
			continue
		}
		r.next[m.Operator] = responses[i].Next
		out.Events = append(out.Events, responses[i].Events...)
		if responses[i].Lost > 0 {
			out.Lost[m.Instance] = responses[i].Lost
		}
	}
	slices.SortStableFunc(out.Events, compareEvents)
	return out
}

// compareEvents orders events by hybrid logical time, then by process and sequence.
func compareEvents(a, b timelineEvent) int {
	return cmp.Or(cmp.Compare(a.Wall, b.Wall), cmp.Compare(a.Logical, b.Logical), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
}

// matchesFilters reports whether an event passes the filters of the command line. The
// request filter matches a prefix, the others the whole value.
func matchesFilters(k *cli.Command, e timelineEvent) bool {
	if v := k.String("request"); v != "" && !strings.HasPrefix(e.Request, v) {
		return false
	}
	fields := map[string]string{"workspace": e.Workspace, "adapter": e.Adapter, "upstream": e.Upstream, "part": e.Part}
	for name, value := range fields {
		if v := k.String(name); v != "" && v != value {
			return false
		}
	}
	return true
}

func (m timelineOutput) print(w io.Writer) {
	for name, n := range m.Lost {
		fmt.Fprintf(w, "lost: %d older events of %s were overwritten\n", n, name)
	}
	for _, name := range m.Unreachable {
		fmt.Fprintf(w, "silent: %s does not answer\n", name)
	}
	for _, e := range m.Events {
		fmt.Fprintln(w, eventLine(e))
	}
}

func eventLine(e timelineEvent) string {
	parts := []string{time.UnixMicro(e.Wall).UTC().Format("2006-01-02T15:04:05.000000Z"), e.Process, e.Part, e.Kind}
	for _, f := range []struct{ name, value string }{
		{"request", e.Request}, {"workspace", e.Workspace}, {"adapter", e.Adapter}, {"upstream", e.Upstream},
	} {
		if f.value != "" {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(parts, " ")
}
