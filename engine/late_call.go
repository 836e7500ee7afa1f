package engine

import (
	"slices"
	"time"
)

const (
	// maxCallDelay is the longest time after which a worker carries out a call that it has not answered.
	maxCallDelay = 12 * time.Second
	// settledStartsWriteInterval is the minimum time between two writes of settled starts.
	settledStartsWriteInterval = time.Second
	// maxSettledStartJobs limits the jobs in one such write; see maxCheckpointJobs.
	maxSettledStartJobs = 15
)

// startSettled reports whether no call to start the run can be carried out any more, because all were
// answered or too much time has passed.
func (p *placement) startSettled() bool { return p.lastCallBy == 0 }

// settleStart records that no call to start the run can be carried out any more.
func (p *placement) settleStart() {
	if p.startSettled() {
		return
	}
	p.lastCallBy = 0
	p.settledAtVersion = p.unit.job.version
}

// settleStarts settles the starts on a worker that has just been polled, if the poll was late enough to
// show the effect of every call. A worker that is not polled may be followed by another incarnation,
// which carries out calls too.
func (e *Engine) settleStarts(now time.Duration, w *worker) {
	polledAt := now - e.handling.Delay - maxPollAge
	for _, p := range w.sortedPlacements() {
		if polledAt >= p.lastCallBy+maxCallDelay {
			p.settleStart()
		}
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
