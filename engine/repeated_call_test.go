package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that runs twice because a start was confirmed at the second call, while the first
// is still on its way and takes effect on the next incarnation after the lease of the one that was meant.
func TestUnansweredCallOfConfirmedStartOutlastsLease(t *testing.T) {
	for _, keepsName := range []bool{true, false} {
		d := newLostWorkerScenarioWith(t, keepsName, StartResult{Outcome: StartOK, CallUnanswered: true})
		d.passLease()
		if keepsName {
			latest := d.orderedAt + MaxCallDelay + d.e.params.MaxLease // end of a run whose call arrives last
			d.pass(latest)
			d.c.Check(d.starts, qt.HasLen, 1)
			d.c.Check(d.runs(d.job)[d.worker.info.ID], qt.HasLen, 1)
			d.pass(latest + time.Second)
		}
		d.c.Assert(d.starts, qt.HasLen, 2)
		d.c.Check(d.startedOn[d.starts[1].Run], qt.Not(qt.Equals), d.worker.info.ID)
	}
}
