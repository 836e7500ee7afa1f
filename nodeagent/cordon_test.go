package nodeagent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// startCountingWorker counts starts. If onUnansweredStart is set, it is called for each start,
// which then gets no answer.
type startCountingWorker struct {
	Worker
	starts            atomic.Int64
	onUnansweredStart func()
}

func (w *startCountingWorker) Start(context.Context, OrderHeader, engine.StartOrder) engine.StartOutcome {
	w.starts.Add(1)
	if w.onUnansweredStart != nil {
		w.onUnansweredStart()
		return engine.StartUnknown
	}
	return engine.StartOK
}

func (w *startCountingWorker) Stop(context.Context, OrderHeader, workload.RunID) error { return nil }

func (w *startCountingWorker) Poll(context.Context, OrderHeader, int64, time.Duration) (WorkerStatus, error) {
	return WorkerStatus{Clock: time.Minute}, nil
}

// newTestAgent returns an agent whose worker accepts orders.
func newTestAgent(w Worker) *Agent {
	a := &Agent{cfg: Config{Worker: w, MaxLease: 6 * time.Second}, log: discardLogger(), finder: newTestFinder(), reportPending: make(chan struct{}, 1), unansweredStarts: unansweredStarts{}}
	a.incarnation = newIncarnation(engine.WorkerInfo{ID: "w", Zone: "z"})
	a.incarnation.polled, a.incarnation.workerClock, a.incarnation.clockReadAt = true, time.Minute, now()
	a.grantedUntil = now() + 5*time.Second
	return a
}

func startAndStopOrders(cordonsRevision int64) *link.Orders {
	run := workload.RunID{Task: workload.TaskID{Job: "j"}, Number: 1}
	return link.NewOrders(1, engine.Orders{Worker: "w", Starts: []engine.StartOrder{{Run: run}}, Stops: []workload.RunID{run}, CordonsRevision: cordonsRevision})
}

func executeStart(c *qt.C, a *Agent, orders *link.Orders) engine.StartOutcome {
	starts, err := orders.DecodeStarts()
	c.Assert(err, qt.IsNil)
	return a.execute(orders, starts).Starts[0].Outcome
}

// Starts decided before a cordon are refused if they arrive after the agent has learned of it.
func TestStartsDecidedBeforeCordonAreRefused(t *testing.T) {
	c := qt.New(t)
	w := &startCountingWorker{}
	a := newTestAgent(w)
	a.handleReply(engine.Report{}, &link.ReportReply{Epoch: 1, Cordoned: true, CordonsRevision: 20}, now())
	c.Check(executeStart(c, a, startAndStopOrders(10)), qt.Equals, engine.StartCordoned)
	c.Check(executeStart(c, a, startAndStopOrders(20)), qt.Equals, engine.StartCordoned)
	c.Check(w.starts.Load(), qt.Equals, int64(0))
	c.Check(a.counters.Stops.Load(), qt.Equals, int64(2), qt.Commentf("stops are carried out regardless"))
	c.Check(executeStart(c, a, startAndStopOrders(30)), qt.Equals, engine.StartOK)
}

// A delayed reply, or one of an older planner, must not lift a newer cordon or restore one that
// was lifted.
func TestStaleCordonStateIsIgnored(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent(&startCountingWorker{})
	a.handleReply(engine.Report{}, &link.ReportReply{Epoch: 2, Cordoned: true, CordonsRevision: 20}, now())
	a.handleReply(engine.Report{}, &link.ReportReply{Epoch: 1, CordonsRevision: 15}, now())
	a.handleReply(engine.Report{}, &link.ReportReply{Epoch: 3}, now())
	c.Check(a.startsRefused(20), qt.IsTrue)
	a.handleReply(engine.Report{}, &link.ReportReply{Epoch: 3, CordonsRevision: 25}, now())
	a.handleReply(engine.Report{}, &link.ReportReply{Epoch: 3, Cordoned: true, CordonsRevision: 22}, now())
	c.Check(a.startsRefused(20), qt.IsFalse)
}

// If a cordon becomes known after an unanswered attempt, the start is not retried, and its
// outcome is unknown since the first attempt may have succeeded.
func TestStartNotRetriedAfterCordon(t *testing.T) {
	c := qt.New(t)
	w := &startCountingWorker{}
	a := newTestAgent(w)
	w.onUnansweredStart = func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.cordon.update(true, 20)
	}
	c.Check(executeStart(c, a, startAndStopOrders(10)), qt.Equals, engine.StartUnknown)
	c.Check(w.starts.Load(), qt.Equals, int64(1))
}
