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

// result is what came of one arrival.
type result struct {
	arrival Arrival
	status  int
	code    string
	// broken names a promise that the answer breaks.
	broken   string
	cut      bool
	first    time.Duration
	total    time.Duration
	between  []time.Duration
	loadWait time.Duration
	// used are the tokens that the answer used.
	used int64
}

func (x *result) ok() bool {
	return x.status == http.StatusOK && !x.cut
}

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

func (r *Runner) askAddresses(c context.Context, address string, workspace int) (addressList, error) {
	q, err := r.newRequest(c, http.MethodGet, "http://"+address+"/v1/instances", workspace, "")
	if err != nil {
		return addressList{}, err
	}
	a, err := r.http.Do(q)
	if err != nil {
		return addressList{}, eris.Wrap(err, "ask for addresses")
	}
	defer a.Body.Close()
	var m instancesAnswer
	if err := json.NewDecoder(a.Body).Decode(&m); err != nil || a.StatusCode != http.StatusOK {
		return addressList{}, eris.Errorf("ask for addresses: status %d", a.StatusCode)
	}
	l := addressList{until: r.timer.Now().Add(time.Duration(m.TTLSeconds) * time.Second)}
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

func (x *result) refused(body []byte) {
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

func (r *Runner) generate(c context.Context, address string, due time.Time, x *result) {
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
		x.code, x.cut = "connection", true
		return
	}
	defer answer.Body.Close()
	x.status = answer.StatusCode
	wait, _ := strconv.ParseInt(answer.Header.Get("Gentiangauge-Load-Wait-Milliseconds"), 10, 64)
	x.loadWait = time.Duration(wait) * time.Millisecond
	text, err := r.read(answer, due, x)
	x.total = r.timer.Now().Sub(due)
	switch {
	case x.status != http.StatusOK:
		x.refused([]byte(text))
		return
	case err != nil || (a.Stream && !strings.Contains(text, "[DONE]")):
		x.cut, x.code = true, "cut"
		return
	}
	x.used = int64(a.PromptTokens + a.OutputTokens)
	echo := fmt.Sprintf("model=%s;request=%s", a.Adapter, answer.Header.Get("X-Request-Id"))
	if !strings.Contains(text, echo) {
		x.broken = "the answer is not to the request for " + string(a.Adapter)
	}
}

// read reads the answer and notes when its parts came.
func (r *Runner) read(answer *http.Response, due time.Time, x *result) (string, error) {
	var text strings.Builder
	s := bufio.NewReader(answer.Body)
	last := time.Time{}
	for {
		line, err := s.ReadString('\n')
		now := r.timer.Now()
		if last.IsZero() {
			x.first = now.Sub(due)
		}
		if strings.HasPrefix(line, "data:") {
			if !last.IsZero() {
				x.between = append(x.between, now.Sub(last))
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

func (r *Runner) book(c context.Context, address string, i int, due time.Time, x *result) {
	q, err := r.newRequest(c, http.MethodPost, "http://"+address+"/orders/book", x.arrival.Workspace, `{"order":1}`)
	if err != nil {
		x.code = "not-sent"
		return
	}
	q.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", r.options.Seed, i))
	answer, err := r.http.Do(q)
	if err != nil {
		x.code, x.cut = "connection", true
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	x.status, x.cut = answer.StatusCode, err != nil
	x.total = r.timer.Now().Sub(due)
	x.first = x.total
	if x.status != http.StatusOK {
		x.refused(body)
		return
	}
	var m bookingAnswer
	if json.Unmarshal(body, &m) == nil && m.Run > 1 {
		x.broken = fmt.Sprintf("a booking ran %d times", m.Run)
	}
}

// engineCounts are the counts of decoding steps of the engine stand-ins.
type engineCounts struct {
	Steps        int64 `json:"steps"`
	StepRequests int64 `json:"step-requests"`
	StepAdapters int64 `json:"step-adapters"`
	Loads        int64 `json:"loads"`
	Evicted      int64 `json:"evicted-in-use"`
	Keys         int64 `json:"keys-seen"`
}

func (e engineCounts) minus(o engineCounts) engineCounts {
	return engineCounts{
		Steps: e.Steps - o.Steps, StepRequests: e.StepRequests - o.StepRequests, StepAdapters: e.StepAdapters - o.StepAdapters,
		Loads: e.Loads - o.Loads, Evicted: e.Evicted, Keys: e.Keys,
	}
}

func (r *Runner) countEngines(c context.Context) engineCounts {
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
		sum.Evicted += e.Evicted
		sum.Keys += e.Keys
	}
	return sum
}
