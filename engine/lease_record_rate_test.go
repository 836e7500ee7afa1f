package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against planners that end before they have recorded the leases of all workers that are silent at
// once, as after a loss of power, so that the runs of the others wait a whole lease anew.
func TestLeasesOfManyWorkersAreRecorded(t *testing.T) {
	c := qt.New(t)
	const (
		workers = 100
		// The records fit into seven writes.
		timeToRecord = 500 * time.Millisecond
	)
	d := newDriver(t, 0)
	for i := range workers {
		d.report(d.workerReport(i))
	}
	d.settle()
	d.submit(1, "", taskStep(workers, 8))
	d.settle()
	c.Assert(d.starts, qt.HasLen, workers)
	d.passSilently(d.now + reportTimeout + timeToRecord)
	for planner := range 3 {
		c.Check(d.leasesRecorded(), qt.Equals, workers, qt.Commentf("planner %d", planner+1))
		d.takeOver()
		d.passSilently(d.now + timeToRecord)
	}
}

// passSilently passes time until end, while no worker reports. A write takes 10 ms.
func (d *driver) passSilently(end time.Duration) {
	for ; d.now < end; d.now += 10 * time.Millisecond {
		if d.now%(50*time.Millisecond) == 0 {
			d.handle(Tick{WallTime: time.Unix(1000, 0).Add(d.now)})
		}
		d.decideAndStore(StartOK)
	}
}

// leasesRecorded returns how many workers' leases this planner has recorded.
func (d *driver) leasesRecorded() int {
	n := 0
	for _, w := range d.e.workers {
		if w.leaseRecord != nil && w.leaseRecord.Epoch == d.e.epoch {
			n++
		}
	}
	return n
}
