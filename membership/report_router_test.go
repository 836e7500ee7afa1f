package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// A gang that starts just after its members' reports moved to the relay must reach the
// planner at once. Waiting for plannerAnswerTimeout would isolate the gang.
func TestNewGangReportsToPlannerDirectly(t *testing.T) {
	c := qt.New(t)
	relay := wire.RelayInfo{ID: "r", Incarnation: 1, Address: "r"}
	a := NewReportRouter(ReportRouterConfig{GangReportPeriod: time.Second, MaxEntries: 4}, fullReport("a", 1, 0), func() float64 { return 0.5 })
	a.AddEntry("x")
	a.Report(startTime, "x")
	a.HandleAck(startTime, "x", &wire.ReportAck{Digest: 1, Relay: relay, PlannerTimestamp: gang.NewPlannerTimestamp(1, startTime)})
	a.ReportToRelay(startTime)
	a.HandleRelayAck(startTime, relay, &wire.ReportAck{Digest: 2, Relay: relay, Entries: []wire.EntryInfo{{Address: "x"}}})
	c.Assert(a.Due(startTime, "x").After(startTime), qt.IsTrue, qt.Commentf("the relay reports to x"))

	state := fullReport("a", 1, 0)
	state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}, Members: 2, State: gang.StateRunning}}
	a.SetState(startTime, state)
	c.Assert(a.Due(startTime, "x").After(startTime), qt.IsFalse, qt.Commentf("the report of the gang is due at once"))
}

// A relay that a draining agent has left, or whose last report of it was late, may tell the agent's
// earlier state to an entry that has just started. The agent itself must tell it soon.
func TestDrainingAgentReportsOftenAtFirst(t *testing.T) {
	c := qt.New(t)
	a := NewReportRouter(ReportRouterConfig{MaxEntries: 4}, fullReport("a", 1, 0), func() float64 { return 0.5 })
	a.AddEntry("x")
	report := func(now time.Time) time.Duration {
		a.Report(now, "x")
		a.HandleAck(now, "x", &wire.ReportAck{})
		return a.Due(now, "x").Sub(now)
	}
	c.Check(report(startTime) > drainingReportPeriod, qt.IsTrue)
	state := fullReport("a", 1, 0)
	state.Draining = true
	a.SetState(startTime, state)
	c.Check(report(startTime), qt.Equals, drainingReportPeriod)
	a.SetState(startTime.Add(time.Minute), state)
	c.Check(report(startTime.Add(time.Minute)) > drainingReportPeriod, qt.IsTrue, qt.Commentf("later it reports as usual"))
}
