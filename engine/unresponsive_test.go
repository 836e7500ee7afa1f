package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reportUnresponsive makes the agent of worker id report for the given time that the worker does
// not answer and that its lease, if known, ends at leaseEnd. The other workers report as usual.
func (d *driver) reportUnresponsive(id WorkerID, by, leaseEnd time.Duration, leaseKnown bool) {
	info := d.e.workers[id].info
	const between = 20 * time.Millisecond
	for until := d.now + by; d.now < until; d.now += between {
		for _, w := range d.e.sortedWorkers() {
			if w.info.ID != id {
				d.reportProgress(w.info.ID)
			}
		}
		r := Report{Epoch: 1, Worker: info, Unresponsive: true, LeaseKnown: leaseKnown}
		if leaseKnown {
			r.LeaseRemaining = leaseEnd - d.now
		}
		d.report(r)
		d.tick()
	}
}

// Guards against reports about a dead worker that postpone the end of its lease, so that a gang
// with a member there never restarts.
func TestGangRestartsWhileAgentReportsDeadWorker(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 4)
	id := d.submit(1, "", gangStep(2, 8))
	d.settle()
	d.advance(500 * time.Millisecond)
	dead := d.startedOn[d.starts[0].Run]
	end := d.now + 6*time.Second
	d.reportUnresponsive(dead, time.Second, end, true)
	c.Check(d.runs(id)[dead], qt.HasLen, 1, qt.Commentf("it may still run on the unresponsive worker"))
	d.reportUnresponsive(dead, 6*time.Second, end, true)
	d.endRuns(id, EndStopped) // the other member was ordered to stop
	d.settle()
	runs := d.runs(id)
	c.Check(runs[dead], qt.HasLen, 0)
	c.Check(runs, qt.HasLen, 2, qt.Commentf("it must run on two of the other workers"))
}

// Guards against a wrong expiry when a restarted agent does not know the lease: the last grant
// of the planner bounds it, so the lease may end neither earlier nor later.
func TestUnknownLeaseExpiresByLastGrant(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 4)
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(500 * time.Millisecond)
	unresponsive := d.startedOn[d.starts[0].Run]
	granted := d.now
	d.reportUnresponsive(unresponsive, 5*time.Second, 0, false)
	c.Check(d.runs(id)[unresponsive], qt.HasLen, 1, qt.Commentf("it may still run on the unresponsive worker"))
	d.reportUnresponsive(unresponsive, d.e.params.leaseExpiry(granted)-d.now+time.Second, 0, false)
	c.Check(d.runs(id)[unresponsive], qt.HasLen, 0)
}

// Guards against a lease that is granted to an unresponsive worker but not counted, which would
// let a task run a second time while the first run may continue.
func TestLeaseGrantedToUnresponsiveWorkerIsCounted(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 4)
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(500 * time.Millisecond)
	unresponsive := d.startedOn[d.starts[0].Run]
	info := d.e.workers[unresponsive].info
	d.now += 5 * time.Second
	answer := d.report(Report{Epoch: 1, Worker: info, Unresponsive: true, ExtendingLease: true})
	c.Check(answer.Attached, qt.IsTrue)
	granted := d.now
	d.reportUnresponsive(unresponsive, 5*time.Second, 0, false)
	c.Check(d.runs(id)[unresponsive], qt.HasLen, 1, qt.Commentf("the lease may last six seconds from the grant"))
	answer = d.report(Report{Epoch: 1, Worker: info, Unresponsive: true})
	c.Check(answer.Attached, qt.IsFalse, qt.Commentf("the answer must not grant a lease"))
	d.reportUnresponsive(unresponsive, d.e.params.leaseExpiry(granted)-d.now+time.Second, 0, false)
	c.Check(d.runs(id)[unresponsive], qt.HasLen, 0)
}

// Guards against a successor that waits for the lease of a dead worker from its takeover on, though the agent
// reports when it ends: the worker cannot confirm the new planner, so its reports count for nothing else.
func TestSuccessorTakesReportedEndOfLease(t *testing.T) {
	for _, follows := range []bool{true, false} {
		d := newLostWorkerScenario(t, false, StartOK)
		leaseEnd := d.now + time.Second
		d.takeOver()
		r := d.currentReport()
		r.Epoch, r.Polled = 1, false
		r.Unresponsive, r.LeaseKnown, r.LeaseRemaining = true, true, leaseEnd-d.now
		if !follows {
			r.Origin.Epoch = 1 // the agent may still extend the lease by a grant of the previous planner
		}
		d.c.Check(d.report(r).Attached, qt.IsFalse)
		d.pass(leaseEnd - 100*time.Millisecond)
		d.c.Check(d.starts, qt.HasLen, 1)
		d.pass(leaseEnd + time.Second)
		d.c.Check(len(d.starts) == 2, qt.Equals, follows)
	}
}

// Guards against a task that runs twice because a successor takes the end of a lease that an agent reports, while
// the agent's next process hears only of the planner before and is granted the lease again.
func TestReportedEndOfLeaseDoesNotBindNextProcess(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	previous, generation := d.e, d.worker.generation
	leaseEnd := d.now + time.Second
	d.takeOverAssuming(8 * time.Second)
	d.worker = d.e.workers[d.worker.info.ID]
	r := d.currentReport()
	r.Epoch, r.Polled = previous.epoch, false
	r.Unresponsive, r.LeaseKnown, r.LeaseRemaining = true, true, leaseEnd-d.now
	d.report(r)
	d.now += 500 * time.Millisecond
	next := Report{Worker: d.worker.info, Polled: true, Epoch: previous.epoch, Generation: generation, Origin: ReportOrigin{Process: 777, Sequence: 1}}
	previous.Report(d.now, next)
	next.Origin.Sequence, next.Origin.Epoch = 2, previous.epoch
	next.Running = []RunStatus{{Run: d.run, Percent: 5}}
	d.c.Assert(previous.Report(d.now, next).Attached, qt.IsTrue)
	d.pass(leaseEnd + time.Second)
	d.c.Check(d.starts, qt.HasLen, 1)
}
