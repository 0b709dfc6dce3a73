package proof_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/standin/crowd"
)

// The size of a crowd at an instance with default settings, and the bounds of the instance.
const (
	crowdBodies      = 150
	crowdBodyBytes   = 4 << 20
	crowdConnections = 600
	crowdTries       = 2
	crowdMemory      = 512 << 20
	crowdDescriptors = 512
)

// crowdHead returns the head of a request for a model without its last line.
func crowdHead(key string) string {
	return "POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n"
}

// playCrowd has a crowd at an address of an instance. It checks the memory and the descriptors of the process, and that
// ordinary callers are served while the connections of the crowd are open, and after it.
func playCrowd(t *testing.T, w *harness, n *node, address, key string, clients int, client crowd.Client) {
	t.Helper()
	watch := crowd.NewWatch(n.process.Process.Pid)
	k := crowd.Start(address, clients, crowdTries, client)
	k.Wait()
	served := func(when string) {
		eventually(t, when+" an ordinary request is answered", func() bool {
			return w.send(n, http.MethodPost, chatPath, key, chatBody("raven", 5, "hello"), "Connection", "close").status == http.StatusOK
		})
		eventually(t, when+" operators get the status", func() bool { _, ok := w.status(n); return ok })
	}
	served("beside the crowd")
	k.Close()
	served("after the crowd")
	peak, alive := watch.Stop()
	t.Log(peak)
	if !alive {
		t.Error("the instance has ended")
	}
	if peak.Memory() > crowdMemory || peak.Descriptors > crowdDescriptors {
		t.Errorf("held %d bytes and %d descriptors, want at most %d and %d", peak.Memory(), peak.Descriptors, crowdMemory, crowdDescriptors)
	}
}

func newCrowdNode(t *testing.T) (*harness, *node, string) {
	w := newHarness(t, options{engines: 1, slots: 4, checksFencing: true, descriptors: crowdDescriptors})
	n := w.startProcess("instance-1")
	w.waitReady(n)
	return w, n, w.applyPlans(planSpec{"alpha", 1 << 24, 1 << 25, []string{"raven@1"}})["alpha"]
}

// Many callers with a key, or on an open route, send bodies that stop just short of their end.
func TestCrowdOfPrompts(t *testing.T) {
	for name, x := range map[string]struct {
		keyed, chunked bool
		bytes          int
	}{
		"keyed": {keyed: true, bytes: crowdBodyBytes - 1}, "keyed chunks": {keyed: true, chunked: true, bytes: crowdBodyBytes - 1},
		"open route": {bytes: crowdBodyBytes - 1}, "open route far over the limit": {bytes: 16 * crowdBodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			w, n, key := newCrowdNode(t)
			playCrowd(t, w, n, n.address, key, crowdBodies, func(c *crowd.Conn, _ int) error {
				head := "POST /catalogue/dice HTTP/1.1\r\nHost: x\r\n"
				if x.keyed {
					head = crowdHead(key)
				}
				const piece = 64 << 10
				b, times := bytes.Repeat([]byte("x"), piece), x.bytes/piece
				framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", max(crowdBodyBytes, x.bytes))
				if x.chunked {
					b, framing = fmt.Appendf(nil, "%x\r\n%s\r\n", piece, b), "Transfer-Encoding: chunked\r\n\r\n"
				}
				if err := crowd.Repeat(c, []byte(head+framing), 1); err != nil {
					return err
				}
				return crowd.Repeat(c, b, times)
			})
		})
	}
}

// Many callers with a key send whole requests of legal size at once, which wait for an engine.
func TestCrowdOfWholePrompts(t *testing.T) {
	w, n, key := newCrowdNode(t)
	body := chatBody("raven", 5, strings.Repeat("x", crowdBodyBytes-200))
	playCrowd(t, w, n, n.address, key, crowdBodies, func(c *crowd.Conn, _ int) error {
		return crowd.Repeat(c, []byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", crowdHead(key), len(body), body)), 1)
	})
}

// Many clients connect, and send nothing or get one answer, at each address of an instance.
func TestCrowdOfCallers(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "answered": "GET / HTTP/1.1\r\nHost: x\r\n\r\n"} {
		for place, address := range map[string]func(n *node) string{
			"callers": func(n *node) string { return n.address }, "operators": func(n *node) string { return n.operatorAddress },
			"peers": func(n *node) string { return n.meshAddress },
		} {
			t.Run(place+"/"+name, func(t *testing.T) {
				w, n, key := newCrowdNode(t)
				playCrowd(t, w, n, address(n), key, crowdConnections, func(c *crowd.Conn, _ int) error {
					if err := crowd.Repeat(c, []byte(text), 1); err != nil {
						return err
					}
					time.Sleep(100 * time.Millisecond)
					return nil
				})
			})
		}
	}
}
