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

	"gentiangauge.example/gentiangauge/transport/relay"
)

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
	b := relay.NewBuffers()
	var read atomic.Int64
	var w sync.WaitGroup
	held := make(chan *relay.Buffer, bodies)
	for range bodies {
		w.Go(func() {
			x := b.Buffer()
			// Nothing is released before all have ended, as if each were being forwarded.
			held <- x
			if _, err := x.ReadAll(t.Context(), endless{&read}, limit); !errors.Is(err, relay.ErrResponseTooLarge) {
				t.Errorf("read with %v", err)
			}
		})
	}
	w.Wait()
	if n := read.Load(); n > most {
		t.Errorf("%d bytes were read, want at most %d", n, most)
	}
	if got, err := b.Buffer().ReadAll(t.Context(), strings.NewReader("small"), limit); err != nil || string(got) != "small" {
		t.Errorf("a small body is read as %q, %v", got, err)
	}
	close(held)
	for x := range held {
		x.Release()
	}
	whole := bytes.Repeat([]byte("x"), limit)
	x := b.Buffer()
	defer x.Release()
	if got, err := x.ReadAll(t.Context(), bytes.NewReader(whole), limit); err != nil || !bytes.Equal(got, whole) {
		t.Errorf("a body of %d bytes is read as %d, %v", limit, len(got), err)
	}
}

// A body breaks off, or is too large by one byte.
func TestBrokenBodiesAreNotRead(t *testing.T) {
	x := relay.NewBuffers().Buffer()
	defer x.Release()
	broken := io.MultiReader(strings.NewReader("a"), errReader{})
	if got, err := x.ReadAll(context.Background(), broken, 10); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("read as %q, %v", got, err)
	}
	if got, err := x.ReadAll(context.Background(), strings.NewReader("12345678901"), 10); !errors.Is(err, relay.ErrResponseTooLarge) {
		t.Errorf("read as %q, %v", got, err)
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
