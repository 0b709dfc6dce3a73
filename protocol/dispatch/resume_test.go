package dispatch_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gentiangauge.example/gentiangauge/protocol/dispatch"
	"gentiangauge.example/gentiangauge/state/route"
)

const wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// resumeWith has a stream break off inside its third event, and other upstreams answer the request for its rest.
func resumeWith(upstreams int, rest ...*dispatch.Response) (body string, sends int, err error) {
	b := newHarness(upstreams)
	b.configuration.Routes[0].MaxAttempts = 3
	b.table = route.New(b.configuration)
	b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			return stream(firstHalf, true), nil
		}
		return rest[min(n-2, len(rest)-1)], nil
	}
	w, err := b.serve("/chat/x")
	return w.Body.String(), len(b.sends), err
}

func typed(contentType, text string) *dispatch.Response {
	a := response(http.StatusOK, text)
	if contentType != "" {
		a.Header.Set("Content-Type", contentType)
	}
	return a
}

// The upstream that is asked for the rest of a stream answers with something else. Nothing of that follows
// the events that the caller has, and the stream does not end as a complete one.
func TestOnlyTheRestOfAStreamFollowsItsBegin(t *testing.T) {
	for name, answer := range map[string]func() *dispatch.Response{
		"document":         func() *dispatch.Response { return typed("application/json", `{"error":"odd"}`) },
		"no type":          func() *dispatch.Response { return typed("", "odd text") },
		"other stream":     func() *dispatch.Response { return typed("text/event-streams", secondHalf) },
		"empty stream":     func() *dispatch.Response { return stream("", false) },
		"blank stream":     func() *dispatch.Response { return stream("\n\n", false) },
		"repeated events":  func() *dispatch.Response { return stream(wholeStream, false) },
		"repeated event":   func() *dispatch.Response { return stream("id: 2\ndata: b\n\n"+secondHalf, false) },
		"missing event":    func() *dispatch.Response { return stream("id: 4\ndata: d\n\n", false) },
		"event without id": func() *dispatch.Response { return stream("data: c\n\n", false) },
		"id of no number":  func() *dispatch.Response { return stream("id: c\ndata: c\n\n", false) },
		"accepted": func() *dispatch.Response {
			a := stream(secondHalf, false)
			a.Status = http.StatusAccepted
			return a
		},
		"no content": func() *dispatch.Response { return response(http.StatusNoContent, "") },
		"server error": func() *dispatch.Response {
			a := stream("id: 3\ndata: error\n\n", false)
			a.Status = http.StatusInternalServerError
			return a
		},
	} {
		t.Run(name, func(t *testing.T) {
			body, _, err := resumeWith(2, answer())
			if !errors.Is(err, dispatch.ErrTruncated) || !strings.HasPrefix(wholeStream, body) || body == wholeStream {
				t.Errorf("without another upstream: error %v, body %q", err, body)
			}
			body, sends, err := resumeWith(3, answer(), stream(secondHalf, false))
			if err != nil || body != wholeStream || sends != 3 {
				t.Errorf("with another upstream: error %v, body %q after %d sends", err, body, sends)
			}
		})
	}
}

// All events of a stream have arrived, and its connection breaks before the end of the response. The upstream
// that is asked for the rest has none.
func TestStreamWithoutARestIsComplete(t *testing.T) {
	b := newHarness(2)
	b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			return stream(wholeStream, true), nil
		}
		return stream("", false), nil
	}
	if w, err := b.serve("/chat/x"); err != nil || w.Body.String() != wholeStream {
		t.Errorf("error %v, body %q", err, w.Body)
	}
}

// A stream whose ids have gaps is resumed by an event with any higher id.
func TestStreamWithGapsInItsIDsIsResumed(t *testing.T) {
	b := newHarness(2)
	const begin, rest = "id: 3\ndata: a\n\nid: 6\ndata: b\n\n", "id: 12\ndata: c\n\n"
	b.respond = func(n int, _ dispatch.UpstreamRequest) (*dispatch.Response, error) {
		if n == 1 {
			return stream(begin, true), nil
		}
		return stream(rest, false), nil
	}
	if w, err := b.serve("/chat/x"); err != nil || w.Body.String() != begin+rest {
		t.Errorf("error %v, body %q", err, w.Body)
	}
}

// The first event of the rest arrives byte by byte, and its id only with the last one.
func TestRestOfAStreamMayArriveInPieces(t *testing.T) {
	a := stream("", false)
	a.Body = io.NopCloser(&pieces{text: "data: c\nid: 3\n\n"})
	body, _, err := resumeWith(2, a)
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\nid: 3\n\n"; err != nil || body != want {
		t.Errorf("error %v, body %q", err, body)
	}
}

// pieces is a body that arrives byte by byte.
type pieces struct{ text string }

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	b[0], p.text = p.text[0], p.text[1:]
	return 1, nil
}
