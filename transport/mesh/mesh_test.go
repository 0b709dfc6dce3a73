package mesh_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/protoadapt"

	"gentiangauge.example/gentiangauge/state/timeline"
	"gentiangauge.example/gentiangauge/transport/mesh"
)

type echo struct {
	mesh.Message
	Text  string   `protobuf:"bytes,1,opt,name=text,proto3"`
	Count int64    `protobuf:"varint,2,opt,name=count,proto3"`
	Names []string `protobuf:"bytes,3,rep,name=names,proto3"`
}

var _ protoadapt.MessageV1 = (*echo)(nil)

func newMesh(address string) *mesh.Mesh {
	r := timeline.New(address, 10, time.Now)
	return mesh.New(address, mesh.Clock{Tick: r.Tick, Observe: r.Observe})
}

func serve(t testing.TB) (string, *mesh.Mesh, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := newMesh(l.Addr().String())
	mesh.Handle(m, "echo", func(_ context.Context, _ string, q *echo) (*echo, error) {
		if q.Text == "fail" {
			return nil, errors.New("asked to fail")
		}
		return q, nil
	})
	mesh.Handle(m, "slow", func(c context.Context, _ string, q *echo) (*echo, error) {
		<-c.Done()
		return q, nil
	})
	c, cancel := context.WithCancel(context.Background())
	go func() { _ = m.Serve(c, l) }()
	return l.Addr().String(), m, cancel
}

func TestConcurrentCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	address, _, stop := serve(t)
	client := newMesh("client")
	c, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answers := make(chan error, 50)
	for i := range cap(answers) {
		go func() {
			r, err := mesh.Call[echo, echo](c, client, address, "echo", &echo{Text: fmt.Sprint(i), Count: int64(i), Names: []string{"a", "b"}})
			if err == nil && (r.Text != fmt.Sprint(i) || r.Count != int64(i) || len(r.Names) != 2) {
				err = fmt.Errorf("call %d got %s", i, r.Text)
			}
			answers <- err
		}()
	}
	for range cap(answers) {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
	if _, err := mesh.Call[echo, echo](c, client, address, "echo", &echo{Text: "fail"}); !errors.Is(err, mesh.ErrRefused) || !strings.Contains(err.Error(), "asked to fail") {
		t.Errorf("a failed call got %v", err)
	}
	if _, err := mesh.Call[echo, echo](c, client, address, "none", &echo{}); !errors.Is(err, mesh.ErrRefused) {
		t.Errorf("an unknown method got %v", err)
	}
	short, cancelShort := context.WithTimeout(c, 50*time.Millisecond)
	defer cancelShort()
	if _, err := mesh.Call[echo, echo](short, client, address, "slow", &echo{}); !errors.Is(err, mesh.ErrUnreachable) {
		t.Errorf("a slow call got %v", err)
	}
	client.Disconnect(address)
	stop()
	if _, err := mesh.Call[echo, echo](c, client, address, "echo", &echo{}); !errors.Is(err, mesh.ErrUnreachable) {
		t.Errorf("a stopped peer got %v", err)
	}
}

func TestCancelledCallEndsHandler(t *testing.T) {
	address, m, stop := serve(t)
	defer stop()
	ended := make(chan struct{})
	mesh.Handle(m, "wait", func(c context.Context, _ string, q *echo) (*echo, error) {
		<-c.Done()
		close(ended)
		return q, nil
	})
	c, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := mesh.Call[echo, echo](c, newMesh("client"), address, "wait", &echo{}); !errors.Is(err, mesh.ErrUnreachable) {
		t.Errorf("got %v", err)
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the handler still runs 10 s after its caller cancelled the call")
	}
}

func FuzzUnmarshal(f *testing.F) {
	b, err := mesh.Marshal(&echo{Text: "x", Count: 3, Names: []string{"a"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var e echo
		if mesh.Unmarshal(b, &e) != nil {
			return
		}
		again, err := mesh.Marshal(&e)
		if err != nil {
			t.Fatalf("encoding a decoded message: %v", err)
		}
		var x echo
		if err := mesh.Unmarshal(again, &x); err != nil || x.Text != e.Text || x.Count != e.Count {
			t.Fatalf("%v is decoded as %v: %v", e, x, err)
		}
	})
}

// BenchmarkCall measures one call with both ends in this process.
func BenchmarkCall(b *testing.B) {
	address, _, stop := serve(b)
	defer stop()
	client := newMesh("client")
	bytes := 0
	client.OnTransfer = func(r, s int) { bytes += r + s }
	c := context.Background()
	n := 0
	for b.Loop() {
		n++
		if _, err := mesh.Call[echo, echo](c, client, address, "echo", &echo{Text: "2afd011d47fddecf", Count: 12}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes)/float64(n), "bytes/call")
}
