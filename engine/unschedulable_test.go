package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// Three of nine workers are gone for some seconds when a gang is handed in that needs
// eight. It used to be failed, although no task of it was ever tried; it has to wait for
// the workers to come back.
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

// The operators are told why a job fits no worker, once.
func TestUnschedulableReasonIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	s := taskStep(1, 1)
	s.Label = "nowhere"
	id := d.submit(1, "", s)
	d.advance(10 * time.Second)
	c.Check(d.decisionCounts[id]["fits no worker"], qt.Equals, 1)
}

// A job waits for room for a long time. Whoever asks why finds it in the log, and the log
// does not grow with each decision.
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
