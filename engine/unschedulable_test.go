package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Guards against failing a gang that does not fit while some workers are temporarily gone.
func TestGangLargerThanRemainingFleetWaits(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 9)
	for i := range 3 {
		r := d.workerReport(i)
		r.Terminated = true
		d.report(r)
	}
	s := gangStep(8, 8)
	s.SameRack = false
	id := d.submit(1, "", s)
	d.advance(6 * time.Second)
	found, _ := d.e.Lookup(id)
	c.Check(found.State, qt.Equals, workload.Queued)
	for i := range 3 {
		d.report(d.workerReport(i))
	}
	d.advance(time.Second)
	c.Check(d.runs(id), qt.HasLen, 8)
}

// Guards against logging the same reason repeatedly.
func TestUnschedulableReasonIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	s := taskStep(1, 1)
	s.Label = "nowhere"
	id := d.submit(1, "", s)
	d.advance(10 * time.Second)
	c.Check(d.decisionCounts[id]["fits no worker"], qt.Equals, 1)
}

// Guards against a job whose wait is never logged, or logged with every round.
func TestWaitingJobIsLoggedAtIntervals(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	id := d.submit(1, "", taskStep(1, 8))
	d.advance(4 * time.Second)
	c.Check(d.decisionCounts[id]["waits"], qt.Equals, 0)
	d.advance(8 * time.Second)
	c.Check(d.decisionCounts[id]["waits"], qt.Equals, 2)
}
