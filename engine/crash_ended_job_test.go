package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// endedJobScenario has a worker that stopped answering while it ran a task. Its lease has expired, and
// the job has been cancelled since.
type endedJobScenario struct {
	*driver
	c      *qt.C
	job    workload.JobID
	worker WorkerInfo
	unit   *unit
}

func newEndedJobScenario(t *testing.T) *endedJobScenario {
	d := &endedJobScenario{driver: newDriver(t, 2), c: qt.New(t)}
	d.job = d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.unit = d.e.jobs[d.job].units[0]
	w := d.e.workers[d.startedOn[d.starts[0].Run]]
	w.info.Name = string(w.info.ID)
	d.worker = w.info
	d.reportProgress(w.info.ID)
	d.expireLease()
	d.c.Assert(w.placementsAtExpiry, qt.HasLen, 1)
	d.handle(CancelRequested{Job: d.job, Revision: 100})
	d.settle()
	d.endRuns(d.job, EndStopped)
	d.settle()
	return d
}

// expireLease passes the time of the worker's lease. The job starts again on the other worker.
func (d *endedJobScenario) expireLease() {
	for end := d.now + 8*time.Second; d.now < end; d.now += 100 * time.Millisecond {
		d.reportBoth()
		d.tick()
	}
}

// reportBoth reports the worker as unresponsive and the other one as running.
func (d *endedJobScenario) reportBoth() {
	for _, w := range d.e.sortedWorkers() {
		if w.info.ID != d.worker.ID {
			d.reportProgress(w.info.ID)
		}
	}
	d.report(Report{Epoch: 1, Worker: d.worker, Unresponsive: true})
}

// crash reports that the worker has crashed while it ran the task.
func (d *endedJobScenario) crash() {
	d.report(Report{Worker: d.worker, Terminated: true, Crashed: true, Polled: true})
}

// crashUnderSameName reports the crash together with the next incarnation, which has the same name.
func (d *endedJobScenario) crashUnderSameName() {
	d.report(Report{Worker: d.worker, Terminated: true, Crashed: true, Superseded: true, Polled: true})
	next := d.worker
	next.ID += "-next"
	answer := d.report(Report{Epoch: 1, Polled: true, Worker: next})
	d.report(Report{Epoch: 1, Generation: answer.Generation, Polled: true, Worker: next})
}

// write returns the next write, and applies it.
func (d *endedJobScenario) write() Write {
	w := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
	d.handle(WriteApplied{Write: w})
	return w
}

// age passes time until the job is archived and, if removed is set, its outcome removed.
func (d *endedJobScenario) age(removed bool) {
	d.tick()
	d.c.Assert(d.e.jobs[d.job].archived, qt.IsTrue)
	for end := d.now + 2*time.Minute; removed && d.now < end; d.now += time.Second {
		d.reportBoth()
		d.tick()
	}
	d.c.Assert(d.e.jobs[d.job] == nil, qt.Equals, removed)
}

// Guards against a planner that panics when a worker crashes that ran a task of a job that has ended
// since, and against records that such a crash writes for a job that has only an outcome left.
func TestCrashUnderEndedJob(t *testing.T) {
	reports := map[string]func(*endedJobScenario){
		"reported by its agent":     (*endedJobScenario).crash,
		"superseded under its name": (*endedJobScenario).crashUnderSameName,
	}
	for name, crash := range reports {
		for _, removed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, outcome removed %v", name, removed), func(t *testing.T) {
				d := newEndedJobScenario(t)
				d.age(removed)
				crash(d)
				d.c.Check(d.e.workers[d.worker.ID], qt.IsNil)
				d.c.Check(d.e.dirtyJobs, qt.HasLen, 0)
				d.c.Check(d.write().Jobs, qt.HasLen, 0)
			})
		}
	}
}

// Guards against a record that is written for a job and removed by the same write, or written again
// after it was removed, when the crash is reported while the job is being archived.
func TestCrashUnderJobBeingArchived(t *testing.T) {
	for _, inFlight := range []bool{false, true} {
		t.Run(fmt.Sprintf("write in flight %v", inFlight), func(t *testing.T) {
			d := newEndedJobScenario(t)
			d.handle(Tick{WallTime: time.Unix(1000, 0)})
			var pending Write
			if inFlight {
				pending = d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
				d.c.Assert(pending.EndedJobs, qt.HasLen, 1)
			}
			d.crash()
			d.handle(WriteApplied{Write: pending})
			next := d.write()
			d.c.Check(next.Jobs, qt.HasLen, 0)
			d.c.Check(len(pending.EndedJobs)+len(next.EndedJobs), qt.Equals, 1)
		})
	}
}

// Guards against readers of a step that fail for runs whose job has been archived meanwhile.
func TestStepOfRunOutlastsItsJob(t *testing.T) {
	d := newEndedJobScenario(t)
	d.age(false)
	d.c.Assert(d.unit.job.spec.Steps, qt.HasLen, 0)
	d.c.Check(d.unit.spec().Count, qt.Equals, 1)
}

// Guards against blaming a neighbour for a crash at startup that a run of an ended job is likelier to
// have caused.
func TestRunOfEndedJobIsBlamedForCrash(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	suspect, neighbour := d.submit(1, "", taskStep(1, 4)), d.submit(1, "", taskStep(1, 4))
	d.e.jobs[suspect].units[0].setCrashCount(0, crashCount{total: 1, startup: 1, confirmed: 1})
	d.e.params.Policy.Probation = false
	d.settle()
	c.Assert(d.starts, qt.HasLen, 2)
	d.reportProgress("w0")
	d.handle(CancelRequested{Job: suspect, Revision: 100})
	unit := d.e.jobs[neighbour].units[0]
	d.report(Report{Worker: d.e.workers["w0"].info, Terminated: true, Crashed: true, Polled: true})
	c.Check(unit.crashCountOf(0).total, qt.Equals, 1)
	c.Check(unit.crashCountOf(0).startup, qt.Equals, 0)
}

// Guards against the same panic and the same records in the simulated worlds that showed them.
func TestSimulationOfCrashesUnderEndedJobs(t *testing.T) {
	for _, tc := range []struct {
		name  string
		plan  func(w *simCluster, seed uint64)
		seeds []uint64
	}{
		{"panic with reused names", planReusedNames, []uint64{46, 134, 230, 263}},
		{"panic with cordons", planCordonFaults, []uint64{94}},
		{"record of an archived job", planReusedNames, []uint64{276, 278}},
	} {
		for _, seed := range tc.seeds {
			t.Run(fmt.Sprint(tc.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				runSimulation(t, seed, tc.plan)
			})
		}
	}
}
