// Package refusal defines the typed errors that a caller gets instead of the
// response of an upstream.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool stringer -type=Run -linecomment

// Run says whether an upstream ran the refused request.
type Run int

// Whether a refused request was run.
const (
	NotRun  Run = iota // not-run
	Unknown            // unknown
	Ran                // ran
)

// Code is the stable name of a kind of refusal.
type Code string

// Codes of refusals. docs/errors.md says how callers handle each of them.
const (
	KeyMissing             Code = "key-missing"
	KeyUnknown             Code = "key-unknown"
	KeyRevoked             Code = "key-withdrawn"
	KeyMisplaced           Code = "key-misplaced"
	AdapterUnknown         Code = "adapter-unknown"
	AdapterNotAllowed      Code = "adapter-not-allowed"
	VersionUnknown         Code = "version-unknown"
	BodyInvalid            Code = "body-invalid"
	BodyTooLarge           Code = "body-too-large"
	BodyTooSlow            Code = "body-too-slow"
	RouteUnknown           Code = "route-unknown"
	MethodNotAllowed       Code = "method-not-allowed"
	OverRate               Code = "over-rate"
	OverBurst              Code = "over-burst"
	OwnerUnavailable       Code = "owner-unavailable"
	LeaseExpired           Code = "lease-lapsed"
	InstanceLeaving        Code = "instance-leaving"
	Overloaded             Code = "overloaded"
	AdapterLoadFailed      Code = "adapter-load-failed"
	NoUpstream             Code = "no-upstream"
	UpstreamFailed         Code = "upstream-failed"
	UpstreamMismatch       Code = "upstream-mismatch"
	RequestBlocked         Code = "request-blocked"
	StreamUnknown          Code = "stream-unknown"
	StoreUnavailable       Code = "store-unavailable"
	IdempotencyKeyMissing  Code = "idempotency-key-missing"
	IdempotencyKeyConflict Code = "idempotency-key-conflict"
	CallRunning            Code = "call-running"
	OutcomeUnknown         Code = "outcome-unknown"
)

// Refusal is the final answer to a request for which the caller gets no upstream
// response.
type Refusal struct {
	Code       Code
	Status     int
	Run        Run
	RetryAfter time.Duration
	Text       string
}

// Error returns the code and the text.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Text
}

// New returns a refusal of a request that was not run and that the caller should not
// retry unchanged.
func New(code Code, status int, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Status: status, Run: NotRun, Text: fmt.Sprintf(format, args...)}
}

// Later returns a refusal of a request that was not run and that the caller may retry
// after d.
func Later(code Code, d time.Duration, format string, args ...any) *Refusal {
	r := New(code, http.StatusServiceUnavailable, format, args...)
	r.RetryAfter = d
	return r
}

// Limited returns a refusal of a request that exceeds the rate of its workspace, which
// the caller may retry after d.
func Limited(d time.Duration, format string, args ...any) *Refusal {
	r := Later(OverRate, d, format, args...)
	r.Status = http.StatusTooManyRequests
	return r
}

// WithRun returns a copy that states whether the request was run.
func (r *Refusal) WithRun(s Run) *Refusal {
	c := *r
	c.Run = s
	return &c
}

// RetrySeconds returns the value of the Retry-After header in whole seconds, rounded
// up. It is 0 if the caller should not retry the request.
func (r *Refusal) RetrySeconds() int64 {
	return int64((r.RetryAfter + time.Second - 1) / time.Second)
}

// As returns the refusal that an error wraps. For any other error it returns an
// internal error that leaves open whether the request was run.
func As(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(UpstreamFailed, http.StatusInternalServerError, "internal error: %v", err).WithRun(Unknown)
}
