package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Guards against repeating a refused start without backoff.
func TestRefusedStartsBackOff(t *testing.T) {
	for _, refusal := range []StartOutcome{StartInvalid, StartNoCapacity} {
		t.Run(refusal.String(), func(t *testing.T) {
			c := qt.New(t)
			d := newCrashScenario(c, 1)
			d.startOutcome = func(StartOrder) StartOutcome { return refusal }
			id := d.submit(0, "other", taskStep(1, 1))
			const span = 10 * time.Second
			for end := d.now + span; d.now < end; d.now += 20 * time.Millisecond {
				d.reportRunningWorker(d.e.workers["w0"])
				d.tick()
			}
			c.Check(len(d.starts) <= 20, qt.IsTrue, qt.Commentf("%d starts", len(d.starts)))
			d.startOutcome = nil
			d.advanceWorkers(8 * time.Second)
			c.Check(d.jobState(id), qt.Equals, workload.Completed, qt.Commentf("it must be retried when starts are accepted again"))
		})
	}
}
