package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An urgent job beyond its account's guarantee has just started on the only worker, when one
// within a guarantee comes. What has just started throws the least work away, so that it was
// stopped at once, and was late; it may run until the guarantee leaves no more time to wait.
func TestUrgentWorkIsStoppedForAGuaranteeOnlyWhenThatIsDue(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 1)
	d.job(0, "", tasks(1, 8))
	d.settle()
	promised := d.job(0, "big", tasks(1, 8))
	d.settle()
	c.Check(d.stops, qt.HasLen, 0)
	due := d.e.params.MaxReclaimWait - d.e.params.StopTime - reclaimMargin
	d.pass(due - 100*time.Millisecond)
	c.Check(d.stops, qt.HasLen, 0)
	d.pass(100*time.Millisecond + 2*replanEvery)
	c.Check(d.stops, qt.HasLen, 1)
	c.Check(d.runs(promised), qt.HasLen, 0, qt.Commentf("the room is not free yet"))
}

// Patient work makes room for the same job at once.
func TestPatientWorkIsStoppedForUrgentWorkAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 1)
	d.job(2, "", tasks(1, 8))
	d.settle()
	d.job(0, "big", tasks(1, 8))
	d.settle()
	c.Check(d.stops, qt.HasLen, 1)
}
