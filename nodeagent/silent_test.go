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

// deadWorker refuses every call at once, as the port of a crashed process does. Until it
// dies it answers.
type deadWorker struct {
	Worker
	dead  atomic.Bool
	looks atomic.Int64
}

func (w *deadWorker) Poll(ctx context.Context, _ OrderHeader, _ int64, wait time.Duration) (WorkerStatus, error) {
	w.looks.Add(1)
	if w.dead.Load() {
		return WorkerStatus{}, eris.New("connection refused")
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(wait, 20*time.Millisecond)):
	}
	return WorkerStatus{Clock: now()}, nil
}

func (w *deadWorker) Identify(context.Context) (string, error) { return "w", nil }

// A worker crashes for good; its machine and the agent beside it live. The planner granted
// more time with each report, the agent looked at once since the lease was nearly over,
// the look was refused at once, and that was reported at once: a loop as fast as the
// network. The planner could not see the lease lapse between two reports, and the gang of
// the worker never started again; each agent in the loop sent ten times its usual traffic.
func TestDeadWorkerIsLookedAtAndReportedAtItsPace(t *testing.T) {
	c := qt.New(t)
	var reports atomic.Int64
	var address string
	planner := listen(t, "planner", wire.RoleEntry, func(_ context.Context, _ *wire.Conn, msg any) (any, error) {
		if _, ok := msg.(*link.Report); ok {
			reports.Add(1)
			return &link.ReportReply{Epoch: 1, Planner: address, Attached: true}, nil
		}
		return &link.PeerReply{Epoch: 1, Planner: address}, nil
	})
	address = planner.Addr()
	w := &deadWorker{}
	a, err := Start(Config{
		ID: "agent", Region: "r", Zone: "z", Listen: "127.0.0.1:0", Seeds: []string{address},
		ClusterKey: []byte("a key for tests only"), Worker: w, MaxLease: time.Second, Log: quietLog(),
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
	w.dead.Store(true)
	time.Sleep(100 * time.Millisecond)
	looked, reported := w.looks.Load(), reports.Load()
	const watched = 2 * time.Second
	time.Sleep(watched)
	most := int64(3 * watched / silentPause)
	c.Check(w.looks.Load()-looked <= most, qt.IsTrue, qt.Commentf("%d looks", w.looks.Load()-looked))
	c.Check(reports.Load()-reported <= most, qt.IsTrue, qt.Commentf("%d reports", reports.Load()-reported))
}

// A lease that ran out some time ago is reported as such: were it reported as just running
// out, each report would put its end off anew.
func TestLeaseThatIsOverIsReportedSo(t *testing.T) {
	c := qt.New(t)
	l := newLife(engine.WorkerInfo{ID: "w"})
	l.extend(6 * time.Second)
	l.failing = true
	c.Check(l.report(5*time.Second, 0).LeaseRemaining, qt.Equals, time.Second)
	c.Check(l.report(9*time.Second, 0).LeaseRemaining, qt.Equals, -3*time.Second)
}

// An agent that has just been started again does not know how far its predecessor let the
// lease reach, and must not say that it is over.
func TestAgentWithoutAMemoryDoesNotKnowTheLease(t *testing.T) {
	c := qt.New(t)
	l := newLife(engine.WorkerInfo{ID: "w"})
	l.failing = true
	c.Check(l.report(5*time.Second, 0).LeaseKnown, qt.IsFalse)
	l.extend(11 * time.Second)
	c.Check(l.report(6*time.Second, 0).LeaseKnown, qt.IsTrue)
}

// Looks at a worker that does not answer extend its lease for a while, and no longer than
// the reports say so: the planner counts what it grants by that word.
func TestReportsSayWhetherLooksExtendTheLease(t *testing.T) {
	c := qt.New(t)
	l := newLife(engine.WorkerInfo{ID: "w"})
	c.Check(l.report(time.Second, 0).ExtendingLease, qt.IsFalse, qt.Commentf("the worker answers"))
	l.failing, l.failingFrom = true, time.Second
	c.Check(l.report(time.Second+keepExtending-1, 0).ExtendingLease, qt.IsTrue)
	c.Check(l.extending(time.Second+keepExtending-1), qt.IsTrue)
	c.Check(l.report(time.Second+keepExtending, 0).ExtendingLease, qt.IsFalse)
	c.Check(l.extending(time.Second+keepExtending), qt.IsFalse)
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
