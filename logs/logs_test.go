package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/logs"
)

// sink is a writer that blocks until its gate, if it has one, is closed.
type sink struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	gate chan struct{}
}

func (s *sink) Write(b []byte) (int, error) {
	if s.gate != nil {
		<-s.gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

func TestErrorsAreOneLineWithoutStack(t *testing.T) {
	s := &sink{}
	l, err := logs.New("info", s)
	if err != nil {
		t.Fatal(err)
	}
	l.Named("feed").With(zap.Error(eris.New("outer"))).Warn("store lost", zap.Error(eris.Wrap(eris.New("inner"), "read")))
	l.Flush(time.Sleep, time.Second)
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	got := s.buf.String()
	if strings.Count(got, "\n") != 1 || strings.Contains(got, "errorVerbose") || !strings.Contains(got, `"error":"read: inner"`) || !strings.Contains(got, `"part":"feed"`) {
		t.Errorf("logged %q", got)
	}
}

// TestLogNeverBlocks logs to a writer that blocks forever.
func TestLogNeverBlocks(t *testing.T) {
	s := &sink{gate: make(chan struct{})}
	defer close(s.gate)
	l, err := logs.New("info", s)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			l.Info("line", zap.Int("number", i))
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocks")
	}
	if l.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
}

func TestUnknownLevelIsAnError(t *testing.T) {
	if _, err := logs.New("loud", &sink{}); err == nil {
		t.Error("an unknown level was accepted")
	}
}
