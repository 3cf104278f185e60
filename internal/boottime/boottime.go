// Package boottime reads a clock that keeps running while the machine is suspended. Leases are measured by it: the monotonic clock of
// package time stops during a suspension, so a holder that resumes would still consider its lease valid.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return time.Duration(ts.Nano())
}
