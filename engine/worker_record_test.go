package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// storeWorkers applies writes of up to limit records until there are none, and returns which of the
// recorded workers are left.
func (d *driver) storeWorkers(recorded map[WorkerID]bool, limit int) {
	for range 20 {
		w := d.e.PendingChanges(d.now, time.Unix(1000, 0), limit)
		if w.Empty() {
			return
		}
		for _, info := range w.Workers {
			recorded[info.ID] = true
		}
		for _, id := range w.RemovedWorkers {
			delete(recorded, id)
		}
		d.handle(WriteApplied{Write: w})
	}
	d.t.Fatal("the engine did not settle within 20 writes")
}

// Guards against the removal of the record of a worker that reports again before the removal is
// written. A successor would not restore its placements, and its tasks would run twice.
func TestRecordOfReturnedWorkerStays(t *testing.T) {
	for _, limit := range []int{1, 15} {
		c := qt.New(t)
		d := newDriver(t, 1)
		d.now += workerRetention + time.Second
		for range 2 { // the first notices the expiry, the second removes the worker
			d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
		}
		c.Assert(d.e.workers, qt.HasLen, 0)
		d.report(d.workerReport(0))
		recorded := map[WorkerID]bool{"w0": true}
		d.storeWorkers(recorded, limit)
		c.Check(d.e.workers["w0"].recorded, qt.IsTrue)
		c.Check(recorded["w0"], qt.IsTrue, qt.Commentf("%d records in a write", limit))
	}
}

// Guards against a record that stays after its worker: it was gone before the record was stored.
func TestRecordOfGoneWorkerIsRemoved(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 0)
	r := d.workerReport(0)
	d.report(r)
	change := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
	c.Assert(change.Workers, qt.HasLen, 1)
	r.Terminated = true
	d.report(r)
	d.handle(WriteApplied{Write: change})
	c.Check(d.e.PendingChanges(d.now, time.Unix(1000, 0), 15).RemovedWorkers, qt.DeepEquals, []WorkerID{"w0"})
}
