package trial_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

// taskLease is how long an agent took a task for running that its target did not know.
const taskLease = 15 * time.Second

func TestTaskLostInTargetRestartStartsAgain(t *testing.T) {
	// A target crashes under a member of a gang and is back at its address within a
	// moment, with no task. Its agent took the answer that there is no such task for one
	// more failure to reach it, and the gang waited until the task's lease was over: for
	// fifteen seconds the caller's job stood still beside idle accelerators.
	w := startTestCluster(t, func(o *trial.Options) { o.Document = outageDocument })
	id := w.submit(0, "big", "gang", 16, 5*time.Second)
	w.awaitJob(0, id, api.JobRunning)
	restarted := time.Now()
	w.workerOfMember("gang").Target.Restart()
	w.eventually(func() error {
		return errorUnless(len(w.jobAttempts("gang")) == 2, "the gang has not started again")
	})
	w.Check(time.Since(restarted) < taskLease/2, qt.IsTrue, qt.Commentf("%v", time.Since(restarted)))
	w.awaitJob(0, id, api.JobDone)
	w.checkRanOnce("gang")
}

// workerOfMember returns a worker on which a member of a job has started.
func (w *testCluster) workerOfMember(tag string) *trial.Worker {
	w.Helper()
	for i, a := range w.Audits() {
		for _, r := range a.Tasks {
			if r.Tag == tag {
				return w.Workers[i]
			}
		}
	}
	w.Fatalf("%s has not started", tag)
	return nil
}
