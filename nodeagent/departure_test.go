package nodeagent

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// namedWorker identifies itself by name.
type namedWorker struct {
	Worker
	name string
}

func (w *namedWorker) Identify(context.Context) (string, error) { return w.name, nil }

// A planner must be able to tell a crash from an orderly departure by the agent's report.
func TestCrashReportedOnlyWithoutDepartureNotice(t *testing.T) {
	for _, tc := range []struct {
		name           string
		endIncarnation func(a *Agent)
		crashed        bool
	}{
		{"departure notice", func(a *Agent) { a.HandleDeparture("w1") }, false},
		{"another incarnation in its place", func(*Agent) {}, true},
		{"another incarnation in its place after it drained", func(a *Agent) {
			a.updateCurrent(Heartbeat{Info: engine.WorkerInfo{ID: "w1"}, Sequence: 2, Draining: true, Remaining: time.Second})
		}, false},
		{"departure notice, then a late heartbeat", func(a *Agent) {
			a.HandleDeparture("w1")
			a.updateCurrent(Heartbeat{Info: engine.WorkerInfo{ID: "w1"}, Sequence: 2})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			w := &namedWorker{name: "w1"}
			a := &Agent{
				cfg: Config{ID: "agent", Worker: w}, log: log,
				changed: make(chan struct{}), reportPending: make(chan struct{}, 1), endedIDs: map[engine.WorkerID]bool{},
			}
			c.Assert(a.HandleHeartbeat(context.Background(), Heartbeat{Info: engine.WorkerInfo{ID: "w1"}, Sequence: 1}), qt.IsNil)
			tc.endIncarnation(a)
			w.name = "w2"
			c.Assert(a.HandleHeartbeat(context.Background(), Heartbeat{Info: engine.WorkerInfo{ID: "w2"}, Sequence: 1}), qt.IsNil)
			reports := a.pendingReports()
			c.Assert(reports, qt.HasLen, 2)
			c.Check(reports[0].Worker.ID, qt.Equals, engine.WorkerID("w1"))
			c.Check(reports[0].Terminated, qt.IsTrue)
			c.Check(reports[0].Crashed, qt.Equals, tc.crashed)
			c.Check(reports[1].Worker.ID, qt.Equals, engine.WorkerID("w2"))
		})
	}
}

// A crash report lists the runs that were past startup, which did not crash the worker by
// starting. A new planner learns this only from the agent.
func TestCrashReportListsRunsPastStartup(t *testing.T) {
	c := qt.New(t)
	a := &Agent{log: logrus.New(), reportPending: make(chan struct{}, 1), endedIDs: map[engine.WorkerID]bool{}}
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	a.incarnation = inc
	run := func(n int) engine.RunStatus {
		return engine.RunStatus{Run: workload.RunID{Task: workload.TaskID{Job: "j", Index: n}, Number: 1}}
	}
	ended := engine.RunEnd{Sequence: 1, Run: run(3).Run, Reason: engine.EndDone}
	at := time.Second
	inc.applyStatus(WorkerStatus{Clock: at, Running: []engine.RunStatus{run(1), run(3)}}, at, at, 0)
	at += engine.StartupCrashWindow
	inc.applyStatus(WorkerStatus{Clock: at, Running: []engine.RunStatus{run(1), run(2)}, Ended: []engine.RunEnd{ended}}, at, at, 0)
	a.endIncarnation(departure{crashed: true})
	report := a.pendingReports()[0]
	c.Check(report.Polled, qt.IsTrue)
	c.Check(report.Running, qt.DeepEquals, []engine.RunStatus{run(1)})
	c.Check(report.Ended, qt.DeepEquals, []engine.RunEnd{ended})
}
