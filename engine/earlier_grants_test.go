package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that waits for grants of earlier planners after it has become known that there were
// none, and against calls of those planners being awaited as long.
func TestBoundOfEarlierGrantsEndsWait(t *testing.T) {
	for _, keepsName := range []bool{false, true} {
		d := newLostWorkerScenario(t, keepsName, StartUnknown)
		d.takeOverAssuming(8 * time.Second)
		takeover := d.now
		d.worker = d.e.workers[d.worker.info.ID]
		d.c.Assert(d.worker.leaseExpiresAt, qt.Equals, d.e.params.leaseExpiry(takeover+8*time.Second))
		d.handle(EarlierGrantsBounded{Until: takeover + 2*time.Second})
		end := d.e.params.leaseExpiry(takeover + 2*time.Second)
		d.c.Check(d.worker.leaseExpiresAt, qt.Equals, end)
		d.c.Assert(d.worker.placements, qt.HasLen, 1)
		for _, p := range d.worker.placements {
			d.c.Check(p.lastCallBy, qt.Equals, end)
		}
		d.handle(EarlierGrantsBounded{Until: takeover + 5*time.Second})
		d.c.Check(d.worker.leaseExpiresAt, qt.Equals, end, qt.Commentf("a later bound changes nothing"))
		if !keepsName {
			d.pass(end + time.Second)
			d.c.Check(d.starts, qt.HasLen, 2)
		}
	}
}

// Guards against a task that runs twice because a bound of the grants of earlier planners is applied to a lease
// that this planner has granted.
func TestBoundOfEarlierGrantsKeepsOwnGrant(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	d.takeOverAssuming(8 * time.Second)
	takeover := d.now
	d.worker = d.e.workers[d.worker.info.ID]
	d.now += 3 * time.Second
	d.c.Assert(d.report(d.currentReport()).Attached, qt.IsTrue)
	d.handle(EarlierGrantsBounded{Until: takeover + 2*time.Second})
	d.c.Check(d.worker.leaseExpiresAt, qt.Equals, d.e.params.leaseExpiry(d.now))
}

// Guards against runs of a dead worker that wait for their lease longer by the time that a new planner took to load
// the records.
func TestSlowLoadDoesNotProlongInheritedLease(t *testing.T) {
	c := qt.New(t)
	const takeover, loadTime, extra = 100 * time.Second, 5 * time.Second, 2 * time.Second
	e := New(newDriver(t, 1).e.params, 7, takeover, extra)
	e.Step(takeover+loadTime, WorkerRestored{Info: WorkerInfo{ID: "assumed", Agent: "a"}})
	recorded := &LeaseRecord{Epoch: 6, Remaining: 3 * time.Second}
	e.Step(takeover+loadTime, WorkerRestored{Info: WorkerInfo{ID: "recorded", Agent: "b", Lease: recorded}})
	c.Check(e.workers["assumed"].leaseExpiresAt, qt.Equals, e.params.leaseExpiry(takeover+extra))
	c.Check(e.workers["recorded"].leaseExpiresAt, qt.Equals, takeover+recorded.Remaining)
}

// Guards against work that is evicted after a takeover for want of workers which have not had the time to report,
// because the new planner took long to load the records.
func TestSlowLoadLeavesWorkersTimeToReport(t *testing.T) {
	c := qt.New(t)
	const takeover, loaded = 100 * time.Second, 102 * time.Second
	e := New(newDriver(t, 1).e.params, 7, takeover, 0)
	e.Step(loaded, WorkerRestored{Info: WorkerInfo{ID: "w", Agent: "a"}})
	c.Check(e.awaitingRecordedWorkers(loaded+workerReturnWait), qt.IsTrue)
	c.Check(e.awaitingRecordedWorkers(loaded+workerReturnWait+1), qt.IsFalse)
}

// Guards against a task that waits for a lease as long as a predecessor assumed it to last, although it has become
// known since that it was not granted for so long.
func TestBoundOfEarlierGrantsLowersRecordedLease(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	info := d.worker.record()
	e := New(d.e.params, 2, d.now, 8*time.Second)
	info.Lease = &LeaseRecord{Epoch: 1, Remaining: e.params.leaseExpiry(d.now+7*time.Second) - d.now}
	e.Step(d.now, WorkerRestored{Info: info})
	e.Step(d.now, EarlierGrantsBounded{Until: d.now + 2*time.Second})
	d.c.Check(e.workers[info.ID].leaseExpiresAt, qt.Equals, e.params.leaseExpiry(d.now+2*time.Second))
}
