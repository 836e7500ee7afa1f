package nodeagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateFailureWorker fails a poll that waits when it is released, and answers others at once.
type lateFailureWorker struct {
	Worker
	sent, release chan struct{}
}

func (w *lateFailureWorker) Poll(_ context.Context, _ OrderHeader, _ int64, wait time.Duration) (WorkerStatus, error) {
	if wait > 0 {
		close(w.sent)
		<-w.release
		return WorkerStatus{}, context.DeadlineExceeded
	}
	return WorkerStatus{Clock: 2 * time.Minute}, nil
}

// Guards against taking a worker for unresponsive when a poll fails after one that was sent later has
// been answered.
func TestLateFailureOfEarlierPollIsIgnored(t *testing.T) {
	c := qt.New(t)
	w := &lateFailureWorker{sent: make(chan struct{}), release: make(chan struct{})}
	a := newTestAgent(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.poll(a.incarnation, time.Second)
	}()
	<-w.sent
	a.poll(a.incarnation, 0)
	c.Assert(a.incarnation.unresponsive, qt.IsFalse)
	close(w.release)
	<-done
	c.Check(a.incarnation.unresponsive, qt.IsFalse)
}
