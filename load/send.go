package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// result is the outcome of one request.
type result struct {
	arrival Arrival
	status  int
	code    string
	// violation describes the guarantee that the answer violates, if any.
	violation string
	truncated bool
	// firstToken and total are the times from the due time to the first server-sent event
	// and to the end of the answer. Without events, firstToken is the time to the end.
	firstToken time.Duration
	total      time.Duration
	// tokenGaps are the times between consecutive server-sent events.
	tokenGaps []time.Duration
	// loadWait is how long the request waited for an adapter load.
	loadWait time.Duration
	// usedTokens is the number of prompt and output tokens of an answered model request.
	usedTokens int64
}

// ok reports whether the answer is complete and has status 200.
func (x *result) ok() bool {
	return x.status == http.StatusOK && !x.truncated
}

// newBody returns a reader of a request body.
func newBody(s string) io.Reader {
	return strings.NewReader(s)
}

type instanceEntry struct {
	Address string `json:"address"`
}

type instancesAnswer struct {
	Instances  []instanceEntry `json:"instances"`
	TTLSeconds int64           `json:"time-to-live-seconds"`
}

// fetchAddresses asks an instance which addresses the workspace should use.
func (r *Runner) fetchAddresses(c context.Context, address string, workspace int) (addressList, error) {
	q, err := r.newRequest(c, http.MethodGet, "http://"+address+"/v1/instances", workspace, "")
	if err != nil {
		return addressList{}, err
	}
	a, err := r.http.Do(q)
	if err != nil {
		return addressList{}, eris.Wrapf(err, "get instance addresses from %s", address)
	}
	defer a.Body.Close()
	var m instancesAnswer
	if err := json.NewDecoder(a.Body).Decode(&m); err != nil || a.StatusCode != http.StatusOK {
		return addressList{}, eris.Errorf("get instance addresses from %s: status %d or malformed body", address, a.StatusCode)
	}
	l := addressList{expires: r.timer.Now().Add(time.Duration(m.TTLSeconds) * time.Second)}
	for _, x := range m.Instances {
		l.addresses = append(l.addresses, x.Address)
	}
	return l, nil
}

type errorPart struct {
	Code string `json:"code"`
}

type errorAnswer struct {
	Error errorPart `json:"error"`
}

// recordRefusal sets the code of the result from the body of an error answer.
func (x *result) recordRefusal(body []byte) {
	var e errorAnswer
	_ = json.Unmarshal(body, &e)
	x.code = e.Error.Code
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// sendCompletion sends a chat completion and checks that the answer is to this request: the
// engine stand-ins repeat the model and the request id in their text.
func (r *Runner) sendCompletion(c context.Context, address string, due time.Time, x *result) {
	a := x.arrival
	body, _ := json.Marshal(chatRequest{
		Model: string(a.Adapter), MaxTokens: a.OutputTokens, Stream: a.Stream,
		Messages: []chatMessage{{Role: "user", Content: strings.Repeat("word ", a.PromptTokens)}},
	})
	q, err := r.newRequest(c, http.MethodPost, "http://"+address+"/v1/chat/completions", a.Workspace, string(body))
	if err != nil {
		x.code = "not-sent"
		return
	}
	answer, err := r.http.Do(q)
	if err != nil {
		x.code, x.truncated = "connection", true
		return
	}
	defer answer.Body.Close()
	x.status = answer.StatusCode
	wait, _ := strconv.ParseInt(answer.Header.Get("Gentiangauge-Load-Wait-Milliseconds"), 10, 64)
	x.loadWait = time.Duration(wait) * time.Millisecond
	text, err := r.readAnswer(answer, due, x)
	x.total = r.timer.Now().Sub(due)
	switch {
	case x.status != http.StatusOK:
		x.recordRefusal([]byte(text))
		return
	case err != nil || (a.Stream && !strings.Contains(text, "[DONE]")):
		x.truncated, x.code = true, "cut"
		return
	}
	x.usedTokens = int64(a.PromptTokens + a.OutputTokens)
	echo := fmt.Sprintf("model=%s;request=%s", a.Adapter, answer.Header.Get("X-Request-Id"))
	if !strings.Contains(text, echo) {
		x.violation = "the answer is not to the request for " + string(a.Adapter)
	}
}

// readAnswer reads the body and records the time from due to the first server-sent event, or to
// the end of a body without events, and the gaps between the events.
func (r *Runner) readAnswer(answer *http.Response, due time.Time, x *result) (string, error) {
	var text strings.Builder
	s := bufio.NewReader(answer.Body)
	last := time.Time{}
	for {
		line, err := s.ReadString('\n')
		now := r.timer.Now()
		if last.IsZero() {
			x.firstToken = now.Sub(due)
		}
		if strings.HasPrefix(line, "data:") {
			if !last.IsZero() {
				x.tokenGaps = append(x.tokenGaps, now.Sub(last))
			}
			last = now
		}
		text.WriteString(line)
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
}

type bookingAnswer struct {
	Run int `json:"run"`
}

// sendBooking calls a plain service with an idempotency key and checks that the service
// executed the call only once.
func (r *Runner) sendBooking(c context.Context, address string, i int, due time.Time, x *result) {
	q, err := r.newRequest(c, http.MethodPost, "http://"+address+"/orders/book", x.arrival.Workspace, `{"order":1}`)
	if err != nil {
		x.code = "not-sent"
		return
	}
	q.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", r.options.Seed, i))
	answer, err := r.http.Do(q)
	if err != nil {
		x.code, x.truncated = "connection", true
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	x.status, x.truncated = answer.StatusCode, err != nil
	x.total = r.timer.Now().Sub(due)
	x.firstToken = x.total
	if x.status != http.StatusOK {
		x.recordRefusal(body)
		return
	}
	var m bookingAnswer
	if json.Unmarshal(body, &m) == nil && m.Run > 1 {
		x.violation = fmt.Sprintf("a booking ran %d times", m.Run)
	}
}

// engineCounts are statistics of the engine stand-ins.
type engineCounts struct {
	Steps        int64 `json:"steps"`
	StepRequests int64 `json:"step-requests"`
	StepAdapters int64 `json:"step-adapters"`
	Loads        int64 `json:"loads"`
	EvictedInUse int64 `json:"evicted-in-use"`
	KeysSeen     int64 `json:"keys-seen"`
}

// minus subtracts the counts of o, taken before the measured part, from the steps and loads.
// It keeps EvictedInUse and KeysSeen, so violations in the warm-up count as well.
func (e engineCounts) minus(o engineCounts) engineCounts {
	return engineCounts{
		Steps: e.Steps - o.Steps, StepRequests: e.StepRequests - o.StepRequests, StepAdapters: e.StepAdapters - o.StepAdapters,
		Loads: e.Loads - o.Loads, EvictedInUse: e.EvictedInUse, KeysSeen: e.KeysSeen,
	}
}

// fetchEngineCounts returns the sum of the statistics of all reachable engines.
func (r *Runner) fetchEngineCounts(c context.Context) engineCounts {
	var sum engineCounts
	for _, address := range r.fleet.Engines {
		q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+address+"/stats", nil)
		if err != nil {
			continue
		}
		a, err := r.http.Do(q)
		if err != nil {
			continue
		}
		var e engineCounts
		_ = json.NewDecoder(a.Body).Decode(&e)
		_ = a.Body.Close()
		sum.Steps += e.Steps
		sum.StepRequests += e.StepRequests
		sum.StepAdapters += e.StepAdapters
		sum.Loads += e.Loads
		sum.EvictedInUse += e.EvictedInUse
		sum.KeysSeen += e.KeysSeen
	}
	return sum
}
