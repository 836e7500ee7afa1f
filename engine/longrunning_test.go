package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

func longRunningStep(n, accelerators, maxUnavailable int) workload.Step {
	s := taskStep(n, accelerators)
	s.LongRunning = true
	s.MaxUnavailable = maxUnavailable
	s.Estimate = 0
	return s
}

// reportFullProgress reports full progress of all running tasks of a job.
func (d *driver) reportFullProgress(id workload.JobID) {
	for worker := range d.runs(id) {
		d.reportRuns(worker, func(p *placement) RunStatus {
			if p.unit.job.spec.ID == id {
				return RunStatus{Percent: 100}
			}
			return RunStatus{Percent: p.rate.lastPercent}
		})
	}
}

// awaitRuns lets time pass until a job has runs, for at most 3 s, while the tasks of a long-running one are
// at work.
func (d *driver) awaitRuns(id, service workload.JobID) {
	for end := d.now + 3*time.Second; d.now < end && len(d.runs(id)) == 0; d.now += 100 * time.Millisecond {
		d.reportFullProgress(service)
		d.tick()
	}
}

// Tasks of a long-running step are spread evenly over workers and racks.
func TestLongRunningTasksAreSpread(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 9)
	id := d.submit(1, "", longRunningStep(6, 1, 1))
	d.settle()
	runs := d.runs(id)
	c.Check(runs, qt.HasLen, 6)
	racks := map[string]int{}
	for w := range runs {
		racks[d.e.workers[w].info.Rack]++
	}
	c.Check(racks, qt.DeepEquals, map[string]int{"r0": 2, "r1": 2, "r2": 2})
}

// Long-running tasks are restarted without a limit of attempts, and their job never fails.
func TestLongRunningTasksAreAlwaysRestarted(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 3)
	id := d.submit(1, "", longRunningStep(1, 1, 0))
	d.settle()
	for _, reason := range []EndReason{EndFailed, EndFailed, EndFailed, EndFailed, EndDone, EndLeaseExpired} {
		d.endRuns(id, reason)
		d.settle()
		d.advance(7 * time.Second)
		c.Assert(d.runs(id), qt.HasLen, 1, qt.Commentf("after the end %q", reason))
	}
	found, _ := d.e.Lookup(id)
	c.Check(found.State, qt.Equals, workload.Running)
}

// An eviction stops at most MaxUnavailable tasks of a long-running step and frees the rest of the
// capacity from other work.
func TestEvictionRespectsMaxUnavailable(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 3)
	service := d.submit(1, "", longRunningStep(2, 4, 1))
	d.settle()
	d.reportFullProgress(service)
	batch := d.submit(2, "", taskStep(4, 4))
	d.settle()
	c.Assert(d.runs(batch), qt.Not(qt.HasLen), 0)
	d.submit(0, "big", gangStep(2, 8))
	d.settle()
	stopped := 0
	for _, run := range d.stops {
		if run.Task.Job == service {
			stopped++
		}
	}
	c.Check(stopped <= 1, qt.IsTrue, qt.Commentf("%d tasks stopped", stopped))
}

// Guards against long-running tasks that hold capacity guaranteed to accounts, from which they
// could not be evicted.
func TestLongRunningTasksLeaveGuaranteesFree(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 3)
	id := d.submit(1, "", longRunningStep(24, 1, 0))
	d.settle()
	held := 0
	for _, runs := range d.runs(id) {
		held += len(runs)
	}
	c.Check(held, qt.Equals, 24-16)
}

// Guarantees are counted in accelerators, so they don't limit long-running tasks that use none.
func TestLongRunningTasksWithoutAcceleratorsAreNotLimited(t *testing.T) {
	d := newDriver(t, 1)
	id := d.submit(1, "", longRunningStep(2, 0, 0))
	d.settle()
	qt.Check(t, d.runs(id)["w0"], qt.HasLen, 2)
}

// Guards against jobs that starve beside idle workers, since capacity is reserved for gangs that wait for
// long-running tasks to end.
func TestCapacityIsNotReservedBehindLongRunningTasks(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 6)
	serving := longRunningStep(6, 1, 0)
	serving.MaxPerWorker = 1
	service := d.submit(0, "", serving)
	d.settle()
	d.reportFullProgress(service)
	for range 4 {
		d.submit(0, "", gangStep(6, 8))
	}
	d.settle()
	id := d.submit(2, "", taskStep(1, 1))
	d.settle()
	d.awaitRuns(id, service)
	c.Check(d.runs(id), qt.HasLen, 1)
	c.Check(d.runs(service), qt.HasLen, 6)
}

// Guards against jobs that starve beside idle accelerators, since capacity is reserved for a task on a
// worker that holds as many tasks of its step as are allowed.
func TestCapacityIsNotReservedBeyondLimitPerWorker(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 6)
	serving := longRunningStep(7, 4, 0)
	serving.MaxPerWorker = 1
	service := d.submit(1, "", serving)
	d.settle()
	d.reportFullProgress(service)
	gang := gangStep(6, 4)
	gang.SameRack = false
	id := d.submit(2, "", gang)
	d.awaitRuns(id, service)
	c.Check(d.runs(service), qt.HasLen, 6)
	c.Check(d.runs(id), qt.HasLen, 6)
}

// Occurrences start when they are due and not before, even if they overlap. The job completes with
// the last one.
func TestOccurrencesStartWhenDue(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 3)
	wall := func() time.Time { return time.Unix(1000, 0).Add(d.now) }
	d.handle(Tick{WallTime: wall()})
	d.handle(JobSubmitted{Revision: 1, Job: workload.Job{
		ID: "timed", Queue: "q", Service: "s", Steps: []workload.Step{taskStep(1, 1)},
		Schedule: workload.Schedule{First: wall().Add(time.Second), Period: 2 * time.Second, Count: 3},
	}})
	d.settle()
	c.Check(d.starts, qt.HasLen, 0)
	d.advance(900 * time.Millisecond)
	c.Check(d.starts, qt.HasLen, 0)
	d.advance(300 * time.Millisecond)
	c.Check(d.starts, qt.HasLen, 1)
	d.advance(4 * time.Second)
	c.Check(d.starts, qt.HasLen, 3)
	c.Check(d.starts[2].Run.Task.Occurrence, qt.Equals, 2)
	d.endRuns("timed", EndDone)
	d.settle()
	found, _ := d.e.Lookup("timed")
	c.Check(found.State, qt.Equals, workload.Completed)
}

// A long-running task that ends soon after each start is restarted forever, but with a growing
// delay. After a longer run it is restarted at once.
func TestLongRunningTaskThatEndsAtOnceIsRestartedWithBackoff(t *testing.T) {
	for _, reason := range []EndReason{EndFailed, EndDone} {
		t.Run(string(reason), func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(t, 60)
			id := d.submit(1, "", longRunningStep(1, 1, 0))
			const span = 30 * time.Second
			for end := d.now + span; d.now < end; d.now += 50 * time.Millisecond {
				for _, w := range d.e.sortedWorkers() {
					d.reportProgress(w.info.ID)
				}
				d.tick()
				d.endRuns(id, reason)
			}
			c.Check(len(d.starts) >= 15, qt.IsTrue, qt.Commentf("%d starts", len(d.starts)))
			c.Check(len(d.starts) <= 30, qt.IsTrue, qt.Commentf("%d starts", len(d.starts)))
			d.advance(15 * time.Second)
			before := len(d.starts)
			d.endRuns(id, reason)
			d.settle()
			c.Check(len(d.starts), qt.Equals, before+1)
			c.Check(d.runs(id), qt.HasLen, 1)
		})
	}
}
