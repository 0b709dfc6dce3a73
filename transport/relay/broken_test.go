package relay_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/transport/relay"
)

// startUpstream starts a server that reads the head of one request of each connection and hands both to answer.
func startUpstream(t *testing.T, answer func(c *net.TCPConn, q *http.Request)) (address string) {
	t.Helper()
	return listen(t, func(c *net.TCPConn) {
		if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			answer(c, q)
		}
	})
}

// senders returns both ways to send a request.
func senders(r *relay.Relay) map[string]func(context.Context, relay.Request) (*http.Response, error) {
	return map[string]func(context.Context, relay.Request) (*http.Response, error){"send": r.Send, "send once": r.SendOnce}
}

// exchange sends a request and reads the response, which it returns with its body.
func exchange(c context.Context, send func(context.Context, relay.Request) (*http.Response, error), q relay.Request) (*http.Response, []byte, error) {
	a, err := send(c, q)
	if err != nil {
		return nil, nil, err
	}
	defer a.Body.Close()
	b, err := relay.ReadAll(a.Body, 1<<20)
	return a, b, err
}

// uploadRepeats is the number of uploads of a case. The faults that they show do not show on each one.
const uploadRepeats = 25

// An upstream answers an upload at once, writes a part of the body of its response and resets the connection while the
// upload is being written. The kernel reports a reset once: if the write gets it, the read that follows sees an orderly
// end, which is the end of a response without a length.
func TestResponseThatIsResetDuringTheUploadIsIncomplete(t *testing.T) {
	for _, head := range []string{"", "Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"} {
		part := "part of the body"
		if head == "Transfer-Encoding: chunked\r\n" {
			part = "10\r\npart of the body\r\n"
		}
		for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			for _, size := range []int{15 << 20, 32 << 20} {
				address := startUpstream(t, func(c *net.TCPConn, _ *http.Request) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", head, part)
					time.Sleep(after)
					_ = c.SetLinger(0)
				})
				body := make([]byte, size)
				for name, send := range senders(relay.New()) {
					complete := 0
					for range uploadRepeats {
						_, _, err := exchange(t.Context(), send, relay.Request{Method: http.MethodPost, Address: address, RequestURI: "/", Body: body})
						if err == nil {
							complete++
						}
						if errors.Is(err, relay.ErrNotSent) {
							t.Errorf("%s: the request counts as not sent", name)
						}
					}
					if complete > 0 {
						t.Errorf("%s, %q, reset after %v, upload of %d MiB: complete in %d of %d", name, head, after, size>>20, complete, uploadRepeats)
					}
				}
			}
		}
	}
}

// An upstream answers before it has read the upload, in a response without a length, and ends the connection in good order.
// Nothing tells that end from one that the upstream did not mean.
func TestResponseThatEndsDuringTheUploadIsIncomplete(t *testing.T) {
	address := startUpstream(t, func(c *net.TCPConn, q *http.Request) {
		_, _ = io.CopyN(io.Discard, q.Body, 1<<20)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nall")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	body := make([]byte, 32<<20)
	for name, send := range senders(relay.New()) {
		for range uploadRepeats {
			if _, b, err := exchange(t.Context(), send, relay.Request{Method: http.MethodPost, Address: address, RequestURI: "/", Body: body}); err == nil {
				t.Errorf("%s: complete: %q", name, b)
			}
		}
	}
}

// A response without a length that follows the request is complete, and one with a length may come before the request has
// been read.
func TestWholeResponseOfAnUploadIsComplete(t *testing.T) {
	late := startUpstream(t, func(c *net.TCPConn, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nall")
	})
	early := startUpstream(t, func(c *net.TCPConn, _ *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nall")
		_, _ = io.Copy(io.Discard, c)
	})
	for name, send := range senders(relay.New()) {
		for _, address := range []string{late, early} {
			for _, size := range []int{0, 1, 5_000, 100_000, 1 << 20} {
				for range uploadRepeats {
					_, b, err := exchange(t.Context(), send, relay.Request{Method: http.MethodPost, Address: address, RequestURI: "/", Body: make([]byte, size)})
					if err != nil || string(b) != "all" {
						t.Errorf("%s, upload of %d bytes: %q, %v", name, size, b, err)
					}
				}
			}
		}
	}
}
