package nodeagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leaseRecordingWorker answers every poll and records the latest lease end that it was given.
type leaseRecordingWorker struct {
	Worker
	leaseEnd time.Duration
}

func (w *leaseRecordingWorker) Poll(_ context.Context, header OrderHeader, _ int64, _ time.Duration) (WorkerStatus, error) {
	w.leaseEnd = max(w.leaseEnd, header.LeaseEnd)
	return WorkerStatus{Clock: now()}, nil
}

// Guards against a lease that lasts longer than the agent has reported: the planner lets it expire by
// the report, while the worker has answered again and got the rest of an earlier grant, and its tasks
// run twice.
func TestReportedLeaseEndIsKept(t *testing.T) {
	c := qt.New(t)
	w := &leaseRecordingWorker{}
	a := newPollingAgent(w)
	inc, start := a.incarnation, now()
	inc.polled, inc.workerClock, inc.clockReadAt = true, start, start
	inc.unresponsive, inc.unresponsiveSince = true, start-leaseExtensionPeriod
	inc.extendLease(start + 30*time.Second)
	a.grantedUntil = start + time.Minute // by the reply to the last report that still extended the lease

	reported := a.pendingReports()[0]
	c.Assert(reported.ExtendingLease, qt.IsFalse)
	reportedEnd := now() + reported.LeaseRemaining
	for range 2 { // the first answer shows that the worker is back, the second poll extends the lease
		a.poll(inc, 0)
	}
	c.Check(max(inc.leaseEnd, w.leaseEnd) <= reportedEnd, qt.IsTrue,
		qt.Commentf("lease until %v, reported %v", w.leaseEnd-start, reportedEnd-start))
}
