// Package software knows the versions of the software that upstreams run. Streams of different
// versions do not fit together.
package software

import (
	"strconv"
	"strings"
)

// Version identifies the software of an upstream's process. Versions have no order.
type Version string

// Stated returns the version that an upstream states. Processes that state the same text run the
// same software.
func Stated(text string) Version { return Version("=" + text) }

// IsStated reports whether an upstream has stated the version.
func (v Version) IsStated() bool { return strings.HasPrefix(string(v), "=") }

// Unstated returns the version of a process whose version is not known. It differs from that of
// every other process.
func Unstated(id string, startedAt int64) Version {
	return Version("?" + id + "@" + strconv.FormatInt(startedAt, 10))
}
