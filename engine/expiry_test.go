package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// lostWorkerScenario has a worker from which nothing is heard after a start was ordered there.
type lostWorkerScenario struct {
	*driver
	c         *qt.C
	job       workload.JobID
	run       workload.RunID
	worker    *worker
	orderedAt time.Duration
}

// newLostWorkerScenario gives the workers a name that their next incarnations keep if keepsName is set.
func newLostWorkerScenario(t *testing.T, keepsName bool, outcome StartOutcome) *lostWorkerScenario {
	return newLostWorkerScenarioWith(t, keepsName, StartResult{Outcome: outcome})
}

// newLostWorkerScenarioWith is newLostWorkerScenario with the given result of the start, whatever its run.
func newLostWorkerScenarioWith(t *testing.T, keepsName bool, result StartResult) *lostWorkerScenario {
	return newLimitedStartScenario(t, keepsName, 0, result)
}

// newLimitedStartScenario is newLostWorkerScenarioWith with agents that call their workers within startLimit.
func newLimitedStartScenario(t *testing.T, keepsName bool, startLimit time.Duration, result StartResult) *lostWorkerScenario {
	d := &lostWorkerScenario{driver: newDriver(t, 2), c: qt.New(t)}
	for _, w := range d.e.sortedWorkers() {
		w.startLimit = startLimit
		if keepsName {
			w.info.Name = "name-" + string(w.info.ID)
		}
	}
	d.job = d.submit(1, "", taskStep(1, 8))
	for len(d.starts) == 0 {
		d.callUnanswered = result.CallUnanswered
		d.decideAndStore(result.Outcome)
	}
	d.callUnanswered = false
	d.run = d.starts[0].Run
	d.worker = d.e.workers[d.startedOn[d.run]]
	d.orderedAt = d.now
	d.settle()
	return d
}

// pass passes time until end, while only the other worker reports.
func (d *lostWorkerScenario) pass(end time.Duration) {
	for ; d.now < end; d.now += 100 * time.Millisecond {
		for _, w := range d.e.sortedWorkers() {
			if w != d.worker {
				d.reportProgress(w.info.ID)
			}
		}
		d.tick()
	}
}

// passLease passes time until the worker's lease has expired.
func (d *lostWorkerScenario) passLease() {
	d.pass(d.worker.leaseExpiresAt + 200*time.Millisecond)
	d.c.Assert(d.worker.leaseExpired, qt.IsTrue)
}

// next returns a report of the worker's next incarnation under its own fence.
func (d *lostWorkerScenario) next() Report {
	r := Report{Epoch: 1, Polled: true, Worker: d.worker.info}
	r.Worker.ID += "-next"
	r.Generation = d.report(r).Generation
	return r
}

// currentReport returns a report of the worker without runs that arrives without delay.
func (d *lostWorkerScenario) currentReport() Report {
	r := d.number(Report{Epoch: d.e.epoch, Polled: true, Worker: d.worker.info, Generation: d.worker.generation})
	r.Origin.BuiltAt = d.now
	return r
}

// passReporting passes time until end, while all workers report.
func (d *lostWorkerScenario) passReporting(end time.Duration) {
	for d.now < end {
		d.report(d.currentReport())
		d.pass(d.now + 100*time.Millisecond)
	}
}

// lateStartCases are starts on a worker from which nothing is heard any more. A placement is kept beyond
// the lease if the call may still start its run.
var lateStartCases = []struct {
	name      string
	keepsName bool
	outcome   StartOutcome
	kept      bool
}{
	{"unanswered, the worker keeps its name", true, StartUnknown, true},
	{"unanswered, the next incarnation has another name", false, StartUnknown, false},
	{"answered, the worker keeps its name", true, StartOK, false},
}

// Guards against a task that runs twice because the start that got no answer takes effect on the next
// incarnation of its worker, which no agent has fenced, after the lease of the one that was meant.
func TestUnansweredStartOutlastsItsLease(t *testing.T) {
	for _, tc := range lateStartCases {
		t.Run(tc.name, func(t *testing.T) {
			d := newLostWorkerScenario(t, tc.keepsName, tc.outcome)
			d.passLease()
			if tc.kept {
				latest := d.orderedAt + MaxCallDelay + d.e.params.MaxLease // end of a run whose call arrives last
				d.pass(latest + time.Second)
				d.c.Check(d.starts, qt.HasLen, 1)
				d.c.Check(d.runs(d.job)[d.worker.info.ID], qt.HasLen, 1)
				d.pass(latest + 9*time.Second)
			}
			d.c.Assert(d.starts, qt.HasLen, 2)
			d.c.Check(d.starts[1].Run.Number, qt.Equals, 2)
			d.c.Check(d.startedOn[d.starts[1].Run], qt.Not(qt.Equals), d.worker.info.ID)
			d.c.Check(d.worker.used, qt.Equals, workload.Resources{})
		})
	}
}

// Guards against a task that runs twice because the next incarnation has shown that it does not run there,
// while the call may still start it on a further one, and against a task that is started again although it
// runs there.
func TestNextIncarnationTakesOverUnansweredStart(t *testing.T) {
	for _, started := range []bool{false, true} {
		d := newLostWorkerScenario(t, true, StartUnknown)
		d.passLease()
		r := d.next()
		if started {
			r.Running = []RunStatus{{Run: d.run, Percent: 1}}
		}
		d.report(r)
		d.settle()
		d.c.Check(d.e.workers[d.worker.info.ID], qt.IsNil)
		d.c.Check(d.runs(d.job)[r.Worker.ID], qt.DeepEquals, []workload.RunID{d.run})
		d.c.Check(d.starts, qt.HasLen, 1)
		if started {
			continue
		}
		d.worker = d.e.workers[r.Worker.ID]
		d.passReporting(d.orderedAt + d.e.params.MaxLease + MaxCallDelay) // of a call sent last
		d.c.Check(d.starts, qt.HasLen, 1)
		d.passReporting(d.now + maxPollAge + time.Second)
		d.c.Check(d.starts, qt.HasLen, 2)
	}
}

// Guards against a start that is forgotten instead of stopped when its worker reports again after its
// lease has expired.
func TestUnansweredStartIsStoppedWhenWorkerReturns(t *testing.T) {
	d := newLostWorkerScenario(t, true, StartUnknown)
	d.passLease()
	d.stops = nil
	r := Report{Epoch: 1, Polled: true, Worker: d.worker.info}
	d.report(r)
	d.settle()
	d.c.Check(d.stops, qt.Contains, d.run)
	d.c.Check(d.starts, qt.HasLen, 1)
	r.ConfirmedAbsent = []workload.RunID{d.run}
	d.report(r)
	d.passReporting(d.orderedAt + d.e.params.MaxLease + MaxCallDelay) // of a call sent last
	d.c.Check(d.starts, qt.HasLen, 1)
	d.passReporting(d.now + maxPollAge + time.Second)
	d.c.Check(d.starts, qt.HasLen, 2)
}

// Guards against a crash that is counted twice for a run that was kept beyond the lease, or not at all
// for one that ended with it.
func TestCrashAfterLeaseIsCountedOnce(t *testing.T) {
	for _, outcome := range []StartOutcome{StartUnknown, StartOK} {
		d := newLostWorkerScenario(t, true, outcome)
		u := d.e.jobs[d.job].units[0]
		d.passLease()
		d.report(Report{Worker: d.worker.info, Terminated: true, Crashed: true, Polled: true})
		d.c.Check(u.crashCountOf(0).total, qt.Equals, 1, qt.Commentf("start %v", outcome))
	}
}

// Guards against a worker that is forgotten together with a start that may still take effect.
func TestWorkerIsKeptWithItsUnansweredStart(t *testing.T) {
	d := newLostWorkerScenario(t, true, StartUnknown)
	d.passLease()
	d.worker.lastReport = d.now - workerRetention - time.Second
	d.tick()
	d.c.Check(d.e.workers[d.worker.info.ID], qt.Equals, d.worker)
	d.c.Check(d.starts, qt.HasLen, 1)
}
