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
	// A caller books cargo space. While the target works, the entry's instance
	// dies and the caller sees its connection break. It repeats the booking with
	// the same key through the other entry and gets the answer of the one run.
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
	// The agent beside the target is restarted while a booking runs there. It has
	// forgotten the booking, the target works on. The caller must not hear "not
	// run", neither then nor on a retry with the key, or it books a second time.
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
	// The agent dies for good while bookings without a key run there. Each caller
	// hears "unknown"; requests that may run twice go to another target instead.
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
	// An impatient caller sends the same booking through both entries at once.
	// One runs it, both answer with that run.
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
