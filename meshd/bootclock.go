package meshd

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine was started, including the time for which it was suspended, by
// CLOCK_BOOTTIME. It is 0 if the clock cannot be read; the steady clock then decides alone.
func BootClock() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
