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
}

func newCrashDay(c *qt.C, workers int) *crashDay {
	return &crashDay{
		desk: newDesk(c.TB.(*testing.T), workers), c: c, runTime: 2500 * time.Millisecond,
		crashes: func(workload.RunID) bool { return false },
		down:    map[string]outage{},
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
		d.report(Report{Epoch: away.epoch, Worker: w.info, Silent: true})
	default:
		delete(d.down, agent)
		d.report(Report{Worker: w.info, Left: true, Crashed: true})
		d.lives++
		next := w.info
		next.ID = WorkerID(fmt.Sprintf("%s-life%d", agent, d.lives))
		d.report(Report{Epoch: d.e.epoch, Looked: true, Worker: next})
	}
}

// work lets one worker that is up tell of its runs.
func (d *crashDay) work(w *worker) {
	r := Report{Epoch: d.e.epoch, Looked: true, Worker: w.info}
	for _, p := range w.sortedPlaces() {
		switch {
		case p.state == placeRecording:
		case p.stopping:
			r.Ended = append(r.Ended, d.endOf(w, p, EndStopped))
		case d.broken(p.unit):
			r.Ended = append(r.Ended, d.endOf(w, p, EndBroken))
		case d.now-p.began >= d.runTime:
			r.Ended = append(r.Ended, d.endOf(w, p, EndDone))
		default:
			r.Running = append(r.Running, RunningRow{Run: p.id(), Percent: int(100 * (d.now - p.began) / d.runTime)})
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

func (d *crashDay) endOf(w *worker, p *placement, why EndReason) EndRow {
	d.ends[w.info.ID]++
	return EndRow{Number: d.ends[w.info.ID], Run: p.id(), Reason: why}
}

func (d *crashDay) takeStarts() {
	deposed := false
	for ; d.taken < len(d.starts); d.taken++ {
		run := d.starts[d.taken].Run
		w := d.e.workers[d.on[run]]
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
	d.down[w.info.Agent] = outage{until: d.now + rebirth, epoch: d.e.epoch}
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
