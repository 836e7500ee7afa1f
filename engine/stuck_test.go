package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A task stands still on a worker that answers well: it is tried elsewhere.
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

// Tasks of a queue show progress at every look, and one stands still from its start: an urgent
// gang has no time to wait until that is beyond all doubt.
func TestStuckTaskIsMovedSoonerWhereQueueShowsProgress(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(time.Second)
	stuck := d.submit(1, "", taskStep(1, 8))
	d.settle()
	from := d.now
	for len(d.stops) == 0 && d.now-from < minStuckTimeUnproven {
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
	c.Check(d.now-from < 2*time.Second, qt.IsTrue, qt.Commentf("%v", d.now-from))
}

// The workers of a queue show no progress of what they run. A task that takes longer than one
// that moves may stand still must end all the same, and not be moved again and again.
func TestTaskWithoutProgressReportsCanFinish(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	began, longest := d.now, time.Duration(0)
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
			runs, began = len(d.starts), d.now
		}
		longest = max(longest, d.now-began)
	}
	c.Check(d.e.jobs[id].state.Final(), qt.IsFalse)
	c.Check(longest > 20*time.Second, qt.IsTrue, qt.Commentf("%v, %d runs", longest, runs))
}

// A worker does not answer its agent for some seconds, and then shows that its task went
// on all the while. Without a look nothing can be said of it, so it must not be stopped.
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
