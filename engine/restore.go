package engine

import (
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// restoreWorker adds a worker from the records of a previous planner. Its recorded placements
// count until it reports or until every lease that previous planners granted has expired.
func (e *Engine) restoreWorker(now time.Duration, info WorkerInfo) {
	if e.workers[info.ID] != nil {
		return
	}
	w := e.addWorker(now, info)
	e.workersRestoredAt = now
	w.recorded = true
	w.leaseExpiresAt = e.inheritedLeaseEnd()
	e.inheritLease(now, w)
	w.lastReport = now - reportTimeout
	if previous := e.workers[e.workerByAgent[info.Agent]]; previous != nil && previous.info.SharesName(info) {
		// The agent's next report shows which of the two is current.
		e.supersede(previous, DepartureCrashed, crashEvidence{crashedBy: now})
	}
	e.workerByAgent[info.Agent] = info.ID
}

// workerReturnWait is how long a new planner that has loaded the records waits for the recorded workers to
// report before it evicts work. Most report within a fraction of that time, and their capacity may make
// evictions unnecessary.
const workerReturnWait = 400 * time.Millisecond

// awaitingRecordedWorkers reports whether recorded workers are still expected to report.
func (e *Engine) awaitingRecordedWorkers(now time.Duration) bool {
	if now-e.workersRestoredAt > workerReturnWait {
		return false
	}
	for _, w := range e.workers {
		if !w.attached {
			return true
		}
	}
	return false
}

// restoreJob adds a job from the records of a previous planner. Workers must be restored first.
func (e *Engine) restoreJob(now time.Duration, ev JobRestored) {
	if e.jobs[ev.Job.ID] != nil {
		return
	}
	j := e.addJob(now, ev.JobSubmitted)
	if ev.Progress != nil {
		e.restoreProgress(now, j, ev.Progress)
	}
	j.cancelRevision = ev.CancelRevision
	if j.state.Final() {
		for _, u := range j.units {
			e.stopUnit(now, u, CauseTakeover)
		}
		return
	}
	revision, requested := e.earlyCancels[ev.Job.ID]
	if ev.Cancelled || requested {
		delete(e.earlyCancels, ev.Job.ID)
		e.cancel(now, CancelRequested{Job: ev.Job.ID, Revision: max(revision, ev.CancelRevision)})
		return
	}
	e.createDueOccurrences(now, j)
	j.unblockUnits(now)
	e.advanceJob(now, j)
	e.planNeeded = true
}

func (e *Engine) restoreProgress(now time.Duration, j *job, p *JobProgress) {
	j.state = p.State
	j.reason = p.Reason
	j.started = p.Started
	j.version = p.Version
	j.storedVersion = p.Version
	if j.state.Final() {
		j.cancelled = j.state == workload.Cancelled
		j.endedAt = now
	}
	for j.createdOccurrences < p.CreatedOccurrences {
		j.createOccurrence(now)
	}
	for _, up := range p.Units {
		if u := j.findUnit(up.Occurrence, up.Step, up.Index); u != nil {
			e.restoreUnit(now, u, up)
		}
	}
}

func (e *Engine) restoreUnit(now time.Duration, u *unit, up UnitProgress) {
	u.runNumber = up.RunNumber
	u.failures = up.Failures
	u.checkpoint = up.Checkpoint
	for _, c := range up.Crashes {
		u.setCrashCount(c.Index, crashCount{total: c.Total, startup: c.Startup, confirmed: c.Confirmed})
	}
	for _, place := range up.Placements {
		w := e.workers[place.Worker]
		if w == nil {
			continue // its record is removed only when nothing runs there
		}
		p := e.addPlacement(u, place.Index, w)
		p.state = placementAdopted
		p.adopted = true
		if !place.StartSettled {
			p.lastCallBy = w.leaseExpiresAt // of the last lease by which the predecessor decided
		}
	}
	switch {
	case up.Done:
		u.state = unitDone
		u.outcome = outcomeDone
	case len(u.placements) == u.size:
		u.state = unitActive
	case len(u.placements) > 0:
		u.state = unitActive
		e.stopUnit(now, u, CauseTakeover)
	}
}

// addPlacement creates a placement, which holds its capacity from now on.
func (e *Engine) addPlacement(u *unit, index int, w *worker) *placement {
	p := &placement{unit: u, index: index, worker: w, runNumber: u.runNumber, demand: u.demand()}
	w.addPlacement(p)
	u.placements = append(u.placements, p)
	return p
}
