package trial_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/target/standin"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

// taskLease is the lease of a task: the longest time for which an agent could consider a task
// running that its target has lost.
const taskLease = 15 * time.Second

func TestTaskLostInTargetRestartStartsAgain(t *testing.T) {
	// A restarted target answers that it does not know a gang member's task. The agent must report
	// the task as ended at once, not only when its lease expires.
	tc := startTestCluster(t, func(o *trial.Options) { o.Document = outageDocument })
	id := tc.submit(0, "big", "gang", 16, 5*time.Second)
	tc.awaitJob(0, id, api.JobRunning)
	restarted := time.Now()
	tc.workerOfMember("gang").Target.Restart()
	tc.eventually(func() error {
		return errorUnless(len(tc.jobAttempts("gang")) == 2, "the gang has not started again")
	})
	tc.Check(time.Since(restarted) < taskLease/2, qt.IsTrue, qt.Commentf("%v", time.Since(restarted)))
	tc.awaitJob(0, id, api.JobDone)
	tc.checkRanOnce("gang")
}

// workerOfMember returns a worker on which a member of the job has started.
func (tc *testCluster) workerOfMember(tag string) *trial.Worker {
	tc.Helper()
	for i, a := range tc.Audits() {
		for _, r := range a.Tasks {
			if r.Tag == tag {
				return tc.Workers[i]
			}
		}
	}
	tc.Fatalf("%s has not started", tag)
	return nil
}

func TestJobIsStartingUntilTargetsConfirm(t *testing.T) {
	// A caller must not be told that a job runs while its targets have not confirmed the starts.
	tc := startTestCluster(t, func(o *trial.Options) { o.Document = defaultGangDocument })
	for _, worker := range tc.Workers {
		worker.Target.SetFaults(standin.Faults{HoldStarts: true})
	}
	id := tc.submit(0, "big", "gang", 16, 2*time.Second)
	tc.eventually(func() error {
		held := 0
		for _, worker := range tc.Workers {
			held += worker.Target.HeldStarts()
		}
		return errorUnless(held == 2, "the starts have not arrived at the targets")
	})
	time.Sleep(500 * time.Millisecond) // longer than a report period
	s, err := tc.Entries[0].Client().GetJob(tc.ctx, tc.Service, id, 0)
	tc.Assert(err, qt.IsNil)
	tc.Check(s.State, qt.Equals, api.JobStarting)
	for _, worker := range tc.Workers {
		worker.Target.SetFaults(standin.Faults{})
	}
	tc.awaitJob(0, id, api.JobRunning)
	tc.awaitJob(0, id, api.JobDone)
}
