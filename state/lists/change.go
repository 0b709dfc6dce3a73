package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

//go:generate go tool stringer -type=Action -linecomment -output=change_string.go

// Action is what a step of a change does.
type Action int

// Actions of steps.
const (
	PutPlan         Action = iota // put-plan
	DropPlan                      // drop-plan
	AllowAdapter                  // allow
	DisallowAdapter               // disallow
	PutWorkspace                  // put-workspace
	DropWorkspace                 // drop-workspace
	AddKey                        // give-key
	RevokeKey                     // withdraw-key
)

// Step is one line of a change.
type Step struct {
	Action    Action
	Plan      PlanID
	Rate      TokensPerSecond
	Burst     Tokens
	Adapter   Adapter
	Workspace WorkspaceID
	Key       KeyID
	Hash      string
}

// String formats the step for operators. It never shows a key's hash.
func (s Step) String() string {
	switch s.Action {
	case PutPlan:
		return fmt.Sprintf("%s %s rate-tokens-per-second=%d burst-tokens=%d", s.Action, s.Plan, s.Rate, s.Burst)
	case AllowAdapter, DisallowAdapter:
		return fmt.Sprintf("%s %s %s", s.Action, s.Plan, s.Adapter)
	case PutWorkspace:
		return fmt.Sprintf("%s %s plan=%s", s.Action, s.Workspace, s.Plan)
	case DropWorkspace:
		return fmt.Sprintf("%s %s", s.Action, s.Workspace)
	case AddKey:
		return fmt.Sprintf("%s %s workspace=%s", s.Action, s.Key, s.Workspace)
	case RevokeKey:
		return fmt.Sprintf("%s %s", s.Action, s.Key)
	default:
		return fmt.Sprintf("%s %s", s.Action, s.Plan)
	}
}

// Change is the set of steps that takes the lists to Version.
type Change struct {
	Version Version
	// ID is made by the client, so that it can find out whether a write with
	// a lost answer took effect.
	ID    string
	Steps []Step
}

// ErrVersionGap is returned when a change does not follow the state's version.
var ErrVersionGap = eris.New("change does not follow the installed version")

// Apply returns the state after the change.
func (s *State) Apply(c Change) (*State, error) {
	if c.Version != s.Version+1 {
		return nil, ErrVersionGap
	}
	n := s.clone()
	n.Version = c.Version
	own := map[PlanID]bool{}
	for _, step := range c.Steps {
		n.apply(step, own)
	}
	return n, nil
}

func (s *State) apply(step Step, own map[PlanID]bool) {
	switch step.Action {
	case PutPlan:
		p := s.ownPlan(step.Plan, own)
		p.ID, p.Rate, p.Burst = step.Plan, step.Rate, step.Burst
		s.Plans[step.Plan] = p
	case DropPlan:
		delete(s.Plans, step.Plan)
	case AllowAdapter:
		p := s.ownPlan(step.Plan, own)
		p.allow(step.Adapter)
		s.Plans[step.Plan] = p
	case DisallowAdapter:
		p := s.ownPlan(step.Plan, own)
		p.disallow(step.Adapter)
		s.Plans[step.Plan] = p
	case PutWorkspace:
		s.Workspaces[step.Workspace] = step.Plan
	case DropWorkspace:
		delete(s.Workspaces, step.Workspace)
	case AddKey:
		s.Keys[step.Key] = Key{ID: step.Key, Workspace: step.Workspace, Hash: step.Hash}
		s.byHash[step.Hash] = step.Key
	case RevokeKey:
		k := s.Keys[step.Key]
		k.Revoked = true
		s.Keys[step.Key] = k
	}
}

// ownPlan returns the plan with an adapter map that this state may write to.
func (s *State) ownPlan(id PlanID, own map[PlanID]bool) Plan {
	p := s.Plans[id]
	if own[id] {
		return p
	}
	own[id] = true
	p.ID = id
	p.Adapters = maps.Clone(p.Adapters)
	if p.Adapters == nil {
		p.Adapters = map[string][]string{}
	}
	return p
}

func (p Plan) allow(a Adapter) {
	versions := p.Adapters[a.Name()]
	if slices.Contains(versions, a.Version()) {
		return
	}
	versions = append(slices.Clone(versions), a.Version())
	slices.SortFunc(versions, compareVersions)
	p.Adapters[a.Name()] = versions
}

func (p Plan) disallow(a Adapter) {
	versions := slices.DeleteFunc(slices.Clone(p.Adapters[a.Name()]), func(v string) bool { return v == a.Version() })
	if len(versions) == 0 {
		delete(p.Adapters, a.Name())
		return
	}
	p.Adapters[a.Name()] = versions
}

// Diff returns the steps that take the plans and workspaces of s to those of
// t. Keys are left as they are.
func (s *State) Diff(t *State) []Step {
	var steps []Step
	for _, id := range sortedKeys(t.Plans) {
		steps = append(steps, planSteps(s.Plans[id], t.Plans[id])...)
	}
	for _, w := range sortedKeys(t.Workspaces) {
		if old, ok := s.Workspaces[w]; !ok || old != t.Workspaces[w] {
			steps = append(steps, Step{Action: PutWorkspace, Workspace: w, Plan: t.Workspaces[w]})
		}
	}
	for _, w := range sortedKeys(s.Workspaces) {
		if _, ok := t.Workspaces[w]; !ok {
			steps = append(steps, Step{Action: DropWorkspace, Workspace: w})
		}
	}
	for _, id := range sortedKeys(s.Plans) {
		if _, ok := t.Plans[id]; !ok {
			steps = append(steps, Step{Action: DropPlan, Plan: id})
		}
	}
	return steps
}

func planSteps(old, want Plan) []Step {
	var steps []Step
	if old.ID == "" || old.Rate != want.Rate || old.Burst != want.Burst {
		steps = append(steps, Step{Action: PutPlan, Plan: want.ID, Rate: want.Rate, Burst: want.Burst})
	}
	before, after := old.AllowedAdapters(), want.AllowedAdapters()
	for _, a := range after {
		if _, found := slices.BinarySearch(before, a); !found {
			steps = append(steps, Step{Action: AllowAdapter, Plan: want.ID, Adapter: a})
		}
	}
	for _, a := range before {
		if _, found := slices.BinarySearch(after, a); !found {
			steps = append(steps, Step{Action: DisallowAdapter, Plan: want.ID, Adapter: a})
		}
	}
	return steps
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// HashKey returns the form in which a key is stored.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

type storedStep struct {
	Action    string `json:"action"`
	Plan      string `json:"plan,omitempty"`
	Rate      int64  `json:"rate-tokens-per-second,omitempty"`
	Burst     int64  `json:"burst-tokens,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Key       string `json:"key,omitempty"`
	Hash      string `json:"hash,omitempty"`
}

type storedChange struct {
	Version int64        `json:"version"`
	ID      string       `json:"id"`
	Steps   []storedStep `json:"steps"`
}

// EncodeChange returns the stored form of a change.
func EncodeChange(c Change) []byte {
	s := storedChange{Version: int64(c.Version), ID: c.ID}
	for _, x := range c.Steps {
		s.Steps = append(s.Steps, storedStep{
			Action: x.Action.String(), Plan: string(x.Plan), Rate: int64(x.Rate), Burst: int64(x.Burst),
			Adapter: string(x.Adapter), Workspace: string(x.Workspace), Key: string(x.Key), Hash: x.Hash,
		})
	}
	b, _ := json.Marshal(s)
	return b
}

// DecodeChange reads the stored form of a change.
func DecodeChange(b []byte) (Change, error) {
	var s storedChange
	if err := json.Unmarshal(b, &s); err != nil {
		return Change{}, eris.Wrap(err, "read stored change")
	}
	c := Change{Version: Version(s.Version), ID: s.ID}
	for _, x := range s.Steps {
		a, ok := actionByName(x.Action)
		if !ok {
			return Change{}, eris.Errorf("read stored change: unknown action %q", x.Action)
		}
		c.Steps = append(c.Steps, Step{
			Action: a, Plan: PlanID(x.Plan), Rate: TokensPerSecond(x.Rate), Burst: Tokens(x.Burst),
			Adapter: Adapter(x.Adapter), Workspace: WorkspaceID(x.Workspace), Key: KeyID(x.Key), Hash: x.Hash,
		})
	}
	return c, nil
}

func actionByName(name string) (Action, bool) {
	for a := PutPlan; a <= RevokeKey; a++ {
		if a.String() == name {
			return a, true
		}
	}
	return 0, false
}

// EncodeState returns the stored form of a whole state: the change that
// makes it from nothing.
func EncodeState(s *State) []byte {
	c := Change{Version: s.Version, Steps: Empty().Diff(s)}
	for _, id := range sortedKeys(s.Keys) {
		k := s.Keys[id]
		c.Steps = append(c.Steps, Step{Action: AddKey, Key: k.ID, Workspace: k.Workspace, Hash: k.Hash})
		if k.Revoked {
			c.Steps = append(c.Steps, Step{Action: RevokeKey, Key: k.ID})
		}
	}
	return EncodeChange(c)
}

// DecodeState reads the stored form of a whole state.
func DecodeState(b []byte) (*State, error) {
	c, err := DecodeChange(b)
	if err != nil {
		return nil, err
	}
	s := Empty()
	s.Version = c.Version - 1
	return s.Apply(c)
}
