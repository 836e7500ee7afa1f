package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Guards against reporting a running job as queued after a takeover, before the agents have
// reported.
func TestSuccessorReportsRunningJobAsRunning(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(time.Second)
	d.e.jobs[id].started, d.e.jobs[id].state = false, workload.Queued // as in the stored record
	d.takeOver()
	found, ok := d.e.Lookup(id)
	c.Assert(ok, qt.IsTrue)
	c.Check(found.State, qt.Equals, workload.Running)
	c.Check(d.e.UnstartedByQueue(), qt.DeepEquals, map[string]int{})
}
