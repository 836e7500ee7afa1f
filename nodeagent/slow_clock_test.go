package nodeagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// Guards against a planner that restarts the runs of an unresponsive worker while its lease, measured
// by a clock that is 2% slow, still lasts. The clock was last read before the last extension.
func TestReportedLeaseEndCoversSlowClock(t *testing.T) {
	const slowest = 0.98
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		c := qt.New(t)
		inc := newIncarnation(engine.WorkerInfo{ID: "w"})
		readAt := time.Minute
		inc.applyStatus(WorkerStatus{Clock: time.Hour}, readAt, readAt, 0)
		inc.markUnresponsive(readAt + pollWait + pollTimeoutMargin)
		lastExtension := inc.unresponsiveSince + leaseExtensionPeriod
		inc.extendLease(lastExtension + maxLease)
		leaseOnWorker := inc.workerTime(inc.leaseEnd) - time.Hour
		leaseEnd := readAt + time.Duration(float64(leaseOnWorker)/slowest)
		for at := lastExtension; at < leaseEnd; at += unresponsivePollInterval {
			reportedEnd := at + inc.report(at, 1).LeaseRemaining
			c.Check(reportedEnd >= leaseEnd, qt.IsTrue, qt.Commentf("lease of %v: reported %v, ends at %v", maxLease, reportedEnd, leaseEnd))
		}
	}
}
