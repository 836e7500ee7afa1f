package engine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a late report of an agent's earlier process that is taken for news, so that all reports
// of the running process are ignored from then on. The earlier process has had an answer of the new
// planner, and ended before its next report arrived.
func TestProcessReplacedDuringTakeoverStaysReplaced(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.takeOver()
	report := d.workerReport(0)
	report.Epoch = d.e.epoch
	unconfirmed := func() {
		r := d.number(report)
		r.Origin.Epoch = 0
		c.Assert(d.report(r).Standing, qt.Equals, ReportUnconfirmed)
	}
	unconfirmed()
	late := d.number(report)
	d.restartAgent("agent0")
	unconfirmed()
	c.Assert(d.report(report).Standing, qt.Equals, ReportCurrent)

	c.Check(d.report(late).Standing, qt.Equals, ReportOutdated)
	c.Check(d.report(report).Standing, qt.Equals, ReportCurrent, qt.Commentf("the process that runs must be heard"))
}
