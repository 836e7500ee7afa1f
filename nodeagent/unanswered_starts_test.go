package nodeagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// reportingWorker calls onStart during each start.
type reportingWorker struct {
	outcomeListWorker
	onStart func()
}

func (w *reportingWorker) Start(ctx context.Context, header OrderHeader, s engine.StartOrder) engine.StartOutcome {
	w.onStart()
	return w.outcomeListWorker.Start(ctx, header, s)
}

// Guards against a successor that takes a start for settled because the agent's report does not tell of
// its call, which is in progress or got no answer.
func TestReportListsUnansweredStarts(t *testing.T) {
	c := qt.New(t)
	var a *Agent
	listed := func() []workload.RunID {
		reports := a.pendingReports()
		c.Check(reports[0].ProcessAge >= time.Minute, qt.IsTrue)
		return reports[0].UnansweredStarts
	}
	orders := startAndStopOrders(0)
	orders.Stops = nil
	starts, err := orders.DecodeStarts()
	c.Assert(err, qt.IsNil)
	run := starts[0].Run
	w := &reportingWorker{onStart: func() { c.Check(listed(), qt.DeepEquals, []workload.RunID{run}) }}
	a = newTestAgent(w)
	a.incarnation.info.Name = "name"
	a.startedAt = now() - time.Minute
	for _, tc := range []struct {
		outcomes   []engine.StartOutcome
		unanswered bool
	}{
		{[]engine.StartOutcome{engine.StartOK}, false},
		{[]engine.StartOutcome{engine.StartUnknown, engine.StartOK}, true},
	} {
		w.outcomes = tc.outcomes
		a.execute(orders, starts)
		c.Check(len(listed()) == 1, qt.Equals, tc.unanswered)
	}
	a.endedIDs = map[engine.WorkerID]bool{}
	a.endIncarnation(departure{})
	a.incarnation = newIncarnation(engine.WorkerInfo{ID: "next", Name: "name"})
	c.Check(a.pendingReports()[1].UnansweredStarts, qt.DeepEquals, []workload.RunID{run}, qt.Commentf("the call may reach the next incarnation"))
	a.unansweredStarts[run] = now() - engine.MaxCallDelay - time.Millisecond
	c.Check(a.pendingReports()[1].UnansweredStarts, qt.HasLen, 0)
	a.incarnation.info.Name = ""
	c.Check(a.pendingReports()[1].ProcessAge, qt.Equals, time.Duration(0))
}
