package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"regexp"

	"gentiangauge.example/gentiangauge/refusal"
	"gentiangauge.example/gentiangauge/state/lists"
	"gentiangauge.example/gentiangauge/transport/relay"
)

const (
	// maxPlainBytes bounds a plain answer, which is held until it is whole.
	maxPlainBytes = 8 << 20
	// maxEventBytes bounds one event of a streamed answer.
	maxEventBytes = 1 << 20
	readBytes     = 8 << 10
)

type usageMessage struct {
	Total int64 `json:"total_tokens"`
}

// answerMessage is the part of an engine's answer that the instance reads.
type answerMessage struct {
	ID      string            `json:"id"`
	Model   string            `json:"model"`
	Usage   *usageMessage     `json:"usage"`
	Choices []json.RawMessage `json:"choices"`
}

func brokenOff() *failure {
	r := refusal.Later(refusal.UpstreamFailed, shortRetry, "the engine broke off the answer").WithRun(refusal.Unknown)
	r.Status = http.StatusBadGateway
	return &failure{refusal: r, sent: true, again: true}
}

func mismatch(format string, args ...any) *failure {
	r := refusal.New(refusal.UpstreamMismatch, http.StatusBadGateway, format, args...).WithRun(refusal.Ran)
	return &failure{refusal: r, sent: true, again: true}
}

// requestIDPattern is the form of the ids that instances give to requests.
var requestIDPattern = regexp.MustCompile(`[0-9a-f]{16}-[0-9a-z]+`)

// check compares an answer with the request. An engine that repeats the id of
// a request, as vLLM does, must repeat this one's.
func (g *generation) check(m answerMessage) error {
	if m.Model != string(g.adapter) {
		return mismatch("the engine answered for %q, asked was %q", m.Model, g.adapter)
	}
	if id := requestIDPattern.FindString(m.ID); id != "" && id != g.id {
		return mismatch("the engine answered another request")
	}
	return nil
}

// forward passes an engine's answer to the caller.
func (s *Server) forward(w http.ResponseWriter, g *generation, a *http.Response) error {
	if g.model.stream {
		return s.forwardStream(w, g, a)
	}
	return s.forwardPlain(w, g, a)
}

// forwardPlain holds a plain answer until it is whole, so that a cut one is
// never passed on and the request may run again.
func (s *Server) forwardPlain(w http.ResponseWriter, g *generation, a *http.Response) error {
	body, err := relay.ReadAll(a.Body, maxPlainBytes)
	if err != nil {
		return brokenOff()
	}
	var m answerMessage
	if json.Unmarshal(body, &m) != nil {
		return brokenOff()
	}
	if err := g.check(m); err != nil {
		return err
	}
	g.note(m)
	g.passed = true
	observe(s.Metrics.firstToken, s.Timer.Now().Sub(g.began))
	w.Header().Set(contentType, jsonType)
	_, _ = w.Write(body)
	return nil
}

func (g *generation) note(m answerMessage) {
	if m.Usage != nil {
		g.used = lists.Tokens(m.Usage.Total)
	}
}

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// forwardStream passes a streamed answer on event by event. The answer is
// whole when the engine's end mark came.
func (s *Server) forwardStream(w http.ResponseWriter, g *generation, a *http.Response) error {
	r := bufio.NewReaderSize(a.Body, readBytes)
	control := http.NewResponseController(w)
	for {
		event, err := readEvent(r)
		if err != nil {
			return brokenOff()
		}
		done, err := s.passEvent(w, g, event)
		if err != nil || done {
			return err
		}
		_ = control.Flush()
	}
}

// readEvent returns the lines of one event with the blank line at its end.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
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

// passEvent checks an event and writes it. It reports whether it was the end
// mark.
func (s *Server) passEvent(w http.ResponseWriter, g *generation, event []byte) (bool, error) {
	data := bytes.TrimSpace(bytes.TrimPrefix(event, dataPrefix))
	if bytes.Equal(data, doneMark) {
		_, _ = w.Write(event)
		return true, nil
	}
	first := !g.passed
	if first || bytes.Contains(data, []byte(`"usage"`)) {
		var m answerMessage
		if json.Unmarshal(data, &m) == nil {
			if err := g.check(m); err != nil {
				return false, err
			}
			g.note(m)
			if m.Usage != nil && len(m.Choices) == 0 && !g.model.usage {
				return false, nil
			}
		}
	}
	if first {
		w.Header().Set(contentType, "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		observe(s.Metrics.firstToken, s.Timer.Now().Sub(g.began))
		g.passed = true
		g.streaming = true
	}
	g.events++
	if _, err := w.Write(event); err != nil {
		return false, brokenOff()
	}
	return false, nil
}
