package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// smallJobTime is the run time of a small job.
const smallJobTime = 2 * time.Second

// advanceRuns advances time by 100 ms and reports progress for runs of the given length.
func (d *driver) advanceRuns(length time.Duration) {
	for _, w := range d.e.sortedWorkers() {
		d.reportRuns(w.info.ID, func(p *placement) RunStatus {
			return RunStatus{Percent: int(100 * (d.now - p.startedAt) / length)}
		})
	}
	d.now += 100 * time.Millisecond
	d.tick()
}

// gangWaitAmongSmallJobs returns how long a gang that needs all three workers waits while small
// jobs of one worker each arrive faster than they end; never if it waits for a minute.
func gangWaitAmongSmallJobs(t *testing.T, reservations int) time.Duration {
	d := newDriver(t, 3)
	d.e.params.Policy.Reservations = reservations
	startedAt := map[workload.JobID]time.Duration{}
	submitSmall := func() {
		step := taskStep(1, 8)
		step.Estimate = smallJobTime
		startedAt[d.submit(2, "", step)] = 0
	}
	for range 3 {
		submitSmall()
	}
	d.settle()
	gangID := d.submit(1, "", gangStep(3, 8))
	from := d.now
	for d.now-from < time.Minute {
		submitSmall()
		for range 5 {
			d.advanceRuns(smallJobTime)
		}
		for id, at := range startedAt {
			if at == 0 && len(d.runs(id)) > 0 {
				startedAt[id] = d.now
			}
			if at != 0 && d.now-at >= smallJobTime && len(d.runs(id)) > 0 {
				d.endRuns(id, EndDone)
				d.settle()
			}
		}
		if len(d.runs(gangID)) == 3 {
			return d.now - from
		}
	}
	return never
}

// Guards against starvation of a large gang by small jobs behind it in the queue.
func TestLargeGangIsNotStarvedBySmallJobs(t *testing.T) {
	c := qt.New(t)
	c.Check(gangWaitAmongSmallJobs(t, 0), qt.Equals, never, qt.Commentf("without reservations the gang must starve"))
	c.Check(gangWaitAmongSmallJobs(t, DefaultPolicy().Reservations) < 10*time.Second, qt.IsTrue)
}
