package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Workers, agents and planner fail together. The next planner must find the newest checkpoints in
// the store, or all work is lost.
func TestCheckpointsSurviveFullOutage(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 2)
	step := taskStep(1, 8)
	step.Checkpoints = true
	id := d.submit(1, "", step)
	d.settle()
	on := d.startedOn[d.starts[0].Run]
	d.reportCheckpoint(on, "saved-1")
	d.advance(2 * checkpointWriteInterval)
	d.reportCheckpoint(on, "saved-2")
	d.advance(2 * checkpointWriteInterval)
	d.takeOver()
	for _, w := range d.e.sortedWorkers() {
		d.report(Report{Worker: w.info, Terminated: true})
	}
	for i := range 2 {
		report := d.workerReport(10 + i)
		report.Epoch = d.e.epoch
		d.report(report)
	}
	d.starts = nil
	d.settle()
	c.Assert(d.starts, qt.HasLen, 1, qt.Commentf("runs: %v", d.runs(id)))
	c.Check(d.starts[0].Checkpoint, qt.Equals, "saved-2")
}

// The number of jobs in one write of checkpoints must not grow with the number of running tasks.
func TestCheckpointWritesAreBounded(t *testing.T) {
	c := qt.New(t)
	const jobs = 3 * maxCheckpointJobs
	d := newDriver(t, jobs)
	step := taskStep(1, 8)
	step.Checkpoints = true
	for range jobs {
		d.submit(1, "", step)
	}
	d.settle()
	for i, s := range d.starts {
		d.reportCheckpoint(d.startedOn[s.Run], fmt.Sprint("saved-", i))
	}
	d.now += checkpointWriteInterval
	d.handle(Tick{WallTime: time.Unix(1000, 0)})
	w := d.e.PendingChanges(d.now, time.Unix(1000, 0), 10*jobs)
	c.Check(w.Jobs, qt.HasLen, maxCheckpointJobs)
}

// reportCheckpoint reports the single run of a worker with a new checkpoint.
func (d *driver) reportCheckpoint(id WorkerID, saved string) {
	d.now += 100 * time.Millisecond
	d.reportRuns(id, func(p *placement) RunStatus {
		return RunStatus{Checkpoint: saved, Percent: p.rate.lastPercent + 1}
	})
}
