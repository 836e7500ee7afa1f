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
	w := startTestCluster(t, nil)
	running, waiting := w.awaitPermit()
	w.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	w.eventually(func() error {
		return errorUnless(allEnded(w.jobAttempts("waits"), 3), "the job that waited has not run")
	})
	w.Store.SetFaults(store.Faults{})

	w.awaitJob(0, waiting, api.JobDone)
	w.awaitJob(1, running, api.JobDone)
	w.checkRanOnce("running")
	w.checkRanOnce("waits")
	w.checkNoViolations()
}

func TestPlannerFailoverAfterStartOnPermit(t *testing.T) {
	// The planner dies after it started a job on a permit. The other entry must find the running
	// job through the agents' reports and not start it again.
	w := startTestCluster(t, func(o *trial.Options) { o.Document = defaultGangDocument })
	_, waiting := w.awaitPermit()
	planner := w.PlannerEntry()
	other := w.otherEntry(planner)
	w.Store.SetFaults(store.Faults{Down: store.DownRefuse})
	w.eventually(func() error {
		return errorUnless(len(w.jobAttempts("waits")) > 0, "the job that waited does not run")
	})
	planner.Kill()
	w.Store.SetFaults(store.Faults{})

	w.awaitJob(other, waiting, api.JobDone)
	w.Check(w.jobAttempts("waits"), qt.HasLen, 1)
	w.checkRanOnce("waits")
	w.checkNoViolations()
}

// awaitPermit starts a job and waits until a second one, queued behind it, has a permit: an
// attempt number while its state is queued. It returns the IDs of both.
func (w *testCluster) awaitPermit() (running, waiting string) {
	w.Helper()
	running = w.submit(0, "big", "running", 24, 6*time.Second)
	w.awaitJob(0, running, api.JobRunning)
	waiting = w.submit(1, "big", "waits", 24, 6*time.Second)
	w.eventually(func() error {
		return errorUnless(w.awaitJob(0, waiting, api.JobQueued).Attempt > 0, "no permit")
	})
	return running, waiting
}
