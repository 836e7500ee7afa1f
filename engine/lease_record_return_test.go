package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that runs twice because a worker that was taken for gone is back and is granted its lease,
// while the record that was being written meanwhile tells successors that it has ended by then.
func TestRecordOfReturnedWorkerHasNoLease(t *testing.T) {
	d := newLostWorkerScenario(t, false, StartOK)
	d.now += reportTimeout
	d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
	recording := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
	d.c.Assert(recording.Workers, qt.HasLen, 1)
	d.c.Assert(recording.Workers[0].Lease, qt.IsNotNil)

	id := d.worker.info.ID
	terminated := d.currentReport()
	terminated.Terminated = true
	d.report(terminated)
	d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
	d.c.Assert(d.e.workers[id], qt.IsNil)
	back := d.currentReport()
	back.Running = nil
	d.c.Assert(d.report(back).Attached, qt.IsTrue)

	d.handle(WriteApplied{Write: recording})
	next := d.e.PendingChanges(d.now, time.Unix(1000, 0), 15)
	rewritten := false
	for _, info := range next.Workers {
		rewritten = rewritten || info.ID == id && info.Lease == nil
	}
	d.c.Check(rewritten, qt.IsTrue)
	d.c.Check(d.e.workers[id].recorded, qt.IsFalse)
}
