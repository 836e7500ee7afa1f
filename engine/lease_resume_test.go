package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// agentReportInterval is the time between the reports of an agent that has nothing new to tell.
const agentReportInterval = 500 * time.Millisecond

// Guards against a worker that is back and loses its runs, because its lease is recorded as ending again
// before the next report after the record was removed, and so at every report.
func TestReturningWorkerIsGranted(t *testing.T) {
	d := newSuspendedScenario(t)
	d.reportProgress(d.worker.info.ID)
	for range 3 {
		d.pass(d.now + agentReportInterval)
		d.reportProgress(d.worker.info.ID)
	}
	d.c.Check(d.worker.grantsSuspended(), qt.IsFalse)
	d.c.Check(d.worker.usable(d.now), qt.IsTrue)
}
