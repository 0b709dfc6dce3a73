package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store as its API returns it.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// snapshot is the content of the store at one moment.
type snapshot struct {
	rows map[rowID]storeRow
	ver  int64
}

// platformStore stands in for the platform's metadata store.
type platformStore struct {
	address string
	server  *http.Server
	record  *record
	started time.Time

	mu   sync.Mutex
	rows map[rowID]storeRow
	ver  int64
	// since is the version before the oldest change that the history has.
	since   int64
	era     int64
	changed chan struct{}
	// away is set while the store answers 503.
	away bool
	// done is closed to end the waiting calls.
	done chan struct{}
}

const transactionTime = 4 * time.Millisecond

func startStore(r *record) (*platformStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &platformStore{address: l.Addr().String(), record: r, started: time.Now(), rows: map[rowID]storeRow{}, ver: 100, since: 100, era: 1, changed: make(chan struct{}), done: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("POST /api/rows-tx", s.guard(s.transact))
	m.HandleFunc("GET /api/rows-get", s.guard(s.get))
	m.HandleFunc("GET /api/rows-feed", s.guard(s.feed))
	s.server = &http.Server{Handler: m}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *platformStore) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (s *platformStore) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["now-ms"] = time.Since(s.started).Milliseconds() + 50_000
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *platformStore) transact(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Expected []storeRow `json:"expected"`
		Writes   []storeRow `json:"writes"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range append(slices.Clone(q.Writes), q.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	var current []storeRow
	holds := true
	for _, x := range q.Expected {
		row, ok := s.rows[rowID{x.Table, x.Part, x.Key}]
		if ok {
			current = append(current, row)
		}
		holds = holds && row.Ver == x.Ver
	}
	if !holds {
		ver := s.ver
		s.mu.Unlock()
		if current == nil {
			current = []storeRow{}
		}
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": ver})
		return
	}
	ver := s.apply(q.Writes, q.Remove)
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"ver": ver})
}

// apply writes and removes rows in one transaction, and returns its version. The caller holds the lock.
func (s *platformStore) apply(writes, remove []storeRow) int64 {
	s.ver++
	for _, x := range writes {
		x.Ver, x.Tombstone = s.ver, false
		s.rows[rowID{x.Table, x.Part, x.Key}] = x
	}
	for _, x := range remove {
		id := rowID{x.Table, x.Part, x.Key}
		if _, ok := s.rows[id]; ok {
			s.rows[id] = storeRow{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.ver, Tombstone: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

// put writes a row in the name of the operator or of a replica, and reports whether the store took it.
func (s *platformStore) put(table, key string, value any) bool {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply([]storeRow{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b)}}, nil)
	return true
}

func (s *platformStore) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(transactionTime / 2)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := []storeRow{}
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && !x.Tombstone {
			rows = append(rows, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b storeRow) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	truncated := len(rows) > limit
	s.reply(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "truncated": truncated, "ver": ver})
}

func (s *platformStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		if after < s.since || after > s.ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []storeRow{}
		for id, x := range s.rows {
			if id.table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		ver, changed, done := s.ver, s.changed, s.done
		s.mu.Unlock()
		if len(rows) > 0 {
			slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Ver - b.Ver) })
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			s.reply(w, http.StatusOK, map[string]any{"rows": []storeRow{}, "ver": ver})
			return
		case <-done:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// copy returns the content of the store now.
func (s *platformStore) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{rows: maps.Clone(s.rows), ver: s.ver}
}

// leave has the store answer 503 and end the waiting calls.
func (s *platformStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.done)
	s.done = make(chan struct{})
}

// restore brings the store back with the content of a copy, in the next era.
func (s *platformStore) restore(x snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("store: back from a copy, version %d instead of %d, era %d", x.ver, s.ver, s.era+1)
	s.rows, s.ver, s.since, s.away = x.rows, x.ver, x.ver, false
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}
