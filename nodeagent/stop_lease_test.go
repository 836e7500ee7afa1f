package nodeagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// stopRecorder records the header of a stop and answers no polls.
type stopRecorder struct {
	Worker
	header OrderHeader
}

func (w *stopRecorder) Stop(_ context.Context, header OrderHeader, _ workload.RunID) error {
	w.header = header
	return nil
}

func (w *stopRecorder) Poll(context.Context, OrderHeader, int64, time.Duration) (WorkerStatus, error) {
	return WorkerStatus{}, context.DeadlineExceeded
}

// Guards against a stop that extends the lease of a worker beyond the end that the agent reports, after
// which its runs are started elsewhere.
func TestStopDoesNotExtendLease(t *testing.T) {
	c := qt.New(t)
	w := &stopRecorder{}
	a := newTestAgent(w)
	inc := a.incarnation
	inc.extendLease(now() + 3*time.Second)
	inc.unresponsive, inc.unresponsiveSince = true, now()-leaseExtensionPeriod
	run := workload.RunID{Task: workload.TaskID{Job: "j"}, Number: 1}
	a.execute(link.NewOrders(1, engine.Orders{Worker: "w", Stops: []workload.RunID{run}}), nil)
	c.Assert(w.header.Worker, qt.Equals, engine.WorkerID("w"))
	c.Check(w.header.LeaseEnd <= inc.workerTime(inc.leaseEnd), qt.IsTrue)
}
