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
	jsonContentType = "application/json"
	requestIDHeader = "X-Request-Id"
	runHeader       = "Gentiangauge-Run"
	// loadWaitHeader is the time in milliseconds that the request waited for an adapter
	// to load.
	loadWaitHeader = "Gentiangauge-Load-Wait-Milliseconds"
)

// errorBody is the error object of the OpenAI API with this project's extra fields.
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

// newErrorMessage returns the response body of a refusal. The OpenAI error type follows
// from the HTTP status.
func newErrorMessage(r *refusal.Refusal, request string) errorMessage {
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

// asRefusal returns the refusal in err's chain. Any other error becomes an internal error
// that does not state whether the request ran.
func asRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.New(refusal.UpstreamFailed, http.StatusInternalServerError, "internal error").WithRun(refusal.Unknown)
}

func writeRefusal(w http.ResponseWriter, r *refusal.Refusal, request string) {
	h := w.Header()
	h.Set(contentType, jsonContentType)
	h.Set(runHeader, r.Run.String())
	if s := r.RetrySeconds(); s > 0 {
		h.Set("Retry-After", strconv.FormatInt(s, 10))
	}
	if r.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(newErrorMessage(r, request))
}

// abortStream ends an incomplete streamed response. It writes an error event with the
// refusal and then aborts the connection without the final chunk, so that an HTTP client
// also detects the truncation.
func abortStream(w http.ResponseWriter, r *refusal.Refusal, request string) {
	b, _ := json.Marshal(newErrorMessage(r, request))
	_, _ = w.Write([]byte("event: error\ndata: " + string(b) + "\n\n"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
