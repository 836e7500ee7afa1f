package trial_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/api"
	store "github.com/eelgrasshub/eelgrasshub/store/standin"
	"github.com/eelgrasshub/eelgrasshub/trial"
)

func TestPermittedJobStartsDuringStoreOutage(t *testing.T) {
	// A waiting job must start on its permit during a store outage. All leases expire meanwhile, so
	// the next planner has a new epoch and no record of the run; the job must still run only once.
	tc := startTestCluster(t, nil)
	running, waiting := tc.awaitPermit()
	tc.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	tc.eventually(func() error {
		return errorUnless(allEnded(tc.jobAttempts("waits"), 3), "the waiting job has not run to its end")
	})
	tc.Store.SetFaults(store.Faults{})

	tc.awaitJob(0, waiting, api.JobDone)
	tc.awaitJob(1, running, api.JobDone)
	tc.checkRanOnce("running")
	tc.checkRanOnce("waits")
	tc.checkNoViolations()
}

func TestPlannerFailoverAfterStartOnPermit(t *testing.T) {
	// The planner dies after it started a job on a permit. The other entry must find the running
	// job through the agents' reports and not start it again.
	tc := startTestCluster(t, func(o *trial.Options) { o.Document = defaultGangDocument })
	_, waiting := tc.awaitPermit()
	planner := tc.PlannerEntry()
	other := tc.otherEntry(planner)
	tc.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	tc.eventually(func() error {
		return errorUnless(len(tc.jobAttempts("waits")) > 0, "the waiting job has not started")
	})
	planner.Kill()
	tc.Store.SetFaults(store.Faults{})

	tc.awaitJob(other, waiting, api.JobDone)
	tc.Check(tc.jobAttempts("waits"), qt.HasLen, 1)
	tc.checkRanOnce("waits")
	tc.checkNoViolations()
}

// awaitPermit starts a job and waits until a second one, queued behind it, has a permit: an
// attempt number while its state is queued. It returns the IDs of both.
func (tc *testCluster) awaitPermit() (running, waiting string) {
	tc.Helper()
	running = tc.submit(0, "big", "running", 24, 6*time.Second)
	tc.awaitJob(0, running, api.JobRunning)
	waiting = tc.submit(1, "big", "waits", 24, 6*time.Second)
	tc.eventually(func() error {
		return errorUnless(tc.awaitJob(0, waiting, api.JobQueued).Attempt > 0, "the waiting job has no permit")
	})
	return running, waiting
}
