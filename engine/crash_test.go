package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// workerRestartTime is how long a crashed worker takes to come back.
const workerRestartTime = 3200 * time.Millisecond

// crashScenario is a driver with tasks that crash the worker on which they start. The worker is
// unresponsive at once; its next incarnation appears after workerRestartTime. Other tasks end after
// runTime.
type crashScenario struct {
	*driver
	c             *qt.C
	crashesWorker func(workload.RunID) bool
	runTime       time.Duration
	// down holds the workers that are down, by agent.
	down          map[string]outage
	incarnations  int
	startsHandled int // number of starts already processed
	// startedAt is the start time of each run.
	startedAt map[workload.RunID]time.Duration
	// crashesByTask counts the crashes by each task, startsAfterThirdCrash its starts after the
	// third one.
	crashesByTask         map[workload.TaskID]int
	startsAfterThirdCrash map[workload.TaskID]int
	// replacePlanner makes a new planner take over after each crash.
	replacePlanner bool
}

// outage is the time between two incarnations of a worker.
type outage struct {
	until time.Duration
	epoch uint64 // of the newest planner known to the worker
	// pastStartup holds the runs that the agent had observed for StartupCrashWindow.
	pastStartup []RunStatus
}

func newCrashScenario(c *qt.C, workers int) *crashScenario {
	return &crashScenario{
		driver: newDriver(c.TB.(*testing.T), workers), c: c, runTime: 2500 * time.Millisecond,
		crashesWorker: func(workload.RunID) bool { return false },
		down:          map[string]outage{},
		startedAt:     map[workload.RunID]time.Duration{},
		crashesByTask: map[workload.TaskID]int{}, startsAfterThirdCrash: map[workload.TaskID]int{},
	}
}

// advanceWorkers simulates a span of time. It fails the test if a task is started three more times
// after it has crashed three workers.
func (d *crashScenario) advanceWorkers(span time.Duration) {
	const step = 50 * time.Millisecond
	for end := d.now + span; d.now < end; d.now += step {
		for _, w := range d.e.sortedWorkers() {
			d.reportWorker(w)
		}
		d.tick()
		d.handleStarts()
	}
}

// reportWorker sends the report of one worker's agent.
func (d *crashScenario) reportWorker(w *worker) {
	agent := w.info.Agent
	crash, down := d.down[agent]
	switch {
	case !down:
		d.reportRunningWorker(w)
	case d.now < crash.until:
		d.report(Report{Epoch: crash.epoch, Worker: w.info, Unresponsive: true})
	default:
		delete(d.down, agent)
		d.report(Report{Worker: w.info, Terminated: true, Crashed: true, Polled: true, Running: crash.pastStartup, DownFor: d.now - crash.until + workerRestartTime})
		d.incarnations++
		next := w.info
		next.ID = WorkerID(fmt.Sprintf("%s-incarnation%d", agent, d.incarnations))
		d.report(Report{Epoch: d.e.epoch, Polled: true, Worker: next})
	}
}

// reportRunningWorker reports the runs of a worker that is up.
func (d *crashScenario) reportRunningWorker(w *worker) {
	r := Report{Epoch: d.e.epoch, Polled: true, Worker: w.info}
	for _, p := range w.sortedPlacements() {
		switch {
		case p.state == placementUnrecorded:
		case p.stopping:
			r.Ended = append(r.Ended, d.endOf(w, p, EndStopped))
		case d.memberDown(p.unit):
			r.Ended = append(r.Ended, d.endOf(w, p, EndGangBroken))
		case d.now-d.startedAt[p.runID()] >= d.runTime:
			r.Ended = append(r.Ended, d.endOf(w, p, EndDone))
		default:
			r.Running = append(r.Running, RunStatus{Run: p.runID(), Percent: int(100 * (d.now - d.startedAt[p.runID()]) / d.runTime)})
		}
	}
	d.report(r)
}

// memberDown reports whether the worker of a gang member is down.
func (d *crashScenario) memberDown(u *unit) bool {
	for _, p := range u.placements {
		if _, down := d.down[p.worker.info.Agent]; down {
			return true
		}
	}
	return false
}

func (d *crashScenario) endOf(w *worker, p *placement, reason EndReason) RunEnd {
	d.endCounts[w.info.ID]++
	return RunEnd{Sequence: d.endCounts[w.info.ID], Run: p.runID(), Reason: reason}
}

func (d *crashScenario) handleStarts() {
	takeOver := false
	for ; d.startsHandled < len(d.starts); d.startsHandled++ {
		run := d.starts[d.startsHandled].Run
		w := d.e.workers[d.startedOn[run]]
		d.startedAt[run] = d.now
		if _, down := d.down[w.info.Agent]; down || !d.crashesWorker(run) {
			continue // a worker that is down starts nothing
		}
		if d.crashesByTask[run.Task] >= 3 {
			d.startsAfterThirdCrash[run.Task]++
		}
		d.c.Assert(d.startsAfterThirdCrash[run.Task] < 3, qt.IsTrue, qt.Commentf(
			"at %v: %v was started three more times after its task had crashed three workers", d.now, run))
		d.crashesByTask[run.Task]++
		d.crash(w)
		takeOver = d.replacePlanner
	}
	if takeOver {
		d.takeOver()
	}
}

func (d *crashScenario) crash(w *worker) {
	crash := outage{until: d.now + workerRestartTime, epoch: d.e.epoch}
	for _, p := range w.sortedPlacements() {
		if d.now-d.startedAt[p.runID()] >= StartupCrashWindow {
			crash.pastStartup = append(crash.pastStartup, RunStatus{Run: p.runID()})
		}
	}
	d.down[w.info.Agent] = crash
}

func (d *crashScenario) jobState(id workload.JobID) workload.State {
	found, ok := d.e.Lookup(id)
	d.c.Assert(ok, qt.IsTrue)
	return found.State
}

// A task crashes each worker within milliseconds of its start. Since the worker reports no end, the
// run does not count as a failed attempt; the job must fail nevertheless.
func TestTaskThatCrashesWorkersFailsItsJob(t *testing.T) {
	for _, tc := range []struct {
		name string
		step workload.Step
		// crashing is the index of the task that crashes workers.
		crashing int
		set      func(d *crashScenario)
	}{
		{name: "one task of several", step: taskStep(3, 2), crashing: 1},
		{name: "alone on its worker", step: taskStep(1, 8)},
		{name: "member of a gang", step: gangStep(6, 4), crashing: 4},
		{name: "planner replaced after each crash", step: taskStep(1, 2), set: func(d *crashScenario) { d.replacePlanner = true }},
		{name: "starts are unanswered", step: taskStep(1, 2), set: func(d *crashScenario) {
			d.startOutcome = func(o StartOrder) StartOutcome {
				if d.crashesWorker(o.Run) {
					return StartUnknown
				}
				return StartOK
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d := newCrashScenario(c, 6)
			if tc.set != nil {
				tc.set(d)
			}
			healthy := d.submit(1, "other", taskStep(6, 1))
			crashing := d.submit(0, "other", tc.step)
			d.crashesWorker = func(r workload.RunID) bool { return r.Task.Job == crashing && r.Task.Index == tc.crashing }
			d.settle()
			d.handleStarts()
			d.advanceWorkers(40 * time.Second)
			c.Assert(d.jobState(crashing), qt.Equals, workload.Failed)
			c.Assert(d.jobState(healthy), qt.Equals, workload.Completed)
		})
	}
}

// Tasks that share a worker with a crashing task must complete: suspects are retried where nothing
// else has just started, and nothing is started beside them until they are past startup.
func TestTasksBesideCrashingTaskComplete(t *testing.T) {
	c := qt.New(t)
	d := newCrashScenario(c, 2)
	d.crashesWorker = func(r workload.RunID) bool { return r.Task.Job == "job1" || r.Task.Job == "job4" }
	var healthy []workload.JobID
	for i := range 12 {
		id := d.submit(i%2, "other", taskStep(1, 2))
		if !d.crashesWorker(workload.RunID{Task: workload.TaskID{Job: id}}) {
			healthy = append(healthy, id)
		}
		if i%4 == 3 {
			d.settle()
			d.handleStarts()
			d.advanceWorkers(time.Second)
		}
	}
	d.advanceWorkers(60 * time.Second)
	c.Check(d.jobState("job1"), qt.Equals, workload.Failed)
	c.Check(d.jobState("job4"), qt.Equals, workload.Failed)
	for _, id := range healthy {
		c.Check(d.jobState(id), qt.Equals, workload.Completed, qt.Commentf("job %s", id))
	}
}

// Guards against failing a job because its workers repeatedly crash or leave for unrelated reasons.
func TestUnrelatedWorkerFailuresDoNotFailJob(t *testing.T) {
	c := qt.New(t)
	d := newCrashScenario(c, 3)
	d.runTime = 5 * time.Second
	id := d.submit(1, "other", taskStep(9, 2))
	d.settle()
	for range 2 {
		d.advanceWorkers(2 * time.Second)
		for _, w := range d.e.sortedWorkers() {
			d.crash(w)
		}
		d.advanceWorkers(workerRestartTime + time.Second)
	}
	for range 4 {
		for agent := range 3 {
			w := d.e.workers[d.e.workerByAgent[fmt.Sprint("agent", agent)]]
			d.report(Report{Worker: w.info, Terminated: true})
			d.incarnations++
			next := w.info
			next.ID = WorkerID(fmt.Sprintf("%s-incarnation%d", w.info.Agent, d.incarnations))
			d.report(Report{Epoch: d.e.epoch, Polled: true, Worker: next})
			d.advanceWorkers(500 * time.Millisecond)
		}
	}
	d.advanceWorkers(20 * time.Second)
	c.Assert(d.jobState(id), qt.Equals, workload.Completed)
}

// One worker of a gang crashes after another one has reported the gang as done. The crash must not
// be counted, or the job could fail after its work is done.
func TestCrashAfterGangIsDoneIsNotCounted(t *testing.T) {
	c := qt.New(t)
	d := newCrashScenario(c, 2)
	next := taskStep(1, 1)
	next.DependsOn = []int{0}
	id := d.submit(1, "other", gangStep(2, 8), next)
	d.settle()
	for _, u := range d.e.jobs[id].units {
		u.setCrashCount(0, crashCount{total: 2, startup: 1, confirmed: 2})
		u.setCrashCount(1, crashCount{total: 2, startup: 1, confirmed: 2})
	}
	d.reportRuns("w0", func(p *placement) RunStatus { return RunStatus{} })
	w := d.e.workers["w0"]
	d.report(Report{Epoch: 1, Polled: true, Worker: w.info, Ended: []RunEnd{d.endOf(w, w.sortedPlacements()[0], EndDone)}})
	d.report(Report{Worker: d.e.workers["w1"].info, Terminated: true, Crashed: true, Polled: true})
	d.settle()
	c.Assert(d.jobState(id), qt.Equals, workload.Running)
}

// A crash that becomes known only after the worker's lease has expired still counts, unless the
// agent had observed the end of the run before.
func TestLateCrashReportIsCounted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ended bool
		count int
	}{{"run was present", false, 1}, {"run had ended", true, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d := newCrashScenario(c, 2)
			id := d.submit(1, "other", taskStep(1, 8))
			d.settle()
			first := d.starts[0].Run
			w := d.e.workers[d.startedOn[first]]
			for end := d.now + 8*time.Second; d.now < end; d.now += 100 * time.Millisecond {
				for _, other := range d.e.sortedWorkers() {
					if other != w {
						d.reportProgress(other.info.ID)
					}
				}
				d.tick()
			}
			c.Assert(d.starts, qt.HasLen, 2)
			gone := Report{Worker: w.info, Terminated: true, Crashed: true, Polled: true}
			if tc.ended {
				gone.Ended = []RunEnd{{Sequence: 1, Run: first, Reason: EndLeaseExpired}}
			}
			d.report(gone)
			c.Check(d.e.jobs[id].units[0].crashCountOf(0).total, qt.Equals, tc.count)
		})
	}
}

// A task that runs for weeks outlives many workers. Each long run resets its crash count.
func TestLongRunResetsCrashCount(t *testing.T) {
	c := qt.New(t)
	d := newCrashScenario(c, 3)
	d.runTime = 24 * time.Hour
	step := taskStep(1, 1)
	step.LongRunning = true
	id := d.submit(1, "other", step)
	d.settle()
	for range 5 {
		d.advanceWorkers(crashResetAfter + 5*time.Second)
		for worker := range d.runs(id) {
			d.crash(d.e.workers[worker])
		}
		d.advanceWorkers(workerRestartTime + time.Second)
	}
	c.Check(d.jobState(id), qt.Equals, workload.Running)
	c.Check(d.e.jobs[id].units[0].crashCountOf(0).total, qt.Equals, 1)
}

// A worker may crash before the agent polls the end of a run, which is then lost. Such a crash must
// not count towards those that fail a job, or a job whose run was done could fail by the next crash.
func TestCrashAfterPossibleEndDoesNotFailJob(t *testing.T) {
	const estimate = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		// crashAfter is the time from the start of the first run to the crash of its worker.
		crashAfter time.Duration
		downFor    time.Duration // as known to the agent
		state      workload.State
	}{
		{"first run may have ended", estimate, 400 * time.Millisecond, workload.Running},
		{"time of the crash is unknown", 10 * time.Millisecond, 0, workload.Running},
		{"first run had just started", 10 * time.Millisecond, 400 * time.Millisecond, workload.Failed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d := newCrashScenario(c, 3)
			step := taskStep(1, 8)
			step.Estimate = estimate
			id := d.submit(1, "other", step)
			d.settle()
			d.crashUnder(id, tc.crashAfter, tc.downFor)
			d.crashUnder(id, 10*time.Millisecond, 400*time.Millisecond)
			c.Check(d.jobState(id), qt.Equals, tc.state)
		})
	}
}

// crashUnder lets the only run of a job continue for a time, and then crashes its worker. The agent
// notices the next incarnation 400 ms later.
func (d *crashScenario) crashUnder(id workload.JobID, after, downFor time.Duration) {
	for worker := range d.runs(id) {
		w := d.e.workers[worker]
		d.reportRuns(worker, func(*placement) RunStatus { return RunStatus{} })
		d.now += after + 400*time.Millisecond
		d.report(Report{Worker: w.info, Terminated: true, Crashed: true, Polled: true, DownFor: downFor})
		d.settle()
	}
}

// Measured progress tells that a run was not done, whatever its declared run time and even if it was
// resumed from a checkpoint. Otherwise tasks that crash workers would start more often than allowed.
func TestCrashDuringMeasuredProgressIsConfirmed(t *testing.T) {
	c := qt.New(t)
	d := newCrashScenario(c, 1)
	step := taskStep(1, 8)
	step.Estimate = 300 * time.Millisecond
	id := d.submit(1, "other", step)
	d.e.jobs[id].units[0].checkpoint = "saved"
	d.settle()
	for percent := range 10 {
		d.reportRuns("w0", func(*placement) RunStatus { return RunStatus{Percent: percent} })
		d.now += 100 * time.Millisecond
	}
	d.report(Report{Worker: d.e.workers["w0"].info, Terminated: true, Crashed: true, Polled: true, DownFor: 0})
	c.Check(d.e.jobs[id].units[0].crashCountOf(0).confirmed, qt.Equals, 1)
}
