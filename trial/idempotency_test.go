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
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	first := tc.requestAsync(0, "booking", "book", "k1", 1500*time.Millisecond)
	tc.awaitWorkerOf("book")
	tc.Entries[0].Kill()

	firstResult := <-first
	tc.Check(firstResult.Outcome, qt.Equals, api.OutcomeUnknown)
	tc.checkDone(tc.request(1, "booking", "book", "k1", 1500*time.Millisecond), "book")
	runs, _ := tc.quickRuns("book")
	tc.Check(runs, qt.HasLen, 1)
}

func TestAgentRestartDoesNotReportNotRun(t *testing.T) {
	// An agent restarts while a keyed request runs at its target. Neither the request nor a retry
	// with the key may be reported as not run, or the caller would run it a second time.
	tc := startTestCluster(t, nil)
	first := tc.requestAsync(0, "booking", "book", "k1", 1500*time.Millisecond)
	worker := tc.awaitWorkerOf("book")
	worker.KillAgent()
	tc.Assert(worker.StartAgent(), qt.IsNil)

	tc.Check((<-first).Outcome, qt.Equals, api.OutcomeUnknown)
	for i := range tc.Entries {
		retry := tc.request(i, "booking", "book", "k1", 1500*time.Millisecond)
		tc.Check(retry.Outcome, qt.Equals, api.OutcomeUnknown)
	}
	runs, _ := tc.quickRuns("book")
	tc.Check(runs, qt.HasLen, 1)
}

func TestAgentFailureEndsRequestsBeforeDeadline(t *testing.T) {
	// An agent dies while requests without a key run. A non-repeatable one must end as unknown, and
	// a repeatable one must be retried at another target.
	tc := startTestCluster(t, nil)
	booking := tc.requestAsync(0, "booking", "book", "", time.Second)
	worker := tc.awaitWorkerOf("book")
	check := tc.requestAsync(0, "check", "check", "", time.Second)
	tc.awaitWorkerOf("check")
	worker.KillAgent()

	tc.Check((<-booking).Outcome, qt.Equals, api.OutcomeUnknown)
	tc.checkDone(<-check, "check")
}

func TestConcurrentRequestsWithSameKeyRunOnce(t *testing.T) {
	// The same keyed request is sent through both entries at once. It must run once, and both
	// callers must get that run's answer.
	tc := startTestCluster(t, nil)
	for i := range 10 {
		tag := fmt.Sprintf("book-%d", i)
		first := tc.requestAsync(0, "booking", tag, tag, 50*time.Millisecond)
		second := tc.requestAsync(1, "booking", tag, tag, 50*time.Millisecond)
		a, b := <-first, <-second
		tc.checkDone(a, tag)
		tc.checkDone(b, tag)
		tc.Check(string(a.Body), qt.Equals, string(b.Body))
		runs, _ := tc.quickRuns(tag)
		tc.Check(runs, qt.HasLen, 1)
	}
}
