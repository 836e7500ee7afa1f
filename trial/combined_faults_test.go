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
	// The planner's entry dies during a store outage, so that no other entry can take over. The gang
	// must stop and run again after the outage, and other jobs must run once.
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	planner := tc.PlannerEntry()
	other := tc.otherEntry(planner)
	gang := tc.submit(other, "big", "gang", 16, 8*time.Second)
	one := tc.submit(other, "big", "one", 8, 5*time.Second)
	tc.awaitJob(other, gang, api.JobRunning)
	tc.awaitJob(other, one, api.JobRunning)
	waiting := tc.submit(other, "big", "waits", 32, 100*time.Millisecond)
	tc.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	planner.Kill()

	tc.eventually(func() error {
		bothEnded := allEnded(tc.jobAttempts("gang"), 2) && allEnded(tc.jobAttempts("one"), 1)
		return errorUnless(bothEnded, "the gang or the job of one worker still runs")
	})
	tc.checkDone(tc.request(other, "check", "check", "", time.Millisecond), "check")
	lateID, err := tc.trySubmit(other, "late", 8)
	tc.Check(err, qt.IsNotNil)
	tc.Check(lateID, qt.Equals, "")
	tc.Check(tc.jobAttempts("waits"), qt.HasLen, 0)
	tc.Check(tc.jobAttempts("gang"), qt.HasLen, 1)
	tc.Store.SetFaults(store.Faults{})

	tc.Check(tc.awaitJob(other, one, api.JobDone).Attempt, qt.Equals, 1)
	tc.Check(tc.awaitJob(other, gang, api.JobDone).Attempt > 1, qt.IsTrue)
	tc.awaitJob(other, waiting, api.JobDone)
	tc.awaitJob(other, tc.submit(other, "big", "late", 8, 100*time.Millisecond), api.JobDone)
	for _, tag := range []string{"gang", "one", "waits", "late"} {
		tc.checkRanOnce(tag)
	}
	tc.checkNoViolations()
}

func TestEntryFailureDuringJobSubmission(t *testing.T) {
	// The entry dies before it knows whether the jobs were stored. Submissions with the same keys
	// through the other entry must give one job each, which runs once.
	tc := startTestCluster(t, func(o *trial.Options) { o.UDPRelays = true })
	const n = 6
	before := tc.Store.Counters().Txn
	tc.Store.SetFaults(store.Faults{DelayMillis: 200, LoseReplies: 3})
	ended := make(chan error, n)
	for i := range n {
		go func() {
			_, err := tc.trySubmit(0, fmt.Sprint("job-", i), 8)
			ended <- err
		}()
	}
	tc.eventually(func() error { return errorUnless(tc.Store.Counters().Txn > before, "no store write has started") })
	tc.Entries[0].Kill()
	for range n {
		tc.Check(errors.Is(<-ended, api.ErrOutcomeUnknown), qt.IsTrue)
	}
	tc.Store.SetFaults(store.Faults{})

	for i := range n {
		key := fmt.Sprint("job-", i)
		id := tc.submit(1, "big", key, 8, 100*time.Millisecond)
		tc.Check(tc.submit(1, "big", key, 8, 100*time.Millisecond), qt.Equals, id)
		tc.awaitJob(1, id, api.JobDone)
		tc.checkRanOnce(key)
	}
	tc.checkNoViolations()
}

func TestAllAgentsRestartWithSlowStore(t *testing.T) {
	// All agents of a zone restart at once while the store is slow. No booking may run twice or be
	// misreported, the gang must run on, and the full capacity must become available again.
	tc := startTestCluster(t, func(o *trial.Options) { o.Document = defaultGangDocument })
	gang := tc.submit(0, "big", "gang", 16, 3*time.Second)
	tc.awaitJob(0, gang, api.JobRunning)
	tc.Store.SetFaults(store.Faults{DelayMillis: 600})
	bookings := make(map[string]<-chan callResult)
	for i := range 8 {
		tag := fmt.Sprint("book-", i)
		bookings[tag] = tc.requestAsync(i%2, "booking", tag, "", time.Second)
	}
	tc.awaitWorkerOf("book-0")
	for _, worker := range tc.Workers {
		worker.KillAgent()
	}
	for _, worker := range tc.Workers {
		tc.Assert(worker.StartAgent(), qt.IsNil)
	}
	tc.Assert(tc.WaitForDocument(tc.ctx, 1), qt.IsNil)
	for tag, answer := range bookings {
		a := <-answer
		runs, _ := tc.quickRuns(tag)
		tc.Check(len(runs) <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", tag, len(runs)))
		consistent := a.Outcome != api.OutcomeNotRun || len(runs) == 0
		tc.Check(consistent, qt.IsTrue, qt.Commentf("%s: reported as not run, but ran", tag))
	}
	fullCluster := tc.submit(1, "big", "whole", 32, 100*time.Millisecond)
	for i := range 8 {
		tag := fmt.Sprint("check-", i)
		tc.checkDone(tc.request(i%2, "check", tag, "", time.Millisecond), tag)
	}
	tc.Check(tc.awaitJob(0, gang, api.JobDone).Attempt, qt.Equals, 1)
	tc.awaitJob(1, fullCluster, api.JobDone)
	tc.checkRanOnce("gang")
	tc.checkRanOnce("whole")
	tc.checkNoViolations()
}

// trySubmit submits a short job and returns the error if it is refused.
func (tc *testCluster) trySubmit(entry int, key string, accelerators int) (string, error) {
	payload, err := json.Marshal(standin.TaskPayload{Tag: key, RunMS: 100})
	if err != nil {
		return "", err
	}
	s, err := tc.Entries[entry].Client().SubmitJob(tc.ctx, tc.Service, api.JobRequest{
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
	// A start request that reaches the target after its agent has restarted and the planner has
	// aborted the attempt must not run, or it would hold accelerators that count as free.
	tc := startTestCluster(t, func(o *trial.Options) { o.Document = defaultGangDocument })
	for _, worker := range tc.Workers {
		worker.Target.SetFaults(standin.Faults{HoldStarts: true})
	}
	gang := tc.submit(0, "big", "gang", 16, 300*time.Millisecond)
	placed := tc.awaitJob(0, gang, api.JobStarting).Placement
	tc.Assert(placed, qt.HasLen, 2)
	restarting := tc.workerByID(placed[0].Agent)
	tc.eventually(func() error {
		return errorUnless(restarting.Target.HeldStarts() > 0, "no start request has arrived at the target")
	})
	oldIncarnation := restarting.Target.AgentIncarnation()
	restarting.KillAgent()
	tc.Assert(restarting.StartAgent(), qt.IsNil)
	// A start that arrives before the agent has listed its target's tasks would be recovered.
	tc.eventually(func() error {
		return errorUnless(restarting.Target.AgentIncarnation() > oldIncarnation, "the agent has not listed its target's tasks")
	})
	tc.Assert(tc.WaitForDocument(tc.ctx, 1), qt.IsNil)
	for _, worker := range tc.Workers {
		worker.Target.SetFaults(standin.Faults{})
	}

	tc.Check(tc.awaitJob(0, gang, api.JobDone).Attempt > 1, qt.IsTrue)
	tc.eventually(func() error {
		return errorUnless(restarting.Target.HeldStarts() == 0, "the target still holds a start request back")
	})
	for _, run := range restarting.Target.Audit().Tasks {
		tc.Check(run.Attempt, qt.Not(qt.Equals), firstAttemptNumber)
	}
	tc.checkRanOnce("gang")
	tc.checkNoViolations()
}
