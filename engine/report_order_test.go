package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a late report of an agent's earlier process that ends the worker which its present
// process has reported.
func TestLateReportOfReplacedProcess(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 0)
	late := d.lateReportOfPrevious()
	current := d.workerReport(0)
	d.restartAgent(current.Worker.Agent)
	d.report(current)
	d.settle()
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	c.Assert(d.runs(id)["w0"], qt.HasLen, 1)

	c.Check(d.report(late).Standing, qt.Equals, ReportOutdated)
	d.advance(time.Second)
	c.Check(d.starts, qt.HasLen, 1, qt.Commentf("its first run goes on"))
}

// Guards against a late report of an agent's earlier process that makes a new planner end a worker
// whose placements it has restored.
func TestUnconfirmedReportEndsNoWorker(t *testing.T) {
	for _, terminated := range []bool{false, true} {
		c := qt.New(t)
		d := newDriver(t, 1)
		previous := d.workerReport(0)
		if previous.Terminated = terminated; !terminated {
			previous.Worker.ID = "w0-previous"
		}
		late := d.number(previous)
		d.restartAgent(previous.Worker.Agent)
		id := d.submit(1, "", taskStep(1, 8))
		d.settle()
		d.advance(500 * time.Millisecond)
		running := d.e.workers["w0"].info
		runs := d.runs(id)["w0"]
		c.Assert(runs, qt.HasLen, 1)

		d.takeOver()
		c.Check(d.report(late).Standing, qt.Equals, ReportUnconfirmed)
		d.report(Report{Epoch: d.e.epoch, Polled: true, Worker: running, Running: []RunStatus{{Run: runs[0]}}})
		d.settle()
		d.advance(time.Second)
		c.Check(d.starts, qt.HasLen, 1, qt.Commentf("its first run goes on"))
	}
}

// Guards against a late report of a process that has an answer of the planner, but was replaced before
// a report with that answer was handled.
func TestLateReportOfProcessNeverCurrent(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.takeOver()
	first := d.number(d.workerReport(0))
	first.Origin.Epoch = 1
	c.Assert(d.report(first).Standing, qt.Equals, ReportUnconfirmed)
	late := d.number(d.workerReport(0))
	d.restartAgent("agent0")
	current := d.workerReport(0)
	current.Worker.ID, current.Epoch = "w0-next", d.e.epoch
	c.Assert(d.report(current).Standing, qt.Equals, ReportCurrent)
	c.Check(d.report(late).Standing, qt.Equals, ReportOutdated)
	c.Check(d.e.workers["w0-next"], qt.IsNotNil)
}

// Guards against ignoring an agent that was restarted: its first reports have no answer of the
// planner yet.
func TestRestartedAgentIsHeard(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.restartAgent("agent0")
	first := d.workerReport(0)
	first.Epoch, first.Origin = 0, ReportOrigin{Process: d.origins["agent0"].Process, Sequence: 1}
	c.Check(d.report(first).Standing, qt.Equals, ReportUnconfirmed)
	d.origins["agent0"].Sequence = 1
	answer := d.report(d.workerReport(0))
	c.Check(answer.Standing, qt.Equals, ReportCurrent)
	c.Check(answer.Attached, qt.IsTrue)
}

// Guards against a first report of a process that is over which makes the live process outdated.
func TestUnconfirmedReportReplacesNoProcess(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	unconfirmed := d.workerReport(0)
	unconfirmed.Origin = ReportOrigin{Process: 99, Sequence: 1}
	c.Assert(d.report(unconfirmed).Standing, qt.Equals, ReportUnconfirmed)
	c.Check(d.report(d.workerReport(0)).Standing, qt.Equals, ReportCurrent)
}

// Guards against a departure report of a process that is over which adds its worker again.
func TestUnconfirmedDepartureAddsNoWorker(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 0)
	r := d.workerReport(0)
	r.Terminated, r.Origin = true, ReportOrigin{Process: 99, Sequence: 1}
	c.Assert(d.report(r).Standing, qt.Equals, ReportUnconfirmed)
	c.Check(d.e.workers, qt.HasLen, 0)
}
