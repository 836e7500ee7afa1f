package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a successor that takes runs for absent at a first report without a poll, and starts
// their tasks a second time. An agent sends one if its answers overtook each other: it has reported the
// later answer before it learns that the worker has seen the new epoch.
func TestAdoptedRunsStayUntilPolled(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	d.advance(500 * time.Millisecond)
	c.Assert(d.starts, qt.HasLen, 1)
	run := d.starts[0].Run
	worker := d.startedOn[run]
	d.takeOver()
	info := d.e.workers[worker].info

	for _, w := range d.e.sortedWorkers() {
		d.report(Report{Epoch: d.e.epoch, Worker: w.info})
	}
	d.settle()
	d.report(Report{Epoch: d.e.epoch, Worker: info, Polled: true, Running: []RunStatus{{Run: run, Percent: 50}}})
	d.settle()
	c.Check(d.starts, qt.HasLen, 1, qt.Commentf("its first run goes on"))
	c.Check(d.runs(id)[worker], qt.HasLen, 1)
}
