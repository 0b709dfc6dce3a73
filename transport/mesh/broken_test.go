package mesh_test

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

// newIndirectRelay returns a relay that sends everything through another instance.
func newIndirectRelay(t *testing.T) *relay.Relay {
	via, _, stop := newForwarder(t)
	t.Cleanup(stop)
	client, r := newMesh("client"), relay.New()
	r.Indirect = func(string) bool { return true }
	r.DialIndirect = func(c context.Context, _, address string) (net.Conn, error) { return client.Connect(c, via, address) }
	return r
}

// answerEarly returns a function that reads the head of a request, and answers before the rest of the request has been
// read. Then it calls end.
func answerEarly(answer string, end func(c *net.TCPConn)) func(c net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			fmt.Fprint(c, answer)
			end(c.(*net.TCPConn))
		}
	}
}

// upload sends a request with a body, and returns the body of the response.
func upload(c context.Context, r *relay.Relay, address string, size int) ([]byte, error) {
	a, err := r.Send(c, relay.Request{Method: http.MethodPost, Address: address, RequestURI: "/", Body: make([]byte, size)})
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	return relay.ReadAll(a.Body, 1<<20)
}

// An upstream answers at once, and resets its connection while the instance between writes the upload. The write of that
// instance may get the reset, so that its read sees an orderly end. The sender may have written all of the upload by then.
func TestResponseThatIsResetDuringAnIndirectUploadIsIncomplete(t *testing.T) {
	const repeats = 25
	for _, size := range []int{1 << 20, 4 << 20, 32 << 20} {
		for _, after := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d MiB, %v", size>>20, after), func(t *testing.T) {
				t.Parallel()
				r := newIndirectRelay(t)
				address := upstream(t, answerEarly("HTTP/1.1 200 OK\r\n\r\npart of the body", func(c *net.TCPConn) {
					time.Sleep(after)
					_ = c.SetLinger(0)
				}))
				complete := 0
				for range repeats {
					_, err := upload(t.Context(), r, address, size)
					if err == nil {
						complete++
					}
					if errors.Is(err, relay.ErrNotSent) {
						t.Error("the request counts as not sent")
					}
				}
				if complete > 0 {
					t.Errorf("complete in %d of %d", complete, repeats)
				}
			})
		}
	}
}

// An upstream answers and ends its side of the connection before it has read the upload. What the sender writes meanwhile
// is in the buffers of the instance between.
func TestResponseThatEndsDuringAnIndirectUploadIsIncomplete(t *testing.T) {
	r := newIndirectRelay(t)
	address := upstream(t, answerEarly("HTTP/1.1 200 OK\r\n\r\nall", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}))
	for range 10 {
		if b, err := upload(t.Context(), r, address, 32<<20); err == nil {
			t.Errorf("complete: %q", b)
		}
	}
}

// Whole responses that end with their connection are complete, at once after the request as well.
func TestWholeIndirectResponseWithoutLengthIsComplete(t *testing.T) {
	r := newIndirectRelay(t)
	address := upstream(t, func(c net.Conn) {
		defer c.Close()
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nthe whole body")
		}
	})
	for _, size := range []int{0, 1, 100_000, 1 << 20} {
		for range 50 {
			if b, err := upload(t.Context(), r, address, size); err != nil || string(b) != "the whole body" {
				t.Fatalf("upload of %d bytes: %q, %v", size, b, err)
			}
		}
	}
}
