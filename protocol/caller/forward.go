package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"regexp"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/relay"
)

const (
	// maxResponseBytes is the maximum size of a non-streamed response, which is buffered
	// until it is complete.
	maxResponseBytes = 8 << 20
	// maxEventBytes limits the buffered size of one event of a streamed response.
	maxEventBytes     = 1 << 20
	streamBufferBytes = 8 << 10
)

type usageMessage struct {
	Total int64 `json:"total_tokens"`
}

// responseMessage holds the fields of an engine's response that the instance reads.
type responseMessage struct {
	ID      string            `json:"id"`
	Model   string            `json:"model"`
	Usage   *usageMessage     `json:"usage"`
	Choices []json.RawMessage `json:"choices"`
}

// truncatedResponse returns the failure for a response that ended early or cannot be
// decoded. The engine may have run the request.
func truncatedResponse() *failure {
	r := refusal.Later(refusal.UpstreamFailed, defaultRetryAfter, "the engine broke off the answer").WithRun(refusal.Unknown)
	r.Status = http.StatusBadGateway
	return &failure{refusal: r, sent: true, retryable: true}
}

// mismatchedResponse returns the failure for a response that belongs to another model or
// request.
func mismatchedResponse(format string, args ...any) *failure {
	r := refusal.New(refusal.UpstreamMismatch, http.StatusBadGateway, format, args...).WithRun(refusal.Ran)
	return &failure{refusal: r, sent: true, retryable: true}
}

// requestIDPattern matches the request ids that instances assign.
var requestIDPattern = regexp.MustCompile(`[0-9a-f]{16}-[0-9a-z]+`)

// verifyResponse checks that a response belongs to the request. Engines that return the
// request id, as vLLM does, must return the id of this request.
func (g *generation) verifyResponse(m responseMessage) error {
	if m.Model != string(g.adapter) {
		return mismatchedResponse("the engine answered for %q, asked was %q", m.Model, g.adapter)
	}
	if id := requestIDPattern.FindString(m.ID); id != "" && id != g.id {
		return mismatchedResponse("the engine answered another request")
	}
	return nil
}

// forward sends an engine's response to the caller.
func (s *Server) forward(w http.ResponseWriter, g *generation, a *http.Response) error {
	if g.model.stream {
		return s.forwardStream(w, g, a)
	}
	return s.forwardBuffered(w, g, a)
}

// forwardBuffered reads a non-streamed response completely before it sends any of it, so
// that a truncated response never reaches the caller and the request can be retried.
func (s *Server) forwardBuffered(w http.ResponseWriter, g *generation, a *http.Response) error {
	x := s.buffers.Buffer(g.connection.Usage())
	defer x.Release()
	body, err := x.ReadAll(a.Request.Context(), a.Body, maxResponseBytes, max(0, a.ContentLength))
	if err != nil {
		return truncatedResponse()
	}
	var m responseMessage
	if json.Unmarshal(body, &m) != nil {
		return truncatedResponse()
	}
	if err := g.verifyResponse(m); err != nil {
		return err
	}
	g.recordUsage(m)
	g.responseStarted = true
	observe(s.Metrics.firstToken, s.Timer.Now().Sub(g.startedAt))
	w.Header().Set(contentType, jsonContentType)
	_, _ = w.Write(body)
	return nil
}

// recordUsage stores the token usage if the engine reported it.
func (g *generation) recordUsage(m responseMessage) {
	if m.Usage != nil {
		g.usedTokens = lists.Tokens(m.Usage.Total)
	}
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// forwardStream forwards a streamed response event by event. The response is complete
// when the engine has sent [DONE].
func (s *Server) forwardStream(w http.ResponseWriter, g *generation, a *http.Response) error {
	r := bufio.NewReaderSize(a.Body, streamBufferBytes)
	control := http.NewResponseController(w)
	x := s.buffers.Buffer(g.connection.Usage())
	defer x.Release()
	var event []byte
	for {
		var err error
		if event, err = readEvent(a.Request.Context(), x, r, event[:0]); err != nil {
			return truncatedResponse()
		}
		done, err := s.forwardEvent(w, g, event)
		if err != nil || done {
			return err
		}
		_ = control.Flush()
	}
}

// readEvent appends the lines of one event to event, including the blank line that ends it, in memory of x.
func readEvent(c context.Context, x *relay.Buffer, r *bufio.Reader, event []byte) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		var short error
		if event, short = x.Append(c, event, line); short != nil {
			return event, short
		}
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimSpace(line)) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

// forwardEvent verifies an event and writes it to the caller. It omits the usage event if
// the caller did not ask for it. It reports whether the event was [DONE].
func (s *Server) forwardEvent(w http.ResponseWriter, g *generation, event []byte) (bool, error) {
	data := bytes.TrimSpace(bytes.TrimPrefix(event, dataPrefix))
	if bytes.Equal(data, doneMarker) {
		_, _ = w.Write(event)
		return true, nil
	}
	first := !g.responseStarted
	if first || bytes.Contains(data, []byte(`"usage"`)) {
		var m responseMessage
		if json.Unmarshal(data, &m) == nil {
			if err := g.verifyResponse(m); err != nil {
				return false, err
			}
			g.recordUsage(m)
			if m.Usage != nil && len(m.Choices) == 0 && !g.model.includeUsage {
				return false, nil
			}
		}
	}
	if first {
		w.Header().Set(contentType, "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		observe(s.Metrics.firstToken, s.Timer.Now().Sub(g.startedAt))
		g.responseStarted = true
		g.streaming = true
	}
	g.forwardedEvents++
	if _, err := w.Write(event); err != nil {
		return false, truncatedResponse()
	}
	return false, nil
}
