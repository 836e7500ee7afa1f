package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// rebirth is how long a worker that has crashed is away.
const rebirth = 3200 * time.Millisecond

// crashDay is a fleet on which some tasks crash the worker that starts them. The worker is
// silent at once, and its next life is there after rebirth. Other tasks end after runTime.
type crashDay struct {
	*desk
	c       *qt.C
	crashes func(workload.RunID) bool
	runTime time.Duration
	// down are the workers that are down, by agent.
	down  map[string]outage
	lives int
	taken int // starts that were looked at
	// began is when each run was started.
	began map[workload.RunID]time.Duration
	// crashed counts the workers that crashed under each task, after the starts that it had
	// had since the third.
	crashed map[workload.TaskID]int
	after   map[workload.TaskID]int
	// after each crash, a new planner takes over.
	deposing bool
}

// outage is the time between two lives of a worker.
type outage struct {
	until time.Duration
	epoch uint64 // the newest planner that the worker had heard of
	// proven are the runs that the agent had seen at work for a while.
	proven []RunStatus
}

func newCrashDay(c *qt.C, workers int) *crashDay {
	return &crashDay{
		desk: newDesk(c.TB.(*testing.T), workers), c: c, runTime: 2500 * time.Millisecond,
		crashes: func(workload.RunID) bool { return false },
		down:    map[string]outage{},
		began:   map[workload.RunID]time.Duration{},
		crashed: map[workload.TaskID]int{}, after: map[workload.TaskID]int{},
	}
}

// run lets time pass. It fails once a task that crashes its workers has been started three
// times more after three workers had crashed under it.
func (d *crashDay) run(by time.Duration) {
	const step = 50 * time.Millisecond
	for end := d.now + by; d.now < end; d.now += step {
		for _, w := range d.e.sortedWorkers() {
			d.say(w)
		}
		d.tick()
		d.takeStarts()
	}
}

// say lets the agent of one worker report.
func (d *crashDay) say(w *worker) {
	agent := w.info.Agent
	away, down := d.down[agent]
	switch {
	case !down:
		d.work(w)
	case d.now < away.until:
		d.report(Report{Epoch: away.epoch, Worker: w.info, Unresponsive: true})
	default:
		delete(d.down, agent)
		d.report(Report{Worker: w.info, Terminated: true, Crashed: true, Polled: true, Running: away.proven})
		d.lives++
		next := w.info
		next.ID = WorkerID(fmt.Sprintf("%s-life%d", agent, d.lives))
		d.report(Report{Epoch: d.e.epoch, Polled: true, Worker: next})
	}
}

// work lets one worker that is up tell of its runs.
func (d *crashDay) work(w *worker) {
	r := Report{Epoch: d.e.epoch, Polled: true, Worker: w.info}
	for _, p := range w.sortedPlaces() {
		switch {
		case p.state == placeRecording:
		case p.stopping:
			r.Ended = append(r.Ended, d.endOf(w, p, EndStopped))
		case d.broken(p.unit):
			r.Ended = append(r.Ended, d.endOf(w, p, EndGangBroken))
		case d.now-d.began[p.id()] >= d.runTime:
			r.Ended = append(r.Ended, d.endOf(w, p, EndDone))
		default:
			r.Running = append(r.Running, RunStatus{Run: p.id(), Percent: int(100 * (d.now - d.began[p.id()]) / d.runTime)})
		}
	}
	d.report(r)
}

// broken says whether a member of a gang is gone.
func (d *crashDay) broken(u *unit) bool {
	for _, p := range u.places {
		if _, down := d.down[p.worker.info.Agent]; down {
			return true
		}
	}
	return false
}

func (d *crashDay) endOf(w *worker, p *placement, why EndReason) RunEnd {
	d.ends[w.info.ID]++
	return RunEnd{Sequence: d.ends[w.info.ID], Run: p.id(), Reason: why}
}

func (d *crashDay) takeStarts() {
	deposed := false
	for ; d.taken < len(d.starts); d.taken++ {
		run := d.starts[d.taken].Run
		w := d.e.workers[d.on[run]]
		d.began[run] = d.now
		if _, down := d.down[w.info.Agent]; down || !d.crashes(run) {
			continue // a worker that is down starts nothing
		}
		if d.crashed[run.Task] >= 3 {
			d.after[run.Task]++
		}
		d.c.Assert(d.after[run.Task] < 3, qt.IsTrue, qt.Commentf(
			"%v: %v is started three times more after three workers have crashed under it", d.now, run))
		d.crashed[run.Task]++
		d.crash(w)
		deposed = d.deposing
	}
	if deposed {
		d.takeOver()
	}
}

func (d *crashDay) crash(w *worker) {
	away := outage{until: d.now + rebirth, epoch: d.e.epoch}
	for _, p := range w.sortedPlaces() {
		if d.now-d.began[p.id()] >= StartupCrashWindow {
			away.proven = append(away.proven, RunStatus{Run: p.id()})
		}
	}
	d.down[w.info.Agent] = away
}

func (d *crashDay) state(id workload.JobID) workload.State {
	found, ok := d.e.Lookup(id)
	d.c.Assert(ok, qt.IsTrue)
	return found.State
}

// A caller's urgent job is tried for hours, and every few seconds a worker is gone with all
// that others run on it. One of its tasks crashes each worker within milliseconds of its
// start. The worker lists no end, as it has forgotten everything when it is back, so the run
// is lost with it, counts as no attempt, and the task is placed anew at once.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, tc := range []struct {
		name string
		step workload.Step
		// crashing is the task of the step that crashes workers.
		crashing int
		set      func(d *crashDay)
	}{
		{name: "one task of several", step: tasks(3, 2), crashing: 1},
		{name: "on workers of its own", step: tasks(1, 8)},
		{name: "member of a gang", step: gang(6, 4), crashing: 4},
		{name: "planners die with it", step: tasks(1, 2), set: func(d *crashDay) { d.deposing = true }},
		{name: "starts get no answer", step: tasks(1, 2), set: func(d *crashDay) {
			d.answer = func(o StartOrder) StartOutcome {
				if d.crashes(o.Run) {
					return StartUnknown
				}
				return StartOK
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d := newCrashDay(c, 6)
			if tc.set != nil {
				tc.set(d)
			}
			beside := d.job(1, "other", tasks(6, 1))
			bad := d.job(0, "other", tc.step)
			d.crashes = func(r workload.RunID) bool { return r.Task.Job == bad && r.Task.Index == tc.crashing }
			d.settle()
			d.takeStarts()
			d.run(40 * time.Second)
			c.Assert(d.state(bad), qt.Equals, workload.Failed)
			c.Assert(d.state(beside), qt.Equals, workload.Completed)
		})
	}
}

// Two tasks start together on one worker, which crashes: one of them did it. Both are tried
// again, each where nothing else has just started, and nothing is started beside them until
// they are proven, so that the innocent one is completed, and so are those that came later.
func TestTasksBesideACrashingOneAreKept(t *testing.T) {
	c := qt.New(t)
	d := newCrashDay(c, 2)
	d.crashes = func(r workload.RunID) bool { return r.Task.Job == "job1" || r.Task.Job == "job4" }
	var kept []workload.JobID
	for i := range 12 {
		id := d.job(i%2, "other", tasks(1, 2))
		if !d.crashes(workload.RunID{Task: workload.TaskID{Job: id}}) {
			kept = append(kept, id)
		}
		if i%4 == 3 {
			d.settle()
			d.takeStarts()
			d.run(time.Second)
		}
	}
	d.run(60 * time.Second)
	c.Check(d.state("job1"), qt.Equals, workload.Failed)
	c.Check(d.state("job4"), qt.Equals, workload.Failed)
	for _, id := range kept {
		c.Check(d.state(id), qt.Equals, workload.Completed, qt.Commentf("%s", id))
	}
}

// A site loses power twice while a job is at work, and its worker leaves for repairs some
// times more. None of that says anything of the job.
func TestTasksAtWorkAreNotGivenUpForTheirWorkers(t *testing.T) {
	c := qt.New(t)
	d := newCrashDay(c, 3)
	d.runTime = 5 * time.Second
	id := d.job(1, "other", tasks(9, 2))
	d.settle()
	for range 2 {
		d.run(2 * time.Second)
		for _, w := range d.e.sortedWorkers() {
			d.crash(w)
		}
		d.run(rebirth + time.Second)
	}
	for range 4 {
		for agent := range 3 {
			w := d.e.workers[d.e.byAgent[fmt.Sprint("agent", agent)]]
			d.report(Report{Worker: w.info, Terminated: true})
			d.lives++
			next := w.info
			next.ID = WorkerID(fmt.Sprintf("%s-life%d", w.info.Agent, d.lives))
			d.report(Report{Epoch: d.e.epoch, Polled: true, Worker: next})
			d.run(500 * time.Millisecond)
		}
	}
	d.run(20 * time.Second)
	c.Assert(d.state(id), qt.Equals, workload.Completed)
}

// A gang ends as done on one of its workers; the other one crashes before it lists its end.
// The job went on to its next step, and must not be failed for a crash after its work.
func TestCrashAfterTheEndOfAGangChargesNobody(t *testing.T) {
	c := qt.New(t)
	d := newCrashDay(c, 2)
	next := tasks(1, 1)
	next.DependsOn = []int{0}
	id := d.job(1, "other", gang(2, 8), next)
	d.settle()
	for _, u := range d.e.jobs[id].units {
		u.noteCrashes(0, crashes{total: 2, early: 1, certain: 2})
		u.noteCrashes(1, crashes{total: 2, early: 1, certain: 2})
	}
	d.show("w0", func(p *placement) RunStatus { return RunStatus{} })
	w := d.e.workers["w0"]
	d.report(Report{Epoch: 1, Polled: true, Worker: w.info, Ended: []RunEnd{d.endOf(w, w.sortedPlaces()[0], EndDone)}})
	d.report(Report{Worker: d.e.workers["w1"].info, Terminated: true, Crashed: true, Polled: true})
	d.settle()
	c.Assert(d.state(id), qt.Equals, workload.Running)
}

// A worker is out of reach for longer than its lease, its task starts elsewhere, and only
// then is it known that the worker had crashed. It counts, unless the worker's agent saw
// that the run was over before.
func TestCrashThatIsKnownLateCounts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ended bool
		count int
	}{{"the run was there", false, 1}, {"the run was over", true, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d := newCrashDay(c, 2)
			id := d.job(1, "other", tasks(1, 8))
			d.settle()
			first := d.starts[0].Run
			w := d.e.workers[d.on[first]]
			for end := d.now + 8*time.Second; d.now < end; d.now += 100 * time.Millisecond {
				for _, other := range d.e.sortedWorkers() {
					if other != w {
						d.beat(other.info.ID)
					}
				}
				d.tick()
			}
			c.Assert(d.starts, qt.HasLen, 2)
			left := Report{Worker: w.info, Terminated: true, Crashed: true, Polled: true}
			if tc.ended {
				left.Ended = []RunEnd{{Sequence: 1, Run: first, Reason: EndLeaseExpired}}
			}
			d.report(left)
			c.Check(d.e.jobs[id].units[0].crashesOf(0).total, qt.Equals, tc.count)
		})
	}
}

// A task that lasts for weeks meets many workers that fail. Each run that lasts clears it.
func TestCrashesOfLongRunsAreForgiven(t *testing.T) {
	c := qt.New(t)
	d := newCrashDay(c, 3)
	d.runTime = 24 * time.Hour
	step := tasks(1, 1)
	step.LongRunning = true
	id := d.job(1, "other", step)
	d.settle()
	for range 5 {
		d.run(forgivenAfter + 5*time.Second)
		for worker := range d.runs(id) {
			d.crash(d.e.workers[worker])
		}
		d.run(rebirth + time.Second)
	}
	c.Check(d.state(id), qt.Equals, workload.Running)
	c.Check(d.e.jobs[id].units[0].crashesOf(0).total, qt.Equals, 1)
}
