package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workerspeed"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// newTwoSpeedDriver returns a driver with twelve workers in four racks. The first worker of each
// rack is known to be slow: a run takes 2.5 times as long there as on the others.
func newTwoSpeedDriver(t *testing.T) *driver {
	d := newDriver(t, 12)
	for i := range 12 {
		effect := -0.3
		if isSlow(i) {
			effect = 0.6
		}
		d.e.tracker.speeds.Restore(d.now, "s", fmt.Sprint("w", i), workerspeed.Evidence{Effect: effect, Precision: 400})
	}
	if !d.e.tracker.speeds.Differ("s") {
		t.Fatal("the workers do not differ")
	}
	return d
}

func isSlow(worker int) bool { return worker%3 == 0 }

// submitUrgent submits a job whose objective is one and a half times its run time, so that it would
// be late on a slow worker.
func (d *driver) submitUrgent(step workload.Step) workload.JobID {
	d.jobs++
	id := workload.JobID(fmt.Sprintf("job%d", d.jobs))
	d.handle(JobSubmitted{Revision: int64(d.jobs), Job: workload.Job{
		ID: id, Queue: "urgent", Service: "s", Steps: []workload.Step{step},
		QueuePolicy: workload.QueuePolicy{MaxAttempts: 3, Stretch: 1.5, TargetLatency: 250 * time.Millisecond},
	}})
	return id
}

// checkWorkers checks how many slow and fast workers a job runs on.
func (d *driver) checkWorkers(id workload.JobID, wantSlow, wantFast int) {
	d.t.Helper()
	slow, fast := d.slowAndFast(id)
	qt.Check(d.t, slow, qt.Equals, wantSlow)
	qt.Check(d.t, fast, qt.Equals, wantFast)
}

// slowAndFast returns how many workers of each kind a job runs on.
func (d *driver) slowAndFast(id workload.JobID) (slow, fast int) {
	for worker := range d.runs(id) {
		var i int
		if _, err := fmt.Sscanf(string(worker), "w%d", &i); err != nil {
			d.t.Fatal(err)
		}
		if isSlow(i) {
			slow++
		} else {
			fast++
		}
	}
	return slow, fast
}

// Load: two speeds, room on all workers. Guards against a gang that is late because one member runs
// on a slow worker.
func TestUrgentGangRunsOnFastWorkers(t *testing.T) {
	d := newTwoSpeedDriver(t)
	step := gangStep(4, 8)
	step.SameRack = false
	id := d.submitUrgent(step)
	d.settle()
	d.checkWorkers(id, 0, 4)
}

// Load: two speeds, urgent gangs that need one rack each, in which only two workers are fast. Guards
// against a gang that is spread over racks, or never starts, because of the speed of workers.
func TestUrgentGangThatNeedsSlowWorkersStaysInItsRack(t *testing.T) {
	d := newTwoSpeedDriver(t)
	id := d.submitUrgent(gangStep(3, 8))
	d.settle()
	d.checkWorkers(id, 1, 2)
}

// Guards against operators who look for missing capacity where a job was late because it ran on slow
// workers.
func TestJobLateBySlowWorkersSaysSo(t *testing.T) {
	d := newTwoSpeedDriver(t)
	id := d.submitUrgent(gangStep(3, 8)) // a rack has only two fast workers
	d.settle()
	d.now += 10 * time.Second
	for _, w := range d.e.sortedWorkers() {
		d.endRunsOn(w.info.ID, EndDone, func(p *placement) bool { return p.unit.job.spec.ID == id })
	}
	d.settle()
	qt.Assert(t, d.late, qt.HasLen, 1)
	qt.Check(t, d.late[0].Reason, qt.Equals, LateBySlowWorkers)
}

// Load: two speeds, work that is in time anywhere. Guards against fast workers that are taken by work
// that does not need them.
func TestPatientWorkTakesSlowWorkersFirst(t *testing.T) {
	d := newTwoSpeedDriver(t)
	id := d.submit(1, "", taskStep(4, 8))
	d.settle()
	d.checkWorkers(id, 4, 0)
}

// Load: patient work on all fast workers, slow ones free. Guards against an urgent gang that takes free
// slow workers, where it is late, instead of evicting.
func TestUrgentGangEvictsFromFastWorkers(t *testing.T) {
	d := newTwoSpeedDriver(t)
	d.submit(1, "", taskStep(12, 8))
	d.settle()
	d.endSlowRuns()
	step := gangStep(2, 8)
	step.SameRack = false
	id := d.submitUrgent(step)
	d.settle()
	d.endStopped()
	d.settle()
	d.checkWorkers(id, 0, 2)
}

// endSlowRuns ends all runs on slow workers as done.
func (d *driver) endSlowRuns() {
	for i := range 12 {
		if isSlow(i) {
			d.endRunsOn(WorkerID(fmt.Sprint("w", i)), EndDone, func(*placement) bool { return true })
		}
	}
	d.settle()
}

// endStopped ends the runs that were ordered to stop.
func (d *driver) endStopped() {
	for _, w := range d.e.sortedWorkers() {
		d.endRunsOn(w.info.ID, EndStopped, func(p *placement) bool { return p.stopping })
	}
}

// endRunsOn reports the end of the chosen runs of a worker; the others go on.
func (d *driver) endRunsOn(id WorkerID, reason EndReason, chosen func(*placement) bool) {
	w := d.e.workers[id]
	r := Report{Epoch: d.e.epoch, Polled: true, Worker: w.info}
	for _, p := range w.sortedPlacements() {
		if chosen(p) {
			d.endCounts[id]++
			r.Ended = append(r.Ended, RunEnd{Sequence: d.endCounts[id], Run: p.runID(), Reason: reason})
		} else {
			r.Running = append(r.Running, RunStatus{Run: p.runID(), Percent: p.rate.lastPercent})
		}
	}
	d.report(r)
}

// Load: urgent gangs hold all fast workers for longer than the difference between the speeds. Guards
// against an urgent gang that waits for fast workers although a slow one would be done sooner.
func TestLateGangTakesSlowWorkersIfThatIsSooner(t *testing.T) {
	d := newTwoSpeedDriver(t)
	long := taskStep(8, 8)
	long.Estimate = time.Minute
	d.submitUrgent(long)
	d.settle()
	step := gangStep(2, 8)
	step.SameRack = false
	id := d.submitUrgent(step)
	d.settle()
	d.advance(6 * time.Second) // it can't be in time any more
	slow, _ := d.slowAndFast(id)
	qt.Check(t, slow, qt.Equals, 2)
}

// A planner that takes over knows the speeds from the workers' records. Guards against gangs that are
// late for as long as the speeds are learned again.
func TestSpeedsOutlastThePlanner(t *testing.T) {
	d := newTwoSpeedDriver(t)
	d.tick()
	d.takeOver()
	qt.Assert(t, d.e.tracker.speeds.Differ("s"), qt.IsTrue)
	for i := range 12 {
		estimate := d.e.tracker.speeds.Estimate(d.now, fmt.Sprint("w", i))
		qt.Check(t, estimate.Factor > 1.3, qt.Equals, isSlow(i), qt.Commentf("w%d: factor %.2f", i, estimate.Factor))
	}
}

// A worker returns after a crash, on the same hardware or on other. Guards against slow hardware that
// is tried anew after each crash, and against a speed that is never corrected.
func TestNewIncarnationInheritsSpeed(t *testing.T) {
	d := newTwoSpeedDriver(t)
	next := d.workerReport(0)
	next.Worker.ID = "w0-next"
	d.report(next)
	speeds := d.e.tracker.speeds
	qt.Check(t, speeds.Estimate(d.now, "w0-next").Factor > 1.3, qt.IsTrue)
	for range 12 {
		speeds.Observe(d.now, workerspeed.Observation{
			Pool: "s", Group: workerspeed.GroupID{Job: "j"}, Queue: "q", Took: 4 * time.Second, Workers: []string{"w1"},
		})
		speeds.Observe(d.now, workerspeed.Observation{
			Pool: "s", Group: workerspeed.GroupID{Job: "j"}, Queue: "q", Took: 4 * time.Second, Workers: []string{"w0-next"},
		})
	}
	qt.Check(t, speeds.Estimate(d.now, "w0-next").Factor < 1.1, qt.IsTrue)
}

// Load: random jobs on workers of equal speed. Guards against decisions that change although the
// workers do not differ.
func TestEqualWorkersAreChosenAsWithoutSpeeds(t *testing.T) {
	for seed := range uint64(20) {
		var starts [2][]StartOrder
		for i, learn := range []bool{true, false} {
			rng := rand.New(rand.NewPCG(seed, 1))
			d := newDriver(t, 9)
			d.e.params.Policy.WorkerSpeeds = learn
			for range 30 {
				step := taskStep(1+rng.IntN(12), 1+rng.IntN(4))
				step.Gang = rng.IntN(2) == 0
				d.submit(rng.IntN(3), "", step)
				d.advance(time.Duration(100+rng.IntN(900)) * time.Millisecond)
				if rng.IntN(2) == 0 {
					ended := map[*job]bool{}
					for _, j := range d.e.orderedJobs {
						ended[j] = rng.IntN(3) == 0
					}
					for _, w := range d.e.sortedWorkers() {
						d.endRunsOn(w.info.ID, EndDone, func(p *placement) bool { return ended[p.unit.job] })
					}
				}
			}
			starts[i] = d.starts
		}
		qt.Assert(t, starts[0], qt.DeepEquals, starts[1], qt.Commentf("seed %d", seed))
	}
}
