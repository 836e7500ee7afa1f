// Package clock provides a monotonic clock that keeps running while the machine is
// suspended.
//
// Go's monotonic clock stops during suspension, so a deadline measured with it would
// outlast a pause in which other processes have seen it expire. Everything that limits how
// long a process may act on its own, such as leases and isolation timeouts, is measured
// with this clock.
package clock

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
)

var (
	startWall = time.Now().Round(0)
	startBoot = lease.BootTime()
)

// Now returns the wall-clock time at the start of the process plus the time elapsed since,
// including suspension. It never decreases and ignores later adjustments of the wall
// clock, so its values can be compared only within one process.
func Now() time.Time {
	return startWall.Add(lease.BootTime() - startBoot)
}

// Until returns the time left until t, which must be derived from Now.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}
