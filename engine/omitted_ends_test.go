package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// cutReport returns a report of the worker that lists the end of another run and omits further ends.
func (d *driver) cutReport(info WorkerInfo) Report {
	d.endCounts[info.ID]++
	other := workload.RunID{Task: workload.TaskID{Job: "other"}, Number: 1}
	r := d.number(Report{
		Epoch: d.e.epoch, Polled: true, Worker: info, Generation: d.e.workers[info.ID].generation,
		Ended: []RunEnd{{Sequence: d.endCounts[info.ID], Run: other, Reason: EndDone}}, EndsOmitted: true,
	})
	r.Origin.BuiltAt = d.now // it arrives without delay
	return r
}

// remainingReport returns a report of the worker that omits no ends and lists that of run, if it is set.
func (d *driver) remainingReport(info WorkerInfo, run *workload.RunID) Report {
	r := d.cutReport(info)
	r.EndsOmitted = false
	if run == nil {
		r.Ended = nil
	} else {
		r.Ended[0].Run = *run
	}
	return r
}

// Guards against a successor that takes a run for absent and starts its task again, although the run is
// done: the worker's first list of ends did not reach it.
func TestSuccessorWaitsForOmittedEnds(t *testing.T) {
	for _, done := range []bool{true, false} {
		c := qt.New(t)
		d := newDriver(t, 2)
		id := d.submit(1, "", taskStep(1, 8))
		d.settle()
		d.advance(500 * time.Millisecond)
		run := d.starts[0].Run
		on := d.startedOn[run]
		d.takeOver()
		for _, w := range d.e.sortedWorkers() {
			if w.info.ID != on {
				d.report(Report{Epoch: d.e.epoch, Polled: true, Worker: w.info})
			}
		}
		info := d.e.workers[on].info
		for range 3 {
			d.report(d.cutReport(info))
			d.settle()
		}
		c.Assert(d.starts, qt.HasLen, 1)
		if done {
			d.report(d.remainingReport(info, &run))
			d.settle()
			c.Check(d.starts, qt.HasLen, 1)
			job, _ := d.e.Lookup(id)
			c.Check(job.State, qt.Equals, workload.Completed)
			continue
		}
		d.report(d.remainingReport(info, nil))
		d.settle()
		c.Check(d.starts, qt.HasLen, 2, qt.Commentf("the complete list shows that the run is absent"))
	}
}

// Guards against a run that is stopped, and with it its gang, because lists that omit ends don't have it.
func TestOmittedEndIsNoMissedPoll(t *testing.T) {
	for _, omitted := range []bool{true, false} {
		c := qt.New(t)
		d := newDriver(t, 1)
		d.submit(1, "", taskStep(1, 8))
		d.settle()
		run := d.starts[0].Run
		info := d.e.workers[d.startedOn[run]].info
		for range 2 * maxMissedPolls {
			r := d.cutReport(info)
			r.EndsOmitted = omitted
			d.report(r)
			d.settle()
		}
		c.Check(d.stops, qt.HasLen, map[bool]int{true: 0, false: 1}[omitted])
	}
}

// Guards against a task that runs twice because an absent run is released by a list that omits its end: a
// late call has started it, and it is done.
func TestAbsentRunIsKeptWhileEndsAreOmitted(t *testing.T) {
	d := newAbsentRunScenario(t, true)
	info := d.worker.info
	for end := d.orderedAt + MaxCallDelay + 2*maxPollAge; d.now < end; d.pass(d.now + 100*time.Millisecond) {
		d.report(d.cutReport(info))
	}
	d.c.Assert(d.starts, qt.HasLen, 1)
	d.report(d.remainingReport(info, &d.run))
	d.settle()
	d.c.Check(d.starts, qt.HasLen, 1)
	job, _ := d.e.Lookup(d.job)
	d.c.Check(job.State, qt.Equals, workload.Completed)
}

// Guards against a task that runs twice because its end on the next incarnation, where a call meant for the
// previous one has started it, is omitted from the first list.
func TestNextIncarnationWaitsForOmittedEnds(t *testing.T) {
	for _, listedFirst := range []bool{true, false} {
		d := newLostWorkerScenario(t, true, StartOK)
		previous := d.worker.info.ID
		r := d.next() // answered; reports under its own fence from now on
		info := r.Worker
		first := d.cutReport(info)
		if listedFirst {
			first.Ended[0].Run = d.run
		}
		d.report(first)
		d.settle()
		d.c.Assert(d.starts, qt.HasLen, 1)
		if !listedFirst {
			d.report(d.remainingReport(info, &d.run))
		} else {
			d.report(d.remainingReport(info, nil))
		}
		d.settle()
		d.c.Check(d.starts, qt.HasLen, 1)
		d.c.Check(d.e.workers[previous], qt.IsNil)
		job, _ := d.e.Lookup(d.job)
		d.c.Check(job.State, qt.Equals, workload.Completed)
	}
}

// Guards against a crash that is counted for a run that was over: the last list before the crash omitted its
// end.
func TestCrashAfterOmittedEndIsNotCounted(t *testing.T) {
	for _, tc := range []struct {
		name                                 string
		omitted, polled, listed, pastStartup bool
		crashes                              int
	}{
		{"may be over", true, true, false, false, 0},
		{"ordered since the last poll", true, false, false, false, 1},
		{"listed as running", true, true, true, false, 1},
		{"listed as running for some time", true, true, false, true, 1},
		{"no ends omitted", false, true, false, false, 1},
	} {
		d := newDriver(t, 2)
		id := d.submit(1, "", taskStep(1, 8))
		d.settle()
		run := []RunStatus{{Run: d.starts[0].Run, Percent: 1}}
		crash := d.cutReport(d.e.workers[d.startedOn[run[0].Run]].info)
		crash.EndsOmitted = tc.omitted
		if tc.polled {
			d.now += 100 * time.Millisecond
			if tc.listed {
				crash.Running = run
			}
			d.report(crash)
		}
		crash = d.number(crash)
		crash.Terminated, crash.Crashed, crash.Running = true, true, nil
		if tc.pastStartup {
			crash.Running = run
		}
		d.report(crash)
		qt.Check(t, d.e.jobs[id].units[0].crashCountOf(0).total, qt.Equals, tc.crashes, qt.Commentf(tc.name))
	}
}

// Guards against a run that is taken for stuck and stopped because its end is among those that its worker omits.
func TestRunWithOmittedEndIsNotStuck(t *testing.T) {
	d := newDriver(t, 1)
	d.submit(1, "", taskStep(1, 8))
	d.settle()
	run := d.starts[0].Run
	info := d.e.workers[d.startedOn[run]].info
	d.report(Report{Epoch: 1, Polled: true, Worker: info, Running: []RunStatus{{Run: run, Percent: 50}}})
	for range 40 {
		d.now += 200 * time.Millisecond
		d.report(d.cutReport(info))
		d.tick()
	}
	qt.Check(t, d.stops, qt.HasLen, 0)
}
