// Package suspicion decides which parts of requests crash the upstreams that run them, from the
// crashes and the responses that all instances observe.
package suspicion

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Part identifies a part of a prompt, or a whole request, by a hash of its content.
type Part uint64

// NewPart returns the part with some content. The kind separates parts of different nature.
func NewPart(kind string, content ...string) Part {
	h := sha256.New()
	for _, x := range append([]string{kind}, content...) {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(x))))
		_, _ = h.Write([]byte(x))
	}
	return Part(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the part in hexadecimal.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }
