package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// boot returns the time since the machine started, with the time in which it
// was suspended. The monotonic clock of the runtime leaves that time out.
func boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(t.Nano())
}
