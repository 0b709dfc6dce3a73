// Package proof_test checks the guarantees of the project end to end, with fleets of real
// instances under injected failures. docs/proof.md lists the guarantees.
//
// The harness starts instances as processes, which tests freeze and kill, or in the test
// process, where they cut off single connections. The platform, the engines and the
// application service are stand-ins.
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
	// leaseTime is the lease duration in settingsTemplate.
	leaseTime = 1500 * time.Millisecond
	// waitTimeout limits each wait for a condition or response. It is far above what any
	// of them should take.
	waitTimeout = 30 * time.Second
)

// binary is the path of the program, which TestMain builds.
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

// node is one entry instance. It runs either as a process (process is set) or in the test
// process (instance and cancel are set).
type node struct {
	name            string
	address         string
	meshAddress     string
	operatorAddress string
	process         *exec.Cmd
	exited          chan struct{}
	instance        *instance.Instance
	cancel          context.CancelFunc
	// blocked holds the mesh addresses that this node cannot reach. Like the fields below
	// it is guarded by mu and used only for nodes in the test process.
	blocked        map[string]bool
	tableReachable bool
	hasWritten     bool
	mu             sync.Mutex
}

// engineRun records that an engine started to run a request.
type engineRun struct {
	id        string
	model     string
	tokens    int
	startedAt time.Time
}

// harness is a fleet of instances with stand-ins for the platform, the engines and the
// application service.
type harness struct {
	t               testing.TB
	platform        *standin.Platform
	platformAddress string
	engines         map[string]*standin.Engine
	service         *standin.Service
	servers         map[string]*httptest.Server
	nodes           []*node
	options         options
	client          *http.Client
	// loseFirstWrite, if positive, drops the response to the first write of each node
	// after the write took effect, and keeps the table unreachable for this long.
	loseFirstWrite time.Duration

	mu       sync.Mutex
	recorded []engineRun
}

// options configures a harness. slots, concurrency (16 if 0) and checksFencing hold for
// each engine; callerSettings are further lines of the section [caller].
type options struct {
	engines        int
	slots          int
	concurrency    int
	checksFencing  bool
	stepTime       time.Duration
	callerSettings string
	// descriptors limits the open descriptors of each process, unless it is 0.
	descriptors int
}

// newHarness starts the stand-ins. It starts no instance.
func newHarness(t testing.TB, o options) *harness {
	t.Helper()
	w := &harness{t: t, platform: standin.NewPlatform(), engines: map[string]*standin.Engine{}, servers: map[string]*httptest.Server{}, options: o}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	s := httptest.NewServer(w.platform.Handler())
	t.Cleanup(s.Close)
	w.platformAddress = s.Listener.Addr().String()
	for i := range o.engines {
		w.addEngine(fmt.Sprintf("engine-%d", i+1))
	}
	w.service = standin.NewService("application")
	x := httptest.NewServer(w.service.Handler())
	t.Cleanup(x.Close)
	w.platform.SetInstance("application-1", provider.KindUpstream, "application", "zone-1", x.Listener.Addr().String(), "", "live")
	return w
}

func (w *harness) addEngine(name string) {
	e := standin.NewEngine(standin.EngineConfig{WeightsAddress: w.platformAddress, Slots: w.options.slots, StepTime: w.options.stepTime, ChecksFencing: w.options.checksFencing})
	e.OnRequest = func(id, model string, tokens int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.recorded = append(w.recorded, engineRun{id: id, model: model, tokens: tokens, startedAt: time.Now()})
	}
	s := httptest.NewServer(e.Handler())
	w.t.Cleanup(s.Close)
	w.engines[name] = e
	w.servers[name] = s
	w.platform.SetInstance(name, provider.KindUpstream, "model", "zone-1", s.Listener.Addr().String(), "", "live")
}

// engineRuns returns all requests that engines have started so far.
func (w *harness) engineRuns() []engineRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]engineRun(nil), w.recorded...)
}

var (
	usedMu        sync.Mutex
	usedAddresses = map[string]bool{}
)

// freeAddress returns a free local address that it has not returned before in this
// process: the system may offer the same port again before its node listens on it.
func freeAddress(t testing.TB) string {
	t.Helper()
	usedMu.Lock()
	defer usedMu.Unlock()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		a := l.Addr().String()
		_ = l.Close()
		if !usedAddresses[a] {
			usedAddresses[a] = true
			return a
		}
	}
}

const settingsTemplate = `[instance]
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

// newNode adds a node, lists it as live in the directory and returns it with the text of
// its settings. It does not start the instance.
func (w *harness) newNode(name string) (*node, string) {
	n := &node{name: name, address: freeAddress(w.t), meshAddress: freeAddress(w.t), operatorAddress: freeAddress(w.t), blocked: map[string]bool{}, tableReachable: true}
	fencing := "ignored"
	if w.options.checksFencing {
		fencing = "checked"
	}
	concurrency := w.options.concurrency
	if concurrency == 0 {
		concurrency = 16
	}
	text := fmt.Sprintf(settingsTemplate, name, n.address, n.meshAddress, n.operatorAddress, w.platformAddress, w.platformAddress, w.platformAddress, w.options.callerSettings, w.options.slots, concurrency, fencing)
	w.nodes = append(w.nodes, n)
	w.setDirectoryState(n, "live")
	return n, text
}

// setDirectoryState sets the state of a node in the platform's directory: live, leaving or
// gone.
func (w *harness) setDirectoryState(n *node, state string) {
	w.platform.SetInstance(n.name, provider.KindEntry, "", "zone-1", n.address, n.meshAddress, state)
}

// startProcess starts an instance as a process of its own.
func (w *harness) startProcess(name string) *node {
	w.t.Helper()
	n, text := w.newNode(name)
	file := filepath.Join(w.t.TempDir(), name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	n.process = exec.Command(binary, "instance", "--settings", file)
	if w.options.descriptors > 0 {
		n.process = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$@\"", w.options.descriptors), "sh", binary, "instance", "--settings", file)
	}
	n.process.Stderr = os.Stderr
	if err := n.process.Start(); err != nil {
		w.t.Fatal(err)
	}
	n.exited = make(chan struct{})
	go func() {
		_ = n.process.Wait()
		close(n.exited)
	}()
	w.t.Cleanup(func() {
		_ = n.process.Process.Kill()
		<-n.exited
	})
	return n
}

// startInProcess starts an instance in the test process, so that its connections to the
// mesh and the table can be cut off one by one.
func (w *harness) startInProcess(name string) *node {
	w.t.Helper()
	n, text := w.newNode(name)
	s, err := settings.Parse(name, []byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	n.instance = instance.New(s, zap.NewNop())
	w.injectFaults(n)
	c, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.exited = make(chan struct{})
	go func() {
		defer close(n.exited)
		_ = n.instance.Run(c)
	}()
	w.t.Cleanup(func() {
		n.instance.Kill()
		cancel()
	})
	return n
}

// injectFaults wraps the mesh dialer and the table client of a node, so that they fail
// while the node is cut off.
func (w *harness) injectFaults(n *node) {
	dial := n.instance.Mesh.Dial
	n.instance.Mesh.Dial = func(c context.Context, a string) (net.Conn, error) {
		if n.isBlocked(a) {
			return nil, io.ErrClosedPipe
		}
		return dial(c, a)
	}
	list, transact := n.instance.Table.List, n.instance.Table.Transact
	n.instance.Table.List = func(c context.Context, prefix, after string, limit int) ([]provider.Row, error) {
		if !n.canReachTable() {
			return nil, provider.ErrUnavailable
		}
		return list(c, prefix, after, limit)
	}
	n.instance.Table.Transact = func(c context.Context, t provider.Transaction) error {
		if !n.canReachTable() {
			return provider.ErrUnavailable
		}
		err := transact(c, t)
		if err == nil && n.firstWrite() && w.loseFirstWrite > 0 {
			n.setTableReachable(false)
			time.AfterFunc(w.loseFirstWrite, func() { n.setTableReachable(true) })
			return provider.ErrUnavailable
		}
		return err
	}
}

// firstWrite reports whether it is called for the first time.
func (n *node) firstWrite() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	first := !n.hasWritten
	n.hasWritten = true
	return first
}

func (n *node) setTableReachable(reachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tableReachable = reachable
}

func (n *node) isBlocked(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[address]
}

func (n *node) canReachTable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tableReachable
}

// setBlocked blocks or unblocks the mesh between two nodes in both directions.
func setBlocked(a, b *node, blocked bool) {
	for _, p := range [][2]*node{{a, b}, {b, a}} {
		p[0].mu.Lock()
		p[0].blocked[p[1].meshAddress] = blocked
		p[0].mu.Unlock()
		p[0].instance.Mesh.Disconnect(p[1].meshAddress)
	}
}

// isolate blocks or unblocks a node's connections to the table and to all peers.
func (w *harness) isolate(n *node, blocked bool) {
	n.mu.Lock()
	n.tableReachable = !blocked
	n.mu.Unlock()
	for _, o := range w.nodes {
		if o != n {
			setBlocked(n, o, blocked)
		}
	}
}

func (n *node) signal(s syscall.Signal) {
	_ = n.process.Process.Signal(s)
}

// freeze stops the process of a node, and returns once all of its threads stand still: on a busy machine they
// run on for a while after the signal.
func (n *node) freeze(t *testing.T) {
	t.Helper()
	n.signal(syscall.SIGSTOP)
	tasks := fmt.Sprintf("/proc/%d/task", n.process.Process.Pid)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		stopped, l := 0, threads(t, tasks)
		for _, x := range l {
			b, err := os.ReadFile(filepath.Join(tasks, x, "stat"))
			if _, state, ok := strings.Cut(string(b), ") "); err == nil && ok && strings.HasPrefix(state, "T") {
				stopped++
			}
		}
		if stopped == len(l) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d threads have stopped", stopped, len(l))
		}
	}
}

func threads(t *testing.T, folder string) (names []string) {
	t.Helper()
	l, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range l {
		names = append(names, x.Name())
	}
	return names
}

// kill ends the process of a node with SIGKILL and lists it as gone.
func (w *harness) kill(n *node) {
	n.signal(syscall.SIGKILL)
	<-n.exited
	w.setDirectoryState(n, "gone")
}

type status struct {
	Seat    string `json:"seat"`
	Epoch   int64  `json:"epoch"`
	Members int    `json:"members"`
	Version int64  `json:"lists-version"`
	Serving bool   `json:"serving"`
}

// status returns the status of a node, and false if it does not answer.
func (w *harness) status(n *node) (status, bool) {
	var s status
	c, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(c, http.MethodGet, "http://"+n.operatorAddress+"/v1/status", nil)
	a, err := w.client.Do(r)
	if err != nil {
		return s, false
	}
	defer a.Body.Close()
	return s, json.NewDecoder(a.Body).Decode(&s) == nil
}

// eventually polls f until it returns true. It fails the test after waitTimeout.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", waitTimeout, what)
}

// waitReady waits until all nodes serve and are the members of one roster.
func (w *harness) waitReady(nodes ...*node) {
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

func (w *harness) writer() *catalog.Writer {
	return catalog.NewWriter(provider.NewTable(w.platformAddress, time.Second), provider.NewObjects(w.platformAddress, time.Second))
}

// planSpec is a workspace with a plan of its own; rate is in tokens a second, burst in
// tokens.
type planSpec struct {
	workspace string
	rate      int
	burst     int
	adapters  []string
}

// applyPlans commits the plans with one key for each workspace, waits until all instances
// have installed them and returns the keys.
func (w *harness) applyPlans(specs ...planSpec) map[string]string {
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
	w.waitInstalled(int64(v))
	return keys
}

// waitInstalled waits until every running node has installed version v or a later one.
func (w *harness) waitInstalled(v int64) {
	w.t.Helper()
	eventually(w.t, "the version is installed", func() bool {
		for _, n := range w.nodes {
			if n.exited != nil {
				select {
				case <-n.exited:
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

// revokeKey commits the revocation of a key. It does not wait until it is in force.
func (w *harness) revokeKey(id string) {
	w.t.Helper()
	_, err := w.writer().Commit(context.Background(), func(*lists.State) ([]lists.Step, error) {
		return []lists.Step{{Action: lists.RevokeKey, Key: lists.KeyID(id)}}, nil
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// complete is false if the body was truncated.
	complete bool
	err      error
}

type errorResponse struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func (a response) code() string {
	var e errorResponse
	_ = json.Unmarshal([]byte(a.body), &e)
	return e.Error.Code
}

func (a response) run() string {
	var e errorResponse
	_ = json.Unmarshal([]byte(a.body), &e)
	return e.Error.Run
}

// send sends a request with waitTimeout; headers are pairs of name and value.
func (w *harness) send(n *node, method, path, key, body string, headers ...string) response {
	c, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return w.sendWith(c, n, method, path, key, body, headers...)
}

func (w *harness) sendWith(c context.Context, n *node, method, path, key, body string, headers ...string) response {
	r, err := http.NewRequestWithContext(c, method, "http://"+n.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := w.client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return response{status: a.StatusCode, header: a.Header, body: string(b), complete: err == nil, err: err}
}

// chatBody returns the body of a chat completion request.
func chatBody(model string, tokens int, text string) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, text)
}

func streamedChatBody(model string, tokens int, text string) string {
	return strings.Replace(chatBody(model, tokens, text), "{", `{"stream":true,`, 1)
}

const chatPath = "/v1/chat/completions"

func (w *harness) sendChat(n *node, key, model string, tokens int) response {
	return w.send(n, http.MethodPost, chatPath, key, chatBody(model, tokens, "hello"))
}

// engineStats returns the counters of an engine.
func (w *harness) engineStats(name string) map[string]any {
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

// sumEngineStats returns the sum of one counter over all engines.
func (w *harness) sumEngineStats(field string) int {
	n := 0
	for name := range w.engines {
		if v, ok := w.engineStats(name)[field].(float64); ok {
			n += int(v)
		}
	}
	return n
}

// platformStat returns a counter of the platform.
func (w *harness) platformStat(field string) int {
	a, err := w.client.Get("http://" + w.platformAddress + "/stats")
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
