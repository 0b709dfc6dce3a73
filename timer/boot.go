package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, including the time in which it
// was suspended. The monotonic clock of the Go runtime excludes that time.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel provides CLOCK_BOOTTIME
	}
	return time.Duration(t.Nano())
}
