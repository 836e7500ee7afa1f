package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// maxMissedPolls is how many looks in a row may fail to show a running task before it is
// stopped: a look may be overtaken by the start's own answer, but not three of them.
const maxMissedPolls = 3

// Report handles an agent's report and returns the answer to it, which extends the
// worker's lease: the caller sends it at once.
func (e *Engine) Report(now time.Duration, r Report) ReportAnswer {
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
	if !attached {
		// Nothing is granted: what the worker's lease allows is bounded already.
		return ReportAnswer{Generation: w.generation, AckedEnds: w.ackedEnds}
	}
	first := !w.attached
	w.attached = true
	e.noteGeneration(w, r.Generation)
	granted := e.updateLease(now, w, r)
	if r.Polled {
		e.settleSuperseded(now, w, r)
		e.reconcile(now, w, r)
		e.adjustPaces(now, w)
	}
	if first {
		e.dropUnconfirmedAdopted(now, w)
		e.planNeeded = true
	}
	return ReportAnswer{Attached: granted, Generation: w.generation, AckedEnds: w.advanceAckedEnds(), EndsPending: len(w.pendingEnds) > 0, PollOften: w.needsFrequentPolls()}
}

// AckedEnds returns up to which end a worker may forget, and whether more ends wait to be
// recorded.
func (e *Engine) AckedEnds(id WorkerID) (acked int64, pending bool) {
	w := e.workers[id]
	if w == nil {
		return 0, false
	}
	return w.advanceAckedEnds(), len(w.pendingEnds) > 0
}

// registerWorker returns the worker that reports, which may be new. A new life of the worker
// beside the same agent proves that the one before is over.
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
		// Its record could not be read; what it says itself goes on record.
		w.info = info
		w.recorded = false
		e.unrecordedWorkers[info.ID] = w
	}
	if previous != info.ID {
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
	}
	e.markCordoned(w)
	e.workers[info.ID] = w
	e.workersByID = nil
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

// updateLease notes how long the worker's lease may last, and says whether the answer to the
// report extends it. What is granted is always counted: an agent may use a grant, have no
// answer of its worker, and be gone before its next report, and the planner would take the
// lease for over while it is not.
//
// The failure it guards against: a worker crashes, and the agent beside it goes on
// reporting. Its reports must not put off the end of the lease, or what the worker held
// would never start elsewhere. A lease that is over ends at the same moment in each report,
// and where the agent does not know it, the last grant to an answering worker bounds it.
func (e *Engine) updateLease(now time.Duration, w *worker, r Report) bool {
	wasUnresponsive := w.unresponsive
	w.unresponsive = r.Unresponsive
	granted := !r.Unresponsive || r.ExtendingLease
	switch {
	case granted:
		w.leaseExpiresAt = e.params.leaseExpiry(now)
	case r.LeaseKnown:
		w.leaseExpiresAt = now + withClockDrift(r.LeaseRemaining) + leaseExpirySlack
	}
	if r.Unresponsive {
		return granted
	}
	w.leaseExpired = false
	w.runsAtExpiry = nil
	if wasUnresponsive {
		e.planNeeded = true
	}
	return granted
}

// reconcile compares what the worker says with what is expected of it.
func (e *Engine) reconcile(now time.Duration, w *worker, r Report) {
	w.lastPolledAt = now
	for _, run := range r.Running {
		e.observeRun(now, w, run)
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
	e.countMissedPolls(now, w, ListedRuns(r.Running, r.Ended))
}

// observeRun handles one run that is there.
func (e *Engine) observeRun(now time.Duration, w *worker, status RunStatus) {
	p := w.placements[status.Run.Task]
	if p == nil || p.runNumber != status.Run.Number {
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
	p.load = status.Load
	if status.Checkpoint != p.checkpoint {
		p.checkpoint = status.Checkpoint
		p.checkpointAt = now
	}
}

// stopOrphan stops a run that nobody here placed or that was given up for lost.
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

// confirmAbsent: a stop was confirmed and a later look did not show the run.
func (e *Engine) confirmAbsent(now time.Duration, w *worker, run workload.RunID) {
	delete(w.orphans, run)
	p := w.placements[run.Task]
	if p == nil || p.runNumber != run.Number || !p.stopping {
		return
	}
	e.handleLostRun(now, p, CauseStartUnanswered, "stopped before it was there")
}

// countMissedPolls counts the looks that do not show a running task, and stops it after some: the
// worker then says whether it is there.
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
	for run := range w.orphans {
		if !listed[run] {
			delete(w.orphans, run)
		}
	}
}

// dropUnconfirmedAdopted ends the placements of a predecessor that the worker, asked under the
// new epoch, does not know: their orders are refused there from now on.
func (e *Engine) dropUnconfirmedAdopted(now time.Duration, w *worker) {
	for _, p := range w.sortedPlacements() {
		if p.state == placementAdopted {
			e.handleLostRun(now, p, CauseTakeover, "not there under the new epoch")
		}
	}
	for _, p := range w.sortedPlacements() {
		if p.stopping {
			e.sendStop(now, p)
		}
	}
}

// endIncarnation ends a worker for good, and with it all that it held.
func (e *Engine) endIncarnation(now time.Duration, id WorkerID, how Departure, evidence crashEvidence) {
	w := e.workers[id]
	if w == nil {
		return
	}
	placements := w.sortedPlacements()
	e.actions = append(e.actions, WorkerGone{Worker: w.info, Departure: how, Runs: len(placements)})
	if how == DepartureCrashed {
		defer e.countCrash(now, w, slices.Concat(w.runsAtExpiry, placements), evidence)
	}
	for _, p := range placements {
		e.handleLostRun(now, p, CauseWorkerLost, fmt.Sprintf("its worker %s; %s", how, p.observedRunTime()))
	}
	e.removeWorker(w)
}

func (e *Engine) removeWorker(w *worker) {
	delete(e.workers, w.info.ID)
	e.workersByID = nil
	delete(e.unrecordedWorkers, w.info.ID)
	e.dropSuperseded(w)
	if e.workerByAgent[w.info.Agent] == w.info.ID {
		delete(e.workerByAgent, w.info.Agent)
	}
	if w.recorded {
		e.goneWorkers[w.info.ID] = true
	}
	e.dropWorkerClaims(w)
	e.planNeeded = true
}
