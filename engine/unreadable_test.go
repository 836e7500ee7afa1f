package engine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against ignoring a worker whose stored record is unreadable after it has reported.
func TestWorkerWithUnreadableRecordIsUsedOnceItReports(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 0)
	d.handle(WorkerRestored{Info: WorkerInfo{ID: "w0"}})
	id := d.submit(1, "", taskStep(1, 8))
	d.settle()
	c.Check(d.runs(id), qt.HasLen, 0)
	d.report(d.workerReport(0))
	d.settle()
	c.Check(d.runs(id)["w0"], qt.HasLen, 1)
	c.Check(d.e.workers["w0"].recorded, qt.IsTrue)
}
