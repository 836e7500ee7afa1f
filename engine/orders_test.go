package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against ordering only some members of a gang when the agent of one worker stops
// reporting while the placement is being stored.
func TestGangIsOrderedOnAllWorkersOrNone(t *testing.T) {
	for _, unreachable := range []WorkerID{"w0", "w1", "w2"} {
		c := qt.New(t)
		d := newDriver(t, 3)
		id := d.submit(1, "", gangStep(3, 8))
		d.e.Decide(d.now)
		write := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
		d.now += 1500 * time.Millisecond
		for _, reachable := range []WorkerID{"w0", "w1", "w2"} {
			if reachable != unreachable {
				d.reportProgress(reachable)
			}
		}
		d.handle(WriteApplied{Write: write})
		d.settle()
		c.Check(d.starts, qt.HasLen, 0)
		d.reportProgress(unreachable)
		d.settle()
		c.Check(d.starts, qt.HasLen, 3)
		for _, s := range d.starts {
			c.Check(s.Run.Number, qt.Equals, 2)
		}
		c.Check(d.runs(id), qt.HasLen, 3)
	}
}

// Guards against a unit that waits forever for its preferred rack because it avoids the workers
// there on which it failed.
func TestUnitIsRetriedOnWorkerWhereItFailed(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 9)
	s := gangStep(6, 4)
	s.PreferredRack = "r1"
	id := d.submit(1, "", s)
	d.settle()
	c.Assert(d.runs(id), qt.HasLen, 3)
	for range 2 {
		d.endRuns(id, EndFailed)
		d.settle()
		d.advance(8 * time.Second)
		c.Assert(len(d.runs(id)) > 0, qt.IsTrue)
	}
}

// Guards against a second run of a task whose start order was not answered: its capacity stays
// taken until the worker confirms the stop and a later poll does not list the run.
func TestUnansweredStartKeepsItsCapacity(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	id := d.submit(1, "", taskStep(1, 8))
	for len(d.starts) == 0 {
		d.decideAndStore(StartUnknown)
	}
	first := d.starts[0].Run
	d.settle()
	c.Check(d.stops, qt.Contains, first)
	c.Check(d.starts, qt.HasLen, 1)
	c.Check(d.e.workers["w0"].free().Accelerators, qt.Equals, 0)
	r := d.workerReport(0)
	r.ConfirmedAbsent = append(r.ConfirmedAbsent, first)
	d.report(r)
	d.now += 5 * time.Second
	d.report(d.workerReport(0))
	d.settle()
	c.Check(d.starts, qt.HasLen, 2)
	c.Check(d.starts[1].Run.Number, qt.Equals, 2)
	c.Check(d.runs(id)["w0"], qt.HasLen, 1)
}
