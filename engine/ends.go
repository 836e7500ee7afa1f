package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// ended handles one listed end. It returns the job that must be stored before the
// worker may forget the end, nil where nothing depends on it.
func (e *Engine) ended(now time.Duration, w *worker, row RunEnd) *job {
	delete(w.strays, row.Run)
	p := w.places[row.Run.Task]
	if p == nil || p.run != row.Run.Number {
		return nil
	}
	reason := row.Reason
	if row.Void && (reason == EndDone || reason == EndFailed) {
		e.decided(p, "end does not count", "the worker's lease lapsed after it")
		reason = EndLeaseExpired
	}
	u := p.unit
	if row.Checkpoint != "" {
		u.saved = row.Checkpoint
		p.savedAt = now // all work up to its end
	}
	e.judge(now, p, reason)
	e.over(now, p)
	e.change(u.job)
	return u.job
}

// judge settles what an end means for the run of its unit.
func (e *Engine) judge(now time.Duration, p *placement, reason EndReason) {
	u := p.unit
	e.decided(p, "ended", string(reason))
	if cause, undone := causeOfEnd[reason]; undone {
		u.blame(cause)
	}
	switch reason {
	case EndDone:
		p.worker.health.succeeded()
		e.learn(now, p)
		if u.spec().LongRunning {
			e.restart(now, p)
			return
		}
		e.unitDone(now, u)
	case EndFailed:
		e.distrust(now, p)
		e.unitFailed(now, p)
	case EndStopped:
		if p.stopping {
			e.tracker.stopped(now - p.stopSent)
		}
		e.retry(u)
	default:
		e.retry(u)
	}
}

// causeOfEnd is why a run that ended by itself was in vain. One that was stopped has the
// cause of its stop.
var causeOfEnd = map[EndReason]Cause{
	EndFailed:         CauseFailed,
	EndLeaseExpired:   CauseLeaseExpired,
	EndGangBroken:     CauseMemberEnded,
	EndGangIncomplete: CauseMembersMissing,
}

func (e *Engine) retry(u *unit) {
	if u.verdict == verdictNone {
		u.verdict = verdictRetry
	}
}

// unitDone counts the work of a unit as done. For a gang the first member to say so
// speaks for all.
func (e *Engine) unitDone(now time.Duration, u *unit) {
	if u.state == unitDone {
		return
	}
	u.verdict = verdictDone
	u.state = unitDone
	if len(u.places) > 0 && u.places[0].began != 0 {
		u.spent.run = now - u.places[0].began
	}
	e.change(u.job)
	e.advance(now, u.job)
	if u.job.state == workload.Completed {
		e.tellLate(now, u)
	}
}

func (e *Engine) unitFailed(now time.Duration, p *placement) {
	u := p.unit
	if u.state == unitDone {
		return
	}
	e.avoid(now, p)
	if u.spec().LongRunning {
		e.restart(now, p)
		return
	}
	if u.failedRun != p.run {
		u.failedRun = p.run // the members of a gang fail together, which counts once
		u.failures++
	}
	e.retry(u)
	limit := u.job.spec.QueuePolicy.MaxAttempts
	if limit > 0 && u.failures >= limit && !u.job.state.Final() {
		u.state = unitFailed
		e.finish(now, u.job, workload.Failed, "a task failed as often as its queue allows")
	}
}

// over frees what a placement held. When the last of a run is over, the unit waits
// again or is settled.
func (e *Engine) over(now time.Duration, p *placement) {
	p.worker.drop(p)
	u := p.unit
	e.discard(now, p)
	u.places = slices.DeleteFunc(u.places, func(o *placement) bool { return o == p })
	e.replan = true
	if len(u.places) > 0 {
		e.stopRest(now, u)
		return
	}
	if u.state == unitActive {
		u.state = unitWaiting
		u.since = now
	}
	u.verdict = verdictNone
	u.cause = causeNone
}

// stopRest stops the members of a gang that one member has left. Those of a run that
// is done end by themselves.
func (e *Engine) stopRest(now time.Duration, u *unit) {
	if u.verdict == verdictRetry {
		e.stopAll(now, u, CauseMemberEnded)
	}
}

// stopAll decides that the present run of a unit ends, for a cause.
func (e *Engine) stopAll(now time.Duration, u *unit, cause Cause) {
	u.blame(cause)
	if u.state == unitActive && u.verdict == verdictNone {
		u.verdict = verdictRetry
	}
	for _, p := range slices.Clone(u.places) {
		e.stop(now, p)
	}
}

// stop orders one run to end, or drops it where no order has left.
func (e *Engine) stop(now time.Duration, p *placement) {
	if p.stopping {
		return
	}
	p.stopping = true
	if p.state == placeRecording {
		e.over(now, p)
		return
	}
	e.sendStop(now, p)
}

func (e *Engine) sendStop(now time.Duration, p *placement) {
	p.stopSent = now
	if !p.worker.attached {
		return
	}
	o := e.ordersFor(p.worker)
	o.Stops = append(o.Stops, p.id())
	e.decided(p, "stop", p.awaits(now))
	p.stops++
}

// awaits says, for the log, what a stop that is ordered again waits for.
func (p *placement) awaits(now time.Duration) string {
	if p.stops == 0 {
		return ""
	}
	waited := fmt.Sprintf("ordered %d times before", p.stops)
	if p.worker.silent {
		return fmt.Sprintf("%s; the worker does not answer, its lease is over in %d ms", waited, (p.worker.lapseAt - now).Milliseconds())
	}
	return fmt.Sprintf("%s; the worker last answered %d ms ago and lists no end", waited, (now - p.worker.lookedAt).Milliseconds())
}

// lost ends a placement whose run is certainly over without a listed end.
func (e *Engine) lost(now time.Duration, p *placement, cause Cause, why string) {
	e.decided(p, "lost", why)
	p.unit.blame(cause)
	if p.saved != "" {
		p.unit.saved = p.saved
	}
	e.retry(p.unit)
	e.over(now, p)
	e.change(p.unit.job)
}
