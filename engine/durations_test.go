package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against learning run times from adopted runs, whose start times are unknown.
func TestAdoptedRunsAreNotLearned(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	d.now = time.Hour
	id := d.submit(1, "", taskStep(2, 8))
	d.settle()
	d.advance(time.Second)
	d.takeOver()
	runs := map[WorkerID][]RunEnd{}
	for worker, listed := range d.runs(id) {
		for i, run := range listed {
			runs[worker] = append(runs[worker], RunEnd{Sequence: int64(i + 1), Run: run, Reason: EndDone})
		}
	}
	c.Assert(runs, qt.HasLen, 2)
	for worker, ended := range runs {
		d.report(Report{Epoch: d.e.epoch, Polled: true, Worker: d.e.workers[worker].info, Ended: ended})
	}
	d.settle()
	c.Check(d.e.tracker.runTimes.Version(), qt.Equals, 0, qt.Commentf("no run time may be learned"))
	c.Check(d.e.tracker.runTimes.Estimate("q1", time.Second), qt.Equals, time.Second)
	c.Check(d.late, qt.HasLen, 0)
}
