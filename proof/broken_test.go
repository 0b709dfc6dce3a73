package proof_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/transport/provider"
)

// startBrokenService makes a server the only upstream of the plain services. It answers the head of each request with raw
// bytes and resets the connection after a pause.
func (w *harness) startBrokenService(answer func() string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				fmt.Fprint(c, answer())
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	w.platform.SetInstance("application-1", provider.KindUpstream, "application", "zone-1", l.Addr().String(), "", "live")
}

// A plain service answers with a broken head, or sends a part of a body without length and resets the connection during the
// upload. No caller gets that as a complete answer, on a route that may run twice nor on one that must not.
func TestBrokenAnswerOfAServiceIsNotForwarded(t *testing.T) {
	const repeats = 20
	w := newHarness(t, options{engines: 1, slots: 4, checksFencing: true, callerSettings: "body-bytes = 5000000"})
	answer := ""
	w.startBrokenService(func() string { return answer })
	n := w.startInProcess("instance-1")
	w.waitReady(n)
	key := w.applyPlans(planSpec{"alpha", 1000, 2000, []string{"raven@1"}})["alpha"]
	body := strings.Repeat("x", 4<<20)
	call := 0
	for _, answer = range []string{
		"HTTP/1.1 200 OK\r\n\r\npart of the body", "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 999 Odd\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX Y: 1\r\n\r\nbody",
	} {
		for _, path := range []string{"/catalogue/x", "/orders/book"} {
			complete, last := 0, response{}
			for range repeats {
				call++
				a := w.send(n, "POST", path, key, body, "Idempotency-Key", fmt.Sprint(call))
				if a.complete && a.status != http.StatusBadGateway && a.status != http.StatusServiceUnavailable {
					complete, last = complete+1, a
				}
			}
			if complete > 0 {
				t.Errorf("%q, %s: complete in %d of %d, the last with status %d and body %q", answer, path, complete, repeats, last.status, last.body)
			}
		}
	}
}
