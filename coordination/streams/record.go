package streams

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/mirror"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/state/software"
	"gentiangauge.example/gentiangauge/transport/store"
)

const (
	// recordInterval is the minimum time between two writes of the records of an instance, recordPerPeer
	// the time for each other instance: all of them write while a split is new.
	recordInterval = 100 * time.Millisecond
	recordPerPeer  = 5 * time.Millisecond
	// urgentInterval is the minimum time between two writes of records of which at least one would be
	// taken to have begun at another version without it.
	urgentInterval = 20 * time.Millisecond
	// maxRecords bounds the records of an instance, whose row has at most 64 KiB.
	maxRecords = 2000
	// readInterval is the age up to which records that were read are used for streams that are not
	// among them, readPerPeer the time for each other instance: callers may name any stream.
	readInterval = 50 * time.Millisecond
	readPerPeer  = time.Millisecond
	// failedReadInterval is the time between two reads while they fail.
	failedReadInterval = 500 * time.Millisecond
	// recordLifetime is the age of a row of records from which on any instance removes it, after the time for which
	// its streams may be taken up.
	recordLifetime = 2 * time.Minute
	// slowWrite is the time after which a write of records is taken to fail. Most take some 10 ms.
	slowWrite = 100 * time.Millisecond
)

// recordWrites tells whether the records of an instance can be written. It is safe for concurrent use.
type recordWrites struct {
	mu sync.Mutex
	// since is the start of the write in progress, or 0. failing is set if the last one has failed.
	since   time.Duration
	failing bool
}

func (w *recordWrites) begin(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = now
}

func (w *recordWrites) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since, w.failing = 0, err != nil
}

// work reports whether records that are to be written now are likely to be soon.
func (w *recordWrites) work(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failing && (w.since == 0 || now-w.since < slowWrite)
}

// recordRow is the row of the streams that one instance has begun. Each stream is its ID in hexadecimal and the
// index of its version. Era is the era of the store in which the row was written, and StartedIn the one from which on
// its writer has all records of the instance, also those of earlier runs, or Era if it may lack some. Earlier builds
// leave both out, or have in StartedIn the era in which their run started. Partial is set if the row lacks records for
// want of room.
type recordRow struct {
	WrittenMs int64             `json:"written-ms"`
	Era       int64             `json:"era,omitempty"`
	StartedIn int64             `json:"started-in,omitempty"`
	Partial   bool              `json:"partial,omitempty"`
	Versions  []string          `json:"versions"`
	Streams   map[string]uint16 `json:"streams"`
}

// confirms reports whether the row has all records of its instance in an era.
func (m recordRow) confirms(e mirror.Era) bool {
	return mirror.Era(m.Era) == e && mirror.Era(m.StartedIn) < e && !m.Partial
}

// splitRow is the row of a split. The lists Slots and SinceMs have an element for each slot, the index of its
// version and the time of the assignment. So has Previous, with the index of the version before or -1. LifetimeMs is
// how long after their begin streams may be taken up. Earlier builds leave both out.
type splitRow struct {
	Versions []string `json:"versions"`
	Slots    []int    `json:"slots"`
	SinceMs  []int64  `json:"since-ms"`
	Previous []int    `json:"previous,omitempty"`

	LifetimeMs int64 `json:"lifetime-ms,omitempty"`
}

var errSplitShape = eris.New("the split has the wrong number of slots, names a version that is not listed, or has a negative lifetime")

func encodeSplit(s software.Split, lifetime time.Duration) ([]byte, error) {
	m, indices := splitRow{LifetimeMs: lifetime.Milliseconds()}, map[software.Version]int{"": -1}
	index := func(v software.Version) int {
		i, ok := indices[v]
		if !ok {
			i = len(m.Versions)
			indices[v] = i
			m.Versions = append(m.Versions, string(v))
		}
		return i
	}
	for _, a := range s {
		m.Slots, m.SinceMs, m.Previous = append(m.Slots, index(a.Version)), append(m.SinceMs, a.Since.Milliseconds()), append(m.Previous, index(a.Previous))
	}
	return json.Marshal(m)
}

func decodeSplit(value []byte) (s software.Split, lifetime time.Duration, err error) {
	var m splitRow
	if err := json.Unmarshal(value, &m); err != nil {
		return s, 0, eris.Wrap(err, "decode split")
	}
	if len(m.Slots) != len(s) || len(m.SinceMs) != len(s) || m.Previous != nil && len(m.Previous) != len(s) || m.LifetimeMs < 0 {
		return s, 0, errSplitShape
	}
	for i, v := range m.Slots {
		if v < 0 || v >= len(m.Versions) || m.Versions[v] == "" {
			return s, 0, errSplitShape
		}
		s[i] = software.Assignment{Version: software.Version(m.Versions[v]), Since: time.Duration(m.SinceMs[i]) * time.Millisecond}
		if m.Previous == nil || m.Previous[i] == -1 {
			continue
		}
		if p := m.Previous[i]; p < 0 || p >= len(m.Versions) {
			return s, 0, errSplitShape
		}
		s[i].Previous = software.Version(m.Versions[m.Previous[i]])
	}
	return s, time.Duration(min(m.LifetimeMs, software.MaxLifetime.Milliseconds())) * time.Millisecond, nil
}

// records are the records of all instances as they were last read.
type records struct {
	mu       sync.Mutex
	versions map[software.StreamID]software.Version
	readAt   time.Duration
	// failed is set if the last read has failed, retrying while another one is in progress then.
	failed, retrying bool
}

func newRecords() records { return records{versions: map[software.StreamID]software.Version{}} }

// findRecord returns the recorded version of a stream. Calls at the same time share one read. The result
// complete is false if the records could not be read; after that, no call waits for the store until a read has
// succeeded.
func (r *Registry) findRecord(c context.Context, id software.StreamID) (v software.Version, found, complete bool) {
	k := &r.records
	k.mu.Lock()
	defer k.mu.Unlock()
	if v, ok := k.versions[id]; ok {
		return v, true, true
	}
	age := r.Timer.Boot() - k.readAt
	switch {
	case k.failed && !k.retrying && age >= failedReadInterval:
		k.retrying = true
		go r.retryRead(context.WithoutCancel(c))
	case !k.failed && (k.readAt == 0 || age >= max(readInterval, readPerPeer*time.Duration(r.PeerCount()))):
		r.applyRecords(r.readRecords(c))
	}
	v, found = k.versions[id]
	return v, found, !k.failed
}

func (r *Registry) retryRead(c context.Context) {
	rows, asOf, err := r.readRecords(c)
	r.records.mu.Lock()
	defer r.records.mu.Unlock()
	r.records.retrying = false
	r.applyRecords(rows, asOf, err)
}

func (r *Registry) readRecords(c context.Context) ([]mirror.Row, mirror.Version, error) {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	return r.Store.Read(x, r.RecordTable)
}

// applyRecords replaces the known records by those that were read, and removes the rows of instances that
// have not written for long.
func (r *Registry) applyRecords(rows []mirror.Row, asOf mirror.Version, err error) {
	r.records.readAt, r.records.failed = r.Timer.Boot(), err != nil
	if err != nil {
		r.Log.Warn("could not read the records of streams", zap.Error(err))
		return
	}
	r.records.versions = map[software.StreamID]software.Version{}
	r.mu.Lock()
	now := r.Timer.Boot()
	storeTime, retention := r.storeTime(now), r.retention(now)
	r.mu.Unlock()
	var own mirror.Row
	var partial []string
	for _, row := range rows {
		if row.Key == r.key {
			own = row
		}
		m, err := r.records.add(row.Value)
		if err != nil {
			r.Log.Error("cannot decode records of streams", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		r.confirm(row.Key, m)
		age := storeTime - time.Duration(m.WrittenMs)*time.Millisecond
		if m.Partial && age <= retention {
			partial = append(partial, instanceName(row.Key))
		}
		if row.Key != r.key && age > recordLifetime+retention {
			go r.removeRecords(row.Key, row.Version)
		}
	}
	r.mu.Lock()
	r.partial = partial
	r.mu.Unlock()
	if r.own.Observe(own, asOf); r.own.Differs() {
		notify(r.changed)
	}
}

func (k *records) add(value []byte) (recordRow, error) {
	var m recordRow
	if err := json.Unmarshal(value, &m); err != nil {
		return m, err
	}
	for text, i := range m.Streams {
		id, err := strconv.ParseUint(text, 16, 64)
		if err != nil || int(i) >= len(m.Versions) {
			return m, eris.Errorf("stream %.40q with version %d of %d", text, i, len(m.Versions))
		}
		k.versions[software.StreamID(id)] = software.Version(m.Versions[i])
	}
	return m, nil
}

func (r *Registry) removeRecords(key string, version mirror.Version) {
	c, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	k := store.Key{Table: r.RecordTable, Key: key}
	if _, err := r.Store.Transact(c, store.Transaction{Expected: map[store.Key]mirror.Version{k: version}, Deletes: []store.Key{k}}); err != nil {
		r.Log.Warn("could not remove records of streams", zap.String("key", key), zap.Error(err))
	}
}

// writeRecords writes the streams whose version does not follow from the split of their service, until
// c ends. In each era in which records may be lost it writes the row again, also without any such stream.
func (r *Registry) writeRecords(c context.Context) {
	var wanted recordList
	var wantedIn mirror.Era
	for c.Err() == nil {
		select {
		case <-r.changed:
		case <-r.urgent:
		case <-r.Store.Eras.Changed(wantedIn):
			if _, confirm := r.confirmsEra(); confirm && len(r.unplanned().versions) == 0 {
				// All instances learn of an era at the same moment.
				_ = r.Timer.Wait(c, rand.N(r.recordInterval()))
			}
		case <-c.Done():
			return
		}
		list := r.unplanned()
		e, confirm := r.confirmsEra()
		if list.differs(wanted) || wantedIn != e {
			value, err := r.encodeRecords(list, e)
			if err != nil {
				r.Log.Error("cannot encode records of streams", zap.Error(err))
				continue
			}
			r.own.Want(value)
			wanted, wantedIn = list, e
		}
		// Others remove the row of an instance that has had no such streams for long.
		if len(list.versions) == 0 && !confirm || !r.own.Differs() {
			r.writes.end(nil)
			continue
		}
		if err := r.writeRow(c); err != nil {
			r.Log.Warn("could not write records of streams", zap.Int("streams", len(wanted.versions)), zap.Error(err))
			notify(r.changed)
		}
		_ = r.Timer.Wait(c, urgentInterval)
		n, stop := r.Timer.Notify(r.recordInterval() - urgentInterval)
		select {
		case <-n:
		case <-r.urgent:
			notify(r.changed)
		case <-c.Done():
		}
		stop()
	}
}

// recordInterval is the minimum time between two writes of the records of this instance that are not urgent.
func (r *Registry) recordInterval() time.Duration {
	return max(recordInterval, recordPerPeer*time.Duration(r.PeerCount()))
}

// confirmsEra returns the present era, and whether the row of this instance has to tell in it that it has all
// records of this run.
func (r *Registry) confirmsEra() (mirror.Era, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lack := r.mayLack()
	return r.era.current, lack && r.completeSince() < r.era.current
}

// recordList has the streams of an instance that need a record. It is partial if some were left out for want of room.
type recordList struct {
	versions map[software.StreamID]software.Version
	partial  bool
}

// differs reports whether the list has a stream that others lack or have at another version, or is partial and they are
// not, or the reverse.
func (l recordList) differs(others recordList) bool {
	for id, v := range l.versions {
		if others.versions[id] != v {
			return true
		}
	}
	return l.partial != others.partial
}

func (l *recordList) add(id software.StreamID, v software.Version) {
	if len(l.versions) >= maxRecords {
		l.partial = true
		return
	}
	l.versions[id] = v
}

// unplanned returns the newest streams that need a record, those of earlier runs last.
func (r *Registry) unplanned() recordList {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Boot()
	retention := r.retention(now)
	out := recordList{versions: map[software.StreamID]software.Version{}, partial: r.begun.LacksSince(now - retention)}
	for _, x := range r.begun.Since(0) {
		if now-x.BegunAt <= r.lifetime(route.ServiceName(x.Service), now) && r.needsRecord(x, now) {
			out.add(x.ID, x.Version)
		}
	}
	if now-r.adopted.at <= retention {
		for id, v := range r.adopted.versions {
			out.add(id, v)
		}
	}
	return out
}

func (r *Registry) encodeRecords(list recordList, e mirror.Era) ([]byte, error) {
	r.mu.Lock()
	m := recordRow{WrittenMs: r.storeTime(r.Timer.Boot()).Milliseconds(), Era: int64(e), StartedIn: int64(r.completeSince()), Partial: list.partial, Streams: make(map[string]uint16, len(list.versions))}
	r.mu.Unlock()
	index := map[software.Version]uint16{}
	for id, v := range list.versions {
		i, ok := index[v]
		if !ok {
			i = uint16(len(m.Versions))
			index[v] = i
			m.Versions = append(m.Versions, string(v))
		}
		m.Streams[id.String()] = i
	}
	return json.Marshal(m)
}

func (r *Registry) writeRow(c context.Context) error {
	x, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	r.writes.begin(r.Timer.Boot())
	err := r.own.Write(x)
	r.writes.end(err)
	return err
}
