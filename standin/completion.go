package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type completionRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Prompt        string        `json:"prompt"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type choice struct {
	Index   int          `json:"index"`
	Text    string       `json:"text,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// generation is one completion request in progress.
type generation struct {
	engine  *Engine
	request completionRequest
	writer  http.ResponseWriter
	id      string
	chat    bool
	// prompt is the number of prompt tokens; each word counts as one token.
	prompt int
}

// complete answers a completion request with generated words. The first word repeats the
// model and the request id, so that a caller can check that the answer is its own.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	g := &generation{engine: e, writer: w, id: r.Header.Get("X-Request-Id"), chat: strings.Contains(r.URL.Path, "chat")}
	if err := json.NewDecoder(r.Body).Decode(&g.request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text := g.request.Prompt
	for _, m := range g.request.Messages {
		text += " " + m.Content
	}
	g.prompt = len(strings.Fields(text))
	if g.request.MaxTokens <= 0 || g.request.MaxTokens > maxOutputTokens {
		g.request.MaxTokens = 16
	}
	process, ok := e.beginRequest(g.request.Model)
	if !ok {
		http.Error(w, `{"error":{"message":"model does not exist","code":404}}`, http.StatusNotFound)
		return
	}
	model := g.request.Model
	defer func() { e.endRequest(process, model) }()
	e.OnRequest(g.id, g.request.Model, g.prompt+g.request.MaxTokens)
	if e.faults.get().FailAnswers {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	g.id = e.answerID(g.id)
	if e.faults.get().WrongModel {
		g.request.Model = "other@1"
	}
	if strings.Contains(text, CrashMarker) {
		g.crash(r.Context())
		return
	}
	g.run(r.Context(), process)
}

// answerID returns the request id to put into the answer: id itself, or the id of the preceding
// request under the fault AnswerWithPreviousID.
func (e *Engine) answerID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.previousID
	e.previousID = id
	if e.faults.get().AnswerWithPreviousID && before != "" {
		return before
	}
	return id
}

// crashDelay is the time from the start of a request with CrashMarker to the crash.
const crashDelay = 30 * time.Millisecond

// crash crashes the engine after crashDelay, or as soon as the caller disconnects, and drops
// the caller's connection.
func (g *generation) crash(c context.Context) {
	n, stop := clock.Notify(crashDelay)
	defer stop()
	select {
	case <-n:
	case <-c.Done():
	}
	g.engine.Crash()
	dropConnection(g.writer)
}

// beginRequest counts a request as running. It returns the context of the current engine
// process, or false when the model is not loaded.
func (e *Engine) beginRequest(model string) (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loaded[model] {
		return nil, false
	}
	e.running[model]++
	e.stats.Requests++
	e.stats.RequestsByModel[model]++
	e.runningGauge.Inc()
	return e.process, true
}

// endRequest counts a request as finished. A crash has already reset the counts of the
// requests that ran in the crashed process.
func (e *Engine) endRequest(process context.Context, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningGauge.Dec()
	if process.Err() != nil {
		return
	}
	e.running[model]--
	if e.running[model] == 0 {
		delete(e.running, model)
	}
}

// step waits for one decoding step of the batch. Every adapter in the batch after the first
// makes the step a tenth slower. It returns false when the caller disconnects or the engine
// crashes.
func (g *generation) step(c context.Context, process <-chan struct{}) bool {
	e := g.engine
	e.mu.Lock()
	adapters := len(e.running)
	requests := 0
	for _, n := range e.running {
		requests += n
	}
	e.stats.Steps++
	e.stats.StepRequests += int64(requests)
	e.stats.StepAdapters += int64(adapters)
	e.mu.Unlock()
	d := e.config.StepTime + e.config.StepTime*time.Duration(max(0, adapters-1))/10
	n, stop := clock.Notify(d)
	defer stop()
	select {
	case <-n:
		return true
	case <-c.Done():
		return false
	case <-process:
		return false
	}
}

// run generates one word for each decoding step and sends the answer. If the caller disconnects
// or the engine crashes, it drops the connection.
func (g *generation) run(c, process context.Context) {
	if g.request.Stream {
		g.writer.Header().Set("Content-Type", "text/event-stream")
	}
	var words []string
	for i := range g.request.MaxTokens {
		if !g.step(c, process.Done()) {
			dropConnection(g.writer)
			return
		}
		word := fmt.Sprintf("t%d ", i)
		if i == 0 {
			word = fmt.Sprintf("model=%s;request=%s ", g.request.Model, g.id)
		}
		words = append(words, word)
		if g.request.Stream {
			g.event(g.answer(word, true, nil))
		}
	}
	g.finish(strings.Join(words, ""))
}

// finish sends the complete response, or the end of a stream, with the token usage.
func (g *generation) finish(text string) {
	u := &usage{Prompt: g.prompt, Completion: g.request.MaxTokens, Total: g.prompt + g.request.MaxTokens}
	if !g.request.Stream {
		writeJSON(g.writer, g.answer(text, false, u))
		return
	}
	if g.request.StreamOptions.IncludeUsage {
		last := g.answer("", true, u)
		last.Choices = []choice{}
		g.event(last)
	}
	fmt.Fprint(g.writer, "data: [DONE]\n\n")
}

// event sends one server-sent event.
func (g *generation) event(a completion) {
	b, _ := json.Marshal(a)
	fmt.Fprintf(g.writer, "data: %s\n\n", b)
	if f, ok := g.writer.(http.Flusher); ok {
		f.Flush()
	}
}

// answer returns an answer in the format of the chat or of the plain completions endpoint; delta
// selects the format of a stream.
func (g *generation) answer(text string, delta bool, u *usage) completion {
	stop := "length"
	x := choice{Finish: &stop}
	if delta {
		x.Finish = nil
	}
	m := &chatMessage{Role: "assistant", Content: text}
	switch {
	case g.chat && delta:
		x.Delta = m
	case g.chat:
		x.Message = m
	default:
		x.Text = text
	}
	return completion{ID: g.id, Object: "completion", Model: g.request.Model, Choices: []choice{x}, Usage: u}
}
