package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// handleRunEnd handles the reported end of one run. It returns the job that must be stored
// before the worker may forget the end, or nil if the end changes nothing.
func (e *Engine) handleRunEnd(now time.Duration, w *worker, end RunEnd) *job {
	delete(w.orphans, end.Run)
	p := w.placements[end.Run.Task]
	if p == nil || p.runNumber != end.Run.Number {
		return nil
	}
	reason := end.Reason
	if end.Void && (reason == EndDone || reason == EndFailed) {
		e.logDecision(p, "end ignored", "the worker's lease expired after the run ended")
		reason = EndLeaseExpired
	}
	u := p.unit
	if end.Checkpoint != "" {
		u.checkpoint = end.Checkpoint
		p.checkpointAt = now // the checkpoint covers all work up to the end
	}
	e.applyRunEnd(now, p, reason)
	e.endPlacement(now, p)
	e.markChanged(u.job)
	return u.job
}

// applyRunEnd updates the unit according to how its run ended.
func (e *Engine) applyRunEnd(now time.Duration, p *placement, reason EndReason) {
	u := p.unit
	e.logDecision(p, "ended", string(reason))
	if cause, found := causeOfEnd[reason]; found {
		u.setCauseOnce(cause)
	}
	switch reason {
	case EndDone:
		p.worker.health.reset()
		e.measureRun(now, p)
		e.learnRunTime(now, p)
		if u.spec().LongRunning {
			e.scheduleRestart(now, p)
			return
		}
		e.completeUnit(now, u)
	case EndFailed:
		e.countWorkerFailure(now, p)
		e.handleUnitFailure(now, p)
	case EndStopped:
		if p.stopping {
			e.tracker.observeStop(now - p.stopSentAt)
		}
		e.markRetry(u)
	default:
		e.markRetry(u)
	}
}

// causeOfEnd maps the ways in which a run may end by itself to causes. A stopped run already has
// the cause of its stop.
var causeOfEnd = map[EndReason]Cause{
	EndFailed:         CauseFailed,
	EndLeaseExpired:   CauseLeaseExpired,
	EndGangBroken:     CauseMemberEnded,
	EndGangIncomplete: CauseMembersMissing,
}

// markRetry makes the unit start again once its current run is over, unless its outcome is
// already decided.
func (e *Engine) markRetry(u *unit) {
	if u.outcome == outcomeNone {
		u.outcome = outcomeRetry
	}
}

// completeUnit marks a unit as done. A gang is done when its first member reports it.
func (e *Engine) completeUnit(now time.Duration, u *unit) {
	if u.state == unitDone {
		return
	}
	u.outcome = outcomeDone
	u.state = unitDone
	if len(u.placements) > 0 && u.placements[0].startedAt != 0 {
		u.times.finalRun = now - u.placements[0].startedAt
		u.times.slowWorkers = max(0, u.times.finalRun-scale(u.times.finalRun, 1/e.slowdown(now, u)))
	}
	e.markChanged(u.job)
	e.advanceJob(now, u.job)
	if u.job.state == workload.Completed {
		e.reportLate(now, u)
	}
}

// handleUnitFailure counts a failed attempt. The job fails once its queue's MaxAttempts is
// reached; long-running tasks are restarted without a limit.
func (e *Engine) handleUnitFailure(now time.Duration, p *placement) {
	u := p.unit
	if u.state == unitDone {
		return
	}
	e.avoidWorker(now, p)
	if u.spec().LongRunning {
		e.scheduleRestart(now, p)
		return
	}
	if u.failedRun != p.runNumber {
		u.failedRun = p.runNumber // the failures of all members of a gang count once
		u.failures++
	}
	e.markRetry(u)
	limit := u.job.spec.QueuePolicy.MaxAttempts
	if limit > 0 && u.failures >= limit && !u.job.state.Final() {
		u.state = unitFailed
		e.finish(now, u.job, workload.Failed, "a task failed as often as its queue allows")
	}
}

// removePlacement frees the capacity of a placement that is over. After the last one of a run,
// an active unit becomes waiting again.
func (e *Engine) removePlacement(now time.Duration, p *placement) {
	p.worker.removePlacement(p)
	u := p.unit
	e.recordDiscarded(now, p)
	u.placements = slices.DeleteFunc(u.placements, func(o *placement) bool { return o == p })
	e.planNeeded = true
	if len(u.placements) > 0 {
		e.stopRemainingMembers(now, u)
		return
	}
	if u.state == unitActive {
		u.state = unitWaiting
		u.waitingSince = now
	}
	u.outcome = outcomeNone
	u.cause = causeNone
}

// stopRemainingMembers stops the other members of a gang that has lost one. If the gang is done,
// they end by themselves.
func (e *Engine) stopRemainingMembers(now time.Duration, u *unit) {
	if u.outcome == outcomeRetry {
		e.stopUnit(now, u, CauseMemberEnded)
	}
}

// stopUnit ends the current run of a unit for the given cause.
func (e *Engine) stopUnit(now time.Duration, u *unit, cause Cause) {
	u.setCauseOnce(cause)
	if u.state == unitActive && u.outcome == outcomeNone {
		u.outcome = outcomeRetry
	}
	for _, p := range slices.Clone(u.placements) {
		e.stopRun(now, p)
	}
}

// stopRun stops one run, or removes it at once if no order has been sent.
func (e *Engine) stopRun(now time.Duration, p *placement) {
	if p.stopping {
		return
	}
	p.stopping = true
	if p.state == placementUnrecorded {
		e.removePlacement(now, p)
		return
	}
	e.sendStop(now, p)
}

// sendStop orders the stop of a run if the worker is attached.
func (e *Engine) sendStop(now time.Duration, p *placement) {
	p.stopSentAt = now
	if !p.worker.attached {
		return
	}
	o := e.ordersFor(p.worker)
	o.Stops = append(o.Stops, p.runID())
	e.logDecision(p, "stop", p.stopRetryDetail(now))
	p.stopsSent++
}

// stopRetryDetail describes for logs why a stop is ordered again; it is empty for the first order.
func (p *placement) stopRetryDetail(now time.Duration) string {
	if p.stopsSent == 0 {
		return ""
	}
	waited := fmt.Sprintf("stop ordered %d times before", p.stopsSent)
	if p.worker.unresponsive {
		return fmt.Sprintf("%s; the worker does not answer, its lease expires in %d ms", waited, (p.worker.leaseExpiresAt - now).Milliseconds())
	}
	return fmt.Sprintf("%s; the worker last answered %d ms ago and reports no end of the run", waited, (now - p.worker.lastPolledAt).Milliseconds())
}

// handleLostRun removes a placement whose run is certainly over though no end was reported.
func (e *Engine) handleLostRun(now time.Duration, p *placement, cause Cause, detail string) {
	e.noteLostRun(p, cause, detail)
	e.removePlacement(now, p)
	e.markChanged(p.unit.job)
}

// handleAbsentRun ends a placement whose run is not on its worker.
func (e *Engine) handleAbsentRun(now time.Duration, p *placement, cause Cause, detail string) {
	e.noteLostRun(p, cause, detail)
	e.endPlacement(now, p)
	e.markChanged(p.unit.job)
}

// noteLostRun makes the unit of a run without a reported end start again.
func (e *Engine) noteLostRun(p *placement, cause Cause, detail string) {
	lost := p.decision("lost", detail)
	lost.Report = e.handling
	e.actions = append(e.actions, lost)
	p.unit.setCauseOnce(cause)
	if p.checkpoint != "" {
		p.unit.checkpoint = p.checkpoint
	}
	e.markRetry(p.unit)
}
