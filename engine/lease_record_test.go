package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newSuspendedScenario has a silent worker whose lease is recorded.
func newSuspendedScenario(t *testing.T) *lostWorkerScenario {
	d := newLostWorkerScenario(t, false, StartOK)
	d.pass(d.now + reportTimeout + 500*time.Millisecond)
	d.c.Assert(d.worker.record().Lease, qt.IsNotNil)
	return d
}

// Guards against a task that runs twice because a worker is granted its lease while its record still tells
// successors that it has ended by then.
func TestNoGrantWhileLeaseIsRecorded(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		d := newSuspendedScenario(t)
		if takeover {
			d.takeOver()
		}
		d.c.Check(d.report(d.currentReport()).Attached, qt.IsFalse)
		write := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
		d.c.Assert(write.Workers, qt.HasLen, 1)
		d.c.Check(write.Workers[0].Lease, qt.IsNil)
		d.c.Check(d.report(d.currentReport()).Attached, qt.IsFalse, qt.Commentf("the write has not been applied"))
		d.handle(WriteApplied{Write: write})
		d.c.Check(d.report(d.currentReport()).Attached, qt.IsTrue)
	}
}

// Guards against a lease that is granted after a write of its record that began before the worker reported,
// in place of the one that removes it.
func TestGrantWaitsForRemovalOfLeaseRecord(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	d.now += reportTimeout
	d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
	recording := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
	d.c.Assert(recording.Workers, qt.Not(qt.HasLen), 0)
	d.c.Check(d.report(d.currentReport()).Attached, qt.IsFalse)
	d.handle(WriteApplied{Write: recording})
	d.c.Check(d.report(d.currentReport()).Attached, qt.IsFalse)
	d.settle()
	d.c.Check(d.report(d.currentReport()).Attached, qt.IsTrue)
}

// Guards against a worker that gets no lease, and no work, for good after a silence without a takeover.
func TestWorkerReturnsAfterRecordedLease(t *testing.T) {
	d := newSuspendedScenario(t)
	d.passReporting(d.now + time.Second)
	d.c.Check(d.worker.usable(d.now), qt.IsTrue)
	d.c.Check(d.worker.record().Lease, qt.IsNil)
	d.c.Check(d.runs(d.job)[d.worker.info.ID], qt.HasLen, 1)
}

// Guards against a task that waits anew for the lease of its dead worker because a planner between the one that
// recorded it and this one has ended before its first write.
func TestLeaseRecordOutlastsPlannersWithoutWrite(t *testing.T) {
	d := newSuspendedScenario(t)
	record := d.worker.record()
	later := New(d.e.params, d.e.epoch+3, d.now, 8*time.Second)
	later.Step(d.now, WorkerRestored{Info: record})
	d.c.Check(later.workers[record.ID].leaseExpiresAt, qt.Equals, d.now+record.Lease.Remaining)
}

// Guards against runs that are lost because their worker was silent for a moment in an outage of the store, and
// is granted no lease until the removal of a record can be written.
func TestLeaseIsNotRecordedDuringOutage(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	d.now += 2 * reportTimeout
	d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now), StoreUnavailable: true})
	d.c.Check(d.e.PendingChanges(d.now, time.Unix(1000, 0), 15).Workers, qt.HasLen, 0)
	d.c.Check(d.report(d.currentReport()).Attached, qt.IsTrue)
}

// Guards against runs that are lost because a worker that is back waits for its next report to be granted its
// lease, and against a grant in the answer to a report that is not the last one.
func TestGrantFollowsRemovalOfLeaseRecord(t *testing.T) {
	for _, later := range []bool{false, true} {
		d := newSuspendedScenario(t)
		r := d.currentReport()
		answer := d.report(r)
		d.c.Assert(answer.GrantPending, qt.IsTrue)
		answer = d.e.AnswerAfterWrite(d.now, r, answer)
		d.c.Assert(answer.GrantPending, qt.IsTrue, qt.Commentf("another write has been applied"))
		if later {
			d.report(d.currentReport())
		}
		d.now += 50 * time.Millisecond
		d.settle()
		answer = d.e.AnswerAfterWrite(d.now, r, answer)
		d.c.Check(answer.GrantPending, qt.IsFalse)
		d.c.Check(answer.Attached, qt.Equals, !later)
		if !later {
			d.c.Check(d.worker.leaseExpiresAt, qt.Equals, d.e.params.leaseExpiry(d.now))
		}
	}
}

// Guards against leases of workers that are well being recorded, and suspended, at each takeover with a slow store:
// agents get no answers before the records are loaded.
func TestSlowLoadRecordsNoLeases(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	loaded := d.now + 2*time.Second
	info, job := d.worker.record(), d.e.jobs[d.job]
	e := New(d.e.params, 2, d.now, 0)
	e.Step(loaded, WorkerRestored{Info: info})
	e.Step(loaded, JobRestored{JobSubmitted: JobSubmitted{Job: job.spec, Revision: job.revision}, Progress: job.progress(1, loaded, time.Unix(1000, 0))})
	e.Step(loaded+time.Second, Tick{WallTime: time.Unix(1000, 0)})
	d.c.Check(e.workers[info.ID].placements, qt.HasLen, 1)
	d.c.Check(e.PendingChanges(loaded+time.Second, time.Unix(1000, 0), 15).Workers, qt.HasLen, 0)
}

// Guards against leases that are not recorded, and wait anew after a takeover, while many jobs change.
func TestLeaseIsRecordedBesideManyChanges(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	d.now += 2 * reportTimeout
	d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
	for range 40 {
		d.submit(1, "", taskStep(1, 1))
	}
	for _, j := range d.e.jobs {
		d.e.markChanged(j)
	}
	w := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
	d.c.Check(w.Workers, qt.Not(qt.HasLen), 0)
	d.c.Check(len(w.Jobs)+len(w.Workers), qt.Equals, 15)
}

// Guards against a task that waits anew for the lease of its dead worker because a report of the agent's next
// process, which cannot be granted anything, has its record removed.
func TestLeaseRecordStaysForUnattachedWorker(t *testing.T) {
	d := newSuspendedScenario(t)
	d.takeOver()
	d.restartAgent(d.worker.info.Agent)
	r := d.currentReport()
	r.Epoch, r.Polled, r.Generation = 0, false, 0
	r.Unresponsive, r.ExtendingLease = true, true
	d.c.Check(d.report(r).Attached, qt.IsFalse)
	d.settle()
	d.c.Check(d.worker.record().Lease, qt.IsNotNil)
}

// Guards against starts that are refused, one after the other, by a worker that has no lease of this planner yet.
func TestWorkerWithoutGrantIsNotUsable(t *testing.T) {
	d := newSuspendedScenario(t)
	d.takeOver()
	d.report(d.currentReport())
	d.settle()
	d.c.Assert(d.worker.grantsSuspended(), qt.IsFalse)
	d.c.Check(d.worker.usable(d.now), qt.IsFalse)
	d.report(d.currentReport())
	d.c.Check(d.worker.usable(d.now), qt.IsTrue)
}
