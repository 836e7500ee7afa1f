package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/catalog"
	"github.com/eelgrasshub/eelgrasshub/workload"
)

// newGuaranteedDriver returns a two-speed driver with guarantees of eight workers for an account
// "first" and of one worker for "second". Work of "first" holds all fast workers.
func newGuaranteedDriver(t *testing.T) *driver {
	d := newTwoSpeedDriver(t)
	d.handle(CatalogChanged{Catalog: &catalog.Catalog{Accounts: map[string]catalog.Account{
		"first": {GuaranteedAccelerators: 64}, "second": {GuaranteedAccelerators: 8},
	}}})
	held := d.submitTight("first", 8)
	d.settle()
	slow, fast := d.slowAndFast(held)
	qt.Assert(t, [2]int{slow, fast}, qt.Equals, [2]int{0, 8})
	return d
}

// submitTight submits tasks of a minute for a whole worker each, which are late on slow workers.
func (d *driver) submitTight(account string, tasks int) workload.JobID {
	step := taskStep(tasks, 8)
	step.Estimate = time.Minute
	d.jobs++
	id := workload.JobID("tight-" + account)
	d.handle(JobSubmitted{Revision: int64(d.jobs), Job: workload.Job{
		ID: id, Queue: "tight", Account: account, Service: "s", Steps: []workload.Step{step},
		QueuePolicy: workload.QueuePolicy{MaxAttempts: 3, Stretch: 1.5},
	}})
	return id
}

// timeToStop is less than the interval at which stops are repeated.
const timeToStop = 500 * time.Millisecond

// run advances the time in steps of 100 ms. Each run progresses at the speed of its worker, and ends
// when it is complete or stopped.
func (d *driver) run(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += 100 * time.Millisecond
		for _, w := range d.e.sortedWorkers() {
			factor := 0.74
			if isSlowWorker(w.info.ID) {
				factor = 1.82
			}
			r := Report{Epoch: d.e.epoch, Polled: true, Worker: w.info}
			for _, p := range w.sortedPlacements() {
				percent := int(100 * float64(d.now-p.startedAt) / (factor * float64(p.unit.spec().Estimate)))
				reason := EndDone
				if p.stopping {
					reason = EndStopped
				}
				if p.stopping && d.now-p.stopSentAt >= timeToStop || percent >= 100 {
					d.endCounts[w.info.ID]++
					r.Ended = append(r.Ended, RunEnd{Sequence: d.endCounts[w.info.ID], Run: p.runID(), Reason: reason})
				} else {
					r.Running = append(r.Running, RunStatus{Run: p.runID(), Percent: percent})
				}
			}
			d.report(r)
		}
		d.tick()
	}
}

// Load: protected work holds all fast workers, other work of priority 0 all slow ones. Guards against a
// guarantee that is not met because the job would be late on the workers that it can reclaim.
func TestGuaranteeIsReclaimedFromSlowWorkers(t *testing.T) {
	d := newGuaranteedDriver(t)
	long := taskStep(4, 8)
	long.Estimate = time.Minute
	other := d.submit(0, "", long)
	d.settle()
	qt.Assert(t, d.runs(other), qt.HasLen, 4)
	guaranteed := d.submitTight("second", 1)
	d.run(d.e.params.MaxReclaimWait)
	qt.Check(t, d.runs(guaranteed), qt.HasLen, 1)
	qt.Check(t, d.runs(other), qt.HasLen, 3)
}

// Load: protected work holds all fast workers, the slow ones are free. Guards against a guarantee that
// is not met because the job would be late on the free workers.
func TestGuaranteeIsMetByFreeSlowWorkers(t *testing.T) {
	d := newGuaranteedDriver(t)
	guaranteed := d.submitTight("second", 1)
	d.run(d.e.params.MaxReclaimWait)
	qt.Check(t, d.runs(guaranteed), qt.HasLen, 1)
}

// Load: units that can be in time take each fast worker that becomes free; slow workers are free.
// Guards against a late unit that never starts because a fast worker is always about to become free.
func TestLateUnitStartsOnSlowWorkerBesideStreamOfUrgentWork(t *testing.T) {
	d := newTwoSpeedDriver(t)
	for range 8 {
		d.submitUrgent(taskStep(1, 8))
		d.run(300 * time.Millisecond)
	}
	late := d.submitUrgent(taskStep(1, 8))
	d.e.jobs[late].spec.QueuePolicy.Stretch = 0.5 // it can't be in time on any worker
	start := d.now
	for d.e.jobs[late].units[0].runNumber == 0 && d.now-start < 30*time.Second {
		d.submitUrgent(taskStep(1, 8))
		d.submitUrgent(taskStep(1, 8))
		d.run(700 * time.Millisecond)
	}
	// On a slow worker, it takes 4.4 s longer than on a fast one.
	qt.Check(t, d.now-start < 6*time.Second, qt.IsTrue, qt.Commentf("started after %v", d.now-start))
}

// The time in which a unit has to start runs out while its victims stop. Guards against work that
// is evicted for a unit which then may not use the freed worker.
func TestUnitStartsOnWorkerFreedForIt(t *testing.T) {
	d := newTwoSpeedDriver(t)
	low := d.submit(2, "", taskStep(12, 8))
	d.settle()
	qt.Assert(t, d.runs(low), qt.HasLen, 12)
	id := d.submitUrgent(taskStep(1, 8))
	d.settle()
	u := d.e.jobs[id].units[0]
	qt.Assert(t, u.claims, qt.HasLen, 1)
	// Now the freed worker is beyond the limit.
	d.now += d.e.params.StopTime
	r := d.e.newRound(d.now)
	for w := range u.claims {
		w.round.upperFactor = 3
		qt.Check(t, r.eligible(u, w), qt.IsTrue)
	}
}

// isSlowWorker is isSlow by ID.
func isSlowWorker(id WorkerID) bool {
	var i int
	_, _ = fmt.Sscanf(string(id), "w%d", &i)
	return isSlow(i)
}

// Load: fast workers are held for longer than a deferrable unit has, slow ones are free. Guards against
// a unit that waits for nothing until it is late, and only then starts on a slow worker.
func TestDeferrableUnitDoesNotWaitForWorkersThatAreNotFreeInTime(t *testing.T) {
	d := newTwoSpeedDriver(t)
	long := taskStep(8, 8)
	long.Estimate = time.Hour
	held := d.submitUrgent(long)
	d.settle()
	slow, _ := d.slowAndFast(held)
	qt.Assert(t, slow, qt.Equals, 0)
	short := taskStep(1, 8)
	short.Estimate = time.Minute
	id := d.submitUrgent(short)
	d.e.jobs[id].spec.QueuePolicy.Priority = 1
	d.settle()
	qt.Check(t, d.runs(id), qt.HasLen, 1)
}
