package nodeagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/engine"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

var run1 = workload.RunID{Task: workload.TaskID{Job: "j"}, Number: 1}

// An answer that is overtaken by a later poll may miss a run that started meanwhile; a new
// planner would start its task elsewhere.
func TestOutOfOrderPollAnswerIsIgnored(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second, Running: []engine.RunStatus{{Run: run1}}}, 1000, 1010, 0)
	inc.applyStatus(WorkerStatus{Clock: 1900 * time.Millisecond}, 900, 1020, 0)
	c.Check(inc.report(1030, 0).Running, qt.HasLen, 1)
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second}, 990, 1040, 0)
	c.Check(inc.report(1050, 0).Running, qt.HasLen, 1)
}

// The answer to the first poll under a new planner's fence is outdated, since a later answer overtook
// it. A report must not claim the fence with the older listing: the new planner would take all
// restored runs that are not listed for lost, and start their tasks elsewhere.
func TestOutdatedAnswerDoesNotConfirmFence(t *testing.T) {
	c := qt.New(t)
	w := &slowWorker{release: make(chan struct{}), status: WorkerStatus{Clock: time.Second}}
	close(w.release)
	a := newPollingAgent(w)
	inc := a.incarnation
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second}, now(), now(), 0)
	inc.clearReported(a.pendingReports()[0])
	a.raiseEpoch(2)
	c.Check(a.poll(inc, 0), qt.Equals, minPollInterval, qt.Commentf("repeated, but not at network speed"))
	c.Check(a.counters.LooksPassedOver.Load(), qt.Equals, int64(1))
	c.Check(a.pendingReports()[0].Epoch, qt.Equals, uint64(0))
	w.status.Clock = 3 * time.Second
	a.poll(inc, 0)
	report := a.pendingReports()[0]
	c.Check(report.Epoch, qt.Equals, uint64(2))
	c.Check(report.Polled, qt.IsTrue)
}

// A poll that is reported again must not count as evidence that a run that started meanwhile is
// missing.
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

// An end before the expiry of the lease is void, since the planner may have restarted the task
// elsewhere.
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
	c.Check(inc.report(0, 0).Ended[0].Void, qt.IsTrue, qt.Commentf("the end remains void"))
}

// A run is absent only if it is not listed by a poll that was sent after its stop was
// confirmed.
func TestStoppedRunAbsentOnlyByLaterPoll(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.confirmedStops[run1] = 2 * time.Second
	inc.applyStatus(WorkerStatus{Clock: time.Second}, time.Second, 3*time.Second, 0)
	c.Check(inc.report(0, 0).ConfirmedAbsent, qt.HasLen, 0)
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second, Running: []engine.RunStatus{{Run: run1}}}, 3*time.Second, 4*time.Second, 0)
	c.Check(inc.report(0, 0).ConfirmedAbsent, qt.HasLen, 0, qt.Commentf("the stop is still in progress"))
	inc.confirmedStops[run1] = 4 * time.Second
	inc.applyStatus(WorkerStatus{Clock: 3 * time.Second}, 5*time.Second, 6*time.Second, 0)
	c.Check(inc.report(0, 0).ConfirmedAbsent, qt.DeepEquals, []workload.RunID{run1})
}

// A worker lists a limited number of ends. A stopped run whose end is beyond them must not be taken for
// absent: it may be done, and its task would be started again.
func TestStoppedRunIsNotAbsentWhileEndsAreCutOff(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.confirmedStops[run1] = time.Second
	others := []engine.RunEnd{{Sequence: 1, Run: workload.RunID{Task: run1.Task, Number: 9}, Reason: engine.EndDone}}
	inc.applyStatus(WorkerStatus{Clock: 2 * time.Second, Ended: others, EndsOmitted: true}, 2*time.Second, 2*time.Second, 0)
	c.Check(inc.report(0, 0).ConfirmedAbsent, qt.HasLen, 0)
	done := []engine.RunEnd{{Sequence: 2, Run: run1, Reason: engine.EndDone}}
	inc.applyStatus(WorkerStatus{Clock: 3 * time.Second, Ended: done}, 3*time.Second, 3*time.Second, 0)
	c.Check(inc.report(0, 0).ConfirmedAbsent, qt.HasLen, 0)
}

// A poll that was sent after an expiry may return an end of a run that started after the lease
// was extended. Voiding that end would run the task twice.
func TestEndAfterLeaseExpiryCounts(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.extendLease(6 * time.Second)
	c.Check(inc.leaseMayHaveExpired(5*time.Second), qt.IsFalse)
	c.Check(inc.leaseMayHaveExpired(6*time.Second), qt.IsTrue, qt.Commentf("nothing may start before a poll"))
	old := engine.RunEnd{Sequence: 1, Run: run1, Reason: engine.EndDone}
	inc.applyStatus(WorkerStatus{Clock: 7 * time.Second, Ended: []engine.RunEnd{old}}, 7*time.Second, 7*time.Second, 6*time.Second)
	c.Check(inc.leaseMayHaveExpired(7*time.Second), qt.IsFalse)
	pollSentAt := 7100 * time.Millisecond // after the expiry, before the lease is extended
	inc.extendLease(13 * time.Second)
	next := engine.RunEnd{Sequence: 2, Run: workload.RunID{Task: run1.Task, Number: 2}, Reason: engine.EndDone}
	inc.applyStatus(WorkerStatus{Clock: 8 * time.Second, Ended: []engine.RunEnd{old, next}}, pollSentAt, 8*time.Second, 6*time.Second)
	ended := inc.report(0, 0).Ended
	c.Check(ended[0].Void, qt.IsTrue)
	c.Check(ended[1].Void, qt.IsFalse)
}

// An agent that was restarted does not know that the lease expired. It must void ends listed
// before a run that ended by the expiry, and count those after it.
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

// Guards against ends from before an expiry of the lease that count because the first list after it omits
// them: the planner may have started their tasks elsewhere.
func TestOmittedEndsBeforeLeaseExpiryAreVoid(t *testing.T) {
	c := qt.New(t)
	inc := newIncarnation(engine.WorkerInfo{ID: "w"})
	inc.extendLease(6 * time.Second)
	other := engine.RunEnd{Sequence: 1, Run: workload.RunID{Task: run1.Task, Number: 9}, Reason: engine.EndDone}
	inc.applyStatus(WorkerStatus{Clock: 7 * time.Second, Ended: []engine.RunEnd{other}, EndsOmitted: true}, 7*time.Second, 7*time.Second, 6*time.Second)
	c.Check(inc.report(0, 0).Ended[0].Void, qt.IsTrue)
	c.Check(inc.leaseMayHaveExpired(7*time.Second), qt.IsTrue, qt.Commentf("nothing may start before all ends are listed"))
	done := engine.RunEnd{Sequence: 2, Run: run1, Reason: engine.EndDone}
	inc.applyStatus(WorkerStatus{Clock: 8 * time.Second, Ended: []engine.RunEnd{done}}, 8*time.Second, 8*time.Second, 6*time.Second)
	c.Check(inc.report(0, 0).Ended[0].Void, qt.IsTrue)
	c.Check(inc.leaseMayHaveExpired(8*time.Second), qt.IsFalse)
}
