package engine

import (
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// job is an accepted job and what is known of its units.
type job struct {
	spec  workload.Job
	order int64 // revision at which it was accepted
	// accepted is on the engine's clock.
	accepted time.Duration
	units    []*unit
	// created are the occurrences whose units exist.
	created  int
	state    workload.State
	reason   string
	begun    bool // a task has started
	canceled bool
	// cancelOrder is the revision of the cancellation, 0 where there is none.
	cancelOrder int64
	endedAt     time.Duration
	// version counts changes that have to be on record; stored is the last that is.
	version int
	stored  int
	// finalAt is the version that made the state final.
	finalAt int
	// chains are what Engine.chainsOf returns, as of chainsAt of what was learned of run
	// times; nil before they are asked for.
	chains   []time.Duration
	chainsAt int
	tickets  map[stepAt]*tickets
	// unfit is why the job fits no workers, as last logged; unfitNext is when to look again.
	unfit     string
	unfitNext time.Duration
	// closed: its records are replaced by its outcome, whose revision is record where a
	// predecessor wrote it. cancelClosed is the revision of the cancellation that went too.
	closed       bool
	record       int64
	cancelClosed int64
}

// touched marks a change that has to be on record.
func (j *job) touched() { j.version++ }

// Visible is the state that may be told: a final one only once it is on record.
func (j *job) visible() workload.State {
	if j.state.Final() && j.stored < j.finalAt {
		if j.state == workload.Cancelled {
			return j.state // the request itself is on record
		}
		return workload.Running
	}
	if !j.state.Final() && j.hasBegun() {
		return workload.Running
	}
	return j.state
}

// hasBegun says whether a task of the job has started, as far as is known.
//
// The failure it guards against: that a task began is not on record by itself, but its
// placement is. A planner that has just taken over called jobs queued that ran, until the
// agents had reported.
func (j *job) hasBegun() bool {
	return j.begun || slices.ContainsFunc(j.units, (*unit).adopted)
}

// objective returns the time by which the job should be completed, if its work takes as long
// as is expected.
func (e *Engine) objective(j *job) time.Duration { return j.objectiveFor(e.chain(j)) }

// objectiveFor is the objective of a job whose longest chain of work takes that long.
func (j *job) objectiveFor(chain time.Duration) time.Duration {
	stretch := j.spec.QueuePolicy.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return j.accepted + time.Duration(stretch*float64(chain)) + j.spec.QueuePolicy.TargetLatency
}

// lateFactor bounds a late job's use: after that many times its objective its caller has
// no use for it.
const lateFactor = 3

// useless returns the time from which the job's caller has no use for it.
func (e *Engine) useless(j *job) time.Duration {
	return j.accepted + lateFactor*(e.objective(j)-j.accepted)
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

func (j *job) ready(u *unit) bool {
	for _, before := range u.spec().DependsOn {
		if !j.stepDone(u.occurrence, before) {
			return false
		}
	}
	return true
}

// create makes the units of the next occurrence.
func (j *job) create(now time.Duration) {
	k := j.created
	j.created++
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

// unblock moves the units whose earlier steps are done to the queue.
func (j *job) unblock(now time.Duration) {
	for _, u := range j.units {
		if u.state == unitBlocked && j.ready(u) {
			u.state = unitWaiting
			u.since = now
		}
	}
}
