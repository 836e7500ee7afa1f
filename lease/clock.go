package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started, including the time it was
// suspended. Go's monotonic clock stops during suspension, so a leader that resumes
// would consider a lease valid that expired long ago.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// clock_gettime fails only for an unknown clock or a bad address.
		panic("lease: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
