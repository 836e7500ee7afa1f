package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a start on a worker whose lease has expired while the planner was paused, before the
// tick that notices it. The tick takes the run for lost while its order is on the way, and the task
// runs twice.
func TestNoStartAfterExpiryBeforeTick(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.submit(1, "", taskStep(1, 8))
	d.now = d.e.workers["w0"].leaseExpiresAt + 100*time.Millisecond
	restarted := d.workerReport(0)
	restarted.Epoch, restarted.Polled = 0, false // its agent does not know the planner yet
	d.report(restarted)
	d.settle()
	c.Check(d.starts, qt.HasLen, 0, qt.Commentf("no lease is granted"))
	d.tick()
	d.report(d.workerReport(0))
	d.tick()
	c.Check(d.starts, qt.HasLen, 1)
}

// Guards against orders that an agent can't tell from those decided under a later lease: they name the
// report that the lease was granted on.
func TestOrdersNameTheirGrant(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	d.report(d.workerReport(0))
	granted := *d.origins["agent0"]
	withoutGrant := d.workerReport(0)
	withoutGrant.Epoch, withoutGrant.Polled = 0, false
	d.report(withoutGrant)
	d.submit(1, "", taskStep(1, 8))
	for len(d.starts) == 0 {
		d.decideAndStore(StartOK)
	}
	c.Check(d.grants[d.starts[0].Run], qt.Equals, granted)
}
