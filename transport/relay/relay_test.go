package relay_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gentiangauge.example/gentiangauge/transport/relay"
)

// listen accepts connections, hands each to serve, and closes it after that.
func listen(t *testing.T, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// startFlakyServer starts a server that answers the first request of each connection
// and closes the connection after reading the second one. It counts the requests to
// /book.
func startFlakyServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	var runs atomic.Int64
	return listen(t, func(c *net.TCPConn) { serveTwo(c, &runs) }), &runs
}

func serveTwo(c net.Conn, runs *atomic.Int64) {
	r := bufio.NewReader(c)
	for i := range 2 {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.URL.Path == "/book" {
			runs.Add(1)
		}
		if i == 0 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func bookRequest(address string) relay.Request {
	h := http.Header{}
	h.Set("Idempotency-Key", "k")
	return relay.Request{Method: http.MethodPost, Address: address, RequestURI: "/book", Header: h}
}

func warmConnection(t *testing.T, r *relay.Relay, address string) {
	t.Helper()
	a, err := r.Send(context.Background(), relay.Request{Method: http.MethodGet, Address: address, RequestURI: "/"})
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
}

// TestSendOnceIsNotRetriedByHTTPClient shows why SendOnce opens its own connection: on
// a reused one, net/http retries a request with an idempotency key.
func TestSendOnceIsNotRetriedByHTTPClient(t *testing.T) {
	address, runs := startFlakyServer(t)
	shared := relay.New()
	warmConnection(t, shared, address)
	if a, err := shared.Send(context.Background(), bookRequest(address)); err == nil {
		_ = a.Body.Close()
	}
	if runs.Load() != 2 {
		t.Logf("net/http did not retry the request: %d runs", runs.Load())
	}
	runs.Store(0)
	once := relay.New()
	warmConnection(t, once, address)
	if a, err := once.SendOnce(context.Background(), bookRequest(address)); err == nil {
		_ = a.Body.Close()
	}
	if runs.Load() != 1 {
		t.Errorf("SendOnce ran the request %d times", runs.Load())
	}
}

func TestErrNotSentMeansNothingWasWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	r := relay.New()
	if _, err := r.SendOnce(context.Background(), bookRequest(address)); !errors.Is(err, relay.ErrNotSent) {
		t.Errorf("refused connection: got %v, want ErrNotSent", err)
	}
	if _, err := r.Send(context.Background(), bookRequest(address)); !errors.Is(err, relay.ErrNotSent) {
		t.Errorf("refused connection: got %v, want ErrNotSent", err)
	}
}

func TestErrConnectionBrokenMeansSomethingWasWritten(t *testing.T) {
	address := listen(t, func(c *net.TCPConn) { _, _ = http.ReadRequest(bufio.NewReader(c)) })
	if _, err := relay.New().SendOnce(context.Background(), bookRequest(address)); !errors.Is(err, relay.ErrConnectionBroken) {
		t.Errorf("dropped connection: got %v, want ErrConnectionBroken", err)
	}
}

// startCuttingServer starts a server that writes the first cut bytes of a response to each request and closes
// the connection.
func startCuttingServer(t *testing.T, response string) (address string, cut *atomic.Int64) {
	t.Helper()
	cut = &atomic.Int64{}
	return startUpstream(t, func(c *net.TCPConn, _ *http.Request) { fmt.Fprint(c, response[:cut.Load()]) }), cut
}

// A response breaks off after any number of its bytes. Neither a cut head nor a cut body of a stated length is
// a response.
func TestResponseThatEndsEarlyIsNoResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: 1\r\nContent-Length: 4\r\n\r\nbody"
	address, cut := startCuttingServer(t, whole)
	for name, send := range senders(relay.New()) {
		for n := range len(whole) + 1 {
			cut.Store(int64(n))
			a, err := send(t.Context(), bookRequest(address))
			if err == nil {
				_, err = relay.ReadAll(a.Body, 100)
				_ = a.Body.Close()
			}
			if (err == nil) != (n == len(whole)) {
				t.Errorf("%s: error %v after %d bytes of %d", name, err, n, len(whole))
			}
			if errors.Is(err, relay.ErrNotSent) {
				t.Errorf("%s: after %d bytes the request counts as not sent", name, n)
			}
		}
	}
}

func ExampleForwardHeader() {
	h := http.Header{}
	h.Set("Authorization", "Bearer secret")
	h.Set("Connection", "X-Hop")
	h.Set("X-Hop", "1")
	h.Set("Accept", "application/json")
	fmt.Println(relay.ForwardHeader(h))
	// Output: map[Accept:[application/json]]
}
