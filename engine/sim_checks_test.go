package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// reportViolation fails the test with the simulated time.
func (w *simCluster) reportViolation(format string, args ...any) {
	w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
}

// checkCapacity checks that a worker is not over its capacity, stopping runs included.
func (w *simCluster) checkCapacity(sw *simWorker) {
	if used := sw.used(); !used.FitsIn(w.capacityOf(sw)) {
		w.reportViolation("worker %s uses %+v of %+v", sw.info.ID, used, sw.info.Capacity)
		for _, r := range sw.sorted() {
			w.t.Logf("%v since %v, stops at %v (%s)", r.id, r.startedAt, r.stopsAt, w.whyEnded(r.id))
		}
	}
}

// checkStart checks the rules for a run that starts now.
func (w *simCluster) checkStart(sw *simWorker, s StartOrder) {
	w.counts["starts"]++
	task := s.Run.Task
	w.checkCrashingStart(task)
	j := w.jobs[task.Job]
	if j == nil {
		w.reportViolation("start of %s, whose job was never submitted", task)
		return
	}
	if w.ackedDone[task] {
		w.reportViolation("start of %s, run %d, after its end was acknowledged", task, s.Run.Number)
		for n := 1; n < s.Run.Number; n++ {
			run := workload.RunID{Task: task, Number: n}
			w.t.Logf("%v (%s)", run, w.whyEnded(run))
		}
	}
	for _, other := range w.workers {
		if r := other.running[task]; r != nil && !other.dead {
			w.reportViolation("start of %s, run %d, on worker %s (%s) while run %d is on worker %s (%s)", task, s.Run.Number, sw.info.ID, w.whyEnded(s.Run), r.id.Number, other.info.ID, w.whyEnded(r.id))
		}
	}
	step := &j.Steps[task.Step]
	for _, dep := range step.DependsOn {
		for i := range j.Steps[dep].Count {
			if !w.ranToEnd[workload.TaskID{Job: task.Job, Step: dep, Index: i}] {
				w.reportViolation("start of %s before step %d, which it depends on, was done", task, dep)
			}
		}
	}
	if !sw.hasLabel(step.Label) {
		w.reportViolation("start of %s on worker %s, which lacks label %s", task, sw.info.ID, step.Label)
	}
	if limit := j.QueuePolicy.MaxAttempts; limit > 0 && w.ackedFailures[task] >= limit {
		w.reportViolation("start of %s after %d failed attempts", task, w.ackedFailures[task])
	}
	w.checkMaxPerWorker(sw, task, step)
	w.checkCordon(sw, task)
}

// checkMaxPerWorker checks the step's limit of tasks per worker.
func (w *simCluster) checkMaxPerWorker(sw *simWorker, task workload.TaskID, step *workload.Step) {
	if step.MaxPerWorker == 0 {
		return
	}
	n := 1
	for other := range sw.running {
		if other.Job == task.Job && other.Step == task.Step && other != task {
			n++
		}
	}
	if n > step.MaxPerWorker {
		w.reportViolation("%d tasks of step %d of job %s on worker %s, more than its limit", n, task.Step, task.Job, sw.info.ID)
	}
}

func (sw *simWorker) hasLabel(label string) bool {
	return (&worker{info: sw.info}).hasLabel(label)
}

// recordEnd records an end as the worker lists it.
func (w *simCluster) recordEnd(_ *simWorker, r *simRun, reason EndReason) {
	w.counts[string(reason)]++
	if reason == EndFailed {
		w.crashes.failedEnds[r.id.Task]++
	}
	if reason == EndDone {
		w.ranToEnd[r.id.Task] = true
		w.doneRuns[r.id] = true
	}
	if reason == EndGangIncomplete && w.faultsEnded && w.now-w.faultsEndedAt > 4*time.Second {
		w.reportViolation("gang member %s ended for missing members without a fault", r.id.Task)
	}
}

// checkArchived checks that a job whose records are replaced by its outcome has ended and no
// longer runs.
func (w *simCluster) checkArchived(j EndedJob) {
	w.counts["records replaced"]++
	if !j.Outcome.State.Final() {
		w.reportViolation("records of job %s are replaced while it is %s", j.ID, j.Outcome.State)
	}
	for _, sw := range w.workers {
		for task := range sw.running {
			if !sw.dead && task.Job == j.ID {
				w.reportViolation("records of job %s are replaced while %s runs on worker %s", j.ID, task, sw.info.ID)
			}
		}
	}
}

// checkWrittenJobs checks that no record is written for a job whose records are replaced by its
// outcome, or are being replaced in the same write.
func (w *simCluster) checkWrittenJobs(change Write) {
	for _, j := range change.Jobs {
		_, archived := w.outcomes[j.ID]
		if archived || slices.ContainsFunc(change.EndedJobs, func(ended EndedJob) bool { return ended.ID == j.ID }) {
			w.reportViolation("a record of job %s is written after it was archived", j.ID)
		}
	}
}

// recordAckedEnd records an end that the planner has acknowledged, unless the lease expired
// before that.
func (w *simCluster) recordAckedEnd(end RunEnd, void bool) {
	if void {
		return
	}
	switch end.Reason {
	case EndDone:
		w.ackedDone[end.Run.Task] = true
	case EndFailed:
		w.ackedFailures[end.Run.Task]++
	}
}

// members returns the present members of a run's gang, with their workers.
func (w *simCluster) members(r *simRun) (found []*simRun, on []*simWorker) {
	for _, sw := range w.workers {
		if sw.dead {
			continue
		}
		for _, o := range sw.sorted() {
			t := o.id.Task
			if t.Job == r.id.Task.Job && t.Step == r.id.Task.Step && o.id.Number == r.id.Number {
				found = append(found, o)
				on = append(on, sw)
			}
		}
	}
	return found, on
}

// gangComplete reports whether all members of a gang's run are present.
func (w *simCluster) gangComplete(r *simRun) bool {
	found, _ := w.members(r)
	return len(found) == r.step.Count
}

// endGang ends the remaining members of a gang.
func (w *simCluster) endGang(r *simRun) {
	if !r.step.Gang {
		return
	}
	found, on := w.members(r)
	for i, o := range found {
		on[i].end(o, EndGangBroken)
	}
}

// finish ends a task, or all members of a gang, as done.
func (w *simCluster) finish(r *simRun) {
	found, on := w.members(r)
	for i, o := range found {
		if r.step.Gang || o == r {
			on[i].end(o, EndDone)
		}
	}
}
