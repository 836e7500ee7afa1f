package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// The declared durations of tasks on a gang's preferred rack are too short, so that capacity there
// always seems about to become free. With the other racks idle, the gang must start elsewhere.
func TestGangDoesNotWaitForRackInIdleFleet(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 9)
	d.fillRack()
	d.settle()
	d.advance(12 * time.Second)
	id := d.submitRackGang()
	c.Check(d.runs(id), qt.HasLen, 0, qt.Commentf("capacity on the rack is expected to become free soon"))
	d.advance(maxWaitBesideIdleFleet + 500*time.Millisecond)
	c.Check(d.runs(id), qt.HasLen, 2)
}

// While most of the fleet is busy, the gang waits for its preferred rack.
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

// fillRack fills rack r0 with tasks that are declared to take one second.
func (d *driver) fillRack() {
	busy := taskStep(3, 8)
	busy.PreferredRack = "r0"
	busy.Estimate = time.Second
	d.submit(1, "", busy)
}

// submitRackGang submits a gang of two members that prefers rack r0.
func (d *driver) submitRackGang() workload.JobID {
	step := gangStep(2, 8)
	step.PreferredRack = "r0"
	id := d.submit(1, "", step)
	d.settle()
	return id
}
