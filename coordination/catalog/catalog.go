// Package catalog installs the accepted changes of the operators' lists in order, and
// serves them to peers.
package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// Keys of rows in the table.
const (
	// HeadRow is the key of the row with the newest accepted version.
	HeadRow      = "head/lists"
	changePrefix = "change/"
)

const (
	// maxRecentChanges is the number of changes that an instance keeps for its peers.
	maxRecentChanges = 512
	// changesPerRead is the number of rows in one read from the table.
	changesPerRead = 200
)

// Head is the content of the head row.
type Head struct {
	Version lists.Version
	// Snapshot is the name of an object with the complete lists at SnapshotVersion, or
	// empty if there is none.
	Snapshot        string
	SnapshotVersion lists.Version
}

type storedHead struct {
	Version         int64  `json:"version"`
	Snapshot        string `json:"snapshot,omitempty"`
	SnapshotVersion int64  `json:"snapshot-version,omitempty"`
}

// DecodeHead decodes the value of the head row. An empty value, of a row that does not
// exist, is the head before the first change.
func DecodeHead(value string) (Head, error) {
	var s storedHead
	if value == "" {
		return Head{}, nil
	}
	if err := json.Unmarshal([]byte(value), &s); err != nil {
		return Head{}, eris.Wrap(err, "decode the head row of the lists")
	}
	return Head{Version: lists.Version(s.Version), Snapshot: s.Snapshot, SnapshotVersion: lists.Version(s.SnapshotVersion)}, nil
}

func encodeHead(h Head) string {
	b, _ := json.Marshal(storedHead{Version: int64(h.Version), Snapshot: h.Snapshot, SnapshotVersion: int64(h.SnapshotVersion)})
	return string(b)
}

func changeRow(v lists.Version) string {
	return fmt.Sprintf("%s%012d", changePrefix, v)
}

// Catalog has the lists that are installed on one instance. It is safe for concurrent use.
type Catalog struct {
	// OnInstall is called after each change, in order, for the components that act on
	// changes.
	OnInstall func(before, after *lists.State)

	table    *provider.Table
	objects  *provider.Objects
	recorder *timeline.Recorder
	state    atomic.Pointer[lists.State]

	mu     sync.Mutex
	recent []lists.Change
}

// New returns a Catalog of empty lists.
func New(t *provider.Table, o *provider.Objects, r *timeline.Recorder) *Catalog {
	c := &Catalog{OnInstall: func(_, _ *lists.State) {}, table: t, objects: o, recorder: r}
	c.state.Store(lists.Empty())
	return c
}

// State returns the installed lists.
func (c *Catalog) State() *lists.State {
	return c.state.Load()
}

// CatchUp installs all changes up to the head, from the table and the head's snapshot. It
// fails with provider.ErrUnavailable.
func (c *Catalog) CatchUp(x context.Context, h Head) error {
	if c.State().Version >= h.Version {
		return nil
	}
	if h.SnapshotVersion > c.State().Version+maxRecentChanges || (c.State().Version == 0 && h.Snapshot != "") {
		if err := c.readSnapshot(x, h); err != nil {
			return err
		}
	}
	for c.State().Version < h.Version {
		if err := c.readChanges(x, h); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) readSnapshot(x context.Context, h Head) error {
	data, err := c.objects.Get(x, h.Snapshot)
	if err != nil {
		return err
	}
	s, err := lists.DecodeState(data)
	if err != nil {
		return err
	}
	c.replace(s)
	return nil
}

// readChanges installs the next changes from the table, or the snapshot if they do not
// follow the installed version.
func (c *Catalog) readChanges(x context.Context, h Head) error {
	before := c.State().Version
	rows, err := c.table.List(x, changePrefix, changeRow(before), changesPerRead)
	if err != nil {
		return err
	}
	for _, r := range rows {
		change, err := lists.DecodeChange([]byte(r.Value))
		if err != nil {
			return err
		}
		if err := c.install(change); err != nil {
			return c.readSnapshot(x, h)
		}
	}
	if c.State().Version == before {
		return eris.Wrapf(provider.ErrUnavailable, "the table has no change after version %d, the head is at %d", before, h.Version)
	}
	return nil
}

// install installs one change. It skips a change that is already installed, and fails if
// the change does not follow the installed version.
func (c *Catalog) install(change lists.Change) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.State()
	if change.Version <= before.Version {
		return nil
	}
	after, err := before.Apply(change)
	if err != nil {
		return err
	}
	c.recent = append(c.recent, change)
	if len(c.recent) > maxRecentChanges {
		c.recent = c.recent[1:]
	}
	c.publish(before, after)
	return nil
}

// replace installs complete lists, unless newer ones are installed.
func (c *Catalog) replace(after *lists.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.State()
	if after.Version <= before.Version {
		return
	}
	c.recent = nil
	c.publish(before, after)
}

func (c *Catalog) publish(before, after *lists.State) {
	c.state.Store(after)
	c.recorder.Record(timeline.Event{Part: timeline.Catalog, Kind: timeline.Installed, Detail: fmt.Sprintf("version %d", after.Version)})
	c.OnInstall(before, after)
}

type changesQuery struct {
	mesh.Message
	After int64 `protobuf:"varint,1,opt,name=after,proto3"`
}

type changesReply struct {
	mesh.Message
	Snapshot []byte   `protobuf:"bytes,1,opt,name=snapshot,proto3"`
	Changes  [][]byte `protobuf:"bytes,2,rep,name=changes,proto3"`
}

const changesMethod = "catalog/changes"

// Register registers the handler for peers that request changes.
func (c *Catalog) Register(m *mesh.Mesh) {
	mesh.Handle(m, changesMethod, func(_ context.Context, _ string, q *changesQuery) (*changesReply, error) {
		return c.since(lists.Version(q.After)), nil
	})
}

// since returns the changes after a version, or a snapshot if they are no longer kept.
func (c *Catalog) since(after lists.Version) *changesReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &changesReply{}
	if c.State().Version <= after {
		return r
	}
	if len(c.recent) == 0 || c.recent[0].Version > after+1 {
		r.Snapshot = lists.EncodeState(c.State())
		return r
	}
	for _, change := range c.recent {
		if change.Version > after {
			r.Changes = append(r.Changes, lists.EncodeChange(change))
		}
	}
	return r
}

// Pull installs the changes that a peer has and this instance lacks.
func (c *Catalog) Pull(x context.Context, m *mesh.Mesh, address string) error {
	r, err := mesh.Call[changesQuery, changesReply](x, m, address, changesMethod, &changesQuery{After: int64(c.State().Version)})
	if err != nil {
		return err
	}
	if len(r.Snapshot) > 0 {
		s, err := lists.DecodeState(r.Snapshot)
		if err != nil {
			return err
		}
		c.replace(s)
	}
	for _, b := range r.Changes {
		change, err := lists.DecodeChange(b)
		if err != nil {
			return err
		}
		if err := c.install(change); err != nil {
			return err
		}
	}
	return nil
}
