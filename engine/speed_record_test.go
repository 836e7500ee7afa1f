package engine

import (
	"fmt"
	"math"
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

// Load: a worker that seems slow by chance restarts 30 times without completing a run. Guards against
// workers that count as different because the same evidence was counted at each restart.
func TestRestartsOfWorkerAreNoEvidence(t *testing.T) {
	d := newDriver(t, 12)
	speeds := d.e.tracker.speeds
	speeds.Restore(d.now, "s", "w0", workerspeed.Evidence{Effect: 0.45, Precision: 25})
	speeds.Restore(d.now, "s", "w1", workerspeed.Evidence{Effect: 0, Precision: 25})
	qt.Assert(t, speeds.Differ("s"), qt.IsFalse)
	for i := range 30 {
		next := d.workerReport(0)
		next.Worker.ID = WorkerID(fmt.Sprint("w0-", i))
		d.report(next)
		estimate := speeds.Estimate(d.now, string(next.Worker.ID))
		qt.Check(t, estimate.Error > 0, qt.IsTrue, qt.Commentf("nothing was inherited"))
	}
	qt.Check(t, speeds.Differ("s"), qt.IsFalse)
}

// Load: the slow workers have been repaired, and all run equally fast for ten minutes before the planner
// changes. Guards against a planner that restores speeds from before.
func TestRepairedWorkersAreRecorded(t *testing.T) {
	d := newTwoSpeedDriver(t)
	d.tick()
	for i := range 600 {
		d.now += time.Second
		for w := range 12 {
			d.reportProgress(WorkerID(fmt.Sprint("w", w)))
			d.e.tracker.speeds.Observe(d.now, workerspeed.Observation{
				Pool: "s", Group: workerspeed.GroupID{Job: fmt.Sprint(i)}, Queue: "q", Declared: 4 * time.Second,
				Took: time.Duration(3900+(i*12+w)*37%200) * time.Millisecond, Workers: []string{fmt.Sprint("w", w)},
			})
		}
		d.tick()
	}
	qt.Assert(t, d.e.tracker.speeds.Differ("s"), qt.IsFalse)
	d.takeOver()
	qt.Check(t, d.e.tracker.speeds.Differ("s"), qt.IsFalse)
	for w := range 12 {
		effect := d.e.workers[WorkerID(fmt.Sprint("w", w))].speed.Effect
		qt.Check(t, math.Abs(effect) < minEffectChange, qt.IsTrue, qt.Commentf("w%d: effect %v", w, effect))
	}
}
