package paths_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
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
	direct     error
	near, far  []error
	asked      []string
	strandedAt []bool
}

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
		Timer: timer.New(), Log: zap.NewNop(), Addresses: func() []string { return []string{address} },
		Dial: func(context.Context, string, string) (net.Conn, error) { return open(x.direct) },
		Forwarders: func() (out []paths.Forwarder) {
			for near, l := range map[bool][]error{true: x.near, false: x.far} {
				for i, err := range l {
					name := fmt.Sprint(map[bool]string{true: "near", false: "far"}[near], i)
					out = append(out, paths.Forwarder{Name: name, Near: near, Dial: func(context.Context, string) (net.Conn, error) {
						x.asked = append(x.asked, name)
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
