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

// instances answers which addresses to use, the best first. With a key it
// begins with the owner of the workspace's quota.
func (s *Server) instances(w http.ResponseWriter, k *call) error {
	var workspace lists.WorkspaceID
	if k.request.Header.Get("Authorization") != "" {
		who, err := s.identify(k.request)
		if err != nil {
			return err
		}
		workspace = who.workspace
	}
	m := instancesMessage{Instances: []instanceMessage{}, TTLSeconds: int64(s.config.Caller.AddressTTL)}
	for _, x := range s.advertised(workspace) {
		m.Instances = append(m.Instances, instanceMessage{Name: x.Instance, Address: x.Address, Zone: x.Zone})
	}
	w.Header().Set(contentType, jsonType)
	return json.NewEncoder(w).Encode(m)
}

// advertised returns the members that take new callers.
func (s *Server) advertised(workspace lists.WorkspaceID) []lease.Member {
	silent := s.Fleet.Silent()
	leaving := map[string]bool{}
	for _, l := range s.Fleet.ListedInstances() {
		leaving[l.ID] = l.Kind == provider.KindEntry && l.Leaving()
	}
	order := s.Fleet.Roster().Candidates(quota.AccountName(workspace))
	return slices.DeleteFunc(order, func(m lease.Member) bool {
		return m.Leaving || leaving[m.Instance] || slices.Contains(silent, m.Seat) || (m.Seat == s.Fleet.Self() && s.leaving.Load())
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

// models lists what the plan of the workspace allows.
func (s *Server) models(w http.ResponseWriter, k *call) error {
	who, err := s.identify(k.request)
	if err != nil {
		return err
	}
	if err := misplaced(k.request, nil); err != nil {
		return err
	}
	m := modelsMessage{Object: "list", Data: []modelEntry{}}
	for _, a := range who.plan.AllowedAdapters() {
		m.Data = append(m.Data, modelEntry{ID: string(a), Object: "model", OwnedBy: string(who.workspace)})
	}
	w.Header().Set(contentType, jsonType)
	return json.NewEncoder(w).Encode(m)
}
