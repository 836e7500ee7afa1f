package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// takeOver replaces the planner. The worker does not report to the new one.
func (d *lostWorkerScenario) takeOver() {
	d.driver.takeOver()
	d.worker = d.e.workers[d.worker.info.ID]
}

// reportRun reports the run from its worker without delay.
func (d *lostWorkerScenario) reportRun() {
	r := d.number(Report{Epoch: d.e.epoch, Polled: true, Worker: d.worker.info, Running: []RunStatus{{Run: d.run, Percent: 1}}})
	r.Origin.BuiltAt = d.now
	d.report(r)
}

// Guards against a task that runs twice because a successor takes a start that its predecessor got no
// answer to for lost with the worker's lease, while it may still take effect on the next incarnation.
func TestUnansweredStartOutlastsItsPlanner(t *testing.T) {
	for _, tc := range []struct {
		name      string
		keepsName bool
		outcome   StartOutcome
		kept      bool
	}{
		{"unanswered, the worker keeps its name", true, StartUnknown, true},
		{"unanswered, the next incarnation has another name", false, StartUnknown, false},
		{"answered, the worker keeps its name", true, StartOK, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newLostWorkerScenario(t, tc.keepsName, tc.outcome)
			d.pass(d.now + time.Second)
			d.takeOver()
			takenOverAt := d.now
			if tc.kept {
				latest := d.orderedAt + maxCallDelay + d.e.params.MaxLease // end of a run whose call arrives last
				d.pass(latest + time.Second)
				d.c.Check(d.starts, qt.HasLen, 1)
				// The predecessor may have ordered the start shortly before its end.
				d.pass(takenOverAt + 2*d.e.params.MaxLease + maxCallDelay + 2*time.Second)
			} else {
				d.pass(takenOverAt + d.e.params.MaxLease + time.Second)
			}
			d.c.Assert(d.starts, qt.HasLen, 2)
			d.c.Check(d.starts[1].Run.Number, qt.Equals, 2)
			d.c.Check(d.startedOn[d.starts[1].Run], qt.Not(qt.Equals), d.worker.info.ID)
		})
	}
}

// Guards against a long wait after a takeover for work on a lost worker whose start was answered long
// before: the answer must reach the store without another change of the job.
func TestSettledStartIsStored(t *testing.T) {
	for _, keepsName := range []bool{true, false} {
		d := newLostWorkerScenario(t, keepsName, StartOK)
		j := d.e.jobs[d.job]
		d.c.Check(j.progress(1, d.now, time.Unix(0, 0)).Units[0].Placements[0].StartSettled, qt.Equals, keepsName)
		version := j.storedVersion
		d.pass(d.now + settledStartsWriteInterval + time.Second)
		d.c.Check(j.storedVersion > version, qt.Equals, keepsName)
		version = j.storedVersion
		d.pass(d.now + 2*settledStartsWriteInterval)
		d.c.Check(j.storedVersion, qt.Equals, version, qt.Commentf("it is stored once"))
	}
}

// Guards against a wait for late calls long after a start whose answer was lost, at a worker that has
// listed the run ever since.
func TestStartIsSettledOnceCallsAreOver(t *testing.T) {
	d := newLostWorkerScenario(t, true, StartOK)
	p := d.worker.placements[d.run.Task]
	p.lastCallBy = d.now // as after a takeover
	over := d.now + maxCallDelay + maxPollAge
	for ; d.now < over; d.now += 100 * time.Millisecond {
		d.reportRun()
		d.tick()
		d.c.Assert(p.startSettled(), qt.IsFalse)
	}
	d.reportRun()
	d.c.Check(p.startSettled(), qt.IsTrue)
}
