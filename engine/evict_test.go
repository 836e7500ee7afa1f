package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An urgent job beyond its account's guarantee has just started on the only worker, when one
// within a guarantee comes. What has just started throws the least work away, so that it was
// stopped at once, and was late; it may run until the guarantee leaves no more time to wait.
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
	d.advance(100*time.Millisecond + 2*replanEvery)
	c.Check(d.stops, qt.HasLen, 1)
	c.Check(d.runs(guaranteed), qt.HasLen, 0, qt.Commentf("the room is not free yet"))
}

// Patient work makes room for the same job at once.
func TestDeferrableWorkIsEvictedForUrgentWorkAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(2, "", taskStep(1, 8))
	d.settle()
	d.submit(0, "big", taskStep(1, 8))
	d.settle()
	c.Check(d.stops, qt.HasLen, 1)
}
