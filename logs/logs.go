// Package logs writes the structured log of a process without ever blocking the
// caller: lines are queued in a bounded ring buffer. Lines that arrive while it is
// full are dropped and counted.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gentiangauge.example/gentiangauge/ring"
)

const (
	// maxBufferedLines bounds the lines that are queued for the writer, about 2 MB.
	maxBufferedLines = 4096
	// sampleFirst is the number of lines with the same message that are written each
	// second. Of those beyond it, one in sampleThereafter is written.
	sampleFirst      = 300
	sampleThereafter = 100
)

// Log is the log of a process.
type Log struct {
	*zap.Logger
	lines   *ring.Ring[[]byte]
	level   zap.AtomicLevel
	dropped atomic.Int64
}

// New returns a logger that writes JSON lines to w. The names of loggers are written as
// the field part.
func New(level string, w io.Writer) (*Log, error) {
	x := &Log{lines: ring.New[[]byte](maxBufferedLines), level: zap.NewAtomicLevel()}
	if err := x.SetLevel(level); err != nil {
		return nil, err
	}
	e := zap.NewProductionEncoderConfig()
	e.TimeKey, e.NameKey, e.StacktraceKey, e.CallerKey = "time", "part", "", ""
	e.EncodeTime = zapcore.ISO8601TimeEncoder
	core := stacklessCore{zapcore.NewCore(zapcore.NewJSONEncoder(e), zapcore.AddSync(x), x.level)}
	x.Logger = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(x.countSampledOut)))
	go func() {
		for b := range x.lines.Out() {
			// There is nowhere to report that the log cannot be written.
			_, _ = w.Write(b)
		}
	}()
	return x, nil
}

// SetLevel sets the minimum level of the lines that are written. It fails if the level
// is unknown.
func (l *Log) SetLevel(level string) error {
	x, err := zapcore.ParseLevel(level)
	if err != nil {
		return eris.Wrap(err, "parse log level")
	}
	l.level.SetLevel(x)
	return nil
}

// Write queues a copy of one line. It never fails: a line that does not fit is dropped
// and counted.
func (l *Log) Write(b []byte) (int, error) {
	if !l.lines.Offer(append([]byte(nil), b...)) {
		l.dropped.Add(1)
	}
	return len(b), nil
}

func (l *Log) countSampledOut(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines that were dropped or sampled out.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// Flush waits until the queued lines have been taken by the writer, for d at most.
func (l *Log) Flush(sleep func(time.Duration), d time.Duration) {
	const step = 10 * time.Millisecond
	for ; d > 0 && len(l.lines.Out()) > 0; d -= step {
		sleep(step)
	}
}

// stacklessCore writes errors without the stack traces that eris records.
type stacklessCore struct {
	zapcore.Core
}

func withoutStacks(f []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, 0, len(f))
	for _, x := range f {
		if err, ok := x.Interface.(error); ok && x.Type == zapcore.ErrorType {
			x = zap.String(x.Key, err.Error())
		}
		out = append(out, x)
	}
	return out
}

// With implements zapcore.Core.
func (c stacklessCore) With(f []zapcore.Field) zapcore.Core {
	return stacklessCore{c.Core.With(withoutStacks(f))}
}

// Check implements zapcore.Core.
func (c stacklessCore) Check(e zapcore.Entry, k *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return k.AddCore(e, c)
	}
	return k
}

// Write implements zapcore.Core.
func (c stacklessCore) Write(e zapcore.Entry, f []zapcore.Field) error {
	return c.Core.Write(e, withoutStacks(f))
}
