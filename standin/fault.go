// Package standin holds small stand-ins of the outside systems: the platform,
// an engine and a plain service. They exist for tests and the demo only.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Fault is what a stand-in is told to do wrong.
type Fault struct {
	// Down drops every connection without an answer.
	Down bool
	// SlowMilliseconds delays every answer.
	SlowMilliseconds int64
	// DropAnswers drops this many answers after the write took effect.
	DropAnswers int
	// FailLoads fails this many adapter loads.
	FailLoads int
	// FailAnswers makes every model request end with status 500.
	FailAnswers bool
	// WrongModel makes an engine answer for another model.
	WrongModel bool
	// AnswerWithPreviousID makes an engine answer with the id of the request before.
	AnswerWithPreviousID bool
}

type faultMessage struct {
	Down                 bool  `json:"down"`
	SlowMilliseconds     int64 `json:"slow-milliseconds"`
	DropAnswers          int   `json:"lose-answers"`
	FailLoads            int   `json:"fail-loads"`
	FailAnswers          bool  `json:"fail-answers"`
	WrongModel           bool  `json:"wrong-model"`
	AnswerWithPreviousID bool  `json:"cross-answers"`
}

type faultBox struct {
	mu    sync.Mutex
	fault Fault
}

func (b *faultBox) set(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

func (b *faultBox) get() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

func (b *faultBox) loseAnswer() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault.DropAnswers == 0 {
		return false
	}
	b.fault.DropAnswers--
	return true
}

func (b *faultBox) failLoad() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault.FailLoads == 0 {
		return false
	}
	b.fault.FailLoads--
	return true
}

func (b *faultBox) serveSet(w http.ResponseWriter, r *http.Request) {
	var f faultMessage
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.set(Fault(f))
}

// wrap applies Down and SlowMilliseconds before h.
func (b *faultBox) wrap(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := b.get()
		if f.SlowMilliseconds > 0 {
			pause(r, time.Duration(f.SlowMilliseconds)*time.Millisecond)
		}
		if f.Down {
			dropConnection(w)
			return
		}
		h(w, r)
	}
}

func pause(r *http.Request, d time.Duration) {
	n, stop := clock.Notify(d)
	defer stop()
	select {
	case <-n:
	case <-r.Context().Done():
	}
}

// dropConnection ends the connection with a reset and without an answer.
func dropConnection(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, _, err := h.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
