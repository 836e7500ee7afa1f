package nodeagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// Guards against losing the report of an ended incarnation: a planner that the agent has not heard
// from before ignores it.
func TestDepartureIsReportedAgainToNewPlanner(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent(nil)
	a.epoch = 1
	a.incarnation = nil
	a.departures = []departure{{info: engine.WorkerInfo{ID: "w1"}}}
	first := a.numbered(a.pendingReports()[0])
	c.Check(a.handleReply(first, &link.ReportReply{Epoch: 2}, now()), qt.IsTrue)
	c.Assert(a.pendingReports(), qt.HasLen, 1)

	second := a.numbered(a.pendingReports()[0])
	c.Check(second.Origin.Sequence > first.Origin.Sequence, qt.IsTrue)
	c.Check(a.handleReply(second, &link.ReportReply{Epoch: 2}, now()), qt.IsTrue)
	c.Check(a.pendingReports(), qt.HasLen, 0)
}
