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
	// The store goes out while a job waits behind another one. The first ends, and
	// the one that waited runs to its end on its permit. Every lease has lapsed by
	// then, so whoever plans after the outage has a new epoch and no record of where
	// the job ran. Its caller hears that it is done, and it ran once.
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
	// The store is out, a job starts on its permit, and the planner's entry is killed
	// for good. The other entry takes over when the store is back, within isolation.
	// It finds the job with the agents and lets it run on: it is not started again.
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

// awaitPermit leaves the job "running" running and "waits" behind it with a
// permit, which shows as an attempt of a job that is still queued. It returns
// their ids.
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
