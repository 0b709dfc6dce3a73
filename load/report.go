package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gentiangauge.example/gentiangauge/state/bucket"
	"gentiangauge.example/gentiangauge/state/lists"
)

// The histograms record microseconds from minRecordable to maxRecordable; values outside are
// clamped.
const (
	minRecordable     = 1
	maxRecordable     = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	tailPercentile    = 99
)

type histogram struct {
	*hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{hdrhistogram.New(minRecordable, maxRecordable, significantDigits)}
}

func (h histogram) record(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minRecordable), maxRecordable))
}

func (h histogram) percentile(p float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
}

// WorkspaceReport contains the results of one workspace.
type WorkspaceReport struct {
	ID       lists.WorkspaceID
	Sent     int
	Answered int
	// P99 is the 99th percentile of the time from the due time to the end of the answer.
	P99 time.Duration
	// RefusedWithinRate and RefusedOverRate count the requests without a complete answer,
	// by whether the workspace was within its rate.
	RefusedWithinRate int
	RefusedOverRate   int
}

// Report contains the measurements of a run.
type Report struct {
	Preset   string
	Seed     uint64
	Sent     int
	Answered int
	// Truncated is the number of requests whose connection failed or whose answer ended
	// early.
	Truncated int
	// ErrorCodes counts the requests without a complete answer by their code.
	ErrorCodes map[string]int
	Workspaces []WorkspaceReport
	// WorstServed is the id of the workspace with the highest P99.
	WorstServed string
	// LoadStalls is the number of answered requests that waited for an adapter load.
	LoadStalls     int
	LoadStallTotal time.Duration
	LoadStallP99   time.Duration
	// The times to first token count from the due time of a request.
	FirstTokenP50 time.Duration
	FirstTokenP95 time.Duration
	FirstTokenP99 time.Duration
	InterTokenP95 time.Duration
	// RefusedWithinRate is the sum of WorkspaceReport.RefusedWithinRate.
	RefusedWithinRate int
	// RequestsPerStep and AdaptersPerStep are the mean batch sizes, averaged over every
	// decoding step of every running request.
	RequestsPerStep float64
	AdaptersPerStep float64
	// Loads is the number of adapter loads on all engines.
	Loads int64
	// EvictedInUse is the number of adapters that were unloaded while requests used them.
	EvictedInUse int64
	// Violations describes each observed violation of a guarantee.
	Violations []string

	marks   []Mark
	results []result
	warmUp  time.Duration
}

// report computes the report from the results and the counts of the engines.
func (r *Runner) report(e engineCounts) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.results, func(a, b result) int { return int(a.arrival.Due - b.arrival.Due) })
	out := &Report{
		Preset: r.options.Preset.Name, Seed: r.options.Seed, ErrorCodes: map[string]int{}, Loads: e.Loads, EvictedInUse: e.EvictedInUse,
		marks: r.options.Marks, results: r.results, warmUp: r.options.WarmUp,
	}
	if e.Steps > 0 {
		out.RequestsPerStep = float64(e.StepRequests) / float64(e.Steps)
		out.AdaptersPerStep = float64(e.StepAdapters) / float64(e.Steps)
	}
	if e.EvictedInUse > 0 {
		out.Violations = append(out.Violations, fmt.Sprintf("%d adapters were evicted while in use", e.EvictedInUse))
	}
	if e.KeysSeen > 0 {
		out.Violations = append(out.Violations, fmt.Sprintf("engines saw keys in %d requests", e.KeysSeen))
	}
	out.computeLatencies()
	out.addWorkspaces(r.options.Preset)
	return out
}

// computeLatencies counts the results and computes the percentiles over all workspaces.
func (o *Report) computeLatencies() {
	first, stall, token := newHistogram(), newHistogram(), newHistogram()
	for _, x := range o.results {
		o.Sent++
		if x.truncated {
			o.Truncated++
		}
		if x.violation != "" {
			o.Violations = append(o.Violations, x.violation)
		}
		if !x.ok() {
			o.ErrorCodes[x.code]++
			continue
		}
		o.Answered++
		first.record(x.firstToken)
		for _, d := range x.tokenGaps {
			token.record(d)
		}
		if x.loadWait > 0 {
			o.LoadStalls++
			o.LoadStallTotal += x.loadWait
			stall.record(x.loadWait)
		}
	}
	const median, highPercentile = 50, 95
	o.FirstTokenP50, o.FirstTokenP95, o.FirstTokenP99 = first.percentile(median), first.percentile(highPercentile), first.percentile(tailPercentile)
	o.InterTokenP95 = token.percentile(highPercentile)
	if o.LoadStalls > 0 {
		o.LoadStallP99 = stall.percentile(tailPercentile)
	}
}

// addWorkspaces computes the report of each workspace and the fields derived from them.
func (o *Report) addWorkspaces(p Preset) {
	worstP99 := time.Duration(0)
	for i, w := range p.Workspaces {
		x := o.workspaceReport(i, w)
		o.Workspaces = append(o.Workspaces, x)
		o.RefusedWithinRate += x.RefusedWithinRate
		if x.P99 > worstP99 {
			worstP99 = x.P99
			o.WorstServed = string(w.ID)
		}
	}
}

// workspaceReport computes the report of the workspace with index i. It classifies refusals
// with a token bucket of the plan, from which the answered requests take the tokens that they
// used.
func (o *Report) workspaceReport(i int, w Workspace) WorkspaceReport {
	out := WorkspaceReport{ID: w.ID}
	h := newHistogram()
	start := time.Unix(0, 0)
	b := bucket.New(w.Rate, w.Burst, float64(w.Burst), start)
	for n, x := range o.results {
		if x.arrival.Workspace != i {
			continue
		}
		out.Sent++
		now := start.Add(x.arrival.Due)
		need := lists.Tokens(x.arrival.PromptTokens + x.arrival.OutputTokens)
		switch {
		case x.ok():
			out.Answered++
			h.record(x.total)
			b.Reserve(bucket.RequestID(fmt.Sprint(n)), lists.Tokens(x.usedTokens), now)
		case b.Level(now) >= float64(need):
			out.RefusedWithinRate++
		default:
			out.RefusedOverRate++
		}
	}
	if out.Answered > 0 {
		out.P99 = h.percentile(tailPercentile)
	}
	return out
}

type workspaceMessage struct {
	ID            string  `json:"workspace"`
	Sent          int     `json:"sent"`
	Answered      int     `json:"answered"`
	P99           float64 `json:"p99-milliseconds"`
	RefusedWithin int     `json:"refused-within-rate"`
	RefusedOver   int     `json:"refused-over-rate"`
}

type reportMessage struct {
	Preset        string             `json:"preset"`
	Seed          uint64             `json:"seed"`
	Sent          int                `json:"sent"`
	Answered      int                `json:"answered"`
	Truncated     int                `json:"cut"`
	ErrorCodes    map[string]int     `json:"codes"`
	Workspaces    []workspaceMessage `json:"workspaces"`
	WorstServed   string             `json:"worst-served-workspace"`
	Stalls        int                `json:"load-stalls"`
	StallTotal    float64            `json:"load-stall-total-milliseconds"`
	StallP99      float64            `json:"load-stall-p99-milliseconds"`
	FirstP50      float64            `json:"first-token-p50-milliseconds"`
	FirstP95      float64            `json:"first-token-p95-milliseconds"`
	FirstP99      float64            `json:"first-token-p99-milliseconds"`
	TokenP95      float64            `json:"between-tokens-p95-milliseconds"`
	RefusedWithin int                `json:"refused-within-rate"`
	BatchRequests float64            `json:"requests-a-step"`
	BatchAdapters float64            `json:"adapters-a-step"`
	Loads         int64              `json:"loads"`
	Violations    []string           `json:"broken-promises"`
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

// WriteJSON writes the report as indented JSON, with durations in milliseconds.
func (o *Report) WriteJSON(w io.Writer) error {
	m := reportMessage{
		Preset: o.Preset, Seed: o.Seed, Sent: o.Sent, Answered: o.Answered, Truncated: o.Truncated, ErrorCodes: o.ErrorCodes, WorstServed: o.WorstServed,
		Stalls: o.LoadStalls, StallTotal: milliseconds(o.LoadStallTotal), StallP99: milliseconds(o.LoadStallP99),
		FirstP50: milliseconds(o.FirstTokenP50), FirstP95: milliseconds(o.FirstTokenP95), FirstP99: milliseconds(o.FirstTokenP99),
		TokenP95: milliseconds(o.InterTokenP95), RefusedWithin: o.RefusedWithinRate, BatchRequests: o.RequestsPerStep, BatchAdapters: o.AdaptersPerStep,
		Loads: o.Loads, Violations: o.Violations, Workspaces: []workspaceMessage{},
	}
	for _, x := range o.Workspaces {
		m.Workspaces = append(m.Workspaces, workspaceMessage{
			ID: string(x.ID), Sent: x.Sent, Answered: x.Answered, P99: milliseconds(x.P99), RefusedWithin: x.RefusedWithinRate, RefusedOver: x.RefusedOverRate,
		})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(m)
}

// WriteTable writes the report as a plain-text table.
func (o *Report) WriteTable(w io.Writer) error {
	lines := []struct {
		name  string
		value string
	}{
		{"requests sent", fmt.Sprint(o.Sent)},
		{"answered", fmt.Sprint(o.Answered)},
		{"cut", fmt.Sprint(o.Truncated)},
		{"not answered, by code", fmt.Sprint(o.ErrorCodes)},
		{"refused within rate", fmt.Sprint(o.RefusedWithinRate)},
		{"load stalls", fmt.Sprintf("%d, total %s, p99 %s", o.LoadStalls, o.LoadStallTotal.Round(time.Millisecond), o.LoadStallP99.Round(time.Millisecond))},
		{"loads", fmt.Sprint(o.Loads)},
		{"first token p50, p95, p99", fmt.Sprintf("%s, %s, %s", o.FirstTokenP50.Round(time.Millisecond), o.FirstTokenP95.Round(time.Millisecond), o.FirstTokenP99.Round(time.Millisecond))},
		{"between tokens p95", o.InterTokenP95.Round(time.Microsecond).String()},
		{"requests, adapters a step", fmt.Sprintf("%.2f, %.2f", o.RequestsPerStep, o.AdaptersPerStep)},
		{"worst-served workspace", o.WorstServed},
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%-28s %s\n", l.name, l.value); err != nil {
			return err
		}
	}
	for _, x := range o.Workspaces {
		if _, err := fmt.Fprintf(w, "  %-26s sent %d, answered %d, p99 %s, refused within rate %d, over rate %d\n",
			x.ID, x.Sent, x.Answered, x.P99.Round(time.Millisecond), x.RefusedWithinRate, x.RefusedOverRate); err != nil {
			return err
		}
	}
	for _, b := range o.Violations {
		if _, err := fmt.Fprintf(w, "BROKEN: %s\n", b); err != nil {
			return err
		}
	}
	return nil
}
