package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reportUnresponsive lets the worker id stay silent for a while: its agent reports every few
// milliseconds that the lease it knows ends at end. The other workers report as usual.
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

// A worker crashes for good in the middle of a gang. Its agent goes on reporting that the
// worker does not answer, many times a second. Each report put off the end of the lease,
// the stop of the member there was ordered again and again, and the gang never started
// anew, with its room free on other workers.
func TestGangRestartsWhileAgentReportsDeadWorker(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 4)
	id := d.submit(1, "", gangStep(2, 8))
	d.settle()
	d.advance(500 * time.Millisecond)
	dead := d.startedOn[d.starts[0].Run]
	end := d.now + 6*time.Second
	d.reportUnresponsive(dead, time.Second, end, true)
	c.Check(d.runs(id)[dead], qt.HasLen, 1, qt.Commentf("it may still run there"))
	d.reportUnresponsive(dead, 6*time.Second, end, true)
	d.endRuns(id, EndStopped) // the other member's, which was ordered
	d.settle()
	runs := d.runs(id)
	c.Check(runs[dead], qt.HasLen, 0)
	c.Check(runs, qt.HasLen, 2, qt.Commentf("it runs on two of the others"))
}

// The agent beside a silent worker was started again and does not know the lease. What the
// planner granted before bounds it: neither sooner, since the worker may go on till then,
// nor later.
func TestUnknownLeaseExpiresByLastGrant(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 4)
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(500 * time.Millisecond)
	unresponsive := d.startedOn[d.starts[0].Run]
	granted := d.now
	d.reportUnresponsive(unresponsive, 5*time.Second, 0, false)
	c.Check(d.runs(id)[unresponsive], qt.HasLen, 1, qt.Commentf("it may still run there"))
	d.reportUnresponsive(unresponsive, d.e.params.leaseExpiry(granted)-d.now+time.Second, 0, false)
	c.Check(d.runs(id)[unresponsive], qt.HasLen, 0)
}

// The agent beside a worker that does not answer was started again. The answer to its first
// report granted the lease its whole time, but the planner did not count that, since the
// worker was silent: it took the lease for over while looks without answers had extended it,
// and a task that was done there ran a second time elsewhere.
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
	c.Check(d.runs(id)[unresponsive], qt.HasLen, 1, qt.Commentf("the lease may last for six seconds from the grant"))
	answer = d.report(Report{Epoch: 1, Worker: info, Unresponsive: true})
	c.Check(answer.Attached, qt.IsFalse, qt.Commentf("nothing is granted that is not counted"))
	d.reportUnresponsive(unresponsive, d.e.params.leaseExpiry(granted)-d.now+time.Second, 0, false)
	c.Check(d.runs(id)[unresponsive], qt.HasLen, 0)
}
