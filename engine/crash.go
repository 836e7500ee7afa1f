package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// A task may crash the worker that starts it. The worker lists no end of it, since it has
// forgotten everything in its next life, so the run is lost with the worker and counts as
// no attempt: tried again like other lost work, such a task takes one worker after the
// other down, with all that others run there.
//
// So each task keeps count of the workers that crashed under it, in its job's record, and
// its job is given up after a few. Most tasks under which a worker crashes did nothing
// wrong: they shared it with the one that did, or the machine failed by itself. Four
// things tell them apart:
//
//   - A run that has been seen at work for ProvenAfter did not crash its worker by its
//     start. Only a crash before that is an early one, and a run that is seen that long
//     clears its task of earlier ones.
//   - A run whose start got no answer may not have been there; one whose agent was cut off
//     or lost with its worker may have been over. So one crash more is borne where fewer than
//     certainLeast are certain.
//   - Of those that had just started, the crash is early for those under which most workers
//     crashed early before.
//   - A task with an early crash is tried again on a worker where nothing else has just
//     started, and nothing else is started beside it meanwhile (see probation.go).
const (
	// StartupCrashWindow is how long a run is seen at work before it is taken not to crash its
	// worker by its start; images are loaded and accelerators set up by then.
	StartupCrashWindow = time.Second
	// maxStartupCrashes is how many early crashes a task is given up after, where nothing else had
	// just started on the last worker.
	maxStartupCrashes = 2
	// maxCrashes is how many crashes of any kind a task is given up after. It bounds tasks
	// that crash their workers later in their run, and those whose planner was lost with
	// their workers, so that nobody knows how long they ran. An innocent task would have to
	// be on as many workers that fail by themselves. It is not tried once more: a gang may
	// be started several times before all its members are there, and each start counts.
	maxCrashes = 3
	// minConfirmedCrashes is how many of these crashes must be certain; with fewer, the task is given
	// up after one crash more.
	minConfirmedCrashes = 2
	// crashResetAfter is how long a run has to last for its task's crashes to be forgotten.
	// Tasks that run for weeks see many machines fail.
	crashResetAfter = 10 * time.Minute
)

// crashCount counts the workers that crashed under one task.
type crashCount struct {
	total int
	// startup are those before the run was proven, in which no other was suspected more.
	startup int
	// confirmed are those under which the run certainly was.
	confirmed int
}

// pastStartup says whether looks have shown the run at work for long enough to clear it.
func (p *placement) pastStartup() bool {
	return p.began != 0 && p.shownAt-p.began >= StartupCrashWindow
}

// crashCountOf returns the count of the task with that index.
func (u *unit) crashCountOf(index int) crashCount { return u.crashes[index] }

// hasStartupCrash says whether a worker has crashed early under one of the unit's tasks.
func (u *unit) hasStartupCrash() bool {
	for _, c := range u.crashes {
		if c.startup > 0 {
			return true
		}
	}
	return false
}

// resetCrashes clears the task of p, which a look has just shown, as far as the run has lasted.
func (p *placement) resetCrashes() {
	c, counted := p.unit.crashes[p.index]
	switch {
	case !counted:
	case p.shownAt-p.began >= crashResetAfter:
		delete(p.unit.crashes, p.index)
	case p.pastStartup():
		c.startup = 0
		p.unit.crashes[p.index] = c
	}
}

// countCrash counts a crash of w against the tasks that it had, in the order of places, and
// gives up the jobs of those that have had enough.
func (e *Engine) countCrash(now time.Duration, w *worker, places []*placement, t witness) {
	blamed, onlySuspect := t.suspects(places)
	for _, p := range places {
		if !t.under(p) {
			continue
		}
		u := p.unit
		c := u.crashCountOf(p.index)
		c.total++
		if blamed[p] {
			c.startup++
		}
		if t.certain(p) {
			c.confirmed++
		}
		u.setCrashCount(p.index, c)
		u.shun(now, w.info.Agent)
		e.logDecision(p, "worker crashed under it", c.String())
		e.markChanged(u.job)
		if c.exceedsLimit(onlySuspect) && !u.job.state.Final() {
			e.finish(now, u.job, workload.Failed, fmt.Sprintf("%d workers crashed under task %s", c.total, p.task()))
		}
	}
}

// String tells the count for the log.
func (c crashCount) String() string {
	return fmt.Sprintf("%d times; %d early, %d certain", c.total, c.startup, c.confirmed)
}

// exceedsLimit says whether the task is given up. alone: nothing of another job had just started
// on the last worker.
func (c crashCount) exceedsLimit(onlySuspect bool) bool {
	if c.confirmed < minConfirmedCrashes {
		return c.total > maxCrashes
	}
	return c.total >= maxCrashes || onlySuspect && c.startup >= maxStartupCrashes
}

// onLastAttempt says whether the next crash gives the task up in any case.
func (c crashCount) onLastAttempt() bool { return c.total == maxCrashes-1 }

func (u *unit) setCrashCount(index int, c crashCount) {
	if u.crashes == nil {
		u.crashes = map[int]crashCount{}
	}
	u.crashes[index] = c
}
