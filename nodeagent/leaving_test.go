package nodeagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
)

// scriptedWorker answers polls with status, or with err if that is set.
type scriptedWorker struct {
	Worker
	status  WorkerStatus
	err     error
	headers []OrderHeader
}

func (w *scriptedWorker) Poll(_ context.Context, header OrderHeader, _ int64, _ time.Duration) (WorkerStatus, error) {
	w.headers = append(w.headers, header)
	return w.status, w.err
}

// newLeavingAgent returns an agent that has a grant, whose worker has a lease and is leaving.
func newLeavingAgent() (*Agent, *scriptedWorker) {
	w := &scriptedWorker{status: WorkerStatus{Clock: 2 * time.Minute, Running: []engine.RunStatus{{Run: run1}}}}
	a := newTestAgent(w)
	a.endedIDs, a.changed = map[engine.WorkerID]bool{}, make(chan struct{})
	a.incarnation.extendLease(now() + 3*time.Second)
	a.HandleDeparture("w")
	return a, w
}

// A worker sends its departure notice before it ends. Until it has ended its runs go on; if the agent
// reported its end at once, they would be restarted elsewhere meanwhile.
func TestLeavingWorkerIsNotReportedAsEnded(t *testing.T) {
	c := qt.New(t)
	a, w := newLeavingAgent()
	inc := a.incarnation
	leaseEnd := inc.leaseEnd
	a.poll(inc, 0)
	report := a.pendingReports()[0]
	c.Check(report.Terminated, qt.IsFalse)
	c.Check(report.Draining, qt.IsTrue)
	c.Check(report.DrainRemaining, qt.Equals, time.Duration(0))
	c.Check(report.Running, qt.DeepEquals, w.status.Running)
	c.Check(w.headers[0].LeaseEnd, qt.Equals, time.Duration(0), qt.Commentf("the lease is extended no further"))
	_, _, outcome := a.admit(&link.Orders{Epoch: 1, Worker: "w"}, nil)
	c.Check(outcome, qt.Equals, engine.StartDraining)
	c.Check(inc.leaseEnd, qt.Equals, leaseEnd)
	a.updateCurrent(Heartbeat{Info: engine.WorkerInfo{ID: "w"}, Sequence: 9, Draining: true, Remaining: time.Minute})
	c.Check(a.pendingReports()[0].DrainRemaining, qt.Equals, time.Duration(0), qt.Commentf("a heartbeat from before the notice"))
	w.err = context.DeadlineExceeded
	a.poll(inc, 0)
	c.Check(a.pendingReports()[0].ExtendingLease, qt.IsFalse)
}

// Only what proves that a leaving worker has ended may be reported as its end. A process may close its
// port before it ends, and a poll that is still in progress shows that it has not.
func TestEndOfLeavingWorker(t *testing.T) {
	errs := func(errs ...error) []error { return errs }
	for _, tc := range []struct {
		name            string
		polls           []error
		pollsInProgress int
		leaseExpired    bool
		ended           bool
	}{
		{name: "no answers", polls: errs(context.DeadlineExceeded, context.DeadlineExceeded)},
		{name: "no answers until the lease has expired", polls: errs(context.DeadlineExceeded), leaseExpired: true, ended: true},
		{name: "answers after the lease has expired", polls: errs(nil), leaseExpired: true},
		{name: "connection broken", polls: errs(ErrConnectionLost, ErrConnectionLost)},
		{name: "port closed", polls: errs(ErrConnectionRefused, ErrConnectionRefused)},
		{name: "connection broken and port closed", polls: errs(ErrConnectionLost, ErrConnectionRefused), ended: true},
		{name: "connection broken, an answer, port closed", polls: errs(ErrConnectionLost, nil, ErrConnectionRefused)},
		{name: "another poll in progress", polls: errs(ErrConnectionLost, ErrConnectionRefused), pollsInProgress: 1},
		{name: "another incarnation answers", polls: errs(ErrOtherIncarnation), ended: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			a, w := newLeavingAgent()
			inc := a.incarnation
			inc.pollsInProgress = tc.pollsInProgress
			if tc.leaseExpired {
				inc.leaseEnd = now() - inc.leaseDrift - leaseExpiryMargin - time.Millisecond
			}
			for _, w.err = range tc.polls {
				a.poll(inc, 0)
			}
			report := a.pendingReports()[0]
			c.Check(report.Terminated, qt.Equals, tc.ended)
			c.Check(report.Crashed, qt.IsFalse)
		})
	}
}

// A restarted agent does not know how far its predecessor extended the lease of a leaving worker. It must
// not take the lease for expired before the longest possible one is.
func TestLeavingWorkerWithUnknownLease(t *testing.T) {
	c := qt.New(t)
	w := &scriptedWorker{err: context.DeadlineExceeded}
	a := newTestAgent(w)
	inc := a.incarnation
	before := now()
	a.HandleDeparture("w")
	a.poll(inc, 0)
	c.Check(a.incarnation, qt.Equals, inc)
	c.Check(inc.leaseEnd >= before+a.cfg.MaxLease, qt.IsTrue)
}
