package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A task stands still on a worker that answers well: it is tried elsewhere.
func TestTaskThatStandsStillIsMoved(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 2)
	d.job(1, "", tasks(1, 8))
	d.settle()
	for range 60 {
		for _, w := range d.e.sortedWorkers() {
			d.show(w.info.ID, func(*placement) RunningRow { return RunningRow{Percent: 20} })
		}
		d.now += 100 * time.Millisecond
		d.tick()
	}
	c.Check(len(d.stops) > 0, qt.IsTrue)
}

// A worker does not answer its agent for some seconds, and then shows that its task went
// on all the while. Without a look nothing can be said of it, so it must not be stopped.
func TestSilentWorkerIsNotTakenForStandingStill(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 2)
	d.job(1, "", tasks(1, 8))
	d.settle()
	on := d.on[d.starts[0].Run]
	d.beat(on)
	for range 50 {
		d.now += 100 * time.Millisecond
		d.report(Report{Epoch: 1, Worker: d.e.workers[on].info, Silent: true, LeaseKnown: true, LeaseLeft: 5 * time.Second})
		d.tick()
	}
	c.Check(d.stops, qt.HasLen, 0)
	d.beat(on)
	d.tick()
	c.Check(d.stops, qt.HasLen, 0)
}

// A task stands still wherever it runs. Each move threw away what it had held for the time
// that its patience lasts, and did so for ever. A few moves find a sound worker where there
// is one; after that they become seldom.
func TestTaskThatStandsStillEverywhereIsMovedSeldom(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t, 6)
	d.job(1, "", tasks(1, 8))
	d.settle()
	for end := d.now + 2*time.Minute; d.now < end; d.now += 100 * time.Millisecond {
		for _, w := range d.e.sortedWorkers() {
			d.show(w.info.ID, func(*placement) RunningRow { return RunningRow{Percent: 20} })
		}
		d.tick()
		for _, run := range d.stops {
			w := d.e.workers[d.on[run]]
			if p := w.places[run.Task]; p != nil && p.run == run.Number {
				d.ends[w.info.ID]++
				d.report(Report{Epoch: 1, Looked: true, Worker: w.info, Ended: []EndRow{{Number: d.ends[w.info.ID], Run: run, Reason: EndStopped}}})
			}
		}
	}
	c.Check(len(d.starts) >= 4, qt.IsTrue, qt.Commentf("%d starts", len(d.starts)))
	c.Check(len(d.starts) <= 9, qt.IsTrue, qt.Commentf("%d starts", len(d.starts)))
}
