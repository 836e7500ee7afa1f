package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a late report of the agent's previous incarnation that ends the live worker, whose
// tasks are then started a second time.
func TestLateReportOfPreviousIncarnation(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 0)
	late := d.lateReportOfPrevious()
	current := d.workerReport(0)
	d.report(current)
	d.settle()
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(500 * time.Millisecond)
	c.Assert(d.starts, qt.HasLen, 1)
	c.Assert(d.startedOn[d.starts[0].Run], qt.Equals, current.Worker.ID)

	d.report(late)
	d.advance(time.Second)
	c.Check(d.starts, qt.HasLen, 1, qt.Commentf("its first run goes on"))
}

// Guards against a late report of an unresponsive worker that shortens its lease although the worker
// has answered since, so that its tasks are started a second time.
func TestLateReportKeepsLease(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(500 * time.Millisecond)
	c.Assert(d.starts, qt.HasLen, 1)
	worker := d.startedOn[d.starts[0].Run]

	late := d.number(Report{
		Epoch: 1, Worker: d.e.workers[worker].info,
		Unresponsive: true, LeaseKnown: true, LeaseRemaining: 300 * time.Millisecond,
	})
	d.reportProgress(worker) // grants a lease of 6 s
	d.report(late)
	for range 10 {
		d.now += 100 * time.Millisecond
		d.tick()
	}
	c.Check(d.starts, qt.HasLen, 1, qt.Commentf("its first run goes on"))
}
