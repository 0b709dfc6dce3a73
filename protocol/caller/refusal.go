package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"gentiangauge.example/gentiangauge/refusal"
)

const (
	contentType     = "Content-Type"
	jsonType        = "application/json"
	requestIDHeader = "X-Request-Id"
	runHeader       = "Gentiangauge-Run"
	// loadWaitHeader states how long the request waited for an adapter load.
	loadWaitHeader = "Gentiangauge-Load-Wait-Milliseconds"
)

type errorBody struct {
	Message           string `json:"message"`
	Type              string `json:"type"`
	Code              string `json:"code"`
	Run               string `json:"run"`
	RequestID         string `json:"request-id"`
	RetryAfterSeconds int64  `json:"retry-after-seconds,omitempty"`
}

type errorMessage struct {
	Error errorBody `json:"error"`
}

func toBody(r *refusal.Refusal, request string) errorMessage {
	kind := "invalid_request_error"
	switch {
	case r.Status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case r.Status == http.StatusUnauthorized:
		kind = "authentication_error"
	case r.Status >= http.StatusInternalServerError:
		kind = "server_error"
	}
	return errorMessage{Error: errorBody{
		Message: r.Text, Type: kind, Code: string(r.Code), Run: r.Run.String(), RequestID: request, RetryAfterSeconds: r.RetrySeconds(),
	}}
}

// asRefusal turns any error into the refusal that the caller gets.
func asRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.New(refusal.UpstreamFailed, http.StatusInternalServerError, "internal error").WithRun(refusal.Unknown)
}

func writeRefusal(w http.ResponseWriter, r *refusal.Refusal, request string) {
	h := w.Header()
	h.Set(contentType, jsonType)
	h.Set(runHeader, r.Run.String())
	if s := r.RetrySeconds(); s > 0 {
		h.Set("Retry-After", strconv.FormatInt(s, 10))
	}
	if r.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(toBody(r, request))
}

// endStream ends a streamed answer that is not whole: with an event that says
// why, and without the end mark of the transfer.
func endStream(w http.ResponseWriter, r *refusal.Refusal, request string) {
	b, _ := json.Marshal(toBody(r, request))
	_, _ = w.Write([]byte("event: error\ndata: " + string(b) + "\n\n"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
