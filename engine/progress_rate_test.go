package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against estimating the remaining time of a resumed run by its start instead of its
// measured rate. The time since the last poll is subtracted.
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

// Guards against a rate computed from too little progress, or from progress that went back.
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

// Guards against an urgent job that waits for a resumed run which is slower than its estimate,
// instead of evicting it.
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
