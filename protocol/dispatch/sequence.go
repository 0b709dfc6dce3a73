package dispatch

import (
	"bytes"
	"strconv"
	"strings"
)

// sequence is the order of the events of a stream that the caller has, over all upstreams that have written
// them. Their ids rise.
type sequence struct {
	// last is the id of the last event, or empty.
	last string
	// previous is last as a number, if known is set. pairs is the number of events that followed another one,
	// gaps that of those whose ids were not the next number.
	previous    int64
	known       bool
	pairs, gaps int
	// cutInside is set if a part of the next event has arrived, but not its end.
	cutInside bool
}

// event is what a sequence knows of an event.
type event struct {
	id      string
	hasData bool
	// end is the position after the event.
	end int
}

// parseEvents returns the events in b, which ends with a complete one.
func parseEvents(b []byte) []event {
	var out []event
	var x event
	for at := 0; at < len(b); {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			break
		}
		l := strings.TrimSuffix(string(b[at:at+n]), "\r")
		at += n + 1
		switch {
		case l == "":
			x.end = at
			out, x = append(out, x), event{}
		case strings.HasPrefix(l, "data"):
			x.hasData = true
		default:
			if v, ok := strings.CutPrefix(l, "id:"); ok {
				x.id = strings.TrimSpace(v)
			}
		}
	}
	return out
}

// add adds events that the caller has received.
func (s *sequence) add(events []byte) {
	for _, x := range parseEvents(events) {
		if x.id != "" {
			s.addID(x.id)
		}
	}
}

func (s *sequence) addID(id string) {
	s.last, s.cutInside = id, false
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		s.known = false
		return
	}
	if s.known {
		s.pairs++
		if n != s.previous+1 {
			s.gaps++
		}
	}
	s.previous, s.known = n, true
}

// withoutPadding returns the events in b from the first one with data on. What comes before carries nothing,
// such as comments that keep a connection open.
func withoutPadding(b []byte) []byte {
	start := 0
	for _, x := range parseEvents(b) {
		if x.hasData {
			return b[start:]
		}
		start = x.end
	}
	return nil
}

// continuedBy reports whether events, the first ones that an upstream has sent, go on after the last one: no
// event may come twice or, as far as the ids tell, be missing.
//
// Load pattern: upstreams in trouble answer the request for the rest of a stream with something else, such as
// the whole stream.
func (s *sequence) continuedBy(events []byte) bool {
	l := parseEvents(events)
	if s.last == "" || len(l) == 0 {
		return true
	}
	from, err := strconv.ParseInt(s.last, 10, 64)
	if err != nil {
		return l[0].id != "" && l[0].id != s.last
	}
	to, err := strconv.ParseInt(l[0].id, 10, 64)
	return err == nil && to > from && (to == from+1 || s.pairs == 0 || s.gaps > 0)
}
