package dispatch

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/transport/inbound"
	"gentiangauge.example/gentiangauge/transport/relay"
)

const (
	// maxBufferedBytes bounds a response that is buffered before it is forwarded.
	maxBufferedBytes = 8 << 20
	readBufferBytes  = 8 << 10
	// maxEventBytes bounds one event of a stream, because an upstream may send data
	// without ever ending an event.
	maxEventBytes = 1 << 20
)

// forward forwards a response to the caller. It calls first when the first part has
// arrived; first returns false if the send was cancelled before.
func (d *Dispatcher) forward(c context.Context, w http.ResponseWriter, j *job, a *Response, first func() bool) error {
	if j.route.Kind == route.Stream && a.Status == http.StatusOK && isEventStream(a) {
		return d.forwardStream(c, w, j, a, first)
	}
	if j.started {
		return d.rejectRest(j, "a response that is no event stream")
	}
	return d.forwardBuffered(c, w, j, a, first)
}

// isEventStream reports whether the body of a response is a series of events.
func isEventStream(a *Response) bool {
	t, _, err := mime.ParseMediaType(a.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// rejectRest drops the response of an upstream that was asked for the rest of a stream, since it is something
// else. Another upstream may have the rest.
func (d *Dispatcher) rejectRest(j *job, what string) error {
	j.avoid[j.choice.ID] = true
	d.Pool.RecordOutcome(j.choice.ID, pool.Failed, d.Timer.Boot())
	d.Log.Warn("upstream did not resume the stream", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.String("last-event", j.sequence.last), zap.String("got", what))
	return eris.Wrapf(errTryAnother, "upstream did not resume the stream: %s", what)
}

// forwardBuffered buffers a response until it is complete, so that the caller never
// receives a truncated one.
func (d *Dispatcher) forwardBuffered(c context.Context, w http.ResponseWriter, j *job, a *Response, first func() bool) error {
	x := d.buffers.Buffer(inbound.From(c).Usage())
	defer x.Release()
	b, err := x.ReadAll(c, a.Body, maxBufferedBytes, a.Length)
	if err != nil {
		return d.handleTruncation(c, j, err)
	}
	// A complete response is forwarded even if the send has just been cancelled.
	_ = first()
	copyHeader(w, a)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	j.started = true
	w.WriteHeader(a.Status)
	if _, err := w.Write(b); err != nil {
		d.Log.Info("caller disconnected while the response was being written", zap.String("request", j.ID), zap.Error(err))
	}
	return nil
}

func copyHeader(w http.ResponseWriter, a *Response) {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
}

// handleTruncation handles a response that ended before it was complete. It returns
// errTryAnother unless the caller disconnected or the deadline passed.
func (d *Dispatcher) handleTruncation(c context.Context, j *job, err error) error {
	if c.Err() != nil {
		d.recordUnsettled(j)
		return eris.Wrap(context.Cause(c), "caller disconnected or deadline passed")
	}
	if j.outdated.Load() {
		return errOutdated
	}
	d.Pool.RecordOutcome(j.choice.ID, pool.Failed, d.Timer.Boot())
	j.avoid[j.choice.ID] = true
	d.recordBreak(c, j)
	d.Log.Info("answer cut", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.String("last-event", j.sequence.last), zap.Error(err))
	return eris.Wrap(errTryAnother, "upstream truncated its response")
}

// forwardStream forwards events as they arrive, each one only when it is complete.
func (d *Dispatcher) forwardStream(c context.Context, w http.ResponseWriter, j *job, a *Response, first func() bool) error {
	var pending []byte
	x := d.buffers.Buffer(inbound.From(c).Usage())
	defer x.Release()
	buf := make([]byte, readBufferBytes)
	flush := http.NewResponseController(w)
	resumes, seen := j.sequence.last != "", false
	for {
		n, err := a.Body.Read(buf)
		var tooLarge error
		if pending, tooLarge = x.Append(c, pending, buf[:n]); tooLarge != nil {
			return d.handleTruncation(c, j, tooLarge)
		}
		complete := completeEvents(pending)
		events := pending[:complete]
		if resumes && !seen {
			events = withoutPadding(events)
		}
		if len(events) > 0 {
			if !seen {
				if !j.sequence.continuedBy(events) {
					return d.rejectRest(j, "events that do not follow the last one")
				}
				seen = true
				if !first() {
					return d.handleTruncation(c, j, err)
				}
				d.recordContinued(j)
				d.recordBegin(j, true)
			}
			if j.events += countEvents(events); j.events >= soundEvents {
				d.recordSound(c, j)
			}
			if err := d.forwardEvents(w, flush, j, a, events); err != nil {
				return err
			}
		}
		pending = append(pending[:0], pending[complete:]...)
		switch {
		case len(pending) > maxEventBytes:
			return d.handleTruncation(c, j, eris.Wrapf(relay.ErrTooLarge, "an event of over %d bytes", maxEventBytes))
		case err == nil:
		case err != io.EOF || len(pending) > 0 || !j.started:
			j.sequence.cutInside = j.sequence.cutInside || len(pending) > 0
			return d.handleTruncation(c, j, err)
		case !seen && j.sequence.cutInside:
			return d.rejectRest(j, "no event, though the last upstream had begun one")
		default:
			return nil
		}
	}
}

func (d *Dispatcher) forwardEvents(w http.ResponseWriter, flush *http.ResponseController, j *job, a *Response, events []byte) error {
	if !j.started {
		copyHeader(w, a)
		w.WriteHeader(a.Status)
		j.started = true
	}
	j.sequence.add(events)
	if _, err := w.Write(events); err != nil {
		return eris.Wrap(ErrTruncated, err.Error())
	}
	if err := flush.Flush(); err != nil {
		return eris.Wrap(ErrTruncated, err.Error())
	}
	return nil
}

// completeEvents returns the length of the complete events at the start of b. An empty
// line ends an event.
func completeEvents(b []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// countEvents returns the number of events in b, which ends with a complete one.
func countEvents(b []byte) int {
	return bytes.Count(b, []byte("\n\n")) + bytes.Count(b, []byte("\r\n\r\n"))
}
