// Package lists holds the lists that operators maintain: the plan of each workspace, the
// adapters and the token rate that each plan allows, and the API keys.
package lists

import (
	"maps"
	"slices"
	"strings"
)

// Version is the number of an accepted change, starting at 1.
type Version int64

// WorkspaceID identifies a workspace.
type WorkspaceID string

// PlanID identifies a plan.
type PlanID string

// KeyID identifies an API key. It is not secret.
type KeyID string

// Tokens is a number of prompt and output tokens.
type Tokens int64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond int64

// Adapter is one version of a fine-tuned variant of the base model, in the form
// NAME@VERSION. A request may omit @VERSION.
type Adapter string

// Name returns the part before the version.
func (a Adapter) Name() string {
	n, _, _ := strings.Cut(string(a), "@")
	return n
}

// Version returns the part after the name, or "" if there is none.
func (a Adapter) Version() string {
	_, v, _ := strings.Cut(string(a), "@")
	return v
}

// Plan is the token rate and the adapters that its workspaces may use.
type Plan struct {
	ID    PlanID
	Rate  TokensPerSecond
	Burst Tokens
	// Adapters maps the name of each adapter to its allowed versions in
	// ascending order.
	Adapters map[string][]string
}

// Key is an API key that authorizes requests of a workspace.
type Key struct {
	ID        KeyID
	Workspace WorkspaceID
	// Hash is the SHA-256 hash of the key in hexadecimal.
	Hash    string
	Revoked bool
}

// State is the content of the lists at one version. It is immutable once built.
type State struct {
	Version    Version
	Plans      map[PlanID]Plan
	Workspaces map[WorkspaceID]PlanID
	Keys       map[KeyID]Key
	byHash     map[string]KeyID
}

// Empty returns the state before the first change, at version 0.
func Empty() *State {
	return &State{
		Plans:      map[PlanID]Plan{},
		Workspaces: map[WorkspaceID]PlanID{},
		Keys:       map[KeyID]Key{},
		byHash:     map[string]KeyID{},
	}
}

// KeyByHash returns the key with the given hash, which may be revoked.
func (s *State) KeyByHash(hash string) (Key, bool) {
	id, ok := s.byHash[hash]
	return s.Keys[id], ok
}

// PlanOf returns the plan of a workspace.
func (s *State) PlanOf(w WorkspaceID) (Plan, bool) {
	id, ok := s.Workspaces[w]
	if !ok {
		return Plan{}, false
	}
	p, ok := s.Plans[id]
	return p, ok
}

// HasAdapterName reports whether any plan allows a version of the named adapter.
func (s *State) HasAdapterName(name string) bool {
	for _, p := range s.Plans {
		if _, ok := p.Adapters[name]; ok {
			return true
		}
	}
	return false
}

// Resolve returns the requested adapter and whether the plan allows it. Without a version
// in the request it returns the highest allowed version.
func (p Plan) Resolve(requested Adapter) (Adapter, bool) {
	versions, ok := p.Adapters[requested.Name()]
	if !ok || len(versions) == 0 {
		return "", false
	}
	if requested.Version() == "" {
		return requested + "@" + Adapter(versions[len(versions)-1]), true
	}
	return requested, slices.Contains(versions, requested.Version())
}

// AllowedAdapters returns all allowed adapter versions in lexical order.
func (p Plan) AllowedAdapters() []Adapter {
	var all []Adapter
	for name, versions := range p.Adapters {
		for _, v := range versions {
			all = append(all, Adapter(name+"@"+v))
		}
	}
	slices.Sort(all)
	return all
}

// AdapterCount returns the number of allowed adapter versions.
func (p Plan) AdapterCount() int {
	n := 0
	for _, versions := range p.Adapters {
		n += len(versions)
	}
	return n
}

func (s *State) clone() *State {
	return &State{
		Version:    s.Version,
		Plans:      maps.Clone(s.Plans),
		Workspaces: maps.Clone(s.Workspaces),
		Keys:       maps.Clone(s.Keys),
		byHash:     maps.Clone(s.byHash),
	}
}

// compareVersions compares decimal versions without leading zeros: by length first, so that
// 10 follows 9.
func compareVersions(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return strings.Compare(a, b)
}
