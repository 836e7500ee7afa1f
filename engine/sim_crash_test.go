package engine

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

var simCrashSeeds = flag.Int("sim-crash-seeds", 6, "number of random worlds with crashing tasks")

// Guards against tasks that keep crashing workers, starts on workers whose capacity has shrunk,
// and jobs that fail without cause, together with the faults of TestSimulation.
func TestSimulationWithCrashingTasks(t *testing.T) {
	runSimulations(t, *simCrashSeeds, func(w *simCluster, _ uint64) {
		w.planFaults(faultTime)
		w.addCrashingTasks()
	})
}

// addCrashingTasks makes some tasks crash their workers and some workers lose capacity.
func (w *simCluster) addCrashingTasks() {
	w.crashes.crashingOneIn = 12
	w.planShrinks(faultTime)
}

// simCrashes counts worker crashes and failures by task.
type simCrashes struct {
	crashingOneIn    int                     // one task in this many crashes its workers; 0: none
	workersCrashed   map[workload.TaskID]int // worker crashes during runs of the task, whatever the cause
	startsAfterThird map[workload.TaskID]int // starts of crashing tasks after the third crash
	failedEnds       map[workload.TaskID]int // listed ends as failed, acknowledged or not
}

// capacityGrace is how long the planner may take to learn of lost capacity.
const capacityGrace = 4500 * time.Millisecond

// simShrink is a loss of capacity.
type simShrink struct {
	original workload.Resources
	at       time.Duration
}

// reportCrash reports a crashed worker, unless its agent was lost with it or is disconnected.
func (w *simCluster) reportCrash(sw *simWorker, downFor time.Duration) {
	if w.crashes.crashingOneIn == 0 && !w.reusesNames || sw.disconnected || sw.leavesAt != 0 || len(sw.info.ID)%3 == 0 && !w.faultsEnded {
		return
	}
	r := Report{Worker: sw.info, Terminated: true, Crashed: true, Superseded: sw.info.Name != "", Polled: sw.lastPolledAt != 0, Ended: sw.lastEnded, EndsOmitted: sw.lastEndsOmitted, DownFor: downFor}
	for run, from := range sw.seenSince {
		if sw.lastPolledAt-from >= StartupCrashWindow {
			r.Running = append(r.Running, RunStatus{Run: run})
		}
	}
	w.plannerOf(sw).Report(w.now, r)
}

// recordPoll records the runs and ends that the agent observed in a poll.
func (w *simWorker) recordPoll(now time.Duration, r Report) {
	seenSince := map[workload.RunID]time.Duration{}
	for _, status := range r.Running {
		seenSince[status.Run] = now
		if since, seen := w.seenSince[status.Run]; seen {
			seenSince[status.Run] = since
		}
	}
	w.seenSince, w.lastPolledAt = seenSince, now
	w.lastEnded, w.lastEndsOmitted = r.Ended, r.EndsOmitted
}

// crashDelay reports whether a task crashes its workers, and how long after the start. It
// depends on the task alone, so it is the same on all workers.
func (w *simCluster) crashDelay(task workload.TaskID) (time.Duration, bool) {
	if w.crashes.crashingOneIn == 0 {
		return 0, false
	}
	hash := 0
	for _, b := range []byte(task.Job) {
		hash = 31*hash + int(b)
	}
	hash = (hash + 7*task.Step) % 7919
	if hash%w.crashes.crashingOneIn != 0 || task.Index != 0 {
		return 0, false
	}
	if hash%5 == 0 {
		return 1300 * time.Millisecond, true
	}
	return 10 * time.Millisecond, true
}

// record counts a crash for all tasks that ran on the worker.
func (c *simCrashes) record(sw *simWorker) {
	for task := range sw.running {
		c.workersCrashed[task]++
	}
}

// scheduleCrash schedules the crash of a worker that has started a crashing task.
func (w *simCluster) scheduleCrash(sw *simWorker, task workload.TaskID) {
	after, ok := w.crashDelay(task)
	if !ok {
		return
	}
	r := sw.running[task]
	w.after(after, func() {
		if sw.dead || sw.running[task] != r {
			return
		}
		w.counts["crashes"]++
		lost := sw.sorted()
		w.crash(slices.Index(w.workers, sw))
		for _, r := range lost {
			w.endGang(r) // end the other members of its gang
		}
	})
}

// checkCrashingStart checks that a crashing task is not started too often.
func (w *simCluster) checkCrashingStart(task workload.TaskID) {
	if _, ok := w.crashDelay(task); !ok || w.crashes.workersCrashed[task] < 3 {
		return
	}
	w.crashes.startsAfterThird[task]++
	if w.crashes.startsAfterThird[task] >= 3 {
		w.reportViolation("%s was started three more times after %d workers had crashed under it", task, w.crashes.workersCrashed[task])
	}
}

// planShrinks schedules losses of capacity.
func (w *simCluster) planShrinks(end time.Duration) {
	for range w.rng.IntN(12) {
		i := w.rng.IntN(len(w.workers))
		at := time.Duration(w.rng.Int64N(int64(end)))
		duration := time.Duration(1000+w.rng.IntN(15000)) * time.Millisecond
		parts := w.rng.IntN(8)
		w.events = append(w.events, simEvent{at, func() { w.shrink(w.workers[i], parts, duration) }})
	}
}

func (w *simCluster) shrink(sw *simWorker, parts int, duration time.Duration) {
	if _, already := w.shrinks[sw]; already || sw.dead {
		return
	}
	original := sw.info.Capacity
	w.counts["capacity losses"]++
	w.shrinks[sw] = simShrink{original: original, at: w.now}
	sw.info.Capacity = workload.Resources{
		MilliCPU: original.MilliCPU * parts / 8, MemoryMB: original.MemoryMB * parts / 8, Accelerators: parts,
	}
	w.after(duration, func() {
		delete(w.shrinks, sw)
		sw.info.Capacity = original
	})
}

// capacityOf returns the capacity that a start may use. Orders that are carried out late were
// based on the earlier capacity.
func (w *simCluster) capacityOf(sw *simWorker) workload.Resources {
	s, shrunk := w.shrinks[sw]
	if shrunk && (w.executingLateOrder || w.now-s.at < capacityGrace) {
		return s.original
	}
	return sw.info.Capacity
}

// checkFailedJobs checks that each failed job has tasks that failed or crashed workers.
func (w *simCluster) checkFailedJobs() {
	for _, id := range w.order {
		found, _ := w.engine.Lookup(id)
		_, crashing := w.crashingStep(w.jobs[id])
		switch {
		case found.State == workload.Failed && !w.mayFail(w.jobs[id]):
			w.reportViolation("job %s failed without cause: %s", id, found.Reason)
		case found.State == workload.Failed && !crashing && strings.Contains(found.Reason, "crashed"):
			w.counts["failed for crashes of other tasks"]++
		}
	}
}

func (w *simCluster) crashingStep(j *workload.Job) (step int, ok bool) {
	for s := range j.Steps {
		if _, crashes := w.crashDelay(workload.TaskID{Job: j.ID, Step: s}); crashes {
			return s, true
		}
	}
	return 0, false
}

// mayFail reports whether a job may be reported as failed.
func (w *simCluster) mayFail(j *workload.Job) bool {
	for s := range j.Steps {
		gangFailures := 0
		for i := range j.Steps[s].Count {
			task := workload.TaskID{Job: j.ID, Step: s, Index: i}
			if w.crashes.failedEnds[task] >= j.QueuePolicy.MaxAttempts || w.crashes.workersCrashed[task] >= 2 {
				return true
			}
			gangFailures += w.crashes.failedEnds[task]
		}
		if j.Steps[s].Gang && gangFailures >= j.QueuePolicy.MaxAttempts {
			return true // a different member may have failed each time
		}
	}
	return false
}

// pollWhileDisconnected polls the worker while its agent is disconnected from the planner.
func (w *simWorker) pollWhileDisconnected(now time.Duration) {
	if w.cluster.crashes.crashingOneIn == 0 {
		return
	}
	absent := w.absent
	w.report(now)
	w.absent = absent
}
