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

// countingWorker counts starts; a start of each run gets no answer the first time where
// unanswered says so, which is then called.
type countingWorker struct {
	Worker
	starts     atomic.Int64
	unanswered func()
}

func (w *countingWorker) Start(context.Context, OrderHeader, engine.StartOrder) engine.StartOutcome {
	w.starts.Add(1)
	if w.unanswered != nil {
		w.unanswered()
		return engine.StartUnknown
	}
	return engine.StartOK
}

func (w *countingWorker) Stop(context.Context, OrderHeader, workload.RunID) error { return nil }

func (w *countingWorker) Poll(context.Context, OrderHeader, int64, time.Duration) (WorkerStatus, error) {
	return WorkerStatus{Clock: time.Minute}, nil
}

// working returns an agent beside a worker that takes orders.
func working(w Worker) *Agent {
	a := &Agent{cfg: Config{Worker: w, MaxLease: 6 * time.Second}, log: quietLog(), finder: testFinder(), wake: make(chan struct{}, 1)}
	a.life = newLife(engine.WorkerInfo{ID: "w", Zone: "z"})
	a.life.known, a.life.clock, a.life.readAt = true, time.Minute, now()
	a.granted = now() + 5*time.Second
	return a
}

func oneStart(cordonsAt int64) *link.Orders {
	run := workload.RunID{Task: workload.TaskID{Job: "j"}, Number: 1}
	return link.NewOrders(1, engine.Orders{Worker: "w", Starts: []engine.StartOrder{{Run: run}}, Stops: []workload.RunID{run}, CordonsRevision: cordonsAt})
}

func outcomeOf(c *qt.C, a *Agent, orders *link.Orders) engine.StartOutcome {
	starts, err := orders.StartOrders()
	c.Assert(err, qt.IsNil)
	return a.carryOut(orders, starts).Starts[0].Outcome
}

// An order that was decided before a cordon comes after the agent was told of it; what is
// decided on newer cordons is carried out.
func TestOrdersFromBeforeACordonAreRefused(t *testing.T) {
	c := qt.New(t)
	w := &countingWorker{}
	a := working(w)
	a.answered(engine.Report{}, &link.ReportReply{Epoch: 1, Cordoned: true, CordonsAt: 20}, now())
	c.Check(outcomeOf(c, a, oneStart(10)), qt.Equals, engine.StartCordoned)
	c.Check(outcomeOf(c, a, oneStart(20)), qt.Equals, engine.StartCordoned)
	c.Check(w.starts.Load(), qt.Equals, int64(0))
	c.Check(a.counts.Stops.Load(), qt.Equals, int64(2), qt.Commentf("stops are carried out all the same"))
	c.Check(outcomeOf(c, a, oneStart(30)), qt.Equals, engine.StartOK)
}

// The answer of a planner that is not the newest, or that overtook another one, must not
// lift a cordon that the agent knows of, nor set one again that was lifted.
func TestOlderWordOfCordonsIsPassedOver(t *testing.T) {
	c := qt.New(t)
	a := working(&countingWorker{})
	a.answered(engine.Report{}, &link.ReportReply{Epoch: 2, Cordoned: true, CordonsAt: 20}, now())
	a.answered(engine.Report{}, &link.ReportReply{Epoch: 1, CordonsAt: 15}, now())
	a.answered(engine.Report{}, &link.ReportReply{Epoch: 3}, now())
	c.Check(a.barred(20), qt.IsTrue)
	a.answered(engine.Report{}, &link.ReportReply{Epoch: 3, CordonsAt: 25}, now())
	a.answered(engine.Report{}, &link.ReportReply{Epoch: 3, Cordoned: true, CordonsAt: 22}, now())
	c.Check(a.barred(20), qt.IsFalse)
}

// A cordon becomes known between two attempts of a start. The first may have been carried
// out, so its outcome is not known, and there is no second.
func TestStartIsNotTriedAgainUnderACordon(t *testing.T) {
	c := qt.New(t)
	w := &countingWorker{}
	a := working(w)
	w.unanswered = func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.cordon.learn(true, 20)
	}
	c.Check(outcomeOf(c, a, oneStart(10)), qt.Equals, engine.StartUnknown)
	c.Check(w.starts.Load(), qt.Equals, int64(1))
}
