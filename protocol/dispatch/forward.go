package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"gentiangauge.example/gentiangauge/state/pool"
	"gentiangauge.example/gentiangauge/state/route"
	"gentiangauge.example/gentiangauge/transport/relay"
)

const (
	// maxPlainBytes bounds an answer that is held until it is whole.
	maxPlainBytes = 8 << 20
	readBytes     = 8 << 10
	// maxEventBytes bounds an event of a stream. An upstream may send bytes that
	// are no event without end.
	maxEventBytes = 1 << 20
)

// pass passes an answer on to the caller. First is called at its first part, and
// returns false if the answer was given up before.
func (d *Dispatcher) pass(c context.Context, w http.ResponseWriter, j *job, a *Response, first func() bool) error {
	if j.route.Kind == route.Stream && a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return d.passStream(c, w, j, a, first)
	}
	return d.passPlain(c, w, j, a, first)
}

// passPlain holds an answer until it is whole, so that a cut one is never
// passed on.
func (d *Dispatcher) passPlain(c context.Context, w http.ResponseWriter, j *job, a *Response, first func() bool) error {
	b, err := relay.ReadAll(a.Body, maxPlainBytes)
	if err != nil {
		return d.cut(c, j, err)
	}
	// A whole answer is passed on even if it was just given up.
	_ = first()
	begin(w, a)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	j.first = true
	w.WriteHeader(a.Status)
	if _, err := w.Write(b); err != nil {
		d.Log.Info("caller left", zap.String("request", j.ID), zap.Error(err))
	}
	return nil
}

func begin(w http.ResponseWriter, a *Response) {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
}

// cut deals with an answer that ends before it is whole.
func (d *Dispatcher) cut(c context.Context, j *job, err error) error {
	if c.Err() != nil {
		return eris.Wrap(context.Cause(c), "the caller left or its time ended")
	}
	d.Pool.RecordOutcome(j.choice.ID, pool.Failed, d.Timer.Boot())
	j.avoid[j.choice.ID] = true
	d.Log.Info("answer cut", zap.String("request", j.ID), zap.String("upstream", string(j.choice.ID)), zap.String("last-event", j.lastEvent), zap.Error(err))
	return eris.Wrap(errNext, "the upstream broke off its answer")
}

// passStream passes whole events on as they arrive.
func (d *Dispatcher) passStream(c context.Context, w http.ResponseWriter, j *job, a *Response, first func() bool) error {
	var pending []byte
	buf := make([]byte, readBytes)
	flush := http.NewResponseController(w)
	seen := false
	for {
		n, err := a.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		if whole := wholeEvents(pending); whole > 0 {
			if !seen {
				seen = true
				if !first() {
					return d.cut(c, j, err)
				}
			}
			if x := d.passEvents(w, flush, j, a, pending[:whole]); x != nil {
				return x
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case len(pending) > maxEventBytes:
			return d.cut(c, j, eris.Wrapf(relay.ErrResponseTooLarge, "an event of over %d bytes", maxEventBytes))
		case err == nil:
		case err != io.EOF || len(pending) > 0 || !j.first:
			return d.cut(c, j, err)
		default:
			return nil
		}
	}
}

func (d *Dispatcher) passEvents(w http.ResponseWriter, flush *http.ResponseController, j *job, a *Response, events []byte) error {
	if !j.first {
		begin(w, a)
		w.WriteHeader(a.Status)
		j.first = true
	}
	if id, ok := lastID(events); ok {
		j.lastEvent = id
	}
	if _, err := w.Write(events); err != nil {
		return eris.Wrap(ErrTruncated, err.Error())
	}
	if err := flush.Flush(); err != nil {
		return eris.Wrap(ErrTruncated, err.Error())
	}
	return nil
}

// wholeEvents returns the length of the events at the start of b that are
// complete. An event ends with an empty line.
func wholeEvents(b []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// lastID returns the id of the last event in b that has one.
func lastID(b []byte) (string, bool) {
	lines := strings.Split(string(b), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if v, ok := strings.CutPrefix(lines[i], "id:"); ok {
			return strings.TrimSpace(v), true
		}
	}
	return "", false
}
