package trial_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	store "github.com/eelgrasshub/eelgrasshub/store/standin"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

func TestPlannerFailureDuringStoreOutage(t *testing.T) {
	// The planner's entry dies during a store outage, so that nobody can take over. The gang must
	// stop at its isolation timeout and run again when the store is back; the job of one worker
	// must end in its first attempt, and the waiting job must run.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	planner := w.PlannerEntry()
	other := w.otherEntry(planner)
	gang := w.submit(other, "big", "gang", 16, 8*time.Second)
	one := w.submit(other, "big", "one", 8, 5*time.Second)
	w.awaitJob(other, gang, api.JobRunning)
	w.awaitJob(other, one, api.JobRunning)
	waiting := w.submit(other, "big", "waits", 32, 100*time.Millisecond)
	w.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	planner.Kill()

	w.eventually(func() error {
		bothEnded := allEnded(w.jobAttempts("gang"), 2) && allEnded(w.jobAttempts("one"), 1)
		return errorUnless(bothEnded, "the gang or the job of one worker still runs")
	})
	w.checkDone(w.request(other, "check", "check", "", time.Millisecond), "check")
	lateID, err := w.trySubmit(other, "late", 8)
	w.Check(err, qt.IsNotNil)
	w.Check(lateID, qt.Equals, "")
	w.Check(w.jobAttempts("waits"), qt.HasLen, 0)
	w.Check(w.jobAttempts("gang"), qt.HasLen, 1)
	w.Store.SetFaults(store.Faults{})

	w.Check(w.awaitJob(other, one, api.JobDone).Attempt, qt.Equals, 1)
	w.Check(w.awaitJob(other, gang, api.JobDone).Attempt > 1, qt.IsTrue)
	w.awaitJob(other, waiting, api.JobDone)
	w.awaitJob(other, w.submit(other, "big", "late", 8, 100*time.Millisecond), api.JobDone)
	for _, tag := range []string{"gang", "one", "waits", "late"} {
		w.checkRanOnce(tag)
	}
	w.checkNoViolations()
}

func TestEntryFailureDuringJobSubmission(t *testing.T) {
	// The store is slow and loses its replies, and the entry dies before it knows whether the jobs
	// were stored. Submissions with the same keys through the other entry must give one job each,
	// which runs once.
	w := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	const n = 6
	before := w.Store.Counters().Txn
	w.Store.SetFaults(store.Faults{DelayMillis: 200, LoseReplies: 3})
	ended := make(chan error, n)
	for i := range n {
		go func() {
			_, err := w.trySubmit(0, fmt.Sprint("job-", i), 8)
			ended <- err
		}()
	}
	w.eventually(func() error { return errorUnless(w.Store.Counters().Txn > before, "no write has begun") })
	w.Entries[0].Kill()
	for range n {
		w.Check(errors.Is(<-ended, api.ErrOutcomeUnknown), qt.IsTrue)
	}
	w.Store.SetFaults(store.Faults{})

	for i := range n {
		key := fmt.Sprint("job-", i)
		id := w.submit(1, "big", key, 8, 100*time.Millisecond)
		w.Check(w.submit(1, "big", key, 8, 100*time.Millisecond), qt.Equals, id)
		w.awaitJob(1, id, api.JobDone)
		w.checkRanOnce(key)
	}
	w.checkNoViolations()
}

func TestAllAgentsRestartWithSlowStore(t *testing.T) {
	// All agents of a zone restart at once while the store is slow. A request reported as not run
	// must not have run, no booking may run twice, the gang must run on, and the zone's full
	// capacity must become available again.
	w := startTestCluster(t, func(o *trial.Options) { o.Document = defaultGangDocument })
	gang := w.submit(0, "big", "gang", 16, 3*time.Second)
	w.awaitJob(0, gang, api.JobRunning)
	w.Store.SetFaults(store.Faults{DelayMillis: 600})
	bookings := make(map[string]<-chan callResult)
	for i := range 8 {
		tag := fmt.Sprint("book-", i)
		bookings[tag] = w.requestAsync(i%2, "booking", tag, "", time.Second)
	}
	w.awaitWorkerOf("book-0")
	for _, worker := range w.Workers {
		worker.KillAgent()
	}
	for _, worker := range w.Workers {
		w.Assert(worker.StartAgent(), qt.IsNil)
	}
	w.Assert(w.WaitForDocument(w.ctx, 1), qt.IsNil)
	for tag, answer := range bookings {
		a := <-answer
		runs, _ := w.quickRuns(tag)
		w.Check(len(runs) <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", tag, len(runs)))
		consistent := a.Outcome != api.OutcomeNotRun || len(runs) == 0
		w.Check(consistent, qt.IsTrue, qt.Commentf("%s: told not run, and ran", tag))
	}
	fullCluster := w.submit(1, "big", "whole", 32, 100*time.Millisecond)
	for i := range 8 {
		tag := fmt.Sprint("check-", i)
		w.checkDone(w.request(i%2, "check", tag, "", time.Millisecond), tag)
	}
	w.Check(w.awaitJob(0, gang, api.JobDone).Attempt, qt.Equals, 1)
	w.awaitJob(1, fullCluster, api.JobDone)
	w.checkRanOnce("gang")
	w.checkRanOnce("whole")
	w.checkNoViolations()
}

// trySubmit submits a short job and returns the error if it is refused.
func (w *testCluster) trySubmit(entry int, key string, accelerators int) (string, error) {
	payload, err := json.Marshal(standin.TaskPayload{Tag: key, RunMS: 100})
	if err != nil {
		return "", err
	}
	s, err := w.Entries[entry].Client().SubmitJob(w.ctx, w.Service, api.JobRequest{
		Account:      "big",
		Class:        "long",
		Accelerators: accelerators,
		Payload:      payload,
	}, key)
	return s.ID, err
}

// firstAttemptNumber is the number by which targets know the first attempt of the first planner.
const firstAttemptNumber = 1<<32 | 1

func TestAgentRestartDuringGangStart(t *testing.T) {
	// A start request is delayed on its way to the target until after its agent has restarted and
	// the planner has given up the attempt. It must not run, or it would hold accelerators that the
	// planner counts as free.
	w := startTestCluster(t, func(o *trial.Options) { o.Document = defaultGangDocument })
	for _, worker := range w.Workers {
		worker.Target.SetFaults(standin.Faults{HoldStarts: true})
	}
	gang := w.submit(0, "big", "gang", 16, 300*time.Millisecond)
	placed := w.awaitJob(0, gang, api.JobStarting).Placement
	w.Assert(placed, qt.HasLen, 2)
	restarting := w.workerByID(placed[0].Agent)
	w.eventually(func() error { return errorUnless(restarting.Target.HeldStarts() > 0, "no start has arrived") })
	oldIncarnation := restarting.Target.AgentIncarnation()
	restarting.KillAgent()
	w.Assert(restarting.StartAgent(), qt.IsNil)
	// A start that arrives before the agent has listed its target's tasks would be adopted.
	w.eventually(func() error {
		return errorUnless(restarting.Target.AgentIncarnation() > oldIncarnation, "the agent has not asked its target")
	})
	w.Assert(w.WaitForDocument(w.ctx, 1), qt.IsNil)
	for _, worker := range w.Workers {
		worker.Target.SetFaults(standin.Faults{})
	}

	w.Check(w.awaitJob(0, gang, api.JobDone).Attempt > 1, qt.IsTrue)
	w.eventually(func() error { return errorUnless(restarting.Target.HeldStarts() == 0, "a start is still held") })
	for _, run := range restarting.Target.Audit().Tasks {
		w.Check(run.Attempt, qt.Not(qt.Equals), firstAttemptNumber)
	}
	w.checkRanOnce("gang")
	w.checkNoViolations()
}
