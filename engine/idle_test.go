package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// A gang is to run on the rack of its data, where work goes on that has long been about to
// end. The rest of the fleet stands idle. The gang waited for its rack for ever; it starts
// elsewhere, several times slower, after a moment.
func TestGangDoesNotWaitForItsRackInAnIdleFleet(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 9)
	d.busyRack()
	d.settle()
	d.pass(12 * time.Second)
	id := d.gangOfRack()
	c.Check(d.runs(id), qt.HasLen, 0, qt.Commentf("room nearby is expected in a moment"))
	d.pass(idleWait + 500*time.Millisecond)
	c.Check(d.runs(id), qt.HasLen, 2)
}

// The same with most of the fleet at work: the gang waits for its rack, where it takes a
// third of the time.
func TestGangWaitsForItsRackInABusyFleet(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 9)
	d.busyRack()
	others := tasks(3, 8)
	others.PreferredRack = "r1"
	d.job(1, "", others)
	d.settle()
	d.pass(12 * time.Second)
	id := d.gangOfRack()
	d.pass(idleWait + 500*time.Millisecond)
	c.Check(d.runs(id), qt.HasLen, 0)
}

// busyRack fills rack r0 with work that its callers declared to take a second.
func (d *desk) busyRack() {
	busy := tasks(3, 8)
	busy.PreferredRack = "r0"
	busy.Estimate = time.Second
	d.job(1, "", busy)
}

// gangOfRack hands in a gang of two workers with its data on rack r0.
func (d *desk) gangOfRack() workload.JobID {
	near := gang(2, 8)
	near.PreferredRack = "r0"
	id := d.job(1, "", near)
	d.settle()
	return id
}
