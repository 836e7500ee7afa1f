package engine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// replanInterval is the time since the last planning round after which a tick requests one.
	replanInterval = 250 * time.Millisecond
	// workerRetention is how long a worker with an expired lease is kept after its last report.
	workerRetention = 60 * time.Second
	// maxPollAge is the greatest age of a poll by which a run may be judged stuck. Agents poll at
	// least once a second.
	maxPollAge = 1500 * time.Millisecond
	// A task is moved when it has reported no progress for stuckEstimateShare of its estimate,
	// and at least for minStuckTime, or minStuckTimeNoProgress while no run of its queue has
	// reported any. The time doubles with each move, as some tasks never report progress and must
	// still be able to finish.
	stuckEstimateShare     = 0.2
	minStuckTime           = 1600 * time.Millisecond
	minStuckTimeNoProgress = 2500 * time.Millisecond
	maxStalls              = 16 // limits the doubling
)

func (e *Engine) tick(now time.Duration, ev Tick) {
	e.wallTime = ev.WallTime
	e.lastTickAt = now
	e.storeUnavailable = ev.StoreUnavailable
	for _, w := range e.sortedWorkers() {
		e.tickWorker(now, w)
		e.noteSpeed(now, w)
	}
	for _, j := range slices.Clone(e.orderedJobs) {
		e.tickJob(now, j)
	}
	e.forgetGoneAgents(now)
	e.writeCheckpoints(now)
	e.writeSettledStarts(now)
	if now-e.lastPlanAt >= replanInterval {
		e.planNeeded = true
	}
}

func (e *Engine) tickWorker(now time.Duration, w *worker) {
	e.expireLease(now, w)
	e.reportSilence(now, w)
	e.noteLeaseRecord(now, w)
	if (w.ended || w.leaseExpired && now-w.lastReport > workerRetention) && len(w.placements) == 0 {
		e.removeWorker(w)
		return
	}
	for _, p := range w.sortedPlacements() {
		if p.stopping && p.state != placementAbsent && now-p.stopSentAt >= stopRetryInterval {
			e.sendStop(now, p)
		}
		e.resendPace(now, p)
		if e.isStuck(now, p) {
			e.logDecision(p, "stuck", fmt.Sprintf("no progress beyond %d%% for %v", p.rate.lastPercent, now-p.progressedAt))
			e.countWorkerFailure(now, p)
			e.avoidWorker(now, p)
			p.unit.stallCount = min(p.unit.stallCount+1, maxStalls)
			e.stopUnit(now, p.unit, CauseStalled)
		}
	}
}

// isStuck reports whether a run has reported no progress for so long that it should be moved.
func (e *Engine) isStuck(now time.Duration, p *placement) bool {
	if !e.params.Policy.MoveStuckTasks || p.state != placementRunning || p.stopping || p.unit.ending() || p.rate.lastPercent >= 99 {
		return false
	}
	if p.unit.spec().LongRunning || p.unit.spec().BestEffortCPU || !p.worker.attached {
		return false
	}
	if p.worker.unresponsive || now-p.worker.lastPolledAt > maxPollAge {
		return false // the last poll is too old to judge by
	}
	if p.lastSeenAt < p.worker.lastPolledAt {
		return false // not running by the last poll, which may have omitted its end
	}
	minTime := minStuckTimeNoProgress
	if e.tracker.progressQueues[p.unit.job.spec.Queue] {
		minTime = minStuckTime
	}
	limit := max(time.Duration(stuckEstimateShare*float64(e.estimateAsPlaced(now, p.unit))), minTime)
	return now-p.progressedAt > limit<<p.unit.stallCount
}

func (e *Engine) tickJob(now time.Duration, j *job) {
	if j.state.Final() {
		e.ageEndedJob(now, j)
		return
	}
	created := j.createdOccurrences
	e.createDueOccurrences(now, j)
	if j.createdOccurrences != created {
		e.markChanged(j)
		j.unblockUnits(now)
		e.planNeeded = true
	}
	e.logUnschedulable(now, j)
}
