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

// crashableWorker refuses every call at once, as the port of a crashed process does. Until it
// dies it answers.
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

// A worker crashes for good; its machine and the agent beside it live. The planner granted
// more time with each report, the agent looked at once since the lease was nearly over,
// the look was refused at once, and that was reported at once: a loop as fast as the
// network. The planner could not see the lease lapse between two reports, and the gang of
// the worker never started again; each agent in the loop sent ten times its usual traffic.
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
	c.Assert(a.Announce(context.Background(), Heartbeat{Info: engine.WorkerInfo{ID: "w"}, Sequence: 1}), qt.IsNil)
	for deadline := time.Now().Add(5 * time.Second); reports.Load() < 3 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	w.crashed.Store(true)
	time.Sleep(100 * time.Millisecond)
	pollsBefore, reportsBefore := w.polls.Load(), reports.Load()
	const period = 2 * time.Second
	time.Sleep(period)
	limit := int64(3 * period / unresponsivePollInterval)
	c.Check(w.polls.Load()-pollsBefore <= limit, qt.IsTrue, qt.Commentf("%d looks", w.polls.Load()-pollsBefore))
	c.Check(reports.Load()-reportsBefore <= limit, qt.IsTrue, qt.Commentf("%d reports", reports.Load()-reportsBefore))
}

// A lease that ran out some time ago is reported as such: were it reported as just running
// out, each report would put its end off anew.
func TestExpiredLeaseReportedAsExpired(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.extendLease(6 * time.Second)
	inc.unresponsive = true
	c.Check(inc.report(5*time.Second, 0).LeaseRemaining, qt.Equals, time.Second)
	c.Check(inc.report(9*time.Second, 0).LeaseRemaining, qt.Equals, -3*time.Second)
}

// An agent that has just been started again does not know how far its predecessor let the
// lease reach, and must not say that it is over.
func TestRestartedAgentReportsLeaseUnknown(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.unresponsive = true
	c.Check(inc.report(5*time.Second, 0).LeaseKnown, qt.IsFalse)
	inc.extendLease(11 * time.Second)
	c.Check(inc.report(6*time.Second, 0).LeaseKnown, qt.IsTrue)
}

// Looks at a worker that does not answer extend its lease for a while, and no longer than
// the reports say so: the planner counts what it grants by that word.
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

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
