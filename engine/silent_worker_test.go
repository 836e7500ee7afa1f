package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silences returns the WorkerSilent and LeaseExpired actions until end, while only the other worker reports.
func (d *lostWorkerScenario) silences(end time.Duration) (silent []WorkerSilent, expired []LeaseExpired) {
	d.observe = func(a Action) {
		switch a := a.(type) {
		case WorkerSilent:
			silent = append(silent, a)
		case LeaseExpired:
			expired = append(expired, a)
		}
	}
	defer func() { d.observe = nil }()
	d.pass(end)
	return silent, expired
}

// Guards against a log from which a run that is at work cannot be told from one whose worker's lease is
// waited for, nor how the planner knows when that ends.
func TestSilentWorkerIsReported(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	granted := d.worker.grantedAt
	silent, expired := d.silences(d.worker.leaseExpiresAt + time.Second)
	d.c.Assert(silent, qt.HasLen, 1)
	d.c.Check(silent[0].Worker.ID, qt.Equals, d.worker.info.ID)
	d.c.Check(silent[0].Runs, qt.Equals, 1)
	d.c.Check(silent[0].Basis, qt.Equals, LeaseGranted)
	d.c.Check(silent[0].LastReport >= reportTimeout, qt.IsTrue)
	d.c.Assert(expired, qt.HasLen, 1)
	d.c.Check(expired[0].Basis, qt.Equals, LeaseGranted)
	d.c.Check(expired[0].Waited >= d.worker.leaseExpiresAt-granted, qt.IsTrue)
}

// Guards against a successor whose log does not tell that it waits for a lease that it only assumes.
func TestAssumedLeaseIsReported(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	d.takeOver()
	silent, expired := d.silences(d.worker.leaseExpiresAt + time.Second)
	d.c.Assert(silent, qt.HasLen, 1)
	d.c.Check(silent[0].Basis, qt.Equals, LeaseAssumed)
	d.c.Check(silent[0].LastReport, qt.Equals, time.Duration(0))
	d.c.Assert(expired, qt.HasLen, 1)
	d.c.Check(expired[0].Basis, qt.Equals, LeaseAssumed)
}
