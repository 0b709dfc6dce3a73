// Package idempotency executes calls with an idempotency key at most once. It writes an intent to
// the table before the call is sent, and the answer afterwards.
package idempotency

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/fleet"
	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/mesh"
	"gentiangauge.example/gentiangauge/transport/provider"
)

// Call is a call that must not be executed twice.
type Call struct {
	Request   string
	Workspace lists.WorkspaceID
	Route     string
	// Key is the caller's idempotency key.
	Key string
	// Content is the hash of the content of the call.
	Content string
}

// Answer is the complete answer of an upstream.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is set if another call with the same key got this answer.
	Replayed bool
}

// Dispatch sends the call. Sent is false only if no byte of the call can have reached the
// upstream.
type Dispatch func(c context.Context) (a Answer, sent bool, err error)

// Services are the dependencies of Executor.
type Services struct {
	Timer    *timer.Service
	Fleet    *fleet.Fleet
	Mesh     *mesh.Mesh
	Table    *provider.Table
	Recorder *timeline.Recorder
	Log      *zap.Logger
	// Instance is the name of this instance in the intents.
	Instance string
	// MeshAddress is the address at which other instances query the status of its intents.
	MeshAddress string
}

// Executor executes calls at most once.
type Executor struct {
	Services
	ctx context.Context

	mu      sync.Mutex
	running map[string]*execution
	// abandoned are the nonces of intents of this process whose calls were never sent.
	abandoned map[string]bool
}

// execution is a call that this instance is executing, or whose answer it is recording.
type execution struct {
	nonce  string
	done   chan struct{}
	answer Answer
	err    error
}

const (
	rowPrefix           = "call/"
	nonceBytes          = 16
	recordRetryInterval = 500 * time.Millisecond
	pollInterval        = 100 * time.Millisecond
	statusTimeout       = 500 * time.Millisecond
	retryAfter          = time.Second
)

// New returns an Executor. It records answers until c ends.
func New(c context.Context, s Services) *Executor {
	s.Log = s.Log.Named("booking")
	e := &Executor{Services: s, ctx: c, running: map[string]*execution{}, abandoned: map[string]bool{}}
	mesh.Handle(s.Mesh, statusMethod, func(_ context.Context, _ string, q *statusRequest) (*statusReply, error) {
		return e.status(q), nil
	})
	return e
}

const statusMethod = "booking/status"

type statusRequest struct {
	mesh.Message
	// Nonce identifies one execution, Row any execution of a call.
	Nonce string `protobuf:"bytes,1,opt,name=nonce,proto3"`
	Row   string `protobuf:"bytes,2,opt,name=row,proto3"`
}

type statusReply struct {
	mesh.Message
	Running   bool `protobuf:"varint,1,opt,name=running,proto3"`
	Abandoned bool `protobuf:"varint,2,opt,name=abandoned,proto3"`
}

func (e *Executor) status(q *statusRequest) *statusReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &statusReply{Abandoned: e.abandoned[q.Nonce]}
	for id, x := range e.running {
		r.Running = r.Running || x.nonce == q.Nonce || (q.Row != "" && strings.HasPrefix(id, q.Row))
	}
	return r
}

// row returns the key of the table row of the call.
func (k Call) row() string {
	h := sha256.Sum256([]byte(k.Route + "\x00" + k.Key))
	return rowPrefix + string(k.Workspace) + "/" + hex.EncodeToString(h[:])
}

func newNonce() string {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n)
	return hex.EncodeToString(n)
}

// Run executes the call, or returns the answer of an earlier call with the same idempotency key.
// It fails with a *refusal.Refusal that states whether the call was executed, or with an error if
// the stored call cannot be decoded. If c ends, Run returns but the call continues.
func (e *Executor) Run(c context.Context, k Call, d Dispatch) (Answer, error) {
	r, started := e.startOrJoin(k)
	if started {
		go e.execute(k, r, d)
	}
	select {
	case <-r.done:
		return e.result(k, r, started)
	case <-c.Done():
		return Answer{}, refusal.New(refusal.CallRunning, http.StatusConflict, "the call is still running").WithRun(refusal.Unknown)
	}
}

func (e *Executor) result(k Call, r *execution, started bool) (Answer, error) {
	a := r.answer
	if !started && r.err == nil {
		a.Replayed = true
		e.recordEvent(timeline.Replayed, k, "joined the running call")
	}
	return a, r.err
}

// startOrJoin returns the execution of the call on this instance, and whether it is new.
func (e *Executor) startOrJoin(k Call) (*execution, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := k.row() + "/" + k.Content
	if r, ok := e.running[id]; ok {
		return r, false
	}
	r := &execution{nonce: newNonce(), done: make(chan struct{})}
	e.running[id] = r
	return r, true
}

func (e *Executor) finish(k Call, r *execution, a Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.answer, r.err = a, err
	close(r.done)
}

func (e *Executor) removeExecution(k Call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, k.row()+"/"+k.Content)
}

func (e *Executor) markAbandoned(nonce string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned[nonce] = true
}

func (e *Executor) execute(k Call, r *execution, d Dispatch) {
	defer e.removeExecution(k)
	version, earlier, err := e.writeIntent(k, r.nonce)
	if err != nil || earlier != nil {
		a := Answer{}
		if earlier != nil {
			a = *earlier
		}
		e.finish(k, r, a, err)
		return
	}
	e.recordEvent(timeline.IntentWritten, k, "")
	a, sent, err := d(e.ctx)
	switch {
	case err == nil:
		e.finish(k, r, a, nil)
		e.recordAnswer(k, r.nonce, version, a)
	case !sent:
		e.markAbandoned(r.nonce)
		e.finish(k, r, Answer{}, notRunError(err))
		e.removeIntent(k, version)
	default:
		e.finish(k, r, Answer{}, refusal.New(refusal.OutcomeUnknown, http.StatusBadGateway,
			"the service may have run the call, but its answer was lost").WithRun(refusal.Unknown))
	}
}

// notRunError returns the refusal for a call that was not sent because of err.
func notRunError(err error) error {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.Later(refusal.UpstreamFailed, retryAfter, "the service could not be reached")
}

func (e *Executor) recordEvent(kind timeline.Kind, k Call, detail string) {
	e.Recorder.Record(timeline.Event{Part: timeline.Booking, Kind: kind, Request: k.Request, Workspace: string(k.Workspace), Detail: detail})
}

// InFlight returns the number of calls being executed or recorded.
func (e *Executor) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}
