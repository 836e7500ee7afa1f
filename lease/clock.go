package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started, suspension included.
//
// Go's own monotonic clock stands still while the machine is suspended. A
// holder that wakes from suspension would believe by it that its lease, lapsed
// long ago, is still young.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only an unknown clock or a bad address can fail.
		panic("lease: clock of time since boot: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
