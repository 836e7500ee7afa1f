package nodeagent

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// A changed capacity in a heartbeat must reach the planner; a delayed heartbeat must not revert
// it.
func TestHeartbeatUpdatesCapacity(t *testing.T) {
	c := qt.New(t)
	a := &Agent{log: logrus.New(), reportPending: make(chan struct{}, 1), endedIDs: map[engine.WorkerID]bool{}}
	heartbeat := func(sequence int64, accelerators int) Heartbeat {
		return Heartbeat{Sequence: sequence, Info: engine.WorkerInfo{ID: "w", Capacity: workload.Resources{Accelerators: accelerators}}}
	}
	a.incarnation = newIncarnation(heartbeat(1, 8).Info)
	a.incarnation.sequence = 1
	for _, step := range []struct {
		sequence           int64
		accelerators, want int
	}{{3, 4, 4}, {2, 8, 4}, {4, 8, 8}} {
		c.Assert(a.updateCurrent(heartbeat(step.sequence, step.accelerators)), qt.IsTrue)
		c.Check(a.pendingReports()[0].Worker.Capacity.Accelerators, qt.Equals, step.want)
	}
}
