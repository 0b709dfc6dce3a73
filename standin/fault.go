// Package standin contains small test doubles of the external systems: the platform, a model
// engine and a plain service. Only the tests, the demo and the load runs use them.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Fault selects the failures that a stand-in simulates. The zero value is fault-free.
type Fault struct {
	// Down resets every connection without an answer.
	Down bool
	// SlowMilliseconds is the delay of every answer.
	SlowMilliseconds int64
	// DropAnswers is the number of answers to drop after their write has taken effect.
	DropAnswers int
	// FailLoads is the number of adapter loads to fail.
	FailLoads int
	// FailAnswers makes an engine answer every completion request with status 500.
	FailAnswers bool
	// WrongModel makes an engine name another model in its responses.
	WrongModel bool
	// AnswerWithPreviousID makes an engine answer each request with the id of the
	// preceding request.
	AnswerWithPreviousID bool
}

// faultMessage is the JSON form of Fault.
type faultMessage struct {
	Down                 bool  `json:"down"`
	SlowMilliseconds     int64 `json:"slow-milliseconds"`
	DropAnswers          int   `json:"lose-answers"`
	FailLoads            int   `json:"fail-loads"`
	FailAnswers          bool  `json:"fail-answers"`
	WrongModel           bool  `json:"wrong-model"`
	AnswerWithPreviousID bool  `json:"cross-answers"`
}

// faultState holds the current fault of a stand-in.
type faultState struct {
	mu    sync.Mutex
	fault Fault
}

func (b *faultState) set(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

func (b *faultState) get() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

// takeDroppedAnswer reports whether to drop this answer, and counts it off DropAnswers.
func (b *faultState) takeDroppedAnswer() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault.DropAnswers == 0 {
		return false
	}
	b.fault.DropAnswers--
	return true
}

// takeFailedLoad reports whether to fail this load, and counts it off FailLoads.
func (b *faultState) takeFailedLoad() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault.FailLoads == 0 {
		return false
	}
	b.fault.FailLoads--
	return true
}

// serveSetFault replaces the fault by that in the request body.
func (b *faultState) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var f faultMessage
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.set(Fault(f))
}

// wrap returns a handler that applies SlowMilliseconds and Down before it calls h.
func (b *faultState) wrap(h http.HandlerFunc) http.HandlerFunc {
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

// pause waits for d or until the caller disconnects.
func pause(r *http.Request, d time.Duration) {
	n, stop := clock.Notify(d)
	defer stop()
	select {
	case <-n:
	case <-r.Context().Done():
	}
}

// dropConnection closes the connection with a TCP reset and without an answer.
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
