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
func TestGangLargerThanWhatIsLeftWaits(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 9)
	for i := range 3 {
		r := d.worker(i)
		r.Terminated = true
		d.report(r)
	}
	s := gang(8, 8)
	s.SameRack = false
	id := d.job(1, "", s)
	d.pass(6 * time.Second)
	found, _ := d.e.Lookup(id)
	c.Check(found.State, qt.Equals, workload.Queued)
	for i := range 3 {
		d.report(d.worker(i))
	}
	d.pass(time.Second)
	c.Check(d.runs(id), qt.HasLen, 8)
}

// The operators are told why a job fits no worker, once.
func TestReasonWhyAJobFitsNoWorkerIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 1)
	s := tasks(1, 1)
	s.Label = "nowhere"
	id := d.job(1, "", s)
	d.pass(10 * time.Second)
	c.Check(d.said[id]["fits no worker"], qt.Equals, 1)
}

// A job waits for room for a long time. Whoever asks why finds it in the log, and the log
// does not grow with each decision.
func TestWhatAJobWaitsForIsLogged(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 1)
	d.job(1, "", tasks(1, 8))
	d.settle()
	id := d.job(1, "", tasks(1, 8))
	d.pass(4 * time.Second)
	c.Check(d.said[id]["waits"], qt.Equals, 0)
	d.pass(8 * time.Second)
	c.Check(d.said[id]["waits"], qt.Equals, 2)
}
