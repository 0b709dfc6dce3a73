package relay_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/transport/relay"
)

// startKeepingUpstream starts a server that answers each request with the same bytes, and waits for the next request on
// the same connection. It closes the connection after the bytes if closes is set. It sends the number of requests of each
// connection that has ended.
func startKeepingUpstream(t *testing.T, answer string, closes bool) (address string, requests <-chan int) {
	t.Helper()
	ended := make(chan int, 10)
	return listen(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		n := 0
		for ; n == 0 || !closes; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				break
			}
			fmt.Fprint(c, answer)
		}
		ended <- n
	}), ended
}

// checkBrokenHead sends requests to an upstream whose answers have a broken head. None of them is a response, each may
// have reached the upstream, and none of their connections is used again.
func checkBrokenHead(t *testing.T, answer string, closes bool) {
	t.Helper()
	address, requests := startKeepingUpstream(t, answer, closes)
	for name, send := range senders(relay.New()) {
		for range 2 {
			a, b, err := exchange(t.Context(), send, bookRequest(address))
			if err == nil {
				t.Errorf("%s: status %d, header %q, body %q", name, a.StatusCode, a.Header, b)
			}
			if errors.Is(err, relay.ErrNotSent) {
				t.Errorf("%s: the request counts as not sent", name)
			}
		}
	}
	for range 4 {
		select {
		case n := <-requests:
			if n != 1 {
				t.Errorf("%d requests on one connection", n)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a connection is kept")
		}
	}
}

// A status outside of the range that a final response may have is no status.
func TestResponseWithAnInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-20", "101", "600", "999", "20", "2000", "0x2", "two"} {
		t.Run(status, func(t *testing.T) {
			checkBrokenHead(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 4\r\n\r\nbody", false)
		})
		t.Run(status+" without length", func(t *testing.T) {
			checkBrokenHead(t, "HTTP/1.1 "+status+" Odd\r\n\r\nbody", true)
		})
	}
}

// The same holds for a response of another protocol version.
func TestResponseOfAnotherProtocolIsNoResponse(t *testing.T) {
	for _, p := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/9.9", "HTTP/11", "http/1.1"} {
		t.Run(p, func(t *testing.T) { checkBrokenHead(t, p+" 200 OK\r\nContent-Length: 4\r\n\r\nbody", false) })
	}
}

// net/http takes some names of header fields that are no tokens. With a blank before the colon, the length of the body is
// unknown, so that what follows the body becomes a part of it.
func TestResponseWithAnInvalidFieldNameIsNoResponse(t *testing.T) {
	for _, field := range []string{
		"Content-Length : 4", "Content Length: 4", "X Y: 4", "X\x01Y: 4", "X\tY: 4", "X\x7fY: 4", "X(Y): 4", ": 4", "X\x80: 4", "no colon",
	} {
		t.Run(field, func(t *testing.T) {
			checkBrokenHead(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+field+"\r\n\r\nbody", false)
			checkBrokenHead(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+field+"\r\n\r\n", false)
			checkBrokenHead(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nbody and more", true)
			checkBrokenHead(t, "HTTP/1.1 503 Unavailable\r\nContent-Length: 4\r\n"+field+"\r\n\r\nbody", false)
		})
	}
	for name, answer := range map[string]string{
		"chunks beside a length":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 9\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"trailer":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: B\r\n\r\n4\r\nbody\r\n0\r\nB C: d\r\n\r\n",
		"early hints":             "HTTP/1.1 103 Early Hints\r\nX Y: 4\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"two lengths":             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"control byte in a value": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: a\x01b\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) { checkBrokenHead(t, answer, false) })
	}
}

// The responses to requests for heads state no length and have no body. Their end is not that of the connection, which
// is kept.
func TestConnectionIsKeptAfterAHeadWithoutLength(t *testing.T) {
	address, requests := startKeepingUpstream(t, "HTTP/1.1 200 OK\r\n\r\n", false)
	r := relay.New()
	const some = 5
	for range some {
		if _, _, err := exchange(t.Context(), r.Send, relay.Request{Method: http.MethodHead, Address: address, RequestURI: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case n := <-requests:
		t.Errorf("a connection has ended after %d requests", n)
	default:
	}
}
