package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An urgent job that has just started is the cheapest victim for a guaranteed one. It must be
// evicted only when the guarantee allows no further waiting.
func TestUrgentWorkIsEvictedForGuaranteeOnlyWhenDue(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(0, "", taskStep(1, 8))
	d.settle()
	guaranteed := d.submit(0, "big", taskStep(1, 8))
	d.settle()
	c.Check(d.stops, qt.HasLen, 0)
	due := d.e.params.MaxReclaimWait - d.e.params.StopTime - reclaimMargin
	d.advance(due - 100*time.Millisecond)
	c.Check(d.stops, qt.HasLen, 0)
	d.advance(100*time.Millisecond + 2*replanInterval)
	c.Check(d.stops, qt.HasLen, 1)
	c.Check(d.runs(guaranteed), qt.HasLen, 0, qt.Commentf("the victim still holds its capacity"))
}

// Guards against delaying the eviction of lower-priority work for an urgent job.
func TestDeferrableWorkIsEvictedForUrgentWorkAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(2, "", taskStep(1, 8))
	d.settle()
	d.submit(0, "big", taskStep(1, 8))
	d.settle()
	c.Check(d.stops, qt.HasLen, 1)
}
