package nodeagent

import (
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

// keptNameWorker is a worker whose lives share a name. It answers as the life that is set.
type keptNameWorker struct {
	Worker
	mu    sync.Mutex
	life  engine.WorkerID // empty: nobody answers
	looks []lookedAt
	ended []engine.RunEnd
}

func (w *keptNameWorker) end(ended []engine.RunEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = ended
}

func (w *keptNameWorker) become(life engine.WorkerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life = life
}

// lookedAt is what a look carried.
type lookedAt struct {
	Fence engine.Fence
	Seen  int64
}

func (w *keptNameWorker) Identify(context.Context) (string, error) { return "w", nil }

func (w *keptNameWorker) Poll(_ context.Context, o OrderHeader, seen int64, _ time.Duration) (WorkerStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks = append(w.looks, lookedAt{o.Fence, seen})
	switch w.life {
	case "":
		return WorkerStatus{}, context.DeadlineExceeded
	case o.Worker:
		return WorkerStatus{Clock: now(), Ended: w.ended}, nil
	}
	return WorkerStatus{}, ErrSuperseded
}

func (w *keptNameWorker) last() lookedAt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.looks[len(w.looks)-1]
}

// carried returns the looks that acknowledged ends; two at once may carry the same.
func (w *keptNameWorker) carried() []lookedAt {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []lookedAt
	for _, l := range w.looks {
		if l.Seen > 0 {
			out = append(out, l)
		}
	}
	return slices.Compact(out)
}

// turned waits until the worker has answered a look under a turn, which the agent makes by
// itself when it hears of that.
func turned(c *qt.C, a *Agent, turn uint64) {
	for range 1000 {
		a.mu.Lock()
		fenced := a.life.fenced
		a.mu.Unlock()
		if fenced.Generation == turn {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("no look under the turn")
}

// keptName returns an agent beside a worker that has announced its first life, to which the
// planner has given a turn and acknowledged 57 ends.
func keptName(c *qt.C) (*Agent, *keptNameWorker) {
	w := &keptNameWorker{life: "w-1"}
	a := &Agent{
		cfg: Config{ID: "agent", Worker: w, MaxLease: 6 * time.Second}, log: quietLog(),
		changed: make(chan struct{}), wake: make(chan struct{}, 1), ended: map[engine.WorkerID]bool{},
	}
	c.Assert(a.Announce(context.Background(), heartbeatOf("w-1", 5)), qt.IsNil)
	a.answered(a.reports()[0], &link.ReportReply{Epoch: 3, Attached: true, Turn: engine.GenerationStep, Seen: 57}, now())
	turned(c, a, engine.GenerationStep)
	return a, w
}

func heartbeatOf(life engine.WorkerID, sequence int64) Heartbeat {
	return Heartbeat{Info: engine.WorkerInfo{ID: life, Name: "w", Service: "s"}, Sequence: sequence}
}

// A worker crashes after a start that got no answer, and is back under its name. The start was
// still on its way: the next life, which has seen no fence, would run what started elsewhere
// meanwhile. So the first look that it answers carries a higher fence than the start did, also
// while nobody knows that it is another life, and takes note of none of its ends.
func TestNextLifeIsFencedByTheFirstLookThatItAnswers(t *testing.T) {
	c := qt.New(t)
	a, w := keptName(c)
	l, _ := a.current()
	a.look(l, 0)
	ordered, _, _ := a.admit(&link.Orders{Epoch: 3, Worker: "w-1"})
	c.Check(ordered.Fence, qt.Equals, engine.Fence{Epoch: 3, Generation: engine.GenerationStep})
	c.Check(w.carried(), qt.DeepEquals, []lookedAt{{ordered.Fence, 57}})
	w.become("")
	a.look(l, 0)
	w.become("w-2")
	a.look(l, 0)
	c.Check(w.last().Fence.Compare(ordered.Fence), qt.Equals, 1)
	c.Check(w.last().Seen, qt.Equals, int64(0))
	c.Assert(a.Announce(context.Background(), heartbeatOf("w-2", 1)), qt.IsNil)
	l, _ = a.current()
	a.look(l, 0)
	c.Check(w.last().Fence.Compare(ordered.Fence), qt.Equals, 1)
	c.Check(w.last().Seen, qt.Equals, int64(0))
	told := a.reports()
	c.Assert(told, qt.HasLen, 2)
	c.Check(told[0].Superseded, qt.IsTrue)
	c.Check(told[0].Crashed, qt.IsTrue)
	c.Check(told[1].Worker.ID, qt.Equals, engine.WorkerID("w-2"))
}

// A heartbeat of a life that crashed was held up, and comes when the next one has reported. The
// agent, started again between the two, has seen only one of them. Were the late one believed,
// all that runs on the present life would count as lost and start elsewhere.
func TestHeartbeatOfAnEarlierLifeOfTheNameIsPassedOver(t *testing.T) {
	c := qt.New(t)
	a, _ := keptName(c)
	c.Assert(a.Announce(context.Background(), heartbeatOf("w-0", 99)), qt.IsNil)
	told := a.reports()
	c.Assert(told, qt.HasLen, 1)
	c.Check(told[0].Worker.ID, qt.Equals, engine.WorkerID("w-1"))
}

// The worker does not answer when a heartbeat of another life comes: which of them is the
// present one can't be told, so the heartbeat is not acknowledged and is sent again.
func TestLivesAreNotToldApartWithoutAnAnswer(t *testing.T) {
	c := qt.New(t)
	a, w := keptName(c)
	w.become("")
	c.Check(a.Announce(context.Background(), heartbeatOf("w-2", 1)), qt.IsNotNil)
	c.Check(a.reports()[0].Worker.ID, qt.Equals, engine.WorkerID("w-1"))
	w.become("w-2")
	c.Assert(a.Announce(context.Background(), heartbeatOf("w-2", 2)), qt.IsNil)
	c.Check(a.reports()[1].Worker.ID, qt.Equals, engine.WorkerID("w-2"))
}

// A goodbye of a life that has left was held up, and comes when the next one has the name. What
// runs there would count as lost and start elsewhere. A worker that leaves drains before.
func TestGoodbyeOfAnEarlierLifeOfTheNameIsPassedOver(t *testing.T) {
	c := qt.New(t)
	a, _ := keptName(c)
	a.Leave("w")
	c.Check(a.reports()[0].Terminated, qt.IsFalse)
	drains := heartbeatOf("w-1", 6)
	drains.Draining, drains.Remaining = true, time.Second
	c.Assert(a.Announce(context.Background(), drains), qt.IsNil)
	a.Leave("w")
	c.Check(a.reports()[0].Terminated, qt.IsTrue)
}

// The next life counts its ends from 1, while 57 of the last were acknowledged. Its own are
// told, and acknowledged as they are taken.
func TestEndsOfTheNextLifeAreTold(t *testing.T) {
	c := qt.New(t)
	a, w := keptName(c)
	w.become("w-2")
	c.Assert(a.Announce(context.Background(), heartbeatOf("w-2", 1)), qt.IsNil)
	ended := []engine.RunEnd{{Sequence: 1, Run: workload.RunID{Number: 2}, Reason: engine.EndDone}}
	w.end(ended)
	l, _ := a.current()
	a.look(l, 0)
	told := a.reports()[1]
	c.Check(told.Ended, qt.DeepEquals, ended)
	a.answered(a.reports()[0], &link.ReportReply{Epoch: 3}, now())
	a.answered(told, &link.ReportReply{Epoch: 3, Attached: true, Turn: 3 * engine.GenerationStep, Seen: 1}, now())
	turned(c, a, 3*engine.GenerationStep)
	a.look(l, 0)
	c.Check(w.carried(), qt.DeepEquals, []lookedAt{
		{engine.Fence{Epoch: 3, Generation: engine.GenerationStep}, 57}, {engine.Fence{Epoch: 3, Generation: 3 * engine.GenerationStep}, 1},
	})
}

// The connection to a worker hangs without an error; meanwhile it crashes and is back under its
// name. Its heartbeat is the first that the agent hears. The look that tells the lives apart is
// the first call that the new one answers: it must fence it, and acknowledge none of its ends.
func TestNextLifeThatNobodyMissedIsFencedByTheLookThatMeetsIt(t *testing.T) {
	c := qt.New(t)
	a, w := keptName(c)
	before := w.carried()
	w.become("w-2")
	a.mu.Lock()
	a.life.seen = 58 // recorded, and not acknowledged yet
	a.mu.Unlock()
	c.Assert(a.Announce(context.Background(), heartbeatOf("w-2", 1)), qt.IsNil)
	c.Check(w.last().Fence.Compare(engine.Fence{Epoch: 3, Generation: engine.GenerationStep}), qt.Equals, 1)
	c.Check(w.carried(), qt.DeepEquals, before)
}
