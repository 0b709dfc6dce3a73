package proof_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Every invalid request gets its own status and code and the statement that it did not run,
// and no upstream sees it, nor any key.
func TestInvalidRequestIsRejectedBeforeAnyUpstream(t *testing.T) {
	w := newHarness(t, options{engines: 2, slots: 4, checksFencing: true, callerSettings: "body-bytes = 2000\nbody-milliseconds = 500\nheader-bytes = 4096"})
	n := w.startInProcess("instance-1")
	w.waitReady(n)
	keys := w.applyPlans(
		planSpec{"alpha", 1000, 2000, []string{"raven@1", "raven@2"}},
		planSpec{"beta", 1000, 2000, []string{"duck@1"}},
	)
	key := keys["alpha"]
	good := chatBody("raven", 5, "hello")
	cases := []struct {
		name, method, path, key, body string
		headers                       []string
		status                        int
		code                          string
	}{
		{"no key", "POST", chatPath, "", good, nil, 401, "key-missing"},
		{"wrong key", "POST", chatPath, "gg-" + strings.Repeat("f", 40), good, nil, 401, "key-unknown"},
		{"other scheme", "POST", chatPath, "", good, []string{"Authorization", "Basic " + key}, 401, "key-missing"},
		{"other workspace's adapter", "POST", chatPath, key, chatBody("duck", 5, "x"), nil, 403, "adapter-not-allowed"},
		{"unknown adapter", "POST", chatPath, key, chatBody("crow", 5, "x"), nil, 404, "adapter-unknown"},
		{"unknown version", "POST", chatPath, key, chatBody("raven@9", 5, "x"), nil, 404, "version-unknown"},
		{"bad JSON", "POST", chatPath, key, "{", nil, 400, "body-invalid"},
		{"JSON list", "POST", chatPath, key, "[]", nil, 400, "body-invalid"},
		{"null", "POST", chatPath, key, "null", nil, 400, "body-invalid"},
		{"no model", "POST", chatPath, key, `{"messages":[{}]}`, nil, 400, "body-invalid"},
		{"no prompt", "POST", chatPath, key, `{"model":"raven"}`, nil, 400, "body-invalid"},
		{"negative output", "POST", chatPath, key, chatBody("raven", -1, "x"), nil, 400, "body-invalid"},
		{"many choices", "POST", chatPath, key, `{"model":"raven","n":99,"prompt":"x"}`, nil, 400, "body-invalid"},
		{"over the burst", "POST", chatPath, key, chatBody("raven", 5000, "x"), nil, 400, "over-burst"},
		{"large body", "POST", chatPath, key, chatBody("raven", 5, strings.Repeat("x", 3000)), nil, 413, "body-too-large"},
		{"key in query", "POST", chatPath + "?key=" + key, key, good, nil, 400, "key-misplaced"},
		{"escaped key in query", "POST", chatPath + "?key=gg%2D" + key[3:], key, good, nil, 400, "key-misplaced"},
		{"key in cookie", "POST", chatPath, key, good, []string{"Cookie", "k=" + key}, 400, "key-misplaced"},
		{"key in body", "POST", chatPath, key, chatBody("raven", 5, key), nil, 400, "key-misplaced"},
		{"escaped key in body", "POST", chatPath, key, strings.Replace(chatBody("raven", 5, "KEY"), "KEY", `\u0067g-`+key[3:], 1), nil, 400, "key-misplaced"},
		{"key in service body", "POST", "/orders/book", key, key, []string{"Idempotency-Key", "a"}, 400, "key-misplaced"},
		{"no idempotency key", "POST", "/orders/book", key, "{}", nil, 400, "idempotency-key-missing"},
		{"keyed route without key", "POST", "/orders/book", "", "{}", []string{"Idempotency-Key", "a"}, 401, "key-missing"},
		{"unknown route", "GET", "/nothing", key, "", nil, 404, "route-unknown"},
		{"route prefix only", "GET", "/ordersbook", key, "", nil, 404, "route-unknown"},
		{"wrong method", "GET", chatPath, key, "", nil, 405, "method-not-allowed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := w.send(n, c.method, c.path, c.key, c.body, c.headers...)
			if a.status != c.status || a.code() != c.code {
				t.Errorf("got %d %s, want %d %s: %s", a.status, a.code(), c.status, c.code, a.body)
			}
			if a.run() != "not-run" {
				t.Errorf("run is %q, want not-run", a.run())
			}
		})
	}
	if len(w.engineRuns()) != 0 || w.service.RunCount("a") != 0 {
		t.Errorf("a refused request reached an upstream")
	}
	if a := w.send(n, http.MethodPost, chatPath, key, good); a.status != http.StatusOK {
		t.Errorf("a valid request got %d %s", a.status, a.body)
	}
	if a := w.send(n, http.MethodGet, "/catalogue/dice", key, ""); a.status != http.StatusOK {
		t.Errorf("an open route got %d %s", a.status, a.body)
	}
	if n := w.sumEngineStats("keys-seen"); n != 0 {
		t.Errorf("engines saw keys in %d requests", n)
	}
	if a := w.book(n, key, "once", ""); a.status != http.StatusOK {
		t.Errorf("a booking got %d %s", a.status, a.body)
	}
	if n := w.service.KeysSeen(); n != 0 {
		t.Errorf("the service saw keys in %d requests", n)
	}
	if a := w.send(n, http.MethodGet, "/catalogue/dice", "", ""); !strings.Contains(a.body, `"path":"/catalogue/dice"`) {
		t.Errorf("open route answered %s", a.body)
	}
}

// sendRaw writes text to a connection of its own and returns the status and the content
// type of the response, or 0 and the error.
func sendRaw(t *testing.T, address, text string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := c.Write([]byte(text)); err != nil {
		return 0, err.Error()
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, a.Header.Get("Content-Type")
}

// Malformed or oversized HTTP and bodies that are sent too slowly are rejected with the
// right status, and no engine sees them.
func TestMalformedHTTPIsRejectedBeforeAnyUpstream(t *testing.T) {
	w := newHarness(t, options{engines: 1, slots: 4, checksFencing: true, callerSettings: "body-milliseconds = 500\nheader-bytes = 4096"})
	n := w.startInProcess("instance-1")
	w.waitReady(n)
	key := w.applyPlans(planSpec{"alpha", 1000, 2000, []string{"raven@1"}})["alpha"]
	head := "POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n"
	body := chatBody("raven", 5, "x")
	cases := []struct {
		name, text string
		status     int
	}{
		{"two lengths", head + fmt.Sprintf("Content-Length: %d\r\nContent-Length: 3\r\n\r\n%s", len(body), body), 400},
		{"bad length", head + "Content-Length: +5\r\n\r\nabcde", 400},
		{"unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
		{"space before colon", head + "Content-Length : 3\r\n\r\nabc", 400},
		{"header bomb", head + strings.Repeat("X-Filler: "+strings.Repeat("y", 900)+"\r\n", 20) + "\r\n", 431},
		{"slow body", head + "Content-Length: 500\r\n\r\n{", 408},
		{"no host", "GET /v1/models HTTP/1.1\r\n\r\n", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if status, detail := sendRaw(t, n.address, c.text); status != c.status {
				t.Errorf("got %d %s, want %d", status, detail, c.status)
			}
		})
	}
	if len(w.engineRuns()) != 0 {
		t.Errorf("a malformed request reached an engine")
	}
}

// A request with both Content-Length and Transfer-Encoding must not be split into two by
// the instance and the service (request smuggling).
func TestConflictingBodyFramingIsNotSplitIntoTwoRequests(t *testing.T) {
	w := newHarness(t, options{engines: 0, slots: 4})
	n := w.startInProcess("instance-1")
	w.waitReady(n)
	smuggled := "0\r\n\r\nPOST /catalogue/smuggled HTTP/1.1\r\nHost: x\r\nIdempotency-Key: smuggled\r\nContent-Length: 0\r\n\r\n"
	text := "POST /catalogue/outer HTTP/1.1\r\nHost: x\r\nIdempotency-Key: outer\r\nTransfer-Encoding: chunked\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(smuggled), smuggled)
	status, _ := sendRaw(t, n.address, text)
	if status != http.StatusOK && status != http.StatusBadRequest {
		t.Errorf("got %d", status)
	}
	if w.service.RunCount("outer") > 1 {
		t.Errorf("the outer request ran %d times", w.service.RunCount("outer"))
	}
}
