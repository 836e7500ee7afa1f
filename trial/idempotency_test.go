package trial_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

func TestKeyedRequestIsRetriedAfterEntryFailure(t *testing.T) {
	// An entry dies while a keyed request runs. A retry with the same key through the other entry
	// must return the answer of the one run.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	first := w.requestAsync(0, "booking", "book", "k1", 1500*time.Millisecond)
	w.awaitWorkerOf("book")
	w.Entries[0].Kill()

	firstResult := <-first
	w.Check(firstResult.Outcome, qt.Equals, api.OutcomeUnknown)
	w.checkDone(w.request(1, "booking", "book", "k1", 1500*time.Millisecond), "book")
	runs, _ := w.quickRuns("book")
	w.Check(runs, qt.HasLen, 1)
}

func TestAgentRestartDoesNotReportNotRun(t *testing.T) {
	// An agent restarts while a keyed request runs at its target. Neither the request nor a retry
	// with the key may be reported as not run, or the caller would run it a second time.
	w := startTestCluster(t, nil)
	first := w.requestAsync(0, "booking", "book", "k1", 1500*time.Millisecond)
	worker := w.awaitWorkerOf("book")
	worker.KillAgent()
	w.Assert(worker.StartAgent(), qt.IsNil)

	w.Check((<-first).Outcome, qt.Equals, api.OutcomeUnknown)
	for i := range w.Entries {
		retry := w.request(i, "booking", "book", "k1", 1500*time.Millisecond)
		w.Check(retry.Outcome, qt.Equals, api.OutcomeUnknown)
	}
	runs, _ := w.quickRuns("book")
	w.Check(runs, qt.HasLen, 1)
}

func TestAgentFailureEndsRequestsBeforeDeadline(t *testing.T) {
	// An agent dies while requests without a key run. A non-repeatable one must end as unknown, and
	// a repeatable one must be retried at another target.
	w := startTestCluster(t, nil)
	booking := w.requestAsync(0, "booking", "book", "", time.Second)
	worker := w.awaitWorkerOf("book")
	check := w.requestAsync(0, "check", "check", "", time.Second)
	w.awaitWorkerOf("check")
	worker.KillAgent()

	w.Check((<-booking).Outcome, qt.Equals, api.OutcomeUnknown)
	w.checkDone(<-check, "check")
}

func TestConcurrentRequestsWithSameKeyRunOnce(t *testing.T) {
	// The same keyed request is sent through both entries at once. It must run once, and both
	// callers must get that run's answer.
	w := startTestCluster(t, nil)
	for i := range 10 {
		tag := fmt.Sprintf("book-%d", i)
		first := w.requestAsync(0, "booking", tag, tag, 50*time.Millisecond)
		second := w.requestAsync(1, "booking", tag, tag, 50*time.Millisecond)
		a, b := <-first, <-second
		w.checkDone(a, tag)
		w.checkDone(b, tag)
		w.Check(string(a.Body), qt.Equals, string(b.Body))
		runs, _ := w.quickRuns(tag)
		w.Check(runs, qt.HasLen, 1)
	}
}
