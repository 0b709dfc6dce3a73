package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/protocol/engine"
)

// startEngine starts a server that answers each request with raw bytes.
func startEngine(t *testing.T, answer func(w io.Writer)) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		answer(c)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

const (
	metrics = "# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds 7\n# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running 3\n"
	models  = `{"data":[{"id":"raven"}]}`
)

// calls returns the calls of a client.
func calls(k *engine.Client, address string) map[string]func(c context.Context) error {
	return map[string]func(c context.Context) error{
		"report": func(c context.Context) error { _, err := k.Report(c, address); return err },
		"models": func(c context.Context) error { _, err := k.Models(c, address); return err },
		"load":   func(c context.Context) error { return k.Load(c, address, "raven", 1) },
		"unload": func(c context.Context) error { return k.Unload(c, address, "raven", 1) },
	}
}

func TestEngineAnswers(t *testing.T) {
	k := engine.New()
	address := startEngine(t, func(w io.Writer) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(metrics), metrics)
	})
	if r, err := k.Report(t.Context(), address); err != nil || r.Running != 3 || r.Incarnation != 7_000_000 {
		t.Errorf("%+v, %v", r, err)
	}
	address = startEngine(t, func(w io.Writer) { fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n\r\n%s", models) })
	if l, err := k.Models(t.Context(), address); err != nil || len(l) != 1 || l[0] != "raven" {
		t.Errorf("%v, %v", l, err)
	}
	if err := k.Load(t.Context(), address, "raven", 1); err != nil {
		t.Error(err)
	}
}

// An engine in trouble answers with a broken head or with a failure. It has neither said what it holds nor how an order
// ended.
func TestBrokenAnswerOfAnEngineSaysNothing(t *testing.T) {
	for name, head := range map[string]string{
		"blank in a name": "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "blank before a colon": "HTTP/1.1 200 OK\r\nX : 1\r\n",
		"fenced, blank in a name": "HTTP/1.1 409 Conflict\r\nX Y: 1\r\n", "status 000": "HTTP/1.1 000 Odd\r\n", "status 999": "HTTP/1.1 999 Odd\r\n",
		"failure": "HTTP/1.1 500 Failed\r\n",
	} {
		address := startEngine(t, func(w io.Writer) {
			// The body is one of a report, or one of a list of models.
			fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head, len(metrics), metrics)
		})
		for what, call := range calls(engine.New(), address) {
			want := engine.ErrUnreachable
			if name == "failure" && (what == "load" || what == "unload") {
				want = engine.ErrFailed
			}
			if err := call(t.Context()); !errors.Is(err, want) {
				t.Errorf("%s, %s: %v, want %v", name, what, err, want)
			}
		}
	}
}

// An engine sends a report or a list without end. The connection is closed after a bounded number of bytes.
func TestEndlessAnswerOfAnEngineIsCutOff(t *testing.T) {
	const most = 64 << 20
	for _, what := range []string{"report", "models"} {
		var sent atomic.Int64
		text := map[string]string{"report": strings.Repeat("# a comment of a report\n", 1000), "models": strings.Repeat(`  `, 10_000)}[what]
		address := startEngine(t, func(w io.Writer) {
			_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\n")
			for err == nil && sent.Load() < most {
				var n int
				n, err = io.WriteString(w, text)
				sent.Add(int64(n))
			}
		})
		c, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		if err := calls(engine.New(), address)[what](c); !errors.Is(err, engine.ErrUnreachable) || sent.Load() >= most {
			t.Errorf("%s: %v after %d bytes", what, err, sent.Load())
		}
	}
}

// An engine redirects calls to another address, where they must not arrive.
func TestRedirectOfAnEngineIsNotFollowed(t *testing.T) {
	var arrived atomic.Int64
	other := startEngine(t, func(w io.Writer) {
		arrived.Add(1)
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\n\r\n")
	})
	address := startEngine(t, func(w io.Writer) {
		fmt.Fprintf(w, "HTTP/1.1 307 Elsewhere\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", other)
	})
	for what, call := range calls(engine.New(), address) {
		if err := call(t.Context()); err == nil || arrived.Load() > 0 {
			t.Errorf("%s: %v, %d calls arrived elsewhere", what, err, arrived.Load())
		}
	}
}
