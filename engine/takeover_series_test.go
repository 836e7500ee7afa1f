package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxBoundAge is the largest age of the last stored bound of a silent worker's lease when its planner ends:
// the interval of the writes and some ticks.
const maxBoundAge = 1300 * time.Millisecond

// Guards against a task that waits anew for the lease of its dead worker after each takeover, so that planners
// that change within a lease of each other hold it for good.
func TestTakeoversDoNotProlongLease(t *testing.T) {
	for _, keepsName := range []bool{false, true} {
		d := newLostWorkerScenario(t, keepsName, StartOK)
		d.pass(d.now + time.Second) // the settled start is stored
		granted := d.now
		d.reportRun()
		const takeovers = 3
		for range takeovers {
			d.pass(d.now + 2*time.Second)
			d.takeOver()
		}
		d.pass(d.e.params.leaseExpiry(granted) + takeovers*maxBoundAge)
		d.c.Assert(d.starts, qt.HasLen, 2, qt.Commentf("the worker keeps its name: %v", keepsName))
		d.c.Check(d.starts[1].Run.Number, qt.Equals, 2)
	}
}

// Guards against a task that waits anew for late calls to start its first run after each takeover.
func TestTakeoversDoNotProlongWaitForLateCalls(t *testing.T) {
	d := newLostWorkerScenario(t, true, StartUnknown)
	granted := d.worker.grantedAt
	const takeovers = 4
	for range takeovers {
		d.pass(d.now + 5*time.Second)
		d.takeOver()
	}
	lastCall := d.e.params.leaseExpiry(granted)
	d.pass(d.e.params.leaseExpiry(lastCall + MaxCallDelay))
	d.c.Check(d.starts, qt.HasLen, 1)
	d.pass(d.now + takeovers*maxBoundAge)
	d.c.Check(d.starts, qt.HasLen, 2)
}
