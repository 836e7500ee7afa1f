package nodeagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// silentWorker answers polls unless it is silent, and accepts all orders.
type silentWorker struct {
	Worker
	silent bool
	clock  time.Duration
}

func (w *silentWorker) Poll(context.Context, OrderHeader, int64, time.Duration) (WorkerStatus, error) {
	if w.silent {
		return WorkerStatus{}, context.DeadlineExceeded
	}
	w.clock += time.Second
	return WorkerStatus{Clock: w.clock}, nil
}

func (w *silentWorker) Start(context.Context, OrderHeader, engine.StartOrder) engine.StartOutcome {
	return engine.StartOK
}

// Guards against a start that exceeds the capacity of a worker: it lost some while it did not answer,
// and answers polls again before its next heartbeat tells of the loss.
func TestNoStartAfterSilenceBeforeHeartbeat(t *testing.T) {
	c := qt.New(t)
	w := &silentWorker{clock: time.Hour}
	a := newTestAgent(w)
	inc := a.incarnation
	inc.sequence = 4
	orders := startAndStopOrders(0)
	orders.Stops = nil
	unconfirmed := func() bool { return a.pendingReports()[0].CapacityUnconfirmed }
	heartbeat := func(sequence int64) {
		c.Assert(a.updateCurrent(Heartbeat{Sequence: sequence, Info: engine.WorkerInfo{ID: "w", Capacity: workload.Resources{Accelerators: 4}}}), qt.IsTrue)
	}
	a.poll(inc, 0)
	c.Check(unconfirmed(), qt.IsFalse)
	c.Check(executeStart(c, a, orders), qt.Equals, engine.StartOK)

	w.silent = true
	a.poll(inc, 0)
	heartbeat(5) // sent before the worker fell silent
	a.poll(inc, 0)
	w.silent = false
	a.poll(inc, 0)
	c.Assert(inc.unresponsive, qt.IsFalse)
	c.Check(unconfirmed(), qt.IsTrue)
	c.Check(executeStart(c, a, orders), qt.Equals, engine.StartNotDelivered)
	heartbeat(5)
	c.Check(unconfirmed(), qt.IsTrue, qt.Commentf("the heartbeat was handled before"))

	heartbeat(6)
	c.Check(unconfirmed(), qt.IsFalse)
	c.Check(a.pendingReports()[0].Worker.Capacity.Accelerators, qt.Equals, 4)
	c.Check(executeStart(c, a, orders), qt.Equals, engine.StartOK)
}
