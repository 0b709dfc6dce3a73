package paths_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/coordination/paths"
	"gentiangauge.example/gentiangauge/timer"
)

const address = "10.0.0.1:80"

var errSilent = errors.New("no answer")

// testPaths are the paths of an instance whose connections each test decides.
type testPaths struct {
	*paths.Paths
	// direct is the outcome of a direct connection, near and far those of forwarders in this and in other
	// availability zones.
	direct    error
	near, far []error
	// mu guards asked. A forwarder that stands still answers when the call ends.
	mu         sync.Mutex
	asked      []string
	strandedAt []bool
	// others are the outcomes of direct connections to further upstreams, by address.
	others map[string]error
}

// errStandsStill is the outcome of a forwarder that does not answer.
var errStandsStill = errors.New("stands still")

func newTestPaths() *testPaths {
	x := &testPaths{}
	open := func(err error) (net.Conn, error) {
		if err != nil {
			return nil, err
		}
		a, b := net.Pipe()
		_ = b.Close()
		return a, nil
	}
	x.Paths = paths.New(paths.Services{
		Timer: timer.New(), Log: zap.NewNop(), Addresses: func() []string { return append(slices.Collect(maps.Keys(x.others)), address) },
		Dial: func(_ context.Context, _, a string) (net.Conn, error) {
			if a != address {
				return open(x.others[a])
			}
			return open(x.direct)
		},
		Forwarders: func() (out []paths.Forwarder) {
			for near, l := range map[bool][]error{true: x.near, false: x.far} {
				for i, err := range l {
					name := fmt.Sprint(map[bool]string{true: "near", false: "far"}[near], i)
					out = append(out, paths.Forwarder{Name: name, Near: near, Dial: func(c context.Context, _ string) (net.Conn, error) {
						x.mu.Lock()
						x.asked = append(x.asked, name)
						x.mu.Unlock()
						if err == errStandsStill {
							<-c.Done()
						}
						return open(err)
					}})
				}
			}
			return out
		},
		OnStranded: func(s bool) { x.strandedAt = append(x.strandedAt, s) },
	})
	return x
}

// The host of an upstream refuses connections of this instance. That is the end of its process only if
// those of instances elsewhere are refused too.
func TestRefusedConnectionAloneIsNotTheEndOfAnUpstream(t *testing.T) {
	refused := error(syscall.ECONNREFUSED)
	for name, c := range map[string]struct {
		direct    error
		near, far []error
		want      bool
	}{
		"no other instance":           {refused, nil, nil, true},
		"refused to all":              {refused, []error{refused}, []error{refused}, true},
		"refused to the zone":         {refused, []error{refused, refused}, []error{nil}, false},
		"reached by a neighbour":      {refused, []error{nil}, nil, false},
		"others do not answer":        {refused, nil, []error{errSilent}, false},
		"silent here, refused there":  {errSilent, nil, []error{refused}, false},
		"silent here, refused twice":  {errSilent, []error{refused}, []error{refused}, true},
		"silent here, reached near":   {errSilent, []error{nil}, []error{refused}, false},
		"silent here and near":        {errSilent, []error{errSilent}, []error{refused}, false},
		"silent to all":               {errSilent, []error{errSilent}, []error{errSilent}, false},
		"connected here":              {nil, nil, []error{refused}, false},
		"refused there, reached near": {refused, []error{nil}, []error{refused}, false},
	} {
		x := newTestPaths()
		x.direct, x.near, x.far = c.direct, c.near, c.far
		if got := x.HasEnded(t.Context(), address); got != c.want {
			t.Errorf("%s: ended %v, want %v", name, got, c.want)
		}
	}
}

// An upstream ends while three of the four other instances stand still. The one that answers is asked, whichever it is.
func TestEndOfAnUpstreamIsSeenThoughInstancesStandStill(t *testing.T) {
	for i := range 4 {
		x := newTestPaths()
		x.direct, x.far = syscall.ECONNREFUSED, []error{errStandsStill, errStandsStill, errStandsStill, errStandsStill}
		x.far[i] = syscall.ECONNREFUSED
		if !x.HasEnded(t.Context(), address) {
			t.Errorf("the end is not seen if instance %d answers", i)
		}
		x.far[i] = nil
		if x.HasEnded(t.Context(), address) {
			t.Errorf("an end is seen though instance %d connects", i)
		}
	}
}

// No other instance answers. A refused connection is the end of an upstream if another one accepts connections, and
// may be a cut of this instance if none does.
func TestEndOfAnUpstreamIsSeenWithoutOtherInstances(t *testing.T) {
	for want, other := range map[bool]error{true: nil, false: syscall.ECONNREFUSED} {
		x := newTestPaths()
		x.direct, x.far, x.others = syscall.ECONNREFUSED, []error{errStandsStill, errSilent}, map[string]error{"10.0.0.2:80": other}
		if got := x.HasEnded(t.Context(), address); got != want {
			t.Errorf("ended %v with a direct connection to another upstream that ends with %v", got, other)
		}
	}
}

// The links of a whole availability zone are cut. A forwarder of another zone is asked for each connection,
// and those that could not connect are asked last then.
func TestForwardersOfAnotherZoneAreAsked(t *testing.T) {
	x := newTestPaths()
	x.direct = syscall.ECONNREFUSED
	x.near, x.far = []error{syscall.ECONNREFUSED, syscall.ECONNREFUSED, syscall.ECONNREFUSED}, []error{nil}
	for i := range 4 {
		x.asked = nil
		n, err := x.DialIndirect(t.Context(), "tcp", address)
		if err != nil {
			t.Fatalf("%d: %v", i, err)
		}
		_ = n.Close()
		if len(x.asked) > 2 || !slices.Contains(x.asked, "far0") {
			t.Errorf("%d: %v were asked", i, x.asked)
		}
	}
}

// An instance is cut off and reaches its upstream again. It says so once each time.
func TestStrandedIsReportedOnce(t *testing.T) {
	x := newTestPaths()
	x.far = []error{nil}
	c, cancel := context.WithCancel(t.Context())
	defer cancel()
	go x.Run(c)
	wait := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	end := x.Begin()
	x.direct = errSilent
	wait("not cut off while a response is due and nothing is heard", x.Stranded)
	if !x.Indirect(address) {
		t.Error("the upstream is used directly")
	}
	x.direct = nil
	wait("still cut off", func() bool { return !x.Stranded() })
	end()
	if x.Indirect(address) || !slices.Equal(x.strandedAt, []bool{true, false}) {
		t.Errorf("reported %v", x.strandedAt)
	}
}
