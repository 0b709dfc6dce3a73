package lists

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gentiangauge.example/gentiangauge/finding"
)

// Codes of the findings that Parse reports.
const (
	CodeBadName             finding.Code = "bad-name"
	CodeBadNumber           finding.Code = "bad-number"
	CodeBadAdapter          finding.Code = "bad-adapter"
	CodeUnknownPlan         finding.Code = "unknown-plan"
	CodeDuplicateEntry      finding.Code = "duplicate-entry"
	CodeBurstUnderRate      finding.Code = "burst-under-rate"
	CodePlanWithoutAdapters finding.Code = "plan-without-uses"
)

const (
	maxNameBytes = 128
	maxNumber    = 1_000_000_000_000
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	numberPattern  = regexp.MustCompile(`^[1-9][0-9]*$`)
	adapterPattern = regexp.MustCompile(`^[a-z0-9]+([-._/][a-z0-9]+)*@[1-9][0-9]*$`)
)

// File is the source text of a list.
type File struct {
	Name string
	Data []byte
}

// reader builds a state from the parsed sections and collects findings.
type reader struct {
	findings finding.List
	state    *State
}

// Parse parses the list of plans, which assigns a plan to each workspace, and the list of
// uses, which defines the plans. The error is a finding.List with all faults of both files.
func Parse(plans, uses File) (*State, error) {
	r := &reader{state: Empty()}
	usesDoc, l := finding.Parse(uses.Name, uses.Data)
	r.findings = append(r.findings, l...)
	plansDoc, l := finding.Parse(plans.Name, plans.Data)
	r.findings = append(r.findings, l...)
	for _, s := range usesDoc.Sections {
		r.plan(uses.Name, s)
	}
	for _, s := range plansDoc.Sections {
		r.workspace(plans.Name, s)
	}
	if err := r.findings.Err(); err != nil {
		return nil, err
	}
	return r.state, nil
}

// sectionName returns NAME of a section [KIND NAME], and false after a finding.
func (r *reader) sectionName(file string, s finding.Section, kind string) (string, bool) {
	k, name, _ := strings.Cut(s.Name, " ")
	if k != kind {
		r.findings.Add(file, s.Line, finding.CodeUnknownSection, "section %q is not of the form [%s NAME]", s.Name, kind)
		return "", false
	}
	if !namePattern.MatchString(name) || len(name) > maxNameBytes {
		r.findings.Add(file, s.Line, CodeBadName, "name %q must consist of a-z and 0-9, joined by single hyphens", name)
		return "", false
	}
	return name, true
}

func (r *reader) workspace(file string, s finding.Section) {
	name, ok := r.sectionName(file, s, "workspace")
	if !ok {
		return
	}
	r.checkKeys(file, s, "plan")
	e, ok := s.Find("plan")
	if !ok {
		r.findings.Add(file, s.Line, finding.CodeMissingKey, "workspace %q has no key plan", name)
		return
	}
	if _, ok := r.state.Plans[PlanID(e.Value)]; !ok {
		r.findings.Add(file, e.Line, CodeUnknownPlan, "plan %q is not in the list of uses", e.Value)
		return
	}
	r.state.Workspaces[WorkspaceID(name)] = PlanID(e.Value)
}

func (r *reader) plan(file string, s finding.Section) {
	name, ok := r.sectionName(file, s, "plan")
	if !ok {
		return
	}
	r.checkKeys(file, s, "rate-tokens-per-second", "burst-tokens", "adapter")
	p := Plan{ID: PlanID(name), Adapters: map[string][]string{}}
	p.Rate = TokensPerSecond(r.positiveNumber(file, s, "rate-tokens-per-second"))
	p.Burst = Tokens(r.positiveNumber(file, s, "burst-tokens"))
	if p.Rate > 0 && p.Burst > 0 && int64(p.Burst) < int64(p.Rate) {
		r.findings.Add(file, s.LineOf("burst-tokens"), CodeBurstUnderRate, "burst-tokens is less than one second of the rate")
	}
	r.adapters(file, s, p)
	r.state.Plans[p.ID] = p
}

func (r *reader) adapters(file string, s finding.Section, p Plan) {
	for _, e := range s.Entries {
		if e.Key != "adapter" {
			continue
		}
		a := Adapter(e.Value)
		switch {
		case !adapterPattern.MatchString(e.Value) || len(e.Value) > maxNameBytes:
			r.findings.Add(file, e.Line, CodeBadAdapter, "adapter %q is not of the form NAME@VERSION", e.Value)
		case slices.Contains(p.Adapters[a.Name()], a.Version()):
			r.findings.Add(file, e.Line, CodeDuplicateEntry, "adapter %q appears twice", e.Value)
		default:
			p.allow(a)
		}
	}
	if len(p.Adapters) == 0 {
		r.findings.Add(file, s.Line, CodePlanWithoutAdapters, "plan %q has no adapter", p.ID)
	}
}

// positiveNumber returns the value of a key, or 0 after a finding.
func (r *reader) positiveNumber(file string, s finding.Section, key string) int64 {
	e, ok := s.Find(key)
	if !ok {
		r.findings.Add(file, s.Line, finding.CodeMissingKey, "key %q is missing", key)
		return 0
	}
	n, err := strconv.ParseInt(e.Value, 10, 64)
	if !numberPattern.MatchString(e.Value) || err != nil || n > maxNumber {
		r.findings.Add(file, e.Line, CodeBadNumber, "%s = %q must be a whole number above zero, written with the digits 0-9 only", key, e.Value)
		return 0
	}
	return n
}

// checkKeys reports unknown keys, and duplicates of all keys but adapter.
func (r *reader) checkKeys(file string, s finding.Section, allowed ...string) {
	seen := map[string]bool{}
	for _, e := range s.Entries {
		if !slices.Contains(allowed, e.Key) {
			r.findings.Add(file, e.Line, finding.CodeUnknownKey, "key %q is not known in section %q", e.Key, s.Name)
		}
		if seen[e.Key] && e.Key != "adapter" {
			r.findings.Add(file, e.Line, finding.CodeDuplicateKey, "key %q appears twice in section %q", e.Key, s.Name)
		}
		seen[e.Key] = true
	}
}

// FormatPlans returns the list of plans in canonical form.
func FormatPlans(s *State) []byte {
	var b strings.Builder
	for i, w := range sortedKeys(s.Workspaces) {
		writeSeparator(&b, i)
		fmt.Fprintf(&b, "[workspace %s]\nplan = %s\n", w, s.Workspaces[w])
	}
	return []byte(b.String())
}

// FormatUses returns the list of uses in canonical form.
func FormatUses(s *State) []byte {
	var b strings.Builder
	for i, id := range sortedKeys(s.Plans) {
		p := s.Plans[id]
		writeSeparator(&b, i)
		fmt.Fprintf(&b, "[plan %s]\nrate-tokens-per-second = %d\nburst-tokens = %d\n", id, p.Rate, p.Burst)
		for _, a := range p.AllowedAdapters() {
			fmt.Fprintf(&b, "adapter = %s\n", a)
		}
	}
	return []byte(b.String())
}

// writeSeparator writes an empty line before every section but the first.
func writeSeparator(b *strings.Builder, i int) {
	if i > 0 {
		b.WriteByte('\n')
	}
}
