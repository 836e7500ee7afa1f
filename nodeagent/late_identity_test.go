package nodeagent

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
)

// heldUpWorker answers the first question for its identity only when released.
type heldUpWorker struct {
	Worker
	asked, release chan struct{}
	names          chan string // one name for each question
}

func (w *heldUpWorker) Identify(context.Context) (string, error) {
	name := <-w.names
	if name == "w1" {
		close(w.asked)
		<-w.release
	}
	return name, nil
}

// A worker restarts while the handler of a heartbeat of its previous incarnation is held up between
// the worker's answer and the next step. The new incarnation, adopted meanwhile, must not be reported
// as ended: its runs would be restarted elsewhere, and its heartbeats ignored for ever.
func TestLateIdentityDoesNotEndNextIncarnation(t *testing.T) {
	c := qt.New(t)
	w := &heldUpWorker{asked: make(chan struct{}), release: make(chan struct{}), names: make(chan string, 2)}
	w.names <- "w1"
	w.names <- "w2"
	a := &Agent{
		cfg: Config{ID: "agent", Worker: w}, log: discardLogger(),
		changed: make(chan struct{}), reportPending: make(chan struct{}, 1), endedIDs: map[engine.WorkerID]bool{},
	}
	late := make(chan error)
	go func() {
		late <- a.HandleHeartbeat(context.Background(), Heartbeat{Info: engine.WorkerInfo{ID: "w1"}, Sequence: 9})
	}()
	<-w.asked
	c.Assert(a.HandleHeartbeat(context.Background(), Heartbeat{Info: engine.WorkerInfo{ID: "w2"}, Sequence: 1}), qt.IsNil)
	close(w.release)
	c.Check(<-late, qt.ErrorIs, errIncarnationEnded)
	reports := a.pendingReports()
	c.Assert(reports, qt.HasLen, 1)
	c.Check(reports[0].Worker.ID, qt.Equals, engine.WorkerID("w2"))
	c.Check(reports[0].Terminated, qt.IsFalse)
}
