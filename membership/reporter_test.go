package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

func newReporter() *Reporter {
	return NewReporter(ReporterConfig{}, fullReport("a", 1, 0), func() float64 { return 0.5 })
}

func TestReporterSchedulesFullAndDeltaReports(t *testing.T) {
	c := qt.New(t)
	r := newReporter()
	now := startTime
	c.Assert(r.Due(now, "x"), qt.Equals, now)
	first := r.Report(now, "x")
	c.Assert(first.Full, qt.IsTrue)
	r.HandleAck(now, "x", first.Sequence, &wire.ReportAck{})
	c.Assert(r.Due(now, "x"), qt.Equals, now.Add(DefaultReportPeriod))
	c.Assert(r.Report(now, "x"), qt.DeepEquals, wire.AgentReport{ID: "a", Incarnation: 1, Sequence: 1, BaseSequence: 1})

	state := fullReport("a", 1, 0)
	state.Load.Queued = 5
	r.SetState(now, state)
	c.Assert(r.Due(now, "x"), qt.Equals, now.Add(DefaultReportPeriod), qt.Commentf("a change of the load alone waits for the period"))
	state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}}}
	r.SetState(now, state)
	c.Assert(r.Due(now, "x"), qt.Equals, now.Add(DefaultCoalesce))
	delta := r.Report(now, "x")
	c.Assert(delta.Changed, qt.Equals, wire.ChangedLoad|wire.ChangedTasks)
	c.Assert(delta.Service, qt.Equals, "")
	r.HandleAck(now, "x", delta.Sequence, &wire.ReportAck{NeedFull: []string{"a"}})
	c.Assert(r.Due(now, "x"), qt.Equals, now.Add(DefaultCoalesce))
	c.Assert(r.Report(now, "x").Full, qt.IsTrue)
}

// An agent that begins to drain must report at once, even to an entry that refuses
// reports; otherwise callers are sent to an agent that is leaving.
func TestDrainingIsReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	r := newReporter()
	r.Report(startTime, "x")
	r.HandleAck(startTime, "x", 1, &wire.ReportAck{Refused: []string{"a"}, NextReportIn: 4 * time.Second})
	c.Assert(r.Due(startTime, "x"), qt.Equals, startTime.Add(5*time.Second))
	state := fullReport("a", 1, 0)
	state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}}}
	r.SetState(startTime, state)
	c.Assert(r.Due(startTime, "x"), qt.Equals, startTime.Add(5*time.Second))
	state.Draining = true
	r.SetState(startTime, state)
	c.Assert(r.Due(startTime, "x"), qt.Equals, startTime)
	state.Draining = false
	r.SetState(startTime, state)
	c.Assert(r.Report(startTime, "x").Draining, qt.IsTrue)
}

// After a late acknowledgement, a delta would omit ended tasks that the agent has already
// dropped, and the planner would keep their accelerators reserved.
func TestLateAcknowledgementNeedsFullReport(t *testing.T) {
	c := qt.New(t)
	r := newReporter()
	state := fullReport("a", 1, 0)
	state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}}}
	r.SetState(startTime, state)
	r.Report(startTime, "x")
	r.Report(startTime, "y")
	r.HandleAck(startTime, "x", 2, &wire.ReportAck{NeedFull: []string{"a"}})
	r.SetState(startTime, fullReport("a", 1, 0))
	r.HandleAck(startTime, "y", r.Report(startTime, "y").Sequence, &wire.ReportAck{})
	r.HandleAck(startTime, "x", 2, &wire.ReportAck{})
	c.Assert(r.Report(startTime, "x").Full, qt.IsTrue)
}
