package engine

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// cancelUnansweredStart orders a start that gets no answer, and cancels its job.
func (d *driver) cancelUnansweredStart(c *qt.C) (workload.RunID, WorkerID) {
	id := d.submit(1, "", taskStep(1, 8))
	var run workload.RunID
	for range 3 {
		d.decideAndStore(StartUnknown)
	}
	c.Assert(d.starts, qt.HasLen, 1)
	run = d.starts[0].Run
	d.handle(CancelRequested{Job: id})
	d.settle()
	return run, d.startedOn[run]
}

// reportStopsRun reports a single run on a worker and returns whether its stop is ordered at once.
func (d *driver) reportStopsRun(run workload.RunID, on WorkerID) bool {
	d.stops = nil
	d.now += 100 * time.Millisecond
	d.report(Report{
		Epoch: d.e.epoch, Polled: true, Worker: d.e.workers[on].info,
		Running: []RunStatus{{Run: run, Percent: 1}},
	})
	d.settle()
	return slices.Contains(d.stops, run)
}

// A start gets no answer, its job is cancelled and its placement given up. If the worker carries the
// order out later, the run must be stopped with the first report that lists it.
func TestLateStartOfCancelledJobIsStopped(t *testing.T) {
	c := qt.New(t)
	d := newDriver(t, 1)
	run, on := d.cancelUnansweredStart(c)
	d.report(Report{Epoch: 1, Polled: true, Worker: d.e.workers[on].info, ConfirmedAbsent: []workload.RunID{run}})
	d.settle()
	c.Assert(d.runs(run.Task.Job), qt.HasLen, 0)
	c.Check(d.reportStopsRun(run, on), qt.IsTrue)
	c.Check(d.e.workers[on].usable(d.now), qt.IsFalse, qt.Commentf("not usable until the run has stopped"))
}

// Guards against a late start that a successor does not stop, because it never ordered the task
// and knows its job only as cancelled.
func TestSuccessorStopsLateStartOfCancelledJob(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		c := qt.New(t)
		d := newDriver(t, 1)
		run, on := d.cancelUnansweredStart(c)
		info := d.e.workers[on].info
		if !recorded {
			d.report(Report{Epoch: 1, Polled: true, Worker: info, ConfirmedAbsent: []workload.RunID{run}})
			d.settle()
		}
		d.takeOver()
		d.report(Report{Epoch: d.e.epoch, Polled: true, Worker: info})
		c.Check(d.reportStopsRun(run, on), qt.IsTrue, qt.Commentf("placement still stored: %v", recorded))
		c.Check(d.e.workers[on].usable(d.now), qt.IsFalse)
	}
}

// Guards against a task that waits for the end of the lease by which its start was ordered, although the agent
// was killed and its next process refuses the order: only the earlier process can have sent a call.
func TestOrderToKilledAgentIsAwaitedFromItsEnd(t *testing.T) {
	const downFor = 500 * time.Millisecond
	d := newLostWorkerScenario(t, true, StartUnknown)
	d.restartAgent(d.worker.info.Agent)
	restartedAt := d.orderedAt + downFor
	report := func() {
		r := d.currentReport()
		r.ProcessAge = d.now - restartedAt
		if d.now > restartedAt+time.Second {
			r.ConfirmedAbsent = []workload.RunID{d.run}
		}
		d.report(r)
		d.pass(d.now + 100*time.Millisecond)
	}
	for d.now = restartedAt; d.now <= restartedAt+MaxCallDelay; {
		report()
	}
	d.c.Check(d.starts, qt.HasLen, 1)
	for d.now <= restartedAt+MaxCallDelay+maxPollAge+500*time.Millisecond {
		report()
	}
	d.c.Check(d.starts, qt.HasLen, 2)
}

// Guards against a task that waits for the end of a lease because an order to start it was lost, with a
// connection or in a process that was paused: the agent refuses the order once it is old, and knows which calls
// got no answer.
func TestLostOrderIsAwaitedForItsLimit(t *testing.T) {
	const limit = 2750 * time.Millisecond
	for _, tc := range []struct {
		name       string
		reports    bool
		unanswered bool
		wait       time.Duration // from the order
	}{
		{"no call is unanswered", true, false, WithClockDrift(limit)},
		{"a call is unanswered", true, true, WithClockDrift(limit) + MaxCallDelay},
		{"nothing is heard of the worker", false, false, WithClockDrift(limit) + MaxCallDelay + 6*time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newLimitedStartScenario(t, true, limit, StartResult{Outcome: StartUnknown})
			report := func() {
				if tc.reports {
					r := d.currentReport()
					r.StartLimit, r.ProcessAge = limit, time.Minute
					r.ConfirmedAbsent = []workload.RunID{d.run}
					if tc.unanswered {
						r.UnansweredStarts = []workload.RunID{d.run}
					}
					d.report(r)
				}
				d.pass(d.now + 100*time.Millisecond)
			}
			for d.now < d.orderedAt+tc.wait {
				report()
			}
			d.c.Check(d.starts, qt.HasLen, 1)
			for d.now < d.orderedAt+tc.wait+maxPollAge+500*time.Millisecond {
				report()
			}
			d.c.Check(d.starts, qt.HasLen, 2)
		})
	}
}
