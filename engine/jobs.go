package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// submit adds a stored job. A repeated submission has no effect.
func (e *Engine) submit(now time.Duration, ev JobSubmitted) {
	if e.jobs[ev.Job.ID] != nil || e.expired[ev.Job.ID] {
		return
	}
	j := e.addJob(now, ev)
	e.logJobDecision(j, "accepted", "")
	if revision, cancelled := e.earlyCancels[ev.Job.ID]; cancelled {
		delete(e.earlyCancels, ev.Job.ID)
		e.cancel(now, CancelRequested{Job: ev.Job.ID, Revision: revision})
		return
	}
	e.createDueOccurrences(now, j)
	j.unblockUnits(now)
	e.planNeeded = true
	if j.spec.QueuePolicy.Priority == 0 {
		e.urgentHistory.add(now, j.peakAccelerators())
	}
}

// addJob adds a job without units.
func (e *Engine) addJob(now time.Duration, ev JobSubmitted) *job {
	j := &job{
		spec:       ev.Job,
		revision:   ev.Revision,
		acceptedAt: now - ev.Age,
		state:      workload.Queued,
	}
	e.jobs[ev.Job.ID] = j
	e.orderedJobs = append(e.orderedJobs, j)
	return j
}

// createDueOccurrences creates the units of all occurrences that are due.
func (e *Engine) createDueOccurrences(now time.Duration, j *job) {
	for j.createdOccurrences < j.spec.Occurrences() {
		due, scheduled := j.spec.Due(j.createdOccurrences)
		if scheduled && (e.wallTime.IsZero() || e.wallTime.Before(due)) {
			return
		}
		j.createOccurrence(now)
	}
}

// cancel ends a job at its caller's request. A cancellation of an unknown job is kept until the
// job is added.
func (e *Engine) cancel(now time.Duration, ev CancelRequested) {
	j := e.jobs[ev.Job]
	if j == nil {
		e.earlyCancels[ev.Job] = max(e.earlyCancels[ev.Job], ev.Revision)
		return
	}
	j.cancelRevision = max(j.cancelRevision, ev.Revision)
	if j.cancelled || j.state.Final() {
		return
	}
	j.cancelled = true
	e.finish(now, j, workload.Cancelled, "cancelled by the caller")
}

// finish sets a job's final state and, if it was cancelled or has failed, stops its runs.
func (e *Engine) finish(now time.Duration, j *job, state workload.State, reason string) {
	j.state = state
	j.reason = reason
	j.endedAt = now
	e.markChanged(j)
	j.finalVersion = j.version
	e.logJobDecision(j, string(state), reason)
	e.actions = append(e.actions, JobFinished{Account: j.spec.Account, Queue: j.spec.Queue, State: state, Took: now - j.acceptedAt})
	for _, u := range j.units {
		e.dropClaims(u)
		e.tracker.speeds.EndGroup(u.speedGroup())
		switch state {
		case workload.Cancelled:
			e.stopUnit(now, u, CauseCancelled)
		case workload.Failed:
			e.stopUnit(now, u, CauseJobFailed)
		}
	}
	e.planNeeded = true
}

// advanceJob unblocks units after one is done, and completes the job after the last one.
func (e *Engine) advanceJob(now time.Duration, j *job) {
	if j.state.Final() {
		return
	}
	j.unblockUnits(now)
	if j.createdOccurrences < j.spec.Occurrences() {
		return
	}
	for _, u := range j.units {
		if u.state != unitDone {
			return
		}
	}
	e.finish(now, j, workload.Completed, "")
}

// JobStatus is the state of a job as reported to callers.
type JobStatus struct {
	State   workload.State
	Queue   string
	Account string
	Reason  string
}

// Lookup returns the status of a job, and false if the job is not known.
func (e *Engine) Lookup(id workload.JobID) (JobStatus, bool) {
	j := e.jobs[id]
	if j == nil {
		return JobStatus{}, false
	}
	return JobStatus{State: j.reportedState(), Queue: j.spec.Queue, Account: j.spec.Account, Reason: j.reason}, true
}

// UnstartedByQueue returns the number of jobs of each queue that have not started.
func (e *Engine) UnstartedByQueue() map[string]int {
	out := map[string]int{}
	for _, j := range e.jobs {
		if !j.hasStarted() && !j.state.Final() {
			out[j.spec.Queue]++
		}
	}
	return out
}
