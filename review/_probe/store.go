package main

import (
	"encoding/base64"
	"encoding/json"
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
}

// answerTime is how long the store takes for a call.
const answerTime = 4 * time.Millisecond

const pageRows = 500

func newStore() (*store, error) {
	s := &store{started: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
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

func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool, version int64) {
	w.Header().Set("Content-Type", "application/json")
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
		s.mu.Lock()
		l := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Ver > after {
				l = append(l, x)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			time.Sleep(answerTime)
			slices.SortFunc(l, func(a, b row) int { return int(a.Ver - b.Ver) })
			s.answer(w, http.StatusOK, l, false, version)
			return
		}
		select {
		case <-changed:
		case <-until:
			s.answer(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}
