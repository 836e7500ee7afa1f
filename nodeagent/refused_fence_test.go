package nodeagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// fencingWorker has seen a fence and refuses polls below it.
type fencingWorker struct {
	Worker
	seen engine.Fence
}

func (w *fencingWorker) Poll(_ context.Context, header OrderHeader, _ int64, _ time.Duration) (WorkerStatus, error) {
	if header.Fence.Compare(w.seen) < 0 {
		return WorkerStatus{}, ErrFenced
	}
	w.seen = header.Fence
	return WorkerStatus{Clock: 2 * time.Minute}, nil
}

// Guards against a worker that refuses its agent for good: a delayed poll of the agent's previous process
// has raised its fence, and the planner does not know of it.
func TestRefusedFenceIsRaised(t *testing.T) {
	for _, name := range []string{"", "w"} {
		c := qt.New(t)
		w := &fencingWorker{seen: engine.Fence{Epoch: 4, Generation: engine.GenerationStep}}
		a := newTestAgent(w)
		a.incarnation.info.Name = name
		a.raiseEpoch(4)
		for range 2 {
			a.poll(a.incarnation, 0)
		}
		c.Check(a.incarnation.polledAt > 0, qt.IsTrue, qt.Commentf("name %q: a poll is answered", name))
	}
}

// A worker that follows a newer planner must go on to refuse the agent.
func TestFenceOfNewerPlannerIsNotExceeded(t *testing.T) {
	c := qt.New(t)
	w := &fencingWorker{seen: engine.Fence{Epoch: 5}}
	a := newTestAgent(w)
	a.raiseEpoch(4)
	for range 3 {
		a.poll(a.incarnation, 0)
	}
	c.Check(w.seen, qt.Equals, engine.Fence{Epoch: 5})
}
