// Package logs writes the structured log of a process without ever blocking
// it: lines go through a bounded ring, and those that find it full are counted
// and dropped.
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
	// ringLines bounds the lines that wait for the writer, about 2 MB.
	ringLines = 4096
	// perSecond is the number of lines a second with the same text that are
	// written; of those beyond, one in beyond is.
	perSecond = 300
	beyond    = 100
)

// Log is the log of a process.
type Log struct {
	*zap.Logger
	lines   *ring.Ring[[]byte]
	level   zap.AtomicLevel
	dropped atomic.Int64
}

// New returns a log of JSON lines to w. The field part is the fixed prefix of
// each part.
func New(level string, w io.Writer) (*Log, error) {
	x := &Log{lines: ring.New[[]byte](ringLines), level: zap.NewAtomicLevel()}
	if err := x.SetLevel(level); err != nil {
		return nil, err
	}
	e := zap.NewProductionEncoderConfig()
	e.TimeKey, e.NameKey, e.StacktraceKey, e.CallerKey = "time", "part", "", ""
	e.EncodeTime = zapcore.ISO8601TimeEncoder
	core := plainErrors{zapcore.NewCore(zapcore.NewJSONEncoder(e), zapcore.AddSync(x), x.level)}
	x.Logger = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, perSecond, beyond, zapcore.SamplerHook(x.sampled)))
	go func() {
		for b := range x.lines.Out() {
			// Nobody can be told that the log cannot be written.
			_, _ = w.Write(b)
		}
	}()
	return x, nil
}

// SetLevel changes the least level of the lines that are written.
func (l *Log) SetLevel(level string) error {
	x, err := zapcore.ParseLevel(level)
	if err != nil {
		return eris.Wrap(err, "log level")
	}
	l.level.SetLevel(x)
	return nil
}

// Write hands one line to the writer.
func (l *Log) Write(b []byte) (int, error) {
	if !l.lines.Offer(append([]byte(nil), b...)) {
		l.dropped.Add(1)
	}
	return len(b), nil
}

func (l *Log) sampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() int64 {
	return l.dropped.Load()
}

// Flush waits until the lines so far are written, for d at most.
func (l *Log) Flush(sleep func(time.Duration), d time.Duration) {
	const step = 10 * time.Millisecond
	for ; d > 0 && len(l.lines.Out()) > 0; d -= step {
		sleep(step)
	}
}

// plainErrors writes errors without the stacks that eris keeps.
type plainErrors struct {
	zapcore.Core
}

func plain(f []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, 0, len(f))
	for _, x := range f {
		if err, ok := x.Interface.(error); ok && x.Type == zapcore.ErrorType {
			x = zap.String(x.Key, err.Error())
		}
		out = append(out, x)
	}
	return out
}

// With adds fields to all entries.
func (c plainErrors) With(f []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(f))}
}

// Check adds this core if the level is enabled.
func (c plainErrors) Check(e zapcore.Entry, k *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return k.AddCore(e, c)
	}
	return k
}

// Write writes an entry.
func (c plainErrors) Write(e zapcore.Entry, f []zapcore.Field) error {
	return c.Core.Write(e, plain(f))
}
