package lists

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gentiangauge.example/gentiangauge/finding"
)

// Codes of findings in the lists.
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

// File is one list as the operator wrote it.
type File struct {
	Name string
	Data []byte
}

type reader struct {
	findings finding.List
	state    *State
}

// Parse reads the list of plans and the list of uses. The error is a
// finding.List that holds every fault of both files.
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

func (r *reader) name(file string, s finding.Section, kind string) (string, bool) {
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
	name, ok := r.name(file, s, "workspace")
	if !ok {
		return
	}
	r.onlyKeys(file, s, "plan")
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
	name, ok := r.name(file, s, "plan")
	if !ok {
		return
	}
	r.onlyKeys(file, s, "rate-tokens-per-second", "burst-tokens", "adapter")
	p := Plan{ID: PlanID(name), Adapters: map[string][]string{}}
	p.Rate = TokensPerSecond(r.number(file, s, "rate-tokens-per-second"))
	p.Burst = Tokens(r.number(file, s, "burst-tokens"))
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

func (r *reader) number(file string, s finding.Section, key string) int64 {
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

func (r *reader) onlyKeys(file string, s finding.Section, allowed ...string) {
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

// FormatPlans writes the list of plans in its one canonical form.
func FormatPlans(s *State) []byte {
	var b strings.Builder
	for i, w := range sortedKeys(s.Workspaces) {
		separate(&b, i)
		fmt.Fprintf(&b, "[workspace %s]\nplan = %s\n", w, s.Workspaces[w])
	}
	return []byte(b.String())
}

// FormatUses writes the list of uses in its one canonical form.
func FormatUses(s *State) []byte {
	var b strings.Builder
	for i, id := range sortedKeys(s.Plans) {
		p := s.Plans[id]
		separate(&b, i)
		fmt.Fprintf(&b, "[plan %s]\nrate-tokens-per-second = %d\nburst-tokens = %d\n", id, p.Rate, p.Burst)
		for _, a := range p.AllowedAdapters() {
			fmt.Fprintf(&b, "adapter = %s\n", a)
		}
	}
	return []byte(b.String())
}

func separate(b *strings.Builder, i int) {
	if i > 0 {
		b.WriteByte('\n')
	}
}
