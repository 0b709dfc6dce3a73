// Command probe plays the cases of a review: it starts entries as separate processes beside stand-ins of the
// platform's store, of replicas and of clients, and judges what these have seen.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held = iota
	broken
	failed
)

// scene is what the cases share.
type scene struct {
	trouble bool
	folder  string
	store   *store
	record  *bufio.Writer
	mu      sync.Mutex
	began   time.Time
	runs    []run
	config  map[string]any
}

// note writes a line to the record, with the seconds since the start.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scene) since(t time.Time) float64 { return t.Sub(s.began).Seconds() }

func (s *scene) ran(x run) {
	s.mu.Lock()
	s.runs = append(s.runs, x)
	s.mu.Unlock()
	s.note("%s runs %s of tenant %q: adapter %q version %d, %d tokens, arrived at %.3f", x.replica, x.id, x.tenant, x.adapter, x.version, x.tokens, s.since(x.arrived))
}

func (s *scene) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// request is a request of a client.
type request struct {
	method, path, id string
	key, adapter     string
	tokens           string
	deadline         time.Duration
	gap              time.Duration
	header           map[string]string
	client           *http.Client
}

// send sends a request to a front address and reads the whole answer. If gap is set, the client abandons the
// request after a pause of that length before the first byte or between two.
func (s *scene) send(front string, q request) answer {
	c, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var body io.Reader
	if q.method == http.MethodPost {
		body = strings.NewReader("body of " + q.id)
	}
	r, err := http.NewRequestWithContext(c, q.method, "http://"+front+q.path, body)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.adapter != "" {
		r.Header.Set("X-Model", model+"/"+q.adapter)
	}
	if q.tokens != "" {
		r.Header.Set("X-Token-Usage", q.tokens)
	}
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	k := q.client
	if k == nil {
		t := &http.Transport{DisableKeepAlives: true}
		k = &http.Client{Transport: t}
	}
	if q.gap > 0 {
		watch := time.AfterFunc(q.gap, cancel)
		defer watch.Stop()
		return s.receive(k, r, func() { watch.Reset(q.gap) })
	}
	return s.receive(k, r, func() {})
}

func (s *scene) receive(k *http.Client, r *http.Request, heard func()) answer {
	a, err := k.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := a.Body.Read(buf)
		heard()
		b.Write(buf[:n])
		if err == io.EOF {
			return answer{status: a.StatusCode, header: a.Header, body: b.String()}
		}
		if err != nil {
			return answer{status: a.StatusCode, header: a.Header, body: b.String(), err: err}
		}
	}
}

const host = "shop.example"

// cases has the cases by name.
var cases = map[string]func(*scene) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE RECORD, in the repository")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(f), began: time.Now()}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.record.Flush()
	}()
	s.folder, err = os.MkdirTemp("", "probe")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(s.folder)
	} else {
		fmt.Println(s.folder)
	}
	if s.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.store.note = s.note
	result, err := cases[name](s)
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return failed
	}
	text := map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN"}[result]
	s.note("%s", text)
	fmt.Println(text)
	return result
}
