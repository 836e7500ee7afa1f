package engine

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// job is an accepted job and what is known of its units.
type job struct {
	spec     workload.Job
	revision int64 // revision at which it was accepted
	// acceptedAt is on the engine's clock.
	acceptedAt time.Duration
	units      []*unit
	// createdOccurrences are the occurrences whose units exist.
	createdOccurrences int
	state              workload.State
	reason             string
	started            bool // a task has started
	canceled           bool
	// cancelRevision is the revision of the cancellation, 0 where there is none.
	cancelRevision int64
	endedAt        time.Duration
	// version counts changes that have to be on record; stored is the last that is.
	version       int
	storedVersion int
	// finalVersion is the version that made the state final.
	finalVersion int
	// criticalPaths are what Engine.chainsOf returns, as of chainsAt of what was learned of run
	// times; nil before they are asked for.
	criticalPaths        []time.Duration
	criticalPathsVersion int
	ticketsByStep        map[stepAt]*stepTickets
	// unschedulableReason is why the job fits no workers, as last logged; unfitNext is when to look again.
	unschedulableReason  string
	unschedulableCheckAt time.Duration
	// archived: its records are replaced by its outcome, whose revision is record where a
	// predecessor wrote it. cancelClosed is the revision of the cancellation that went too.
	archived               bool
	outcomeRevision        int64
	archivedCancelRevision int64
}

// bumpVersion marks a change that has to be on record.
func (j *job) bumpVersion() { j.version++ }

// Visible is the state that may be told: a final one only once it is on record.
func (j *job) reportedState() workload.State {
	if j.state.Final() && j.storedVersion < j.finalVersion {
		if j.state == workload.Cancelled {
			return j.state // the request itself is on record
		}
		return workload.Running
	}
	if !j.state.Final() && j.hasStarted() {
		return workload.Running
	}
	return j.state
}

// hasStarted says whether a task of the job has started, as far as is known.
//
// The failure it guards against: that a task began is not on record by itself, but its
// placement is. A planner that has just taken over called jobs queued that ran, until the
// agents had reported.
func (j *job) hasStarted() bool {
	return j.started || slices.ContainsFunc(j.units, (*unit).adopted)
}

// objective returns the time by which the job should be completed, if its work takes as long
// as is expected.
func (e *Engine) objective(j *job) time.Duration { return j.objectiveFor(e.chain(j)) }

// objectiveFor is the objective of a job whose longest chain of work takes that long.
func (j *job) objectiveFor(criticalPath time.Duration) time.Duration {
	stretch := j.spec.QueuePolicy.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return j.acceptedAt + time.Duration(stretch*float64(criticalPath)) + j.spec.QueuePolicy.TargetLatency
}

// uselessAfterFactor bounds a late job's use: after that many times its objective its caller has
// no use for it.
const uselessAfterFactor = 3

// uselessFrom returns the time from which the job's caller has no use for it.
func (e *Engine) uselessFrom(j *job) time.Duration {
	return j.acceptedAt + uselessAfterFactor*(e.objective(j)-j.acceptedAt)
}

// stepDone says whether all tasks of a step of an occurrence are done.
func (j *job) stepDone(occurrence, step int) bool {
	for _, u := range j.units {
		if u.occurrence == occurrence && u.step == step && u.state != unitDone {
			return false
		}
	}
	return true
}

func (j *job) dependenciesDone(u *unit) bool {
	for _, dep := range u.spec().DependsOn {
		if !j.stepDone(u.occurrence, dep) {
			return false
		}
	}
	return true
}

// createOccurrence makes the units of the next occurrence.
func (j *job) createOccurrence(now time.Duration) {
	k := j.createdOccurrences
	j.createdOccurrences++
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if s.Gang {
			j.units = append(j.units, &unit{job: j, occurrence: k, step: i, size: s.Count, since: now})
			continue
		}
		for n := range s.Count {
			j.units = append(j.units, &unit{job: j, occurrence: k, step: i, index: n, size: 1, since: now})
		}
	}
}

// unblockUnits moves the units whose earlier steps are done to the queue.
func (j *job) unblockUnits(now time.Duration) {
	for _, u := range j.units {
		if u.state == unitBlocked && j.dependenciesDone(u) {
			u.state = unitWaiting
			u.since = now
		}
	}
}
