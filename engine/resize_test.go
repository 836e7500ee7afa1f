package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// resizedReport returns a report of worker i with the given number of accelerators, and
// processors and memory in proportion.
func (d *driver) resizedReport(i, accelerators int) Report {
	r := d.workerReport(i)
	full := r.Worker.Capacity
	r.Worker.Capacity = workload.Resources{
		MilliCPU: full.MilliCPU * accelerators / 8, MemoryMB: full.MemoryMB * accelerators / 8, Accelerators: accelerators,
	}
	return r
}

// Guards against placing work by the capacity that a worker reported first, after it has
// shrunk.
func TestShrunkWorkerIsNotOverbooked(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	first := d.submit(1, "other", taskStep(1, 3))
	d.settle()
	c.Assert(d.runs(first), qt.HasLen, 1)

	d.report(d.resizedReport(0, 4))
	second := d.submit(1, "other", taskStep(1, 3))
	d.settle()
	c.Check(d.runs(second), qt.HasLen, 0, qt.Commentf("three of four accelerators are in use"))
	third := d.submit(1, "other", taskStep(1, 1))
	d.settle()
	c.Check(d.runs(third), qt.HasLen, 1)

	d.report(d.resizedReport(0, 8))
	d.settle()
	c.Check(d.runs(second), qt.HasLen, 1, qt.Commentf("the worker's capacity has grown again"))
}

// Guards against sending a start when the worker's capacity shrank after the placement was
// decided.
func TestStartIsWithheldAfterCapacityShrank(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	id := d.submit(1, "other", taskStep(1, 6))
	d.e.Decide(d.now)
	write := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
	d.report(d.resizedReport(0, 4))
	d.handle(WriteApplied{Write: write})
	d.settle()
	c.Check(d.starts, qt.HasLen, 0)
	d.report(d.resizedReport(0, 8))
	d.settle()
	c.Check(d.starts, qt.HasLen, 1)
	c.Check(d.runs(id), qt.HasLen, 1)
}

// Guards against a placement by the capacity that a worker had before it fell silent, and against a unit
// that waits longer than until the worker has confirmed its capacity.
func TestNothingStartsBeforeCapacityIsConfirmed(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	id := d.submit(1, "", taskStep(1, 4))
	r := d.resizedReport(0, 8)
	r.CapacityUnconfirmed = true
	d.report(r)
	d.settle()
	c.Check(d.runs(id), qt.HasLen, 0)
	d.report(d.resizedReport(0, 4))
	d.settle()
	c.Check(d.runs(id), qt.HasLen, 1)
}
