package reader_test

import (
	"fmt"
	"testing"
	"time"

	"gentiangauge.example/gentiangauge/state/reader"
)

// fleet returns what each of n instances of three zones knows of the others.
func fleet(n int) (names []string, peers func(self string) []reader.Peer) {
	for i := range n {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	return names, func(self string) []reader.Peer {
		var out []reader.Peer
		for i, x := range names {
			if x != self {
				out = append(out, reader.Peer{Name: x, Zone: fmt.Sprint(i % 3), News: 10, Reads: true, Fresh: true})
			}
		}
		return out
	}
}

func self(name string, i int) reader.Self {
	return reader.Self{Name: name, Zone: fmt.Sprint(i % 3), News: 10, Idle: time.Second}
}

func TestOneInstanceOfEachZoneReads(t *testing.T) {
	names, peers := fleet(118)
	due := 0
	for i, n := range names {
		if reader.Due(self(n, i), peers(n)) {
			due++
		}
	}
	if due != 3 {
		t.Errorf("%d of 118 instances read, want 3", due)
	}
}

func TestEveryInstanceOfASmallFleetReads(t *testing.T) {
	names, peers := fleet(13)
	for i, n := range names {
		if !reader.Due(self(n, i), peers(n)) {
			t.Errorf("%s does not read", n)
		}
	}
}

// TestZoneWithoutAReaderReadsItself has the instances of a zone fall silent, or
// lose the store, one after the other: some living one always reads.
func TestZoneWithoutAReaderReadsItself(t *testing.T) {
	names, peers := fleet(118)
	dead := map[string]bool{}
	for range 30 {
		read := ""
		for i, n := range names {
			if i%3 != 0 || dead[n] {
				continue
			}
			l := peers(n)
			for k := range l {
				l[k].Fresh = !dead[l[k].Name]
			}
			if reader.Due(self(n, i), l) {
				read = n
			}
		}
		if read == "" {
			t.Fatalf("nobody reads after %d are silent", len(dead))
		}
		dead[read] = true
	}
}

func TestNewsAndLongIdlenessAreReasonsToRead(t *testing.T) {
	names, peers := fleet(118)
	for i, n := range names {
		s := self(n, i)
		s.News = 9
		if !reader.Due(s, peers(n)) {
			t.Errorf("%s does not read news", n)
		}
		s = self(n, i)
		s.Idle = time.Minute
		if !reader.Due(s, peers(n)) {
			t.Errorf("%s does not read after a minute", n)
		}
	}
}
