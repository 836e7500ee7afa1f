package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/gang"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// Story: a gang starts and stops for isolation 2 s later, on all its members.
// Their reports went by the relay since a moment ago, so that the entry that
// plans had answered them just before, and they waited for gangSilence until they
// looked for it.
func TestGangStartsRightAfterTheRelayTookOver(t *testing.T) {
	c := qt.New(t)
	relay := wire.RelayInfo{ID: "r", Incarnation: 1, Address: "r"}
	a := NewReportRouter(ReportRouterConfig{GangReportPeriod: time.Second, MaxEntries: 4}, full("a", 1, 0), func() float64 { return 0.5 })
	a.AddEntry("x")
	a.Report(start, "x")
	a.HandleAck(start, "x", &wire.ReportAck{Digest: 1, Relay: relay, PlannerTimestamp: gang.NewPlannerTimestamp(1, start)})
	a.ReportToRelay(start)
	a.HandleRelayAck(start, relay, &wire.ReportAck{Digest: 2, Relay: relay, Entries: []wire.EntryInfo{{Address: "x"}}})
	c.Assert(a.Due(start, "x").After(start), qt.IsTrue, qt.Commentf("the relay reports to x"))

	state := full("a", 1, 0)
	state.Tasks = []gang.Task{{ID: gang.ID{Job: "j"}, Members: 2, State: gang.StateRunning}}
	a.SetState(start, state)
	c.Assert(a.Due(start, "x").After(start), qt.IsFalse, qt.Commentf("the planner hears of the gang at once"))
}
