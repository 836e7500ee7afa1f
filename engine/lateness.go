package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// timeBreakdown is what a unit's time went into, from when its earlier steps were done.
type timeBreakdown struct {
	capacityWait  time.Duration // waiting for room
	storeWait     time.Duration // of its last placement, until that was on record
	discardedRuns time.Duration // runs whose work did not count
	finalRun      time.Duration // the run that did; 0 where its start is not known
}

// LateReason is what most of a late job's time went into.
type LateReason string

// Reasons.
const (
	LateByCapacity    LateReason = "waited for room"
	LateByStore       LateReason = "waited for the store"
	LateByRerun       LateReason = "ran again"
	LateByEarlierWork LateReason = "time in earlier steps or under earlier planners"
)

// JobLate: a job was completed after its objective. Detail has the parts of its last unit.
type JobLate struct {
	Job     workload.JobID
	Account string
	Queue   string
	Reason  LateReason
	Detail  string
}

func (JobLate) isAction() {}

// mainReason names the part that weighs most.
func (s timeBreakdown) mainReason() LateReason {
	reason, longest := LateByEarlierWork, time.Duration(0)
	for _, part := range []struct {
		reason LateReason
		took   time.Duration
	}{{LateByCapacity, s.capacityWait}, {LateByStore, s.storeWait}, {LateByRerun, s.discardedRuns}} {
		if part.took > longest {
			reason, longest = part.reason, part.took
		}
	}
	return reason
}

func (s timeBreakdown) detail(lateBy, declared time.Duration) string {
	return fmt.Sprintf("%d ms late; room %d ms, store %d ms, runs in vain %d ms, run %d ms of %d declared",
		lateBy.Milliseconds(), s.capacityWait.Milliseconds(), s.storeWait.Milliseconds(),
		s.discardedRuns.Milliseconds(), s.finalRun.Milliseconds(), declared.Milliseconds())
}

// actualCriticalPath is the longest chain of work of a job whose last unit has just ended, with
// what that took in the place of what was expected.
func (e *Engine) actualCriticalPath(last *unit) time.Duration {
	path := e.criticalPath(last.job)
	if last.times.finalRun > 0 {
		path += last.times.finalRun - e.estimate(last)
	}
	return path
}

// reportLate reports why a job that its unit last has just completed missed its objective. That
// allows for the time that the work took, so a run that was longer than declared is no reason.
func (e *Engine) reportLate(now time.Duration, last *unit) {
	j := last.job
	lateBy := now - j.objectiveFor(e.actualCriticalPath(last))
	if lateBy <= 0 {
		return
	}
	declared := last.spec().Estimate
	e.actions = append(e.actions, JobLate{
		Job:     j.spec.ID,
		Account: j.spec.Account,
		Queue:   j.spec.Queue,
		Reason:  last.times.mainReason(),
		Detail:  last.times.detail(lateBy, declared),
	})
}
