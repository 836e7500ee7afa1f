package nodeagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

var run1 = workload.RunID{Task: workload.TaskID{Job: "j"}, Number: 1}

// Two looks are on their way at once, and the answer to the earlier one comes last. It
// was given before a run began, so taking it would show a planner that just took over a
// worker without that run, and the task would start elsewhere while it runs here.
func TestOutOfOrderPollAnswerIsIgnored(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second, Running: []engine.RunStatus{{Run: run1}}}, 1000, 1010, 0)
	inc.applyStatus(WorkerStatus{Clock: 1900 * time.Millisecond}, 900, 1020, 0)
	c.Check(inc.report(1030, 0).Running, qt.HasLen, 1)
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second}, 990, 1040, 0)
	c.Check(inc.report(1050, 0).Running, qt.HasLen, 1)
}

// The same look was told to the planner with every report until the next one. A run that
// began meanwhile was missing three times in a row, and was stopped.
func TestPollReportedOnce(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.applyStatus(WorkerStatus{Clock: time.Second}, 1000, 1010, 0)
	first := inc.report(1020, 0)
	c.Check(first.Polled, qt.IsTrue)
	c.Check(inc.report(1020, 0).Polled, qt.IsTrue, qt.Commentf("the first report was lost"))
	inc.clearReported(first)
	c.Check(inc.report(1030, 0).Polled, qt.IsFalse)
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second}, 1040, 1050, 0)
	c.Check(inc.report(1060, 0).Polled, qt.IsTrue)
}

// A task ends as done while its agent is cut off from the planner, and then the worker's
// lease lapses. By the platform's rules that end counts as not having been: the planner
// may have started the task elsewhere.
func TestEndBeforeLeaseExpiryIsVoid(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.extendLease(6 * time.Second)
	done := WorkerStatus{Clock: 5 * time.Second, Ended: []engine.RunEnd{{Sequence: 1, Run: run1, Reason: engine.EndDone}}}
	inc.applyStatus(done, 5*time.Second, 5*time.Second, 6*time.Second)
	c.Check(inc.report(0, 0).Ended[0].Void, qt.IsFalse)
	done.Clock = 7 * time.Second
	inc.applyStatus(done, 7*time.Second, 7*time.Second, 6*time.Second)
	c.Check(inc.report(0, 0).Ended[0].Void, qt.IsTrue)
	inc.extendLease(13 * time.Second)
	done.Clock = 8 * time.Second
	inc.applyStatus(done, 8*time.Second, 8*time.Second, 13*time.Second)
	c.Check(inc.report(0, 0).Ended[0].Void, qt.IsTrue, qt.Commentf("it stays so"))
}

// A run whose stop was confirmed is absent only by a look that was asked for later.
func TestStoppedRunAbsentOnlyByLaterPoll(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.confirmedStops[run1] = 2 * time.Second
	inc.applyStatus(WorkerStatus{Clock: time.Second}, time.Second, 3*time.Second, 0)
	c.Check(inc.report(0, 0).ConfirmedAbsent, qt.HasLen, 0)
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second, Running: []engine.RunStatus{{Run: run1}}}, 3*time.Second, 4*time.Second, 0)
	c.Check(inc.report(0, 0).ConfirmedAbsent, qt.HasLen, 0, qt.Commentf("it is being stopped"))
	inc.confirmedStops[run1] = 4 * time.Second
	inc.applyStatus(WorkerStatus{Clock: 3 * time.Second}, 5*time.Second, 6*time.Second, 0)
	c.Check(inc.report(0, 0).ConfirmedAbsent, qt.DeepEquals, []workload.RunID{run1})
}

// Cut off for longer than the lease, the agent finds the planner again. A look that waits
// was sent after the lapse; then a task starts, ends as done, and that look shows it. It
// was taken for an end from before the lapse, the task was started again, and the first
// end was taken note of all the same: it ran twice.
func TestEndAfterLeaseExpiryCounts(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.extendLease(6 * time.Second)
	c.Check(inc.leaseMayHaveExpired(5*time.Second), qt.IsFalse)
	c.Check(inc.leaseMayHaveExpired(6*time.Second), qt.IsTrue, qt.Commentf("nothing may start before a look"))
	old := engine.RunEnd{Sequence: 1, Run: run1, Reason: engine.EndDone}
	inc.applyStatus(WorkerStatus{Clock: 7 * time.Second, Ended: []engine.RunEnd{old}}, 7*time.Second, 7*time.Second, 6*time.Second)
	c.Check(inc.leaseMayHaveExpired(7*time.Second), qt.IsFalse)
	pollSentAt := 7100 * time.Millisecond // asked with the lapsed lease in mind
	inc.extendLease(13 * time.Second)
	next := engine.RunEnd{Sequence: 2, Run: workload.RunID{Task: run1.Task, Number: 2}, Reason: engine.EndDone}
	inc.applyStatus(WorkerStatus{Clock: 8 * time.Second, Ended: []engine.RunEnd{old, next}}, pollSentAt, 8*time.Second, 6*time.Second)
	ended := inc.report(0, 0).Ended
	c.Check(ended[0].Void, qt.IsTrue)
	c.Check(ended[1].Void, qt.IsFalse)
}

// An agent is away for longer than its worker's lease and starts again without a memory.
// One task had ended as done before, another lapsed with the lease, and a third has run
// and failed since. The first end must not count; the third does.
func TestRestartedAgentDetectsExpiryFromEnds(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.applyStatus(WorkerStatus{Clock: 20 * time.Second, Ended: []engine.RunEnd{
		{Sequence: 4, Run: run1, Reason: engine.EndDone},
		{Sequence: 5, Run: run1, Reason: engine.EndLeaseExpired},
		{Sequence: 6, Run: run1, Reason: engine.EndFailed},
	}}, time.Second, time.Second, 0)
	ended := inc.report(0, 0).Ended
	c.Check(ended[0].Void, qt.IsTrue)
	c.Check(ended[2].Void, qt.IsFalse)
}
