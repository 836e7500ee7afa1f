package engine

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// job is an accepted job and the state of its units.
type job struct {
	spec     workload.Job
	revision int64 // store revision of its acceptance
	// acceptedAt is a time of the engine's clock.
	acceptedAt time.Duration
	units      []*unit
	// createdOccurrences is the number of occurrences whose units exist.
	createdOccurrences int
	state              workload.State
	reason             string
	started            bool // a task has started
	cancelled          bool
	// cancelRevision is the store revision of the cancellation, 0 if there is none.
	cancelRevision int64
	endedAt        time.Duration
	// version counts the changes to be stored; storedVersion is the last stored one.
	version       int
	storedVersion int
	// finalVersion is the version in which the state became final.
	finalVersion int
	// criticalPaths caches the expected critical path from each step on, nil before the first use.
	// criticalPathsVersion is the version of the run time estimates that it is based on.
	criticalPaths        []time.Duration
	criticalPathsVersion int
	ticketsByStep        map[occurrenceStep]*stepTickets
	// unschedulableReason is the last logged reason why no worker can run the job.
	// unschedulableCheckAt is when to check again.
	unschedulableReason  string
	unschedulableCheckAt time.Duration
	// archived: the records are replaced by the outcome. outcomeRevision is the revision of the
	// outcome if a previous planner wrote it. archivedCancelRevision is the revision of the
	// cancellation that was removed with the records.
	archived               bool
	outcomeRevision        int64
	archivedCancelRevision int64
}

// bumpVersion records that the job has changed and must be stored.
func (j *job) bumpVersion() { j.version++ }

// reportedState returns the state to report to callers. A final state is reported only once it
// is stored.
func (j *job) reportedState() workload.State {
	if j.state.Final() && j.storedVersion < j.finalVersion {
		if j.state == workload.Cancelled {
			return j.state // the cancellation itself is stored
		}
		return workload.Running
	}
	if !j.state.Final() && j.hasStarted() {
		return workload.Running
	}
	return j.state
}

// hasStarted reports whether a task of the job has started, as far as known.
//
// A placement is stored, but not that its task has started. So after a change of planner a stored
// placement counts as started until the agents have reported.
func (j *job) hasStarted() bool {
	return j.started || slices.ContainsFunc(j.units, (*unit).adopted)
}

// objective returns the time by which the job should complete, given the expected duration of its
// work.
func (e *Engine) objective(j *job) time.Duration { return j.objectiveFor(e.criticalPath(j)) }

// objectiveFor returns the objective for a given duration of the critical path.
func (j *job) objectiveFor(criticalPath time.Duration) time.Duration {
	stretch := j.spec.QueuePolicy.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return j.acceptedAt + time.Duration(stretch*float64(criticalPath)) + j.spec.QueuePolicy.TargetLatency
}

// uselessAfterFactor is the multiple of its objective after which a job's completion is of no use
// to the caller.
const uselessAfterFactor = 3

// usefulTime returns for how long a completion of the job is of use, given its objective.
func (j *job) usefulTime(objective time.Duration) time.Duration {
	return uselessAfterFactor * (objective - j.acceptedAt)
}

// uselessFrom returns the time from which the job's completion is of no use to the caller.
func (e *Engine) uselessFrom(j *job) time.Duration {
	return j.acceptedAt + j.usefulTime(e.objective(j))
}

// stepDone reports whether all tasks of a step of an occurrence are done.
func (j *job) stepDone(occurrence, step int) bool {
	for _, u := range j.units {
		if u.occurrence == occurrence && u.step == step && u.state != unitDone {
			return false
		}
	}
	return true
}

// dependenciesDone reports whether all steps that u depends on are done.
func (j *job) dependenciesDone(u *unit) bool {
	for _, dep := range u.spec().DependsOn {
		if !j.stepDone(u.occurrence, dep) {
			return false
		}
	}
	return true
}

// createOccurrence creates the units of the next occurrence.
func (j *job) createOccurrence(now time.Duration) {
	k := j.createdOccurrences
	j.createdOccurrences++
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if s.Gang {
			j.units = append(j.units, &unit{job: j, stepSpec: s, occurrence: k, step: i, size: s.Count, waitingSince: now})
			continue
		}
		for n := range s.Count {
			j.units = append(j.units, &unit{job: j, stepSpec: s, occurrence: k, step: i, index: n, size: 1, waitingSince: now})
		}
	}
}

// unblockUnits moves blocked units whose dependencies are done to the queue.
func (j *job) unblockUnits(now time.Duration) {
	for _, u := range j.units {
		if u.state == unitBlocked && j.dependenciesDone(u) {
			u.state = unitWaiting
			u.waitingSince = now
		}
	}
}
