package engine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// MaxCallDelay is the longest time after which a worker carries out a call that it has not answered.
	MaxCallDelay = 12 * time.Second
	// settledStartsWriteInterval is the minimum time between two writes of settled starts.
	settledStartsWriteInterval = 250 * time.Millisecond
	// maxSettledStartJobs limits the jobs in one such write; see maxCheckpointJobs.
	maxSettledStartJobs = 15
)

// startSettled reports whether no call to start the run can be carried out any more, because all were
// answered or too much time has passed.
func (p *placement) startSettled() bool { return p.lastCallBy == 0 }

// lastCallTime returns the time by which the last call for an order to start p, which is given now, is sent:
// agents refuse starts after the lease by which they were decided, or earlier if their reports say so.
func (e *Engine) lastCallTime(now time.Duration, p *placement) time.Duration {
	end := e.params.leaseExpiry(now)
	if limit := p.worker.startLimit; limit != 0 && p.orderedTo != 0 {
		end = min(end, now+WithClockDrift(limit))
	}
	return end
}

// settleStart records that no call to start the run can be carried out any more.
func (p *placement) settleStart() {
	if p.startSettled() {
		return
	}
	p.lastCallBy = 0
	p.settledAtVersion = p.unit.job.version
}

// endPlacement ends a placement whose run is not on its worker any more. It is removed unless a call to
// start the run may still be carried out: the worker refuses it, but its next incarnation, if it keeps
// the name, does not before an agent has fenced it. The unit would then run twice if it were started
// elsewhere, so the placement stays as absent. It keeps its capacity, since calls may start all absent runs
// of a worker there.
func (e *Engine) endPlacement(now time.Duration, p *placement) {
	if !e.awaitsCall(now, p) {
		e.removePlacement(now, p)
		return
	}
	e.recordDiscarded(now, p)
	p.state, p.stopping = placementAbsent, true
	e.logDecision(p, "kept", fmt.Sprintf("a call to start it may be carried out within %d ms", (p.lastCallBy+MaxCallDelay-now).Milliseconds()))
	e.planNeeded = true
	e.stopRemainingMembers(now, p.unit)
}

// awaitsCall reports whether a call may start the run of p, and the unit is to run again.
func (e *Engine) awaitsCall(now time.Duration, p *placement) bool {
	if p.worker.info.Name == "" || p.startSettled() || p.unit.state == unitDone || p.unit.job.state.Final() {
		return false
	}
	return e.lastPollAt(now) < p.lastCallBy+MaxCallDelay
}

// lastPollAt returns the earliest time at which a worker can have answered the poll in the report that
// is being handled.
func (e *Engine) lastPollAt(now time.Duration) time.Duration {
	return now - e.handling.Delay - maxPollAge
}

// limitCalls limits when the last call to start the run of p was sent by what its agent reports. The
// agent sends none from then on, since the order is of a predecessor, for an earlier incarnation or for an
// earlier process.
func (r *Report) limitCalls(now time.Duration, p *placement) {
	if p.startSettled() {
		return
	}
	sentBy := now
	if !slices.Contains(r.UnansweredStarts, p.runID()) {
		sentBy -= r.ProcessAge // only an earlier process can have sent one
	}
	p.lastCallBy = min(p.lastCallBy, sentBy)
}

// limitEarlierCalls limits the calls that a predecessor has ordered, at the first report under this epoch,
// and those that an earlier process of the agent may have sent before it ended.
func limitEarlierCalls(now time.Duration, w *worker, r Report, first bool) {
	for _, p := range w.placements {
		if first && p.adopted || p.orderedTo != 0 && p.orderedTo != r.Origin.Process {
			r.limitCalls(now, p)
		}
	}
}

// noteStartResult notes which calls to start the run got an answer.
func (p *placement) noteStartResult(now time.Duration, r StartResult) {
	switch {
	case p.startSettled():
	case r.CallUnanswered:
		p.lastCallBy = min(p.lastCallBy, now)
	case (r.Outcome == StartOK || r.CallsOver) && p.state == placementAbsent:
		// The call may have started the run after it was absent. A poll from now on shows it.
		p.lastCallBy = min(p.lastCallBy, now-MaxCallDelay)
	case r.Outcome == StartOK || r.CallsOver:
		p.settleStart()
	}
}

// settleAllStarts settles the starts of all placements on w.
func (w *worker) settleAllStarts() {
	for _, p := range w.placements {
		p.settleStart()
	}
}

// settleStarts settles the starts on a worker that has just been polled, if the poll was late enough to
// show the effect of every call, and removes absent placements that need not stay. A worker that is not
// polled may be followed by another incarnation, which carries out calls too. A list that omits ends shows
// nothing of a run that such a call has started and that is over.
func (e *Engine) settleStarts(now time.Duration, w *worker, r Report) {
	if r.EndsOmitted {
		return
	}
	for _, p := range slices.Clone(w.sortedPlacements()) {
		if e.lastPollAt(now) >= p.lastCallBy+MaxCallDelay || e.allCallsAnswered(now, p, r) {
			p.settleStart()
		}
		e.releaseAbsent(now, p)
	}
}

// allCallsAnswered reports whether r shows that no call to start the run of p is without an answer: the process
// that the order names has sent its last one by then, and states which have none. The order itself may have
// been lost, or refused as too old.
func (e *Engine) allCallsAnswered(now time.Duration, p *placement, r Report) bool {
	return p.orderedTo != 0 && p.orderedTo == r.Origin.Process && r.StartLimit != 0 &&
		e.lastPollAt(now) >= p.lastCallBy && !slices.Contains(r.UnansweredStarts, p.runID())
}

// releaseAbsent removes an absent placement once no call can start its run.
func (e *Engine) releaseAbsent(now time.Duration, p *placement) {
	if p.state == placementAbsent && !e.awaitsCall(now, p) {
		e.removePlacement(now, p)
		e.markChanged(p.unit.job)
	}
}

// writeSettledStarts stores which starts are settled, so that a successor that does not hear of a worker
// waits for late calls only where there may be some.
func (e *Engine) writeSettledStarts(now time.Duration) {
	if now-e.settledStartsWrittenAt < settledStartsWriteInterval {
		return
	}
	e.settledStartsWrittenAt = now
	left := maxSettledStartJobs
	for _, j := range e.orderedJobs {
		if left == 0 {
			return
		}
		if !j.state.Final() && slices.ContainsFunc(j.units, (*unit).hasUnstoredSettledStart) {
			e.markChanged(j)
			left--
		}
	}
}

// hasUnstoredSettledStart reports whether the job has not changed since a start of the unit was settled.
func (u *unit) hasUnstoredSettledStart() bool {
	return slices.ContainsFunc(u.placements, func(p *placement) bool {
		return p.worker.info.Name != "" && p.state != placementUnrecorded && p.startSettled() && p.settledAtVersion == u.job.version
	})
}
