package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A run resumes from a checkpoint at 60% and does 2% in each tenth of a second. Its speed,
// and not the time since its start, says when it ends; what passed since the last look is
// taken off.
func TestRemainingTimeFollowsMeasuredRate(t *testing.T) {
	c := qt.New(t)
	var p progressRate
	for i := range 6 {
		p.observe(time.Duration(i)*100*time.Millisecond, 60+2*i)
	}
	left, ok := p.remaining(500 * time.Millisecond)
	c.Assert(ok, qt.IsTrue)
	c.Check(left, qt.Equals, 1500*time.Millisecond)
	left, _ = p.remaining(900 * time.Millisecond)
	c.Check(left, qt.Equals, 1100*time.Millisecond)
}

// Whole percents a moment apart say nothing of the speed, nor does progress that went back,
// as when the worker began the task anew.
func TestRateNeedsMinimumProgress(t *testing.T) {
	c := qt.New(t)
	var p progressRate
	p.observe(0, 10)
	p.observe(time.Second, 10+minRateProgress-1)
	_, ok := p.remaining(time.Second)
	c.Check(ok, qt.IsFalse)
	p.observe(2*time.Second, 3)
	_, ok = p.remaining(2 * time.Second)
	c.Check(ok, qt.IsFalse)
}

// Patient work goes on from a checkpoint, far slower than declared. By its declared run time
// the last percents counted as done in a moment, for ever: an urgent job waited for them and
// evicted nothing, while its objective passed. Its progress says that it goes on.
func TestUrgentJobEvictsRunThatExceedsItsEstimate(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	long := taskStep(1, 8)
	long.Checkpoints = true
	id := d.submit(2, "", long)
	d.settle()
	d.endRuns(id, EndStopped)
	d.settle()
	for i := range 100 {
		d.now += 100 * time.Millisecond
		d.reportRuns("w0", func(*placement) RunStatus { return RunStatus{Percent: 90 + i/14} })
		d.tick()
	}
	c.Assert(d.runs(id), qt.HasLen, 1)
	d.stops = nil
	d.submit(0, "", taskStep(1, 8))
	d.settle()
	c.Check(d.stops, qt.HasLen, 1)
}
