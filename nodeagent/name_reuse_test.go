package nodeagent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/link"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// nameReusingWorker is a worker whose incarnations share a name.
type nameReusingWorker struct {
	Worker
	mu          sync.Mutex
	incarnation engine.WorkerID // the one that answers; empty if none does
	err         error           // of polls while none does; nil means that they time out
	polls       []pollRecord
	ended       []engine.RunEnd
}

func (w *nameReusingWorker) setEnded(ended []engine.RunEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = ended
}

func (w *nameReusingWorker) restartAs(incarnation engine.WorkerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
}

// pollRecord records the arguments of a poll.
type pollRecord struct {
	Fence     engine.Fence
	AckedEnds int64
}

func (w *nameReusingWorker) Identify(context.Context) (string, error) { return "w", nil }

func (w *nameReusingWorker) Poll(_ context.Context, header OrderHeader, ackedEnds int64, _ time.Duration) (WorkerStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls = append(w.polls, pollRecord{header.Fence, ackedEnds})
	switch w.incarnation {
	case "":
		return WorkerStatus{}, cmp.Or(w.err, context.DeadlineExceeded)
	case header.Worker:
		return WorkerStatus{Clock: now(), Ended: w.ended}, nil
	}
	return WorkerStatus{}, ErrSuperseded
}

func (w *nameReusingWorker) lastPoll() pollRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polls[len(w.polls)-1]
}

// ackingPolls returns the polls that acknowledged ends, without consecutive duplicates: two
// concurrent polls may carry the same number.
func (w *nameReusingWorker) ackingPolls() []pollRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []pollRecord
	for _, p := range w.polls {
		if p.AckedEnds > 0 {
			out = append(out, p)
		}
	}
	return slices.Compact(out)
}

// awaitGeneration waits until the worker has answered a poll under a generation. The agent
// sends that poll by itself once it learns of the generation.
func awaitGeneration(c *qt.C, a *Agent, generation uint64) {
	for range 1000 {
		a.mu.Lock()
		confirmed := a.incarnation.confirmedFence
		a.mu.Unlock()
		if confirmed.Generation == generation {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("no poll was answered under the generation")
}

// startNameReusingAgent returns an agent whose worker has announced its first incarnation. The
// planner has assigned it a generation and acknowledged 57 ends.
func startNameReusingAgent(c *qt.C) (*Agent, *nameReusingWorker) {
	w := &nameReusingWorker{incarnation: "w-1"}
	a := &Agent{
		cfg: Config{ID: "agent", Worker: w, MaxLease: 6 * time.Second}, log: discardLogger(),
		changed: make(chan struct{}), reportPending: make(chan struct{}, 1), endedIDs: map[engine.WorkerID]bool{},
	}
	c.Assert(a.HandleHeartbeat(context.Background(), newHeartbeat("w-1", 5)), qt.IsNil)
	a.handleReply(a.pendingReports()[0], &link.ReportReply{Epoch: 3, Attached: true, Generation: engine.GenerationStep, AckedEnds: 57}, now())
	awaitGeneration(c, a, engine.GenerationStep)
	return a, w
}

func newHeartbeat(id engine.WorkerID, sequence int64) Heartbeat {
	return Heartbeat{Info: engine.WorkerInfo{ID: id, Name: "w", Service: "s"}, Sequence: sequence}
}

// The first poll that a new incarnation with the same name answers must carry a higher fence than
// delayed starts, and acknowledge none of its ends, even if the restart is still unknown.
func TestNextIncarnationFencedByFirstAnsweredPoll(t *testing.T) {
	c := qt.New(t)
	a, w := startNameReusingAgent(c)
	inc, _ := a.current()
	a.poll(inc, 0)
	order, _, _ := a.admit(&link.Orders{Epoch: 3, Worker: "w-1"}, nil)
	c.Check(order.Fence, qt.Equals, engine.Fence{Epoch: 3, Generation: engine.GenerationStep})
	c.Check(w.ackingPolls(), qt.DeepEquals, []pollRecord{{order.Fence, 57}})
	w.restartAs("")
	a.poll(inc, 0)
	w.restartAs("w-2")
	a.poll(inc, 0)
	c.Check(w.lastPoll().Fence.Compare(order.Fence), qt.Equals, 1)
	c.Check(w.lastPoll().AckedEnds, qt.Equals, int64(0))
	c.Assert(a.HandleHeartbeat(context.Background(), newHeartbeat("w-2", 1)), qt.IsNil)
	inc, _ = a.current()
	a.poll(inc, 0)
	c.Check(w.lastPoll().Fence.Compare(order.Fence), qt.Equals, 1)
	c.Check(w.lastPoll().AckedEnds, qt.Equals, int64(0))
	reports := a.pendingReports()
	c.Assert(reports, qt.HasLen, 2)
	c.Check(reports[0].Superseded, qt.IsTrue)
	c.Check(reports[0].Crashed, qt.IsTrue)
	c.Check(reports[1].Worker.ID, qt.Equals, engine.WorkerID("w-2"))
}

// A delayed heartbeat of an earlier incarnation must not replace the current one, whose runs
// would count as lost.
func TestHeartbeatOfEarlierIncarnationIgnored(t *testing.T) {
	c := qt.New(t)
	a, _ := startNameReusingAgent(c)
	c.Assert(a.HandleHeartbeat(context.Background(), newHeartbeat("w-0", 99)), qt.IsNil)
	reports := a.pendingReports()
	c.Assert(reports, qt.HasLen, 1)
	c.Check(reports[0].Worker.ID, qt.Equals, engine.WorkerID("w-1"))
}

// While the worker does not answer, a heartbeat of another incarnation is not acknowledged, so
// that it is sent again.
func TestIncarnationsNotDistinguishedWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	a, w := startNameReusingAgent(c)
	w.restartAs("")
	c.Check(a.HandleHeartbeat(context.Background(), newHeartbeat("w-2", 1)), qt.IsNotNil)
	c.Check(a.pendingReports()[0].Worker.ID, qt.Equals, engine.WorkerID("w-1"))
	w.restartAs("w-2")
	c.Assert(a.HandleHeartbeat(context.Background(), newHeartbeat("w-2", 2)), qt.IsNil)
	c.Check(a.pendingReports()[1].Worker.ID, qt.Equals, engine.WorkerID("w-2"))
}

// A delayed departure notice of an earlier incarnation must not end the current one. A worker
// that departs has drained before.
func TestDepartureOfEarlierIncarnationIgnored(t *testing.T) {
	c := qt.New(t)
	a, w := startNameReusingAgent(c)
	inc, _ := a.current()
	a.HandleDeparture("w")
	c.Check(inc.leaving, qt.IsFalse)
	c.Check(a.pendingReports()[0].Terminated, qt.IsFalse)
	draining := newHeartbeat("w-1", 6)
	draining.Draining, draining.Remaining = true, time.Second
	c.Assert(a.HandleHeartbeat(context.Background(), draining), qt.IsNil)
	a.HandleDeparture("w")
	c.Check(inc.leaving, qt.IsTrue)
	w.restartAs("")
	for _, w.err = range []error{ErrConnectionLost, ErrConnectionRefused} {
		c.Check(a.pendingReports()[0].Terminated, qt.IsFalse)
		a.poll(inc, 0)
	}
	c.Check(a.pendingReports()[0].Terminated, qt.IsTrue)
}

// A new incarnation numbers its ends from 1. They must be reported and acknowledged
// independently of those of the previous one.
func TestEndsOfNextIncarnationReported(t *testing.T) {
	c := qt.New(t)
	a, w := startNameReusingAgent(c)
	w.restartAs("w-2")
	c.Assert(a.HandleHeartbeat(context.Background(), newHeartbeat("w-2", 1)), qt.IsNil)
	ended := []engine.RunEnd{{Sequence: 1, Run: workload.RunID{Number: 2}, Reason: engine.EndDone}}
	w.setEnded(ended)
	inc, _ := a.current()
	a.poll(inc, 0)
	report := a.pendingReports()[1]
	c.Check(report.Ended, qt.DeepEquals, ended)
	a.handleReply(a.pendingReports()[0], &link.ReportReply{Epoch: 3}, now())
	a.handleReply(report, &link.ReportReply{Epoch: 3, Attached: true, Generation: 3 * engine.GenerationStep, AckedEnds: 1}, now())
	awaitGeneration(c, a, 3*engine.GenerationStep)
	a.poll(inc, 0)
	c.Check(w.ackingPolls(), qt.DeepEquals, []pollRecord{
		{engine.Fence{Epoch: 3, Generation: engine.GenerationStep}, 57}, {engine.Fence{Epoch: 3, Generation: 3 * engine.GenerationStep}, 1},
	})
}

// If the heartbeat of a new incarnation is the first sign of a restart, the poll that tells it from
// the previous one must carry a higher fence and acknowledge none of its ends.
func TestUndetectedRestartFencedByPoll(t *testing.T) {
	c := qt.New(t)
	a, w := startNameReusingAgent(c)
	acksBefore := w.ackingPolls()
	w.restartAs("w-2")
	a.mu.Lock()
	a.incarnation.recordedEnds = 58 // recorded, and not acknowledged yet
	a.mu.Unlock()
	c.Assert(a.HandleHeartbeat(context.Background(), newHeartbeat("w-2", 1)), qt.IsNil)
	c.Check(w.lastPoll().Fence.Compare(engine.Fence{Epoch: 3, Generation: engine.GenerationStep}), qt.Equals, 1)
	c.Check(w.ackingPolls(), qt.DeepEquals, acksBefore)
}
