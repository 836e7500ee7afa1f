package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// takeOver replaces the planner. The worker does not report to the new one.
func (d *lostWorkerScenario) takeOver() {
	d.driver.takeOver()
	d.worker = d.e.workers[d.worker.info.ID]
}

// reportRun reports the run from its worker without delay.
func (d *lostWorkerScenario) reportRun() {
	r := d.currentReport()
	r.Running = []RunStatus{{Run: d.run, Percent: 1}}
	d.report(r)
}

// Guards against a task that runs twice because a successor takes a start that its predecessor got no
// answer to for lost with the worker's lease, while it may still take effect on the next incarnation.
func TestUnansweredStartOutlastsItsPlanner(t *testing.T) {
	for _, tc := range lateStartCases {
		t.Run(tc.name, func(t *testing.T) {
			d := newLostWorkerScenario(t, tc.keepsName, tc.outcome)
			d.pass(d.now + time.Second)
			d.takeOver()
			takenOverAt := d.now
			if tc.kept {
				latest := d.orderedAt + MaxCallDelay + d.e.params.MaxLease // end of a run whose call arrives last
				d.pass(latest + time.Second)
				d.c.Check(d.starts, qt.HasLen, 1)
				// The predecessor may have ordered the start shortly before its end.
				d.pass(takenOverAt + 2*d.e.params.MaxLease + MaxCallDelay + 2*time.Second)
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
	over := d.now + MaxCallDelay + maxPollAge
	for ; d.now < over; d.now += 100 * time.Millisecond {
		d.reportRun()
		d.tick()
		d.c.Assert(p.startSettled(), qt.IsFalse)
	}
	d.reportRun()
	d.c.Check(p.startSettled(), qt.IsTrue)
}

// Guards against a task that waits after each takeover although its agent knows that no call to start the
// run is on its way, and against one that runs twice because such a call is.
func TestSuccessorAsksAgentForUnansweredStarts(t *testing.T) {
	for _, tc := range []struct {
		name       string
		processAge time.Duration
		unanswered bool
		wait       time.Duration // after the report
	}{
		{"never called", time.Minute, false, 0},
		{"called without an answer", time.Minute, true, MaxCallDelay},
		{"perhaps called by an earlier process", 3 * time.Second, false, MaxCallDelay - 3*time.Second},
		{"an agent of an earlier version", 0, false, MaxCallDelay},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newLostWorkerScenario(t, true, StartUnknown)
			d.takeOver()
			r := d.currentReport()
			r.ProcessAge = tc.processAge
			if tc.unanswered {
				r.UnansweredStarts = []workload.RunID{d.run}
			}
			d.report(r)
			d.settle()
			reportedAt := d.now
			if tc.wait > 0 {
				d.passReporting(reportedAt + tc.wait)
				d.c.Check(d.starts, qt.HasLen, 1)
				d.passReporting(reportedAt + tc.wait + maxPollAge + 500*time.Millisecond)
			}
			d.c.Check(d.starts, qt.HasLen, 2)
		})
	}
}
