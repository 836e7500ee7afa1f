package engine

import (
	"fmt"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// timeBreakdown splits the time of a unit since its earlier steps were done.
type timeBreakdown struct {
	capacityWait  time.Duration // waiting for capacity
	storeWait     time.Duration // waiting for the last placement to be stored
	discardedRuns time.Duration // runs whose work was discarded
	finalRun      time.Duration // the run that completed; 0 if its start is not known
	slowWorkers   time.Duration // part of finalRun that average workers would have saved
}

// LateReason names the largest part of a late job's time.
type LateReason string

// Values of LateReason.
const (
	LateByCapacity    LateReason = "waited for room"
	LateByStore       LateReason = "waited for the store"
	LateByRerun       LateReason = "ran again"
	LateBySlowWorkers LateReason = "ran on slow workers"
	LateByEarlierWork LateReason = "time in earlier steps or under earlier planners"
)

// JobLate reports that a job completed after its objective. Detail splits the time of its last
// unit.
type JobLate struct {
	Job     workload.JobID
	Account string
	Queue   string
	Reason  LateReason
	Detail  string
}

func (JobLate) isAction() {}

// mainReason returns the reason for the longest part.
func (s timeBreakdown) mainReason() LateReason {
	reason, longest := LateByEarlierWork, time.Duration(0)
	for _, part := range []struct {
		reason LateReason
		took   time.Duration
	}{{LateByCapacity, s.capacityWait}, {LateByStore, s.storeWait}, {LateByRerun, s.discardedRuns}, {LateBySlowWorkers, s.slowWorkers}} {
		if part.took > longest {
			reason, longest = part.reason, part.took
		}
	}
	return reason
}

// detail describes the parts for the log.
func (s timeBreakdown) detail(lateBy, declared time.Duration) string {
	return fmt.Sprintf("%d ms late; waited %d ms for capacity and %d ms for the store, discarded runs took %d ms, the final run %d ms of %d ms declared, %d ms of it by slow workers",
		lateBy.Milliseconds(), s.capacityWait.Milliseconds(), s.storeWait.Milliseconds(),
		s.discardedRuns.Milliseconds(), s.finalRun.Milliseconds(), declared.Milliseconds(), s.slowWorkers.Milliseconds())
}

// actualCriticalPath returns the length of the job's critical path with the actual run time of
// its last unit on average workers instead of the estimated one.
func (e *Engine) actualCriticalPath(last *unit) time.Duration {
	path := e.criticalPath(last.job)
	if last.times.finalRun > 0 {
		path += last.times.finalRun - last.times.slowWorkers - e.estimate(last)
	}
	return path
}

// reportLate reports the job of last, its last unit to complete, if it missed its objective. The
// objective allows for the actual run time, so a run that exceeds its estimate does not make a
// job late.
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
