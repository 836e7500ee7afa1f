package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stuck task that is never moved off a worker that answers.
func TestStuckTaskIsMoved(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	for range 60 {
		for _, w := range d.e.sortedWorkers() {
			d.reportRuns(w.info.ID, func(*placement) RunStatus { return RunStatus{Percent: 20} })
		}
		d.now += 100 * time.Millisecond
		d.tick()
	}
	c.Check(len(d.stops) > 0, qt.IsTrue)
}

// Guards against waiting the long limit for a stuck task whose queue is known to report
// progress.
func TestStuckTaskIsMovedSoonerWhereQueueShowsProgress(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(time.Second)
	stuck := d.submit(1, "", taskStep(1, 8))
	d.settle()
	from := d.now
	for len(d.stops) == 0 && d.now-from < minStuckTimeNoProgress {
		for _, w := range d.e.sortedWorkers() {
			d.reportRuns(w.info.ID, func(p *placement) RunStatus {
				if p.unit.job.spec.ID == stuck {
					return RunStatus{}
				}
				return RunStatus{Percent: p.rate.lastPercent + 1}
			})
		}
		d.now += 100 * time.Millisecond
		d.tick()
	}
	c.Assert(d.stops, qt.HasLen, 1)
	c.Check(d.stops[0].Task.Job, qt.Equals, stuck)
	c.Check(d.now-from < 2*time.Second, qt.IsTrue, qt.Commentf("stopped after %v", d.now-from))
}

// Guards against moving a task again and again when its queue reports no progress at all.
func TestTaskWithoutProgressReportsCanFinish(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	startedAt, longest := d.now, time.Duration(0)
	runs := len(d.starts)
	for range 600 {
		for _, w := range d.e.sortedWorkers() {
			d.reportRuns(w.info.ID, func(*placement) RunStatus { return RunStatus{} })
		}
		if len(d.stops) > 0 {
			d.endRuns(id, EndStopped)
			d.stops = nil
		}
		d.now += 100 * time.Millisecond
		d.tick()
		if len(d.starts) > runs {
			runs, startedAt = len(d.starts), d.now
		}
		longest = max(longest, d.now-startedAt)
	}
	c.Check(d.e.jobs[id].state.Final(), qt.IsFalse)
	c.Check(longest > 20*time.Second, qt.IsTrue, qt.Commentf("longest run %v, %d runs", longest, runs))
}

// Guards against moving a task as stuck while its worker is not being polled successfully.
func TestTaskOnUnresponsiveWorkerIsNotStuck(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	worker := d.startedOn[d.starts[0].Run]
	d.reportProgress(worker)
	for range 50 {
		d.now += 100 * time.Millisecond
		d.report(Report{Epoch: 1, Worker: d.e.workers[worker].info, Unresponsive: true, LeaseKnown: true, LeaseRemaining: 5 * time.Second})
		d.tick()
	}
	c.Check(d.stops, qt.HasLen, 0)
	d.reportProgress(worker)
	d.tick()
	c.Check(d.stops, qt.HasLen, 0)
}
