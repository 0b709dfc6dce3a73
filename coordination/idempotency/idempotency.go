// Package booking lets a call that must not run twice run at most once, by an
// intent that is written to the table before the call is sent.
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

// Call is a call that must not run twice.
type Call struct {
	Request   string
	Workspace lists.WorkspaceID
	Route     string
	// Key is the caller's idempotency key.
	Key string
	// Content is the hash of what the call asks for.
	Content string
}

// Answer is the whole answer of an upstream.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is set when the answer was recorded earlier.
	Replayed bool
}

// Dispatch sends the call. Sent is false only if no byte of it can have
// reached the upstream.
type Dispatch func(c context.Context) (a Answer, sent bool, err error)

// Services are the parts that the booking part works with.
type Services struct {
	Timer    *timer.Service
	Fleet    *fleet.Fleet
	Mesh     *mesh.Mesh
	Table    *provider.Table
	Recorder *timeline.Recorder
	Log      *zap.Logger
	// Instance names this instance in the intents.
	Instance string
	// MeshAddress is where other instances ask about its intents.
	MeshAddress string
}

// Executor runs calls at most once.
type Executor struct {
	Services
	life context.Context

	mu      sync.Mutex
	running map[string]*run
	// abandoned are the intents of this process that were never dispatched.
	abandoned map[string]bool
}

// run is a call that this instance runs now, or whose record is under way.
type run struct {
	nonce  string
	done   chan struct{}
	answer Answer
	err    error
}

const (
	rowPrefix      = "call/"
	nonceBytes     = 16
	recordInterval = 500 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	askTimeout     = 500 * time.Millisecond
	retryAfter     = time.Second
)

// New returns a book. Records of answers go on until life ends.
func New(life context.Context, s Services) *Executor {
	s.Log = s.Log.Named("booking")
	b := &Executor{Services: s, life: life, running: map[string]*run{}, abandoned: map[string]bool{}}
	mesh.Handle(s.Mesh, statusMethod, func(_ context.Context, _ string, q *statusQuery) (*statusReply, error) {
		return b.status(q), nil
	})
	return b
}

const statusMethod = "booking/status"

type statusQuery struct {
	mesh.Message
	// Nonce names one run; Row names the call of any run.
	Nonce string `protobuf:"bytes,1,opt,name=nonce,proto3"`
	Row   string `protobuf:"bytes,2,opt,name=row,proto3"`
}

type statusReply struct {
	mesh.Message
	Running   bool `protobuf:"varint,1,opt,name=running,proto3"`
	Abandoned bool `protobuf:"varint,2,opt,name=abandoned,proto3"`
}

func (b *Executor) status(q *statusQuery) *statusReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &statusReply{Abandoned: b.abandoned[q.Nonce]}
	for id, x := range b.running {
		r.Running = r.Running || x.nonce == q.Nonce || (q.Row != "" && strings.HasPrefix(id, q.Row))
	}
	return r
}

func (k Call) row() string {
	h := sha256.Sum256([]byte(k.Route + "\x00" + k.Key))
	return rowPrefix + string(k.Workspace) + "/" + hex.EncodeToString(h[:])
}

func newNonce() string {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n)
	return hex.EncodeToString(n)
}

// Run runs the call, or returns the answer of an earlier one with the same
// idempotency key. It fails with a *refusal.Refusal that says truly whether
// the call was run. C ends the wait of the caller, not the call.
func (b *Executor) Run(c context.Context, k Call, d Dispatch) (Answer, error) {
	r, own := b.start(k)
	if own {
		go b.perform(k, r, d)
	}
	select {
	case <-r.done:
		return b.result(k, r, own)
	case <-c.Done():
		return Answer{}, refusal.New(refusal.CallRunning, http.StatusConflict, "the call is still running").WithRun(refusal.Unknown)
	}
}

func (b *Executor) result(k Call, r *run, own bool) (Answer, error) {
	a := r.answer
	if !own && r.err == nil {
		a.Replayed = true
		b.record(timeline.Replayed, k, "joined the running call")
	}
	return a, r.err
}

// start returns the run of the call on this instance, and whether it is new.
func (b *Executor) start(k Call) (*run, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := k.row() + "/" + k.Content
	if r, ok := b.running[id]; ok {
		return r, false
	}
	r := &run{nonce: newNonce(), done: make(chan struct{})}
	b.running[id] = r
	return r, true
}

func (b *Executor) finish(k Call, r *run, a Answer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.answer, r.err = a, err
	close(r.done)
}

func (b *Executor) forget(k Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running, k.row()+"/"+k.Content)
}

func (b *Executor) abandon(nonce string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned[nonce] = true
}

func (b *Executor) perform(k Call, r *run, d Dispatch) {
	defer b.forget(k)
	version, earlier, err := b.intend(k, r.nonce)
	if err != nil || earlier != nil {
		a := Answer{}
		if earlier != nil {
			a = *earlier
		}
		b.finish(k, r, a, err)
		return
	}
	b.record(timeline.IntentWritten, k, "")
	a, sent, err := d(b.life)
	switch {
	case err == nil:
		b.finish(k, r, a, nil)
		b.recordAnswer(k, r.nonce, version, a)
	case !sent:
		b.abandon(r.nonce)
		b.finish(k, r, Answer{}, notRun(err))
		b.remove(k, version)
	default:
		b.finish(k, r, Answer{}, refusal.New(refusal.OutcomeUnknown, http.StatusBadGateway,
			"the service may have run the call, but its answer was lost").WithRun(refusal.Unknown))
	}
}

func notRun(err error) error {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.Later(refusal.UpstreamFailed, retryAfter, "the service could not be reached")
}

func (b *Executor) record(kind timeline.Kind, k Call, detail string) {
	b.Recorder.Record(timeline.Event{Part: timeline.Booking, Kind: kind, Request: k.Request, Workspace: string(k.Workspace), Detail: detail})
}

// InFlight returns the number of calls that run or whose record is under way.
func (b *Executor) InFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running)
}
