package nodeagent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// Guards against a start that arrives after the lease by which it was decided, under a newer lease of
// the worker. The planner has taken it for lost, and the task would run twice.
func TestStartAfterItsLeaseIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name      string
		process   uint64
		grantedAt time.Duration // before the start
		want      engine.StartOutcome
	}{
		{"under the present lease", 7, time.Second, engine.StartOK},
		{"shortly before the end of the lease", 7, 5*time.Second + 100*time.Millisecond, engine.StartNotDelivered},
		{"after the lease", 7, 6 * time.Second, engine.StartNotDelivered},
		{"by a report of an earlier process", 6, time.Second, engine.StartNotDelivered},
		{"by a report without a number", 0, 0, engine.StartOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			w := &startCountingWorker{}
			a := newTestAgent(w)
			a.process = 7
			orders := startAndStopOrders(0)
			orders.AgentProcess, orders.GrantedAt = tc.process, now()-tc.grantedAt
			c.Check(executeStart(c, a, orders), qt.Equals, tc.want)
		})
	}
}

// leaseEndRecorder records the lease end of starts, after which the worker refuses them.
type leaseEndRecorder struct {
	Worker
	leaseEnd time.Duration
}

func (w *leaseEndRecorder) Start(_ context.Context, header OrderHeader, _ engine.StartOrder) engine.StartOutcome {
	w.leaseEnd = header.LeaseEnd
	return engine.StartOK
}

// Guards against a start that is held up on its way to the worker and takes effect under a later lease
// than that by which it was decided.
func TestStartEndsWithTheLeaseByWhichItWasDecided(t *testing.T) {
	c := qt.New(t)
	w := &leaseEndRecorder{}
	a := newTestAgent(w)
	a.process = 7
	orders := startAndStopOrders(0)
	orders.Stops = nil
	orders.AgentProcess, orders.GrantedAt = 7, now()-3*time.Second
	decidedUntil := a.incarnation.workerTime(orders.GrantedAt + a.cfg.MaxLease)
	c.Assert(executeStart(c, a, orders), qt.Equals, engine.StartOK)
	c.Check(w.leaseEnd, qt.Equals, decidedUntil)
}

// Guards against a start that was decided before the agent reported the end of the lease, and takes
// effect under a grant that followed.
func TestStartIsLimitedToReportedLeaseEnd(t *testing.T) {
	c := qt.New(t)
	w := &leaseEndRecorder{}
	a := newTestAgent(w)
	a.process = 7
	orders := startAndStopOrders(0)
	orders.Stops = nil
	orders.AgentProcess, orders.GrantedAt = 7, now()-time.Millisecond
	inc := a.incarnation
	inc.extendLease(now() + 2*time.Second)
	reported := inc.leaseEnd
	inc.unresponsive, inc.unresponsiveSince = true, now()-leaseExtensionPeriod
	a.pendingReports()
	inc.unresponsive = false // it answers again, and the next report is answered
	a.grantedUntil = now() + a.cfg.MaxLease
	c.Assert(executeStart(c, a, orders), qt.Equals, engine.StartOK)
	c.Check(w.leaseEnd, qt.Equals, inc.workerTime(reported))

	orders.GrantedAt = now()
	c.Assert(executeStart(c, a, orders), qt.Equals, engine.StartOK)
	c.Check(w.leaseEnd > inc.workerTime(reported), qt.IsTrue, qt.Commentf("decided by the new grant"))
}

// Guards against a start that is carried out after the planner has stopped to wait for it: its order was held up
// on the way, or in a paused process.
func TestOldStartIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration // since the decision
		want engine.StartOutcome
	}{
		{"new", time.Second, engine.StartOK},
		{"too old", maxOrderAge + 100*time.Millisecond, engine.StartNotDelivered},
	} {
		c := qt.New(t)
		a := newTestAgent(&startCountingWorker{})
		a.process = 7
		orders := startAndStopOrders(0)
		orders.AgentProcess, orders.GrantedAt, orders.DecidedAfter = 7, now()-tc.age-500*time.Millisecond, 500*time.Millisecond
		c.Check(executeStart(c, a, orders), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// slowStartWorker does not answer starts, and returns from them late.
type slowStartWorker struct {
	Worker
	calls atomic.Int64
}

func (w *slowStartWorker) Start(context.Context, OrderHeader, engine.StartOrder) engine.StartOutcome {
	w.calls.Add(1)
	time.Sleep(startLimit - maxOrderAge)
	return engine.StartUnknown
}

// Guards against a call to start a run that is repeated after the limit that reports state: the process was
// paused in between.
func TestStartIsNotRepeatedAfterItsLimit(t *testing.T) {
	c := qt.New(t)
	w := &slowStartWorker{}
	a := newTestAgent(w)
	a.process = 7
	orders := startAndStopOrders(0)
	orders.Stops = nil
	orders.AgentProcess, orders.GrantedAt, orders.DecidedAfter = 7, now()-maxOrderAge+100*time.Millisecond, 1
	c.Check(executeStart(c, a, orders), qt.Equals, engine.StartUnknown)
	c.Check(w.calls.Load(), qt.Equals, int64(1))
}
