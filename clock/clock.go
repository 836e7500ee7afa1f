// Package clock reads time that goes on while the machine is suspended.
//
// Go's monotonic clock stands still during suspension, so a deadline kept by it
// survives a pause that everyone else has waited out. Whatever bounds how long a
// process may act on its own (holds, isolation, the evidence that a gang is whole)
// is measured here instead.
package clock

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/lease"
)

var (
	startWall = time.Now().Round(0)
	startBoot = lease.BootTime()
)

// Now returns the wall time of the process's start plus all time since then,
// suspension included. It never goes back and ignores later changes of the wall
// clock, so its values compare only within one process.
func Now() time.Time {
	return startWall.Add(lease.BootTime() - startBoot)
}

// Until returns the time left until t, a value derived from Now.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}
