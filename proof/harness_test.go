// Package proof_test proves what must always hold, with fleets of real
// instances under failures. docs/proof.md lists the points.
package proof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/catalog"
	"gentiangauge.example/gentiangauge/instance"
	"gentiangauge.example/gentiangauge/settings"
	"gentiangauge.example/gentiangauge/standin"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/provider"
)

const (
	leaseTime = 1500 * time.Millisecond
	// patience is far above what any wait should take.
	patience = 30 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "gentiangauge")
	if out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// node is one entry instance: a process, or parts in this process.
type node struct {
	name     string
	address  string
	mesh     string
	operator string
	process  *exec.Cmd
	ended    chan struct{}
	inside   *instance.Instance
	stop     context.CancelFunc
	// cut holds the mesh addresses that this node cannot reach.
	cut   map[string]bool
	table bool
	wrote bool
	mu    sync.Mutex
}

// ran is a request as an engine saw it begin.
type ran struct {
	id     string
	model  string
	tokens int
	at     time.Time
}

// world is a fleet with stand-ins of everything outside it.
type world struct {
	t        testing.TB
	platform *standin.Platform
	address  string
	engines  map[string]*standin.Engine
	service  *standin.Service
	servers  map[string]*httptest.Server
	nodes    []*node
	options  options
	client   *http.Client
	// loseFirst cuts each node from the table for this long as its first
	// write takes effect, so that the answer is lost.
	loseFirst time.Duration

	mu  sync.Mutex
	ran []ran
}

type options struct {
	engines     int
	slots       int
	concurrency int
	checks      bool
	tokenTime   time.Duration
	extra       string
}

func newWorld(t testing.TB, o options) *world {
	t.Helper()
	w := &world{t: t, platform: standin.NewPlatform(), engines: map[string]*standin.Engine{}, servers: map[string]*httptest.Server{}, options: o}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	s := httptest.NewServer(w.platform.Handler())
	t.Cleanup(s.Close)
	w.address = s.Listener.Addr().String()
	for i := range o.engines {
		w.addEngine(fmt.Sprintf("engine-%d", i+1))
	}
	w.service = standin.NewService("application")
	x := httptest.NewServer(w.service.Handler())
	t.Cleanup(x.Close)
	w.platform.SetInstance("application-1", provider.KindUpstream, "application", "zone-1", x.Listener.Addr().String(), "", "live")
	return w
}

func (w *world) addEngine(name string) {
	e := standin.NewEngine(standin.EngineConfig{WeightsAddress: w.address, Slots: w.options.slots, StepTime: w.options.tokenTime, ChecksFencing: w.options.checks})
	e.OnRequest = func(id, model string, tokens int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ran = append(w.ran, ran{id: id, model: model, tokens: tokens, at: time.Now()})
	}
	s := httptest.NewServer(e.Handler())
	w.t.Cleanup(s.Close)
	w.engines[name] = e
	w.servers[name] = s
	w.platform.SetInstance(name, provider.KindUpstream, "model", "zone-1", s.Listener.Addr().String(), "", "live")
}

func (w *world) runs() []ran {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ran(nil), w.ran...)
}

var (
	givenMu sync.Mutex
	given   = map[string]bool{}
)

// freeAddress returns an address that no other node of this run got.
func freeAddress(t testing.TB) string {
	t.Helper()
	givenMu.Lock()
	defer givenMu.Unlock()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		a := l.Addr().String()
		_ = l.Close()
		if !given[a] {
			given[a] = true
			return a
		}
	}
}

const settingsText = `[instance]
name = %s
zone = zone-1
address = %s
mesh-address = %s
operator-address = %s
log-level = error

[platform]
table-address = %s
object-address = %s
directory-address = %s
timeout-milliseconds = 500

[lease]
duration-milliseconds = 1500
renewal-milliseconds = 250
ping-milliseconds = 250
suspicion-milliseconds = 900
answer-grace-milliseconds = 1000

[caller]
address-seconds = 1
%s

[pool model]
kind = engine
adapter-slots = %d
concurrency = %d
fencing = %s

[pool application]
kind = service

[route orders]
prefix = /orders
pool = application
access = keyed
idempotent = no

[route catalogue]
prefix = /catalogue
pool = application
access = open
idempotent = yes
`

func (w *world) newNode(name string) (*node, string) {
	n := &node{name: name, address: freeAddress(w.t), mesh: freeAddress(w.t), operator: freeAddress(w.t), cut: map[string]bool{}, table: true}
	fencing := "ignored"
	if w.options.checks {
		fencing = "checked"
	}
	concurrency := w.options.concurrency
	if concurrency == 0 {
		concurrency = 16
	}
	text := fmt.Sprintf(settingsText, name, n.address, n.mesh, n.operator, w.address, w.address, w.address, w.options.extra, w.options.slots, concurrency, fencing)
	w.nodes = append(w.nodes, n)
	w.list(n, "live")
	return n, text
}

func (w *world) list(n *node, state string) {
	w.platform.SetInstance(n.name, provider.KindEntry, "", "zone-1", n.address, n.mesh, state)
}

// startProcess starts an instance as a process of its own.
func (w *world) startProcess(name string) *node {
	w.t.Helper()
	n, text := w.newNode(name)
	file := filepath.Join(w.t.TempDir(), name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	n.process = exec.Command(binary, "instance", "--settings", file)
	n.process.Stderr = os.Stderr
	if err := n.process.Start(); err != nil {
		w.t.Fatal(err)
	}
	n.ended = make(chan struct{})
	go func() {
		_ = n.process.Wait()
		close(n.ended)
	}()
	w.t.Cleanup(func() {
		_ = n.process.Process.Kill()
		<-n.ended
	})
	return n
}

// startInside starts an instance inside this process, with seams that cut it
// off.
func (w *world) startInside(name string) *node {
	w.t.Helper()
	n, text := w.newNode(name)
	s, err := settings.Parse(name, []byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	n.inside = instance.New(s, zap.NewNop())
	w.seams(n)
	c, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.ended = make(chan struct{})
	go func() {
		defer close(n.ended)
		_ = n.inside.Run(c)
	}()
	w.t.Cleanup(func() {
		n.inside.Kill()
		cancel()
	})
	return n
}

func (w *world) seams(n *node) {
	dial := n.inside.Mesh.Dial
	n.inside.Mesh.Dial = func(c context.Context, a string) (net.Conn, error) {
		if n.isCut(a) {
			return nil, io.ErrClosedPipe
		}
		return dial(c, a)
	}
	list, transact := n.inside.Table.List, n.inside.Table.Transact
	n.inside.Table.List = func(c context.Context, prefix, after string, limit int) ([]provider.Row, error) {
		if !n.reachesTable() {
			return nil, provider.ErrUnavailable
		}
		return list(c, prefix, after, limit)
	}
	n.inside.Table.Transact = func(c context.Context, t provider.Transaction) error {
		if !n.reachesTable() {
			return provider.ErrUnavailable
		}
		err := transact(c, t)
		if err == nil && n.firstWrite() && w.loseFirst > 0 {
			n.setTable(false)
			time.AfterFunc(w.loseFirst, func() { n.setTable(true) })
			return provider.ErrUnavailable
		}
		return err
	}
}

func (n *node) firstWrite() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	first := !n.wrote
	n.wrote = true
	return first
}

func (n *node) setTable(reachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table = reachable
}

func (n *node) isCut(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[address]
}

func (n *node) reachesTable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table
}

// setCut cuts or heals the mesh between two nodes in both directions.
func setCut(a, b *node, cut bool) {
	for _, p := range [][2]*node{{a, b}, {b, a}} {
		p[0].mu.Lock()
		p[0].cut[p[1].mesh] = cut
		p[0].mu.Unlock()
		p[0].inside.Mesh.Disconnect(p[1].mesh)
	}
}

// isolate cuts a node from the table and from all peers.
func (w *world) isolate(n *node, cut bool) {
	n.mu.Lock()
	n.table = !cut
	n.mu.Unlock()
	for _, o := range w.nodes {
		if o != n {
			setCut(n, o, cut)
		}
	}
}

func (n *node) signal(s syscall.Signal) {
	_ = n.process.Process.Signal(s)
}

func (w *world) kill(n *node) {
	n.signal(syscall.SIGKILL)
	<-n.ended
	w.list(n, "gone")
}

type status struct {
	Seat    string `json:"seat"`
	Epoch   int64  `json:"epoch"`
	Members int    `json:"members"`
	Version int64  `json:"lists-version"`
	Serving bool   `json:"serving"`
}

func (w *world) status(n *node) (status, bool) {
	var s status
	c, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(c, http.MethodGet, "http://"+n.operator+"/v1/status", nil)
	a, err := w.client.Do(r)
	if err != nil {
		return s, false
	}
	defer a.Body.Close()
	return s, json.NewDecoder(a.Body).Decode(&s) == nil
}

// eventually waits until f holds.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("did not happen in %s: %s", patience, what)
}

// ready waits until the nodes form one roster and serve.
func (w *world) ready(nodes ...*node) {
	w.t.Helper()
	eventually(w.t, "the nodes form one roster", func() bool {
		for _, n := range nodes {
			if s, ok := w.status(n); !ok || !s.Serving || s.Seat == "" || s.Members != len(nodes) {
				return false
			}
		}
		return true
	})
}

func (w *world) writer() *catalog.Writer {
	return catalog.NewWriter(provider.NewTable(w.address, time.Second), provider.NewObjects(w.address, time.Second))
}

type planSpec struct {
	workspace string
	rate      int
	burst     int
	adapters  []string
}

// apply makes the lists and returns a key for each workspace.
func (w *world) apply(specs ...planSpec) map[string]string {
	w.t.Helper()
	var plans, uses strings.Builder
	for _, s := range specs {
		fmt.Fprintf(&plans, "[workspace %s]\nplan = plan-%s\n", s.workspace, s.workspace)
		fmt.Fprintf(&uses, "[plan plan-%s]\nrate-tokens-per-second = %d\nburst-tokens = %d\n", s.workspace, s.rate, s.burst)
		for _, a := range s.adapters {
			fmt.Fprintf(&uses, "adapter = %s\n", a)
		}
	}
	want, err := lists.Parse(lists.File{Name: "plans", Data: []byte(plans.String())}, lists.File{Name: "uses", Data: []byte(uses.String())})
	if err != nil {
		w.t.Fatal(err)
	}
	keys := map[string]string{}
	v, err := w.writer().Commit(context.Background(), func(now *lists.State) ([]lists.Step, error) {
		steps := now.Diff(want)
		for i, s := range specs {
			key := fmt.Sprintf("gg-%040x", i+1)
			keys[s.workspace] = key
			steps = append(steps, lists.Step{Action: lists.AddKey, Key: lists.KeyID("key-" + s.workspace), Workspace: lists.WorkspaceID(s.workspace), Hash: lists.HashKey(key)})
		}
		return steps, nil
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.installed(int64(v))
	return keys
}

// installed waits until every running node has installed a version.
func (w *world) installed(v int64) {
	w.t.Helper()
	eventually(w.t, "the version is installed", func() bool {
		for _, n := range w.nodes {
			if n.ended != nil {
				select {
				case <-n.ended:
					continue
				default:
				}
			}
			if s, ok := w.status(n); !ok || s.Version < v {
				return false
			}
		}
		return true
	})
}

func (w *world) withdraw(id string) {
	w.t.Helper()
	_, err := w.writer().Commit(context.Background(), func(*lists.State) ([]lists.Step, error) {
		return []lists.Step{{Action: lists.RevokeKey, Key: lists.KeyID(id)}}, nil
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole is false when the answer broke off.
	whole bool
	err   error
}

type errorAnswer struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func (a answer) code() string {
	var e errorAnswer
	_ = json.Unmarshal([]byte(a.body), &e)
	return e.Error.Code
}

func (a answer) run() string {
	var e errorAnswer
	_ = json.Unmarshal([]byte(a.body), &e)
	return e.Error.Run
}

func (w *world) send(n *node, method, path, key, body string, headers ...string) answer {
	c, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return w.sendWith(c, n, method, path, key, body, headers...)
}

func (w *world) sendWith(c context.Context, n *node, method, path, key, body string, headers ...string) answer {
	r, err := http.NewRequestWithContext(c, method, "http://"+n.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := w.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return answer{status: a.StatusCode, header: a.Header, body: string(b), whole: err == nil, err: err}
}

func chat(model string, tokens int, text string) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, text)
}

func streamed(model string, tokens int, text string) string {
	return strings.Replace(chat(model, tokens, text), "{", `{"stream":true,`, 1)
}

const chatPath = "/v1/chat/completions"

func (w *world) chat(n *node, key, model string, tokens int) answer {
	return w.send(n, http.MethodPost, chatPath, key, chat(model, tokens, "hello"))
}

func (w *world) engineStats(name string) map[string]any {
	a, err := w.client.Get("http://" + w.servers[name].Listener.Addr().String() + "/stats")
	if err != nil {
		w.t.Fatal(err)
	}
	defer a.Body.Close()
	m := map[string]any{}
	if err := json.NewDecoder(a.Body).Decode(&m); err != nil {
		w.t.Fatal(err)
	}
	return m
}

// engineSum adds a count over all engines.
func (w *world) engineSum(field string) int {
	n := 0
	for name := range w.engines {
		if v, ok := w.engineStats(name)[field].(float64); ok {
			n += int(v)
		}
	}
	return n
}

func (w *world) platformStat(field string) int {
	a, err := w.client.Get("http://" + w.address + "/stats")
	if err != nil {
		w.t.Fatal(err)
	}
	defer a.Body.Close()
	m := map[string]int{}
	if err := json.NewDecoder(a.Body).Decode(&m); err != nil {
		w.t.Fatal(err)
	}
	return m[field]
}
