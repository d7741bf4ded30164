package cell

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since some point in the past. It counts the suspension
// of the host, so that a process that was paused sees that its tenure is over.
type Clock func() time.Duration

// HostClock reads the clock of the host that counts suspension.
func HostClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(ts.Nano())
}
