package provider_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/transport/provider"
)

// startService starts a server that answers each request with raw bytes.
func startService(t *testing.T, answer string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprint(c, answer)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// calls calls a service in each way.
func calls(t *testing.T, address string) map[string]error {
	const timeout = 10 * time.Second
	table, objects, directory := provider.NewTable(address, timeout), provider.NewObjects(address, timeout), provider.NewDirectory(address, timeout)
	out := map[string]error{}
	_, out["list rows"] = table.List(t.Context(), "", "", 10)
	out["transact"] = table.Transact(t.Context(), provider.Transaction{})
	_, out["get object"] = objects.Get(t.Context(), "a")
	out["put object"] = objects.Put(t.Context(), "a", []byte("b"))
	_, out["list instances"] = directory.List(t.Context())
	return out
}

func TestServicesAnswer(t *testing.T) {
	for what, err := range calls(t, startService(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")) {
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// A service of the platform answers with a broken head. It has not answered: a write may have taken effect, and neither a
// conflict nor a missing object is believed.
func TestBrokenHeadOfAServiceSaysNothing(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\nX : 1\r\n", "HTTP/1.1 409 Conflict\r\nX Y: 1\r\n", "HTTP/1.1 404 Not Found\r\nX Y: 1\r\n",
		"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 999 Odd\r\n",
	} {
		for what, err := range calls(t, startService(t, head+"Content-Length: 2\r\n\r\n[]")) {
			if !errors.Is(err, provider.ErrUnavailable) {
				t.Errorf("%q, %s: %v", head, what, err)
			}
		}
	}
}
