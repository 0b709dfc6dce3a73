package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it is sent.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store stands in for the platform's store: transactions, reads and a feed of changes.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[string]row
	version int64
	changed chan struct{}
	// lose decides, before a write is done, whether its answer is lost, and how much later it is done then. Nil
	// loses none.
	lose func(writes []row) (lost bool, late time.Duration)
	note func(format string, args ...any)
	// era rises each time that the store comes back from a copy. While away is set it answers nothing.
	era  int64
	away bool
}

// storeCopy is the content of the store at one moment.
type storeCopy struct {
	rows    map[string]row
	version int64
	taken   time.Time
}

// copyRows returns a copy of the present content.
func (s *store) copyRows() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.rows), version: s.version, taken: time.Now()}
}

// leave ends all calls in progress and has the store answer nothing.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack has the store answer again, with the content of a copy.
func (s *store) comeBack(k storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note("the store is back from a copy that is %.1f s old: version %d in place of %d, era %d", time.Since(k.taken).Seconds(), k.version, s.version, s.era+1)
	s.rows, s.version, s.away = k.rows, k.version, false
	s.era++
}

// breakOff ends a call without an answer.
func breakOff() { panic(http.ErrAbortHandler) }

// answerTime is how long the store takes for a call.
const answerTime = 4 * time.Millisecond

const pageRows = 500

func newStore() (*store, error) {
	s := &store{started: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), era: 1}
	m := http.NewServeMux()
	m.HandleFunc("POST /api/rows-tx", s.transact)
	m.HandleFunc("GET /api/rows-get", s.get)
	m.HandleFunc("GET /api/rows-feed", s.feed)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, m) }()
	return s, nil
}

func rowID(table, key string) string { return table + "\x00" + key }

// put writes a row, as the operator and the replicas do, and returns its version.
func (s *store) put(table, key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		// The next heartbeat writes it.
		return s.version
	}
	s.commit([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b)}})
	return s.version
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]row{{Table: table, Key: key, Tombstone: true}})
}

// commit applies writes as one transaction. The caller holds mu.
func (s *store) commit(writes []row) {
	s.version++
	for _, w := range writes {
		w.Ver = s.version
		s.rows[rowID(w.Table, w.Key)] = w
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer sends an answer. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool, version int64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": truncated, "ver": version, "now-ms": time.Since(s.started).Milliseconds()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var q struct{ Expected, Writes, Remove []row }
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.lose != nil {
		if lost, late := s.lose(q.Writes); lost {
			time.AfterFunc(late, func() {
				s.mu.Lock()
				done, _ := s.try(q.Expected, q.Writes, q.Remove)
				s.mu.Unlock()
				s.note("the store does the write whose answer was lost: done %v", done)
			})
			// The connection delivers nothing further.
			<-r.Context().Done()
			return
		}
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		breakOff()
	}
	done, current := s.try(q.Expected, q.Writes, q.Remove)
	if !done {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.answer(w, http.StatusOK, nil, false, s.version)
}

// try applies a transaction if all expected rows have their versions, else it returns the present ones. The
// caller holds mu.
func (s *store) try(expected, writes, remove []row) (done bool, current []row) {
	held := true
	current = []row{}
	for _, x := range expected {
		have, ok := s.rows[rowID(x.Table, x.Key)]
		if !ok || have.Tombstone {
			held = held && x.Ver == 0
			continue
		}
		current = append(current, have)
		held = held && x.Ver == have.Ver
	}
	if !held {
		return false, current
	}
	for _, x := range remove {
		writes = append(writes, row{Table: x.Table, Key: x.Key, Tombstone: true})
	}
	s.commit(writes)
	return true, nil
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		breakOff()
	}
	l := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && !x.Tombstone && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			l = append(l, x)
		}
	}
	slices.SortFunc(l, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(l) > limit
	s.answer(w, http.StatusOK, l[:min(len(l), limit)], more, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	until := time.After(time.Duration(ms) * time.Millisecond)
	for {
		l, changed := s.changesAfter(q.Get("table"), after)
		if len(l) > 0 {
			time.Sleep(answerTime)
		}
		if s.answerFeed(w, q.Get("table"), after, false) {
			return
		}
		select {
		case <-changed:
		case <-until:
			s.answerFeed(w, q.Get("table"), after, true)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the rows of a table that have changed after a version, and a channel that is closed at the
// next change.
func (s *store) changesAfter(table string, after int64) ([]row, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes(table, after), s.changed
}

// changes returns the rows of a table that have changed after a version. The caller holds mu.
func (s *store) changes(table string, after int64) []row {
	l := []row{}
	for _, x := range s.rows {
		if x.Table == table && x.Ver > after {
			l = append(l, x)
		}
	}
	slices.SortFunc(l, func(a, b row) int { return int(a.Ver - b.Ver) })
	return l
}

// answerFeed answers a wait for changes after a version, if there are any or it must be answered now.
func (s *store) answerFeed(w http.ResponseWriter, table string, after int64, now bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch l := s.changes(table, after); {
	case s.away:
		breakOff()
	case after > s.version:
		s.answer(w, http.StatusGone, nil, false, s.version)
	case len(l) > 0 || now:
		s.answer(w, http.StatusOK, l, false, s.version)
	default:
		return false
	}
	return true
}
