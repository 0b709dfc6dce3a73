package main

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowID names a row of the store.
type rowID struct{ table, part, key string }

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store. While it is silent it does not execute calls, and never
// answers those that it has received by then.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	ver     int64
	changed chan struct{}
	silent  bool
	began   time.Time
	// era counts how often the store has come back from a copy. The header Store-Era states it.
	era    int
	copies []storeCopy
	// away is set while the store rejects all calls.
	away bool
}

// storeCopy is the content of the store at a time.
type storeCopy struct {
	at   time.Time
	ver  int64
	rows map[rowID]row
}

// copyEvery keeps copies of the store until c ends.
func (s *store) copyEvery(c context.Context, d time.Duration) {
	for c.Err() == nil {
		s.mu.Lock()
		s.copies = append(s.copies, storeCopy{at: time.Now(), ver: s.ver, rows: maps.Clone(s.rows)})
		s.mu.Unlock()
		time.Sleep(d)
	}
}

// setAway has the store reject all calls, or answer them again.
func (s *store) setAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = on
	s.wake()
}

// restore replaces the content by the newest copy that is at least of an age, and begins a new era. It returns the
// versions before and after.
func (s *store) restore(age time.Duration) (before, after int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.ver
	for _, x := range s.copies {
		if time.Since(x.at) >= age {
			s.ver, s.rows = x.ver, maps.Clone(x.rows)
		}
	}
	s.era++
	s.wake()
	return before, s.ver
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), began: time.Now()}
}

// put writes a row for an operator or a replica, and returns the version of the write.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: encode64(value), Ver: s.ver})
	s.wake()
	return s.ver
}

func (s *store) set(r row) { s.rows[rowID{r.Table, r.Part, r.Key}] = r }

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent begins or ends a silence.
func (s *store) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	s.wake()
}

type rowsAnswer struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Ver       int64 `json:"ver"`
	NowMs     int64 `json:"now-ms"`
}

// ServeHTTP answers a call, or drops its connection if the store is silent before the answer.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent, away := s.silent, s.away
	s.mu.Unlock()
	if silent {
		// A call without an answer: its connection delivers nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if away {
		s.state(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /api/rows-tx":
		s.transact(w, r)
	case "GET /api/rows-get":
		s.get(w, r)
	case "GET /api/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

// state states the era in the header of an answer.
func (s *store) state(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.NowMs = time.Since(s.began).Milliseconds() + 1
	data, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	s.state(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]row{}, q.Writes...), q.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, "not the system's", http.StatusForbidden)
			return
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	var current []row
	failed := false
	for _, x := range q.Expected {
		old, there := s.rows[rowID{x.Table, x.Part, x.Key}]
		there = there && !old.Tombstone
		if there {
			current = append(current, old)
		}
		if there && old.Ver != x.Ver || !there && x.Ver != 0 {
			failed = true
		}
	}
	if failed {
		v := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, Ver: v})
		return
	}
	s.ver++
	v := s.ver
	for _, x := range q.Writes {
		x.Ver, x.Tombstone = v, false
		s.set(x)
	}
	for _, x := range q.Remove {
		s.set(row{Table: x.Table, Part: x.Part, Key: x.Key, Ver: v, Tombstone: true})
	}
	s.wake()
	s.mu.Unlock()
	s.answer(w, http.StatusOK, rowsAnswer{Ver: v})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var l []row
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && !x.Tombstone && id.key >= q.Get("from") {
			l = append(l, x)
		}
	}
	v := s.ver
	s.mu.Unlock()
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	a := rowsAnswer{Rows: l, Ver: v}
	if len(l) > limit {
		a.Rows, a.Truncated = l[:limit], true
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var l []row
		for id, x := range s.rows {
			if id.table == q.Get("table") && x.Ver > after {
				l = append(l, x)
			}
		}
		v, changed, silent, away := s.ver, s.changed, s.silent, s.away
		s.mu.Unlock()
		if away {
			s.state(w)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > v {
			// The store does not have the version that the call names.
			s.state(w)
			w.WriteHeader(http.StatusGone)
			return
		}
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		sort.Slice(l, func(i, j int) bool { return l[i].Ver < l[j].Ver })
		if len(l) > 0 {
			s.answer(w, http.StatusOK, rowsAnswer{Rows: l, Ver: v})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, rowsAnswer{Ver: v})
			return
		case <-r.Context().Done():
			return
		}
	}
}
