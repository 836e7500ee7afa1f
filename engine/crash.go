package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// A task may crash the worker that starts it. The worker then reports no end of the run, so the
// run does not count as a failed attempt, and the task could crash one worker after another. So the
// job's record counts the worker crashes of each task, and the job fails after a few. To spare tasks
// that only share a worker with the cause, crashes at startup are counted separately, and tasks
// suspected of one are retried on probation; see probation.go.
const (
	// StartupCrashWindow is how long a run must be observed before a crash of its worker is no
	// longer attributed to its start. Images are loaded and accelerators set up by then.
	StartupCrashWindow = time.Second
	// maxStartupCrashes is the number of startup crashes after which a task is given up, if no
	// other job's run had just started on the worker.
	maxStartupCrashes = 2
	// maxCrashes is the number of crashes of any kind after which a task is given up. It also
	// covers tasks that crash their workers later, and crashes whose run time is unknown since
	// the planner was lost too. There is no further try, since a gang may be started several
	// times before all of its members are present, and each of these starts can crash a worker.
	maxCrashes = 3
	// minConfirmedCrashes is how many of the crashes must be confirmed; with fewer, one more
	// crash is tolerated, since a run whose start was not answered, whose agent was
	// disconnected or whose end was lost may not have been present.
	minConfirmedCrashes = 2
	// crashResetAfter is how long a run must last to clear its task's count, since tasks that
	// run for weeks outlive many machines.
	crashResetAfter = 10 * time.Minute
)

// crashCount counts the worker crashes of one task.
type crashCount struct {
	total int
	// startup counts crashes within StartupCrashWindow in which no other run was a likelier cause.
	startup int
	// confirmed counts crashes at which the run was certainly present.
	confirmed int
}

// pastStartup reports whether the run has been observed for at least StartupCrashWindow.
func (p *placement) pastStartup() bool {
	return p.startedAt != 0 && p.lastSeenAt-p.startedAt >= StartupCrashWindow
}

// crashCountOf returns the crash count of the task with the given index.
func (u *unit) crashCountOf(index int) crashCount { return u.crashes[index] }

// hasStartupCrash reports whether one of the unit's tasks has a startup crash.
func (u *unit) hasStartupCrash() bool {
	for _, c := range u.crashes {
		if c.startup > 0 {
			return true
		}
	}
	return false
}

// resetCrashes clears crashes of the task of p, which has just been observed, according to how
// long the run has lasted.
func (p *placement) resetCrashes() {
	c, counted := p.unit.crashes[p.index]
	switch {
	case !counted:
	case p.lastSeenAt-p.startedAt >= crashResetAfter:
		delete(p.unit.crashes, p.index)
	case p.pastStartup():
		c.startup = 0
		p.unit.crashes[p.index] = c
	}
}

// countCrash counts a crash of w for the tasks that ran there, in the order of placements, and
// fails the jobs of tasks that exceed the limit. It counts nothing for jobs that have ended: their
// outcomes are decided, and a change would write a record of a job that may be archived already.
func (e *Engine) countCrash(now time.Duration, w *worker, placements []*placement, evidence crashEvidence) {
	blamed, onlySuspect := evidence.blamedRuns(placements)
	for _, p := range placements {
		u := p.unit
		if u.job.state.Final() || !evidence.mayHaveRun(p) {
			continue
		}
		c := u.crashCountOf(p.index)
		c.total++
		if blamed[p] {
			c.startup++
		}
		if e.certainlyRan(p, evidence) {
			c.confirmed++
		}
		u.setCrashCount(p.index, c)
		u.avoidAgent(now, w.info.Agent)
		e.logDecision(p, "worker crashed during run", c.String())
		e.markChanged(u.job)
		if c.exceedsLimit(onlySuspect) {
			e.finish(now, u.job, workload.Failed, fmt.Sprintf("%d workers crashed under task %s", c.total, p.taskID()))
		}
	}
}

// String formats the count for logs.
func (c crashCount) String() string {
	return fmt.Sprintf("%d crashes, %d at startup, %d confirmed", c.total, c.startup, c.confirmed)
}

// exceedsLimit reports whether the task is given up. onlySuspect means that no other job's run
// had just started on the worker that crashed last.
func (c crashCount) exceedsLimit(onlySuspect bool) bool {
	if c.confirmed < minConfirmedCrashes {
		return c.total > maxCrashes
	}
	return c.total >= maxCrashes || onlySuspect && c.startup >= maxStartupCrashes
}

// onLastAttempt reports whether the count is one crash below maxCrashes.
func (c crashCount) onLastAttempt() bool { return c.total == maxCrashes-1 }

func (u *unit) setCrashCount(index int, c crashCount) {
	if u.crashes == nil {
		u.crashes = map[int]crashCount{}
	}
	u.crashes[index] = c
}
