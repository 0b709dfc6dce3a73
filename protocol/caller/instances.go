package caller

import (
	"encoding/json"
	"net/http"
	"slices"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/coordination/quota"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/provider"
)

type instanceMessage struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"availability-zone"`
}

type instancesMessage struct {
	Instances  []instanceMessage `json:"instances"`
	TTLSeconds int64             `json:"time-to-live-seconds"`
}

// instances lists the addresses that callers should use, in order of preference. For a
// request with a key the owner of the workspace's quota comes first.
func (s *Server) instances(w http.ResponseWriter, k *call) error {
	var workspace lists.WorkspaceID
	if k.request.Header.Get("Authorization") != "" {
		i, err := s.identify(k.request)
		if err != nil {
			return err
		}
		workspace = i.workspace
	}
	m := instancesMessage{Instances: []instanceMessage{}, TTLSeconds: int64(s.config.Caller.AddressTTL)}
	for _, x := range s.advertisedMembers(workspace) {
		m.Instances = append(m.Instances, instanceMessage{Name: x.Instance, Address: x.Address, Zone: x.Zone})
	}
	w.Header().Set(contentType, jsonContentType)
	return json.NewEncoder(w).Encode(m)
}

// advertisedMembers returns the members that accept new callers: those that are reachable
// and neither the fleet nor the platform's list shows as leaving.
func (s *Server) advertisedMembers(workspace lists.WorkspaceID) []lease.Member {
	silent := s.Fleet.Silent()
	leaving := map[string]bool{}
	for _, l := range s.Fleet.ListedInstances() {
		leaving[l.ID] = l.Kind == provider.KindEntry && l.Leaving()
	}
	order := s.Fleet.Roster().Candidates(quota.AccountName(workspace))
	return slices.DeleteFunc(order, func(m lease.Member) bool {
		return m.Leaving || leaving[m.Instance] || slices.Contains(silent, m.Seat) || (m.Seat == s.Fleet.Self() && s.draining.Load())
	})
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelsMessage struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// models lists the adapters that the plan of the workspace allows.
func (s *Server) models(w http.ResponseWriter, k *call) error {
	i, err := s.identify(k.request)
	if err != nil {
		return err
	}
	if err := checkKeyPlacement(k.request, nil); err != nil {
		return err
	}
	m := modelsMessage{Object: "list", Data: []modelEntry{}}
	for _, a := range i.plan.AllowedAdapters() {
		m.Data = append(m.Data, modelEntry{ID: string(a), Object: "model", OwnedBy: string(i.workspace)})
	}
	w.Header().Set(contentType, jsonContentType)
	return json.NewEncoder(w).Encode(m)
}
