package fleet

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/coordination/lease"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// Names of rows in the table.
const (
	// headPrefix is the common prefix of the rows that name the newest versions.
	headPrefix = "head/"
	// EpochRow holds the epoch of the roster.
	EpochRow = "head/roster"
	// RosterRow holds the roster.
	RosterRow = "roster"
)

type storedMember struct {
	Seat       string `json:"seat"`
	Generation int64  `json:"generation,omitempty"`
	Instance   string `json:"instance"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	Mesh       string `json:"mesh"`
	Operator   string `json:"operator"`
	Leaving    bool   `json:"leaving,omitempty"`
}

type storedRoster struct {
	Epoch   int64          `json:"epoch"`
	Purged  bool           `json:"purged,omitempty"`
	Members []storedMember `json:"members"`
}

type storedEpoch struct {
	Epoch int64 `json:"epoch"`
}

func encodeMember(m lease.Member) storedMember {
	return storedMember{
		Seat: string(m.Seat), Generation: m.Generation, Instance: m.Instance, Zone: m.Zone,
		Address: m.Address, Mesh: m.Mesh, Operator: m.Operator, Leaving: m.Leaving,
	}
}

func decodeMember(s storedMember) lease.Member {
	return lease.Member{
		Seat: lease.SeatID(s.Seat), Generation: s.Generation, Instance: s.Instance, Zone: s.Zone,
		Address: s.Address, Mesh: s.Mesh, Operator: s.Operator, Leaving: s.Leaving,
	}
}

func encodeRoster(r lease.Roster) []byte {
	s := storedRoster{Epoch: int64(r.Epoch), Purged: r.Purged}
	for _, m := range r.Members {
		s.Members = append(s.Members, encodeMember(m))
	}
	b, _ := json.Marshal(s)
	return b
}

// DecodeRoster decodes a stored roster. An absent row has an empty value, which decodes
// to the empty roster at epoch 0.
func DecodeRoster(b []byte) (lease.Roster, error) {
	var s storedRoster
	if len(b) == 0 {
		return lease.Roster{}, nil
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return lease.Roster{}, eris.Wrap(err, "decode roster")
	}
	r := lease.Roster{Epoch: lease.Epoch(s.Epoch), Purged: s.Purged}
	for _, m := range s.Members {
		r.Members = append(r.Members, decodeMember(m))
	}
	return r, nil
}

// decodeEpoch returns the epoch in the value of the epoch row, or 0 if it cannot be
// decoded.
func decodeEpoch(value string) lease.Epoch {
	var s storedEpoch
	if json.Unmarshal([]byte(value), &s) != nil {
		return 0
	}
	return lease.Epoch(s.Epoch)
}

// ReadRoster reads the roster and the version of its epoch row from the table. It returns
// provider.ErrConflict if the roster changes between the reads of the two rows.
func ReadRoster(c context.Context, t *provider.Table) (lease.Roster, provider.RowVersion, error) {
	epoch, err := t.Get(c, EpochRow)
	if err != nil {
		return lease.Roster{}, 0, err
	}
	row, err := t.Get(c, RosterRow)
	if err != nil {
		return lease.Roster{}, 0, err
	}
	r, err := DecodeRoster([]byte(row.Value))
	if err != nil {
		return lease.Roster{}, 0, err
	}
	if r.Epoch != decodeEpoch(epoch.Value) {
		return lease.Roster{}, 0, eris.Wrap(provider.ErrConflict, "roster changed between the reads of its two rows")
	}
	return r, epoch.Version, nil
}

// writeRoster writes r and its epoch to the table if the epoch row still has the given
// version.
func writeRoster(c context.Context, t *provider.Table, r lease.Roster, version provider.RowVersion) error {
	b, _ := json.Marshal(storedEpoch{Epoch: int64(r.Epoch)})
	return t.Transact(c, provider.Transaction{
		Conditions: []provider.Condition{{Key: EpochRow, Version: version}},
		Puts:       []provider.Put{{Key: EpochRow, Value: string(b)}, {Key: RosterRow, Value: string(encodeRoster(r))}},
	})
}
