package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// sendOn writes a request to a connection and reads the head of the answer.
func sendOn(c net.Conn, method, path string, header map[string]string, body []byte) (*http.Response, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\n", method, path)
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if len(body) > 0 || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
}

// event is an event of a stream as a client got it.
type event struct {
	at       time.Duration
	attempt  string
	number   int
	software string
	replica  string
}

// attempt is one attempt of a client to begin a stream or to take it up.
type attempt struct {
	at     time.Duration
	id     string
	front  string
	after  int
	status int
	events int
	// complete is set if the stream ended as complete.
	complete bool
	err      error
	reason   string
}

// streamCall is a stream over all attempts of its client.
type streamCall struct {
	attempts []attempt
	events   []event
	complete bool
}

// streamPlan is what a client asks for.
type streamPlan struct {
	path     string
	key      string
	model    string
	events   int
	gapMs    int
	deadline time.Duration
	// retries is the number of attempts after the first one.
	retries int
	// prompt lists the parts of the prompt.
	prompt string
	// notice blocks until the client sees that its connection to a front has ended, if it is not nil. Last is when
	// the last event came, or 0.
	notice func(f *front, last time.Duration)
}

// runStream plays one stream. The function choose returns the front for an attempt.
func runStream(r *record, p streamPlan, choose func(attempt int, last *front) *front) *streamCall {
	s := &streamCall{}
	if p.prompt == "" {
		p.prompt = fmt.Sprintf("5c1e07a2:200,%08x:100", rand.Uint32())
	}
	begun := time.Now()
	first := ""
	var last *front
	for n := 0; n <= p.retries; n++ {
		f := choose(n, last)
		if f == nil {
			break
		}
		last = f
		left := p.deadline - time.Since(begun)
		if left <= 0 {
			break
		}
		x := attempt{at: r.now(), id: newID(), front: f.name}
		header := map[string]string{
			"X-Request-Id": x.id, "X-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Authorization": "Bearer " + p.key,
			"X-Token-Usage": fmt.Sprintf("300,%d", 3*p.events), "X-Prompt-Prefix": p.prompt, "X-Events": strconv.Itoa(p.events), "X-Gap": strconv.Itoa(p.gapMs),
		}
		if p.model != "" {
			header["X-Model"] = p.model
		}
		if len(s.events) > 0 {
			x.after = s.events[len(s.events)-1].number
			header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(x.after), first
		}
		r.add("client: attempt %s at %s, after event %d, resumes %q", x.id, f.name, x.after, header["Resumes"])
		retryAfter := s.attempt(r, p, f, header, &x, left)
		if first == "" && x.events > 0 {
			first = x.id
		}
		s.attempts = append(s.attempts, x)
		r.add("client: attempt %s ended: status %d, %d events, complete %v, error %v %s", x.id, x.status, x.events, x.complete, x.err, x.reason)
		if x.complete {
			s.complete = true
			return s
		}
		if p.notice != nil && x.err != nil {
			at := time.Duration(0)
			if x.events > 0 {
				at = s.events[len(s.events)-1].at
			}
			p.notice(f, at)
		}
		if x.status == 400 || x.status == 401 || x.status == 404 {
			return s
		}
		if retryAfter > 0 {
			time.Sleep(min(retryAfter, left/3))
		}
	}
	return s
}

func (s *streamCall) attempt(r *record, p streamPlan, f *front, header map[string]string, x *attempt, left time.Duration) (retryAfter time.Duration) {
	c, err := net.DialTimeout("tcp", f.front, time.Second)
	if err != nil {
		x.err = err
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(left))
	a, err := sendOn(c, "POST", p.path, header, []byte(x.id+strings.Repeat("p", 400)))
	if err != nil {
		x.err = err
		return 0
	}
	x.status = a.StatusCode
	if a.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(a.Body)
		x.reason = strings.TrimSpace(string(b))
		d, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		return time.Duration(d * float64(time.Second))
	}
	lines := bufio.NewReader(a.Body)
	var e event
	for {
		l, err := lines.ReadString('\n')
		if err != nil {
			x.complete = err == io.EOF && l == "" && e.number == 0
			if !x.complete {
				x.err = err
			}
			return 0
		}
		l = strings.TrimRight(l, "\r\n")
		switch {
		case strings.HasPrefix(l, "id: "):
			e.number, _ = strconv.Atoi(l[4:])
		case strings.HasPrefix(l, "data: "):
			w := strings.Fields(l[6:])
			e.software, e.replica = w[0], w[1]
		case l == "" && e.number > 0:
			e.at, e.attempt = r.now(), x.id
			s.events = append(s.events, e)
			x.events++
			e = event{}
		}
	}
}

// checkOrder returns what is wrong with the numbers of the events, or an empty text.
func (s *streamCall) checkOrder() string {
	for i, e := range s.events {
		if e.number != i+1 {
			return fmt.Sprintf("event %d comes as number %d", e.number, i+1)
		}
	}
	return ""
}

// software returns the software versions of the replicas that wrote the events.
func (s *streamCall) software() []string {
	var out []string
	for _, e := range s.events {
		if len(out) == 0 || out[len(out)-1] != e.software {
			out = append(out, e.software)
		}
	}
	return out
}
