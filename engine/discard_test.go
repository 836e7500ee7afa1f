package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// discardedWork is the reported discarded work in core-seconds, by cause.
type discardedWork struct{ lost, saved map[Cause]float64 }

// sumDiscarded sums the work discarded so far.
func (d *driver) sumDiscarded() discardedWork {
	out := discardedWork{lost: map[Cause]float64{}, saved: map[Cause]float64{}}
	for _, a := range d.discarded {
		out.lost[a.Cause] += a.Lost
		out.saved[a.Cause] += a.Saved
	}
	return out
}

// All work of a cancelled job is recorded once, under that cause.
func TestCancelledWorkIsRecordedAsDiscarded(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(2 * time.Second)
	d.handle(CancelRequested{Job: id})
	d.endRuns(id, EndStopped)
	d.settle()
	got := d.sumDiscarded()
	c.Check(got.lost, qt.HasLen, 1)
	c.Check(got.lost[CauseCancelled] > 100 && got.lost[CauseCancelled] < 150, qt.IsTrue, qt.Commentf("lost: %v", got.lost))
}

// When a gang member fails, all lost work has that failure as its cause. A gang that is done loses
// nothing.
func TestGangLossHasSingleCause(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 3)
	id := d.submit(1, "", gangStep(2, 8))
	d.settle()
	d.advance(time.Second)
	d.endRuns(id, EndFailed)
	d.settle()
	c.Check(d.sumDiscarded().lost, qt.HasLen, 1)
	c.Check(d.sumDiscarded().lost[CauseFailed] > 0, qt.IsTrue)
	d.advance(time.Second)
	before := len(d.discarded)
	d.endRuns(id, EndDone)
	d.settle()
	c.Check(d.discarded, qt.HasLen, before)
}

// If a run is lost, only the work since its last checkpoint counts as lost.
func TestCheckpointedWorkCountsAsSaved(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	step := taskStep(1, 8)
	step.Checkpoints = true
	id := d.submit(1, "", step)
	d.settle()
	d.advance(time.Second)
	w := d.e.workers["w0"]
	run := d.runs(id)["w0"][0]
	d.report(Report{Epoch: 1, Polled: true, Worker: w.info, Running: []RunStatus{{Run: run, Checkpoint: "c1", Percent: 40}}})
	d.now += time.Second
	d.report(Report{Worker: w.info, Terminated: true})
	d.settle()
	got := d.sumDiscarded()
	c.Check(got.lost[CauseWorkerLost] > 60 && got.lost[CauseWorkerLost] < 80, qt.IsTrue, qt.Commentf("lost: %v", got.lost))
	c.Check(got.saved[CauseWorkerLost] > 60, qt.IsTrue, qt.Commentf("saved: %v", got.saved))
}

// A job is late because it waited for another one that ran longer than declared. The waiting time
// is reported as the reason, and the other job is not reported as late.
func TestLateJobReportsReason(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	first := d.submit(1, "", taskStep(1, 8))
	d.settle()
	second := d.submit(1, "", taskStep(1, 8))
	d.advance(15 * time.Second)
	d.endRuns(first, EndDone)
	d.settle()
	d.advance(4 * time.Second)
	d.endRuns(second, EndDone)
	d.settle()
	c.Assert(d.late, qt.HasLen, 1)
	c.Check(d.late[0].Job, qt.Equals, second)
	c.Check(d.late[0].Reason, qt.Equals, LateByCapacity)
}
