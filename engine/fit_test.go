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
func TestGangDoesNotWaitForRackInIdleFleet(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 9)
	d.fillRack()
	d.settle()
	d.advance(12 * time.Second)
	id := d.submitRackGang()
	c.Check(d.runs(id), qt.HasLen, 0, qt.Commentf("room nearby is expected in a moment"))
	d.advance(maxWaitBesideIdleFleet + 500*time.Millisecond)
	c.Check(d.runs(id), qt.HasLen, 2)
}

// The same with most of the fleet at work: the gang waits for its rack, where it takes a
// third of the time.
func TestGangWaitsForRackInBusyFleet(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 9)
	d.fillRack()
	others := taskStep(3, 8)
	others.PreferredRack = "r1"
	d.submit(1, "", others)
	d.settle()
	d.advance(12 * time.Second)
	id := d.submitRackGang()
	d.advance(maxWaitBesideIdleFleet + 500*time.Millisecond)
	c.Check(d.runs(id), qt.HasLen, 0)
}

// fillRack fills rack r0 with work that its callers declared to take a second.
func (d *driver) fillRack() {
	busy := taskStep(3, 8)
	busy.PreferredRack = "r0"
	busy.Estimate = time.Second
	d.submit(1, "", busy)
}

// submitRackGang hands in a gang of two workers with its data on rack r0.
func (d *driver) submitRackGang() workload.JobID {
	step := gangStep(2, 8)
	step.PreferredRack = "r0"
	id := d.submit(1, "", step)
	d.settle()
	return id
}
