package relay_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gentiangauge.example/gentiangauge/state/shedding"
	"gentiangauge.example/gentiangauge/timer"
	"gentiangauge.example/gentiangauge/transport/relay"
)

// newBuffers returns the buffers for responses of an instance with the memory of the users' larger machines.
func newBuffers() *relay.Buffers {
	t := timer.New()
	return relay.NewBuffers(shedding.New(shedding.NewLimits(206<<20, 2870), t.Boot), shedding.Responses, t)
}

// endless is a body without end that counts what is read.
type endless struct{ read *atomic.Int64 }

func (e endless) Read(b []byte) (int, error) {
	e.read.Add(int64(len(b)))
	return len(b), nil
}

// An upstream sends bodies without end on many connections at once. What is held of them is bounded for all together,
// and small bodies are read all the while.
func TestManyBodiesWithoutEndShareABoundOfMemory(t *testing.T) {
	const limit, bodies, most = 8 << 20, 64, 48 << 20
	b := newBuffers()
	var read atomic.Int64
	var w sync.WaitGroup
	held := make(chan *relay.Buffer, bodies)
	for range bodies {
		w.Go(func() {
			x := b.Buffer(nil)
			// Nothing is released before all have ended, as if each were being forwarded.
			held <- x
			if _, err := x.ReadAll(t.Context(), endless{&read}, limit, 0); !errors.Is(err, relay.ErrTooLarge) {
				t.Errorf("read with %v", err)
			}
		})
	}
	w.Wait()
	if n := read.Load(); n > most {
		t.Errorf("%d bytes were read, want at most %d", n, most)
	}
	if got, err := b.Buffer(nil).ReadAll(t.Context(), strings.NewReader("small"), limit, 0); err != nil || string(got) != "small" {
		t.Errorf("a small body is read as %q, %v", got, err)
	}
	close(held)
	for x := range held {
		x.Release()
	}
	whole := bytes.Repeat([]byte("x"), limit)
	x := b.Buffer(nil)
	defer x.Release()
	if got, err := x.ReadAll(t.Context(), bytes.NewReader(whole), limit, 0); err != nil || !bytes.Equal(got, whole) {
		t.Errorf("a body of %d bytes is read as %d, %v", limit, len(got), err)
	}
}

// A body breaks off, or is too large by one byte.
func TestBrokenBodiesAreNotRead(t *testing.T) {
	x := newBuffers().Buffer(nil)
	defer x.Release()
	broken := io.MultiReader(strings.NewReader("a"), errReader{})
	if got, err := x.ReadAll(context.Background(), broken, 10, 0); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("read as %q, %v", got, err)
	}
	if got, err := x.ReadAll(context.Background(), strings.NewReader("12345678901"), 10, 0); !errors.Is(err, relay.ErrTooLarge) {
		t.Errorf("read as %q, %v", got, err)
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
