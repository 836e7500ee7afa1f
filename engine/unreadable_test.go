package engine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A predecessor's record of a worker can't be read, so only its id is known. Once the
// worker reports, it is used like any other, and its record is written anew.
func TestWorkerWithoutAReadableRecordIsUsedOnceItReports(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 0)
	d.step(WorkerRestored{Info: WorkerInfo{ID: "w0"}})
	id := d.job(1, "", tasks(1, 8))
	d.settle()
	c.Check(d.runs(id), qt.HasLen, 0)
	d.report(d.worker(0))
	d.settle()
	c.Check(d.runs(id)["w0"], qt.HasLen, 1)
	c.Check(d.e.workers["w0"].recorded, qt.IsTrue)
}
