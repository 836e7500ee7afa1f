package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// maxMissedPolls is the number of consecutive polls without a running task after which it is
// stopped. The answer to the start may overtake an earlier poll, but not that many.
const maxMissedPolls = 3

// Report processes an agent's report and returns the answer, which may extend the worker's
// lease. The caller must send it without delay. See ReportStanding for reports that change nothing.
func (e *Engine) Report(now time.Duration, r Report) ReportAnswer {
	e.handling = e.orderReport(now, &r)
	defer func() { e.handling = ReportRef{} }()
	switch e.handling.Standing {
	case ReportOutdated:
		e.actions = append(e.actions, OutdatedReport{Agent: r.Worker.Agent, Worker: r.Worker.ID, Report: e.handling})
		return ReportAnswer{Standing: ReportOutdated}
	case ReportUnconfirmed:
		return e.answerUnconfirmed(now, &r)
	}
	if r.Terminated {
		e.handleTerminated(now, r)
		return ReportAnswer{}
	}
	w := e.registerWorker(now, r.Worker)
	attached := r.Epoch == e.epoch && r.Generation >= w.generation
	if now-w.lastReport >= reportTimeout {
		e.planNeeded = true
	}
	w.lastReport = now
	e.updateDrain(now, w, r)
	if w.capacityUnconfirmed && !r.CapacityUnconfirmed {
		e.planNeeded = true
	}
	w.capacityUnconfirmed = r.CapacityUnconfirmed
	first := !w.attached
	if !attached || first && !r.Polled {
		// No lease is granted; the expiry of the current one is already accounted for. Without a
		// poll the report does not show which runs are present.
		e.limitLease(now, w, r)
		return ReportAnswer{Generation: w.generation, AckedEnds: w.ackedEnds}
	}
	w.attached = true
	e.recordGeneration(w, r.Generation)
	granted := e.updateLease(now, w, r)
	if r.Polled {
		limitEarlierCalls(now, w, r, first)
		e.settleSuperseded(now, w, r)
		e.reconcile(now, w, r)
		e.settleStarts(now, w, r)
		e.dropUnconfirmedAdopted(now, w, r)
		e.adjustPaces(now, w)
	}
	if first {
		e.resendStops(now, w)
		e.planNeeded = true
	}
	return ReportAnswer{Attached: granted, GrantPending: w.awaitsGrant == r.Origin && r.Origin.Process != 0, Generation: w.generation, AckedEnds: w.advanceAckedEnds(), EndsPending: len(w.pendingEnds) > 0, PollOften: w.needsFrequentPolls()}
}

// registerWorker returns the reporting worker and adds it if it is new. A new incarnation next
// to the same agent proves that the previous one is over.
func (e *Engine) registerWorker(now time.Duration, info WorkerInfo) *worker {
	previous, known := e.workerByAgent[info.Agent]
	if known && previous != info.ID {
		e.supersedeReplaced(now, previous, info)
	}
	w := e.workers[info.ID]
	if w == nil {
		w = e.addWorker(now, info)
		e.unrecordedWorkers[info.ID] = w
	}
	if w.info.Agent == "" {
		// Its stored record was unreadable; store what the worker reports.
		w.info = info
		w.recorded = false
		e.unrecordedWorkers[info.ID] = w
	}
	if previous != info.ID || w.ended {
		w.ended = false
		e.assignGeneration(w)
	}
	e.resize(now, w, info.Capacity)
	e.workerByAgent[info.Agent] = info.ID
	return w
}

func (e *Engine) addWorker(now time.Duration, info WorkerInfo) *worker {
	w := &worker{
		info:           info,
		placements:     map[workload.TaskID]*placement{},
		orphans:        map[workload.RunID]time.Duration{},
		lastReport:     now,
		leaseExpiresAt: e.params.leaseExpiry(now),
		leaseBasis:     LeaseAssumed,
	}
	e.markCordoned(w)
	e.inheritSpeed(now, w)
	e.workers[info.ID] = w
	e.workersByID = nil
	delete(e.goneWorkers, info.ID) // it is back before its record was removed
	e.workerAddedAt = now
	e.planNeeded = true
	return w
}

func (e *Engine) updateDrain(now time.Duration, w *worker, r Report) {
	if !r.Draining {
		return
	}
	if !w.draining {
		w.draining = true
		e.planNeeded = true
	}
	w.leavesAt = now + r.DrainRemaining
}

// reconcile compares the polled state of the worker with its placements.
func (e *Engine) reconcile(now time.Duration, w *worker, r Report) {
	w.lastPolledAt = now
	for _, run := range r.Running {
		e.observeRun(now, w, run, r.Origin)
	}
	for _, end := range r.Ended {
		if end.Sequence <= w.lastEnd {
			continue
		}
		w.lastEnd = end.Sequence
		j := e.handleRunEnd(now, w, end)
		version := 0
		if j != nil {
			version = j.version
		}
		w.pendingEnds = append(w.pendingEnds, pendingEnd{sequence: end.Sequence, job: j, version: version})
	}
	for _, run := range r.ConfirmedAbsent {
		e.confirmAbsent(now, w, run)
	}
	if !r.EndsOmitted {
		e.countMissedPolls(now, w, ListedRuns(r.Running, r.Ended))
	}
	w.forgetEndedOrphans(r.Running)
}

// observeRun processes a run that the worker lists as running.
func (e *Engine) observeRun(now time.Duration, w *worker, status RunStatus, origin ReportOrigin) {
	p := w.placements[status.Run.Task]
	if p == nil || p.runNumber != status.Run.Number || p.state == placementAbsent {
		e.stopOrphan(now, w, status.Run)
		return
	}
	if p.state == placementAdopted || p.state == placementOrdered {
		e.markRunning(now, p)
	}
	p.missedPolls = 0
	p.lastSeenAt = now
	p.resetCrashes()
	if status.Percent != p.rate.lastPercent {
		p.progressedAt = now
		if p.rate.observed {
			e.tracker.progressQueues[p.unit.job.spec.Queue] = true
		}
	}
	p.rate.observe(now, status.Percent)
	e.measureSpeed(now, p, status.Percent, origin)
	p.load = status.Load
	if status.Checkpoint != p.checkpoint {
		p.checkpoint = status.Checkpoint
		p.checkpointAt = now
	}
}

// stopOrphan stops a run that this planner did not place or has given up as lost.
func (e *Engine) stopOrphan(now time.Duration, w *worker, run workload.RunID) {
	stopSentAt, known := w.orphans[run]
	if known && now-stopSentAt < stopRetryInterval {
		return
	}
	w.orphans[run] = now
	o := e.ordersFor(w)
	o.Stops = append(o.Stops, run)
	e.actions = append(e.actions, Decision{Job: run.Task.Job, Kind: "stop", Detail: "not placed by this planner", Run: run, Worker: w.info.ID})
}

// confirmAbsent ends a placement whose stop was confirmed and whose run a later poll did not
// list.
func (e *Engine) confirmAbsent(now time.Duration, w *worker, run workload.RunID) {
	delete(w.orphans, run)
	p := w.placements[run.Task]
	if p == nil || p.runNumber != run.Number || !p.stopping || p.state == placementAbsent {
		return
	}
	e.handleAbsentRun(now, p, CauseStartUnanswered, "stop confirmed, and the run is not present on the worker")
}

// countMissedPolls counts the polls without omitted ends that do not list a running task and stops the
// task after maxMissedPolls. The answer to the stop shows whether the run exists.
func (e *Engine) countMissedPolls(now time.Duration, w *worker, listed map[workload.RunID]bool) {
	for _, p := range w.sortedPlacements() {
		if p.state != placementRunning || p.stopping || listed[p.runID()] {
			continue
		}
		p.missedPolls++
		if p.missedPolls >= maxMissedPolls {
			e.markRetry(p.unit)
			e.stopUnit(now, p.unit, CauseNotListed)
		}
	}
}

// forgetEndedOrphans removes the orphans that do not run any more.
func (w *worker) forgetEndedOrphans(running []RunStatus) {
	maps.DeleteFunc(w.orphans, func(run workload.RunID, _ time.Duration) bool {
		return !slices.ContainsFunc(running, func(r RunStatus) bool { return r.Run == run })
	})
}

// dropUnconfirmedAdopted ends adopted placements that the worker does not list when polled
// under the new epoch, as it refuses their orders from then on. It waits for a list without omitted ends:
// a run that is done would be started again, and its end, listed later, would not count any more.
func (e *Engine) dropUnconfirmedAdopted(now time.Duration, w *worker, r Report) {
	if r.EndsOmitted {
		return
	}
	for _, p := range slices.Clone(w.sortedPlacements()) {
		if p.state == placementAdopted {
			e.handleAbsentRun(now, p, CauseTakeover, "not listed by the worker under the new epoch")
		}
	}
}

// resendStops sends the pending stops to a worker that reports again.
func (e *Engine) resendStops(now time.Duration, w *worker) {
	for _, p := range w.sortedPlacements() {
		if p.stopping && p.state != placementAbsent {
			e.sendStop(now, p)
		}
	}
}
