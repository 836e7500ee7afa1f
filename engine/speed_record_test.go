package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workerspeed"
)

// Guards against memory that grows with each agent that is replaced for good.
func TestSpeedsOfGoneAgentsAreForgotten(t *testing.T) {
	d := newTwoSpeedDriver(t)
	for _, w := range d.e.sortedWorkers() {
		d.e.removeWorker(w)
	}
	qt.Assert(t, d.e.earlierSpeeds, qt.HasLen, 12)
	d.now += time.Hour
	d.handle(Tick{})
	qt.Check(t, d.e.earlierSpeeds, qt.HasLen, 0)
}

// A worker that keeps its name returns while its earlier incarnation still has runs. Guards against
// slow hardware that is tried anew after each crash.
func TestNextIncarnationOfNameInheritsSpeed(t *testing.T) {
	d := newTwoSpeedDriver(t)
	first := d.workerReport(0)
	first.Worker.ID, first.Worker.Agent, first.Worker.Name = "n-1", "agent-n", "n"
	d.report(first)
	d.e.tracker.speeds.Restore(d.now, "s", "n-1", workerspeed.Evidence{Effect: 0.6, Precision: 400})
	next := first
	next.Worker.ID = "n-2"
	next.Origin = ReportOrigin{}
	d.report(next)
	factor := d.e.tracker.speeds.Estimate(d.now, "n-2").Factor
	qt.Check(t, factor > 1.3, qt.IsTrue, qt.Commentf("factor %v", factor))
}
