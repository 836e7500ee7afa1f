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

// newPollingAgent returns an agent that polls a worker and sends no reports.
func newPollingAgent(w Worker) *Agent {
	return &Agent{
		cfg: Config{Worker: w}, log: discardLogger(), reportPending: make(chan struct{}, 1), endedIDs: map[engine.WorkerID]bool{},
		incarnation: newIncarnation(engine.WorkerInfo{ID: "w"}),
	}
}

// failingWorker fails all polls with an error.
type failingWorker struct {
	Worker
	err error
}

func (w *failingWorker) Poll(context.Context, OrderHeader, int64, time.Duration) (WorkerStatus, error) {
	return WorkerStatus{}, w.err
}

// The planner must know how long a crashed worker has been down, or it would take runs that may have
// ended before the crash for running ones. Only a lost connection tells when a worker crashed.
func TestCrashReportTellsHowLongWorkerWasDown(t *testing.T) {
	const wait = 20 * time.Millisecond
	for _, tc := range []struct {
		name  string
		err   error
		known bool
	}{
		{"polls time out", context.DeadlineExceeded, false},
		{"connection lost", ErrConnectionLost, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			w := &failingWorker{err: tc.err}
			a := newPollingAgent(w)
			a.poll(a.incarnation, 0)
			time.Sleep(wait)
			w.err = context.DeadlineExceeded
			a.poll(a.incarnation, 0)
			a.endIncarnation(departure{crashed: true})
			c.Check(a.pendingReports()[0].DownFor >= wait, qt.Equals, tc.known)
		})
	}
}

// A connection that is lost while the worker goes on must not date a later crash.
func TestAnsweredPollClearsLostConnection(t *testing.T) {
	c := qt.New(t)
	a := newPollingAgent(&failingWorker{err: ErrConnectionLost})
	a.poll(a.incarnation, 0)
	a.incarnation.applyStatus(WorkerStatus{Clock: time.Second}, now(), now(), 0)
	a.endIncarnation(departure{crashed: true})
	c.Check(a.pendingReports()[0].DownFor, qt.Equals, time.Duration(0))
}

// slowWorker answers polls only when released.
type slowWorker struct {
	Worker
	release chan struct{}
	status  WorkerStatus
}

func (w *slowWorker) Poll(context.Context, OrderHeader, int64, time.Duration) (WorkerStatus, error) {
	<-w.release
	return w.status, nil
}

// An answer that is processed after the worker's next incarnation was found still tells which runs
// had ended before the crash.
func TestCrashReportListsEndsOfLateAnswer(t *testing.T) {
	c := qt.New(t)
	ended := []engine.RunEnd{{Sequence: 1, Run: workload.RunID{Task: workload.TaskID{Job: "j"}, Number: 1}, Reason: engine.EndDone}}
	w := &slowWorker{release: make(chan struct{}), status: WorkerStatus{Clock: time.Second, Ended: ended}}
	a := newPollingAgent(w)
	inc := a.incarnation
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.poll(inc, 0)
	}()
	for a.counters.Looks.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	a.mu.Lock()
	a.endIncarnation(departure{crashed: true})
	a.mu.Unlock()
	close(w.release)
	<-done
	report := a.pendingReports()[0]
	c.Check(report.Polled, qt.IsTrue)
	c.Check(report.Ended, qt.DeepEquals, ended)
}

// Guards against a report of a crash that tells which runs had ended as if the worker's last list, or one that
// arrived after the end was noticed, had been complete.
func TestDepartureTellsOfOmittedEnds(t *testing.T) {
	for _, late := range []bool{false, true} {
		a := newPollingAgent(nil)
		inc := a.incarnation
		cut := WorkerStatus{Clock: time.Second, Ended: []engine.RunEnd{{Sequence: 1, Run: run1, Reason: engine.EndDone}}, EndsOmitted: true}
		first := cut
		if late {
			first = WorkerStatus{Clock: time.Second}
		}
		inc.applyStatus(first, now(), now(), 0)
		a.endUnannounced(false)
		if late {
			a.addLateEnds(inc, cut)
		}
		qt.Check(t, a.pendingReports()[0].EndsOmitted, qt.IsTrue, qt.Commentf("late %v", late))
	}
}
