package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

func newReporter() *Reporter {
	return NewReporter(ReporterConfig{}, full("a", 1, 0), func() float64 { return 0.5 })
}

func TestReporterChoosesWhenAndWhat(t *testing.T) {
	c := qt.New(t)
	r := newReporter()
	now := start
	c.Assert(r.Due(now, "x"), qt.Equals, now)
	first := r.Report(now, "x")
	c.Assert(first.Full, qt.IsTrue)
	r.HandleAck(now, "x", first.Sequence, &wire.ReportAck{})
	c.Assert(r.Due(now, "x"), qt.Equals, now.Add(DefaultReportPeriod))
	c.Assert(r.Report(now, "x"), qt.DeepEquals, wire.AgentReport{ID: "a", Incarnation: 1, Sequence: 1, BaseSequence: 1})

	state := full("a", 1, 0)
	state.Load.Queued = 5
	r.SetState(now, state)
	c.Assert(r.Due(now, "x"), qt.Equals, now.Add(DefaultReportPeriod), qt.Commentf("load alone waits"))
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

// Story: an entry sheds reports, and meanwhile the agent begins to drain. Load
// and tasks wait as asked, but the news of draining does not: callers would
// be sent to an agent that is leaving.
func TestDrainingDoesNotWait(t *testing.T) {
	c := qt.New(t)
	r := newReporter()
	r.Report(start, "x")
	r.HandleAck(start, "x", 1, &wire.ReportAck{Refused: []string{"a"}, NextReportIn: 4 * time.Second})
	c.Assert(r.Due(start, "x"), qt.Equals, start.Add(5*time.Second))
	state := full("a", 1, 0)
	state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}}}
	r.SetState(start, state)
	c.Assert(r.Due(start, "x"), qt.Equals, start.Add(5*time.Second))
	state.Draining = true
	r.SetState(start, state)
	c.Assert(r.Due(start, "x"), qt.Equals, start)
	state.Draining = false
	r.SetState(start, state)
	c.Assert(r.Report(start, "x").Draining, qt.IsTrue)
}

// Story: the planner still sees a task that ended long ago, and keeps its
// accelerators booked. An entry had asked for a full report, then a late
// acknowledgement of an early report came in, and the delta after it left out
// tasks whose end the agent had already dropped. Found by the randomised run.
func TestLateAcknowledgementNeedsFullReport(t *testing.T) {
	c := qt.New(t)
	r := newReporter()
	state := full("a", 1, 0)
	state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}}}
	r.SetState(start, state)
	r.Report(start, "x")
	r.Report(start, "y")
	r.HandleAck(start, "x", 2, &wire.ReportAck{NeedFull: []string{"a"}})
	r.SetState(start, full("a", 1, 0))
	r.HandleAck(start, "y", r.Report(start, "y").Sequence, &wire.ReportAck{})
	r.HandleAck(start, "x", 2, &wire.ReportAck{})
	c.Assert(r.Report(start, "x").Full, qt.IsTrue)
}
