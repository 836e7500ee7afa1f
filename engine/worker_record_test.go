package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against removing the record of a worker that reports again after it was taken for gone. The
// next planner would not restore its placements, and start their tasks a second time.
func TestRecordOfReturnedWorkerIsKept(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.now += workerRetention + 10*time.Second
	d.handle(Tick{WallTime: time.Unix(1000, 0)})
	c.Assert(d.e.workers, qt.HasLen, 0)

	d.report(d.workerReport(0))
	change := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
	c.Check(change.Workers, qt.HasLen, 1)
	c.Check(change.RemovedWorkers, qt.HasLen, 0)
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
