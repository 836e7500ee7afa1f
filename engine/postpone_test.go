package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a postponed planning round that never runs, or that holds back stops already
// decided.
func TestPostponedRoundRunsWhenDue(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	first := d.submit(1, "", taskStep(1, 1))
	d.settle()
	c.Assert(d.runs(first), qt.HasLen, 1)

	d.e.DelayPlanning(d.now + 100*time.Millisecond)
	second := d.submit(1, "", taskStep(1, 1))
	d.handle(CancelRequested{Job: first, Revision: 9})
	d.decideAndStore(StartOK)
	c.Check(d.runs(second), qt.HasLen, 0)
	c.Check(d.stops, qt.HasLen, 1, qt.Commentf("a decided stop must be sent at once"))
	until, due := d.e.NextPlanning()
	c.Check(due, qt.IsTrue)
	d.now = until
	d.settle()
	c.Check(d.runs(second), qt.HasLen, 1)
}
