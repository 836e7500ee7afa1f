package nodeagent

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/wire"
)

// crashableWorker refuses every poll at once after it crashed, like the closed port of a
// process.
type crashableWorker struct {
	Worker
	crashed atomic.Bool
	polls   atomic.Int64
}

func (w *crashableWorker) Poll(ctx context.Context, _ OrderHeader, _ int64, wait time.Duration) (WorkerStatus, error) {
	w.polls.Add(1)
	if w.crashed.Load() {
		return WorkerStatus{}, eris.New("connection refused")
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(wait, 20*time.Millisecond)):
	}
	return WorkerStatus{Clock: now()}, nil
}

func (w *crashableWorker) Identify(context.Context) (string, error) { return "w", nil }

// Polls of a crashed worker fail at once. They must not make agent and planner exchange polls and
// reports in a tight loop that keeps the lease from expiring.
func TestUnresponsiveWorkerPollAndReportRateBounded(t *testing.T) {
	c := qt.New(t)
	var reports atomic.Int64
	var address string
	planner := listenLoopback(t, "planner", wire.RoleEntry, func(_ context.Context, _ *wire.Conn, msg any) (any, error) {
		if _, ok := msg.(*link.Report); ok {
			reports.Add(1)
			return &link.ReportReply{Epoch: 1, Planner: address, Attached: true}, nil
		}
		return &link.PeerReply{Epoch: 1, Planner: address}, nil
	})
	address = planner.Addr()
	w := &crashableWorker{}
	a, err := Start(Config{
		ID: "agent", Region: "r", Zone: "z", Listen: "127.0.0.1:0", Seeds: []string{address},
		ClusterKey: []byte("a key for tests only"), Worker: w, MaxLease: time.Second, Log: discardLogger(),
	})
	c.Assert(err, qt.IsNil)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = a.Stop(ctx)
	}()
	c.Assert(a.HandleHeartbeat(context.Background(), Heartbeat{Info: engine.WorkerInfo{ID: "w"}, Sequence: 1}), qt.IsNil)
	for deadline := time.Now().Add(5 * time.Second); reports.Load() < 3 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	w.crashed.Store(true)
	time.Sleep(100 * time.Millisecond)
	pollsBefore, reportsBefore := w.polls.Load(), reports.Load()
	const period = 2 * time.Second
	time.Sleep(period)
	limit := int64(3 * period / unresponsivePollInterval)
	c.Check(w.polls.Load()-pollsBefore <= limit, qt.IsTrue, qt.Commentf("%d polls", w.polls.Load()-pollsBefore))
	c.Check(reports.Load()-reportsBefore <= limit, qt.IsTrue, qt.Commentf("%d reports", reports.Load()-reportsBefore))
}

// An expired lease must be reported with its age. Reported as just expiring, each report would
// postpone its end.
func TestExpiredLeaseReportedAsExpired(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.extendLease(6 * time.Second)
	inc.unresponsive = true
	c.Check(inc.report(5*time.Second, 0).LeaseRemaining, qt.Equals, time.Second)
	c.Check(inc.report(9*time.Second, 0).LeaseRemaining, qt.Equals, -3*time.Second)
}

// A restarted agent does not know how far its predecessor extended the lease, and must not
// report it as expired.
func TestRestartedAgentReportsLeaseUnknown(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.unresponsive = true
	c.Check(inc.report(5*time.Second, 0).LeaseKnown, qt.IsFalse)
	inc.extendLease(11 * time.Second)
	c.Check(inc.report(6*time.Second, 0).LeaseKnown, qt.IsTrue)
}

// The planner relies on reports to tell for how long polls of an unresponsive worker extend its
// lease.
func TestReportsStateWhetherPollsExtendLease(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	c.Check(inc.report(time.Second, 0).ExtendingLease, qt.IsFalse, qt.Commentf("the worker answers"))
	inc.unresponsive, inc.unresponsiveSince = true, time.Second
	c.Check(inc.report(time.Second+leaseExtensionPeriod-1, 0).ExtendingLease, qt.IsTrue)
	c.Check(inc.mayExtendLease(time.Second+leaseExtensionPeriod-1), qt.IsTrue)
	c.Check(inc.report(time.Second+leaseExtensionPeriod, 0).ExtendingLease, qt.IsFalse)
	c.Check(inc.mayExtendLease(time.Second+leaseExtensionPeriod), qt.IsFalse)
}

// The planner lets the lease of an unresponsive worker expire when the agent has said that it will. If
// the worker answers again, a grant from before that report must not extend the lease any further:
// its runs would go on while they are restarted elsewhere.
func TestGrantBeforeReportedLeaseEndIsNotUsed(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent(&startCountingWorker{})
	inc := a.incarnation
	inc.extendLease(now() + 3*time.Second)
	reported := inc.leaseEnd
	inc.unresponsive, inc.unresponsiveSince = true, now()-leaseExtensionPeriod
	report := a.pendingReports()[0]
	c.Assert(report.LeaseKnown && !report.ExtendingLease, qt.IsTrue)
	inc.applyStatus(WorkerStatus{Clock: time.Minute + time.Second}, now(), now(), reported)
	a.preparePoll(inc, 0)
	a.admit(&link.Orders{Epoch: 1, Worker: "w"}, nil)
	c.Check(inc.leaseEnd, qt.Equals, reported)
	a.handleReply(a.pendingReports()[0], &link.ReportReply{Epoch: 1, Attached: true}, now())
	a.preparePoll(inc, 0)
	a.mu.Lock() // the reply has started a poll
	defer a.mu.Unlock()
	c.Check(inc.leaseEnd > reported, qt.IsTrue, qt.Commentf("granted again by the answer to a later report"))
}

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
