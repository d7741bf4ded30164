package cell

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed point in the past. It goes on while the host is suspended, so
// that a process that was paused sees that its tenure is over.
type Clock func() time.Duration

// HostClock reads the host's boot-time clock, which goes on while the host is suspended.
func HostClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}
