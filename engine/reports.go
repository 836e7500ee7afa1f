package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/eelgrasshub/eelgrasshub/workload"
)

// missingLooks is how many looks in a row may fail to show a running task before it is
// stopped: a look may be overtaken by the start's own answer, but not three of them.
const missingLooks = 3

// Report handles an agent's report and returns the answer to it, which extends the
// worker's lease: the caller sends it at once.
func (e *Engine) Report(now time.Duration, r Report) ReportAnswer {
	if r.Terminated {
		e.departed(now, r)
		return ReportAnswer{}
	}
	w := e.meet(now, r.Worker)
	attached := r.Epoch == e.epoch && r.Generation >= w.turn
	if now-w.lastReport >= reportTimeout {
		e.planNeeded = true
	}
	w.lastReport = now
	e.drain(now, w, r)
	if !attached {
		// Nothing is granted: what the worker's lease allows is bounded already.
		return ReportAnswer{Generation: w.turn, AckedEnds: w.seen}
	}
	first := !w.attached
	w.attached = true
	e.noteTurn(w, r.Generation)
	granted := e.hold(now, w, r)
	if r.Polled {
		e.settleSuperseded(now, w, r)
		e.look(now, w, r)
		e.share(now, w)
	}
	if first {
		e.settleAdopted(now, w)
		e.planNeeded = true
	}
	return ReportAnswer{Attached: granted, Generation: w.turn, AckedEnds: w.forgettable(), EndsPending: len(w.pending) > 0, PollOften: w.shared()}
}

// AckedEnds returns up to which end a worker may forget, and whether more ends wait to be
// recorded.
func (e *Engine) AckedEnds(id WorkerID) (seen int64, waiting bool) {
	w := e.workers[id]
	if w == nil {
		return 0, false
	}
	return w.forgettable(), len(w.pending) > 0
}

// meet returns the worker that reports, which may be new. A new life of the worker
// beside the same agent proves that the one before is over.
func (e *Engine) meet(now time.Duration, info WorkerInfo) *worker {
	before, known := e.workerByAgent[info.Agent]
	if known && before != info.ID {
		e.replace(now, before, info)
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
	if before != info.ID {
		e.takeTurn(w)
	}
	e.resize(now, w, info.Capacity)
	e.workerByAgent[info.Agent] = info.ID
	return w
}

func (e *Engine) addWorker(now time.Duration, info WorkerInfo) *worker {
	w := &worker{
		info:       info,
		places:     map[workload.TaskID]*placement{},
		strays:     map[workload.RunID]time.Duration{},
		lastReport: now,
		lapseAt:    e.params.lapse(now),
	}
	e.markCordoned(w)
	e.workers[info.ID] = w
	e.workersByID = nil
	e.workerAddedAt = now
	e.planNeeded = true
	return w
}

func (e *Engine) drain(now time.Duration, w *worker, r Report) {
	if !r.Draining {
		return
	}
	if !w.draining {
		w.draining = true
		e.planNeeded = true
	}
	w.leavesAt = now + r.DrainRemaining
}

// hold notes how long the worker's lease may last, and says whether the answer to the
// report extends it. What is granted is always counted: an agent may use a grant, have no
// answer of its worker, and be gone before its next report, and the planner would take the
// lease for over while it is not.
//
// The failure it guards against: a worker crashes, and the agent beside it goes on
// reporting. Its reports must not put off the end of the lease, or what the worker held
// would never start elsewhere. A lease that is over ends at the same moment in each report,
// and where the agent does not know it, the last grant to an answering worker bounds it.
func (e *Engine) hold(now time.Duration, w *worker, r Report) bool {
	wasSilent := w.silent
	w.silent = r.Unresponsive
	granted := !r.Unresponsive || r.ExtendingLease
	switch {
	case granted:
		w.lapseAt = e.params.lapse(now)
	case r.LeaseKnown:
		w.lapseAt = now + slowest(r.LeaseRemaining) + lapseSlack
	}
	if r.Unresponsive {
		return granted
	}
	w.lapsed = false
	w.lapsedWith = nil
	if wasSilent {
		e.planNeeded = true
	}
	return granted
}

// look compares what the worker says with what is expected of it.
func (e *Engine) look(now time.Duration, w *worker, r Report) {
	w.lookedAt = now
	for _, row := range r.Running {
		e.seen(now, w, row)
	}
	for _, row := range r.Ended {
		if row.Sequence <= w.listed {
			continue
		}
		w.listed = row.Sequence
		owner := e.handleRunEnd(now, w, row)
		version := 0
		if owner != nil {
			version = owner.version
		}
		w.pending = append(w.pending, pendingEnd{number: row.Sequence, job: owner, version: version})
	}
	for _, run := range r.ConfirmedAbsent {
		e.absent(now, w, run)
	}
	e.miss(now, w, ListedRuns(r.Running, r.Ended))
}

// seen handles one run that is there.
func (e *Engine) seen(now time.Duration, w *worker, row RunStatus) {
	p := w.places[row.Run.Task]
	if p == nil || p.run != row.Run.Number {
		e.stray(now, w, row.Run)
		return
	}
	if p.state == placeAdopted || p.state == placeOrdered {
		e.running(now, p)
	}
	p.missing = 0
	p.shownAt = now
	p.resetCrashes()
	if row.Percent != p.pulse.percent {
		p.movedAt = now
		if p.pulse.seen {
			e.tracker.moves[p.unit.job.spec.Queue] = true
		}
	}
	p.pulse.note(now, row.Percent)
	p.load = row.Load
	if row.Checkpoint != p.saved {
		p.saved = row.Checkpoint
		p.savedAt = now
	}
}

// stray stops a run that nobody here placed or that was given up for lost.
func (e *Engine) stray(now time.Duration, w *worker, run workload.RunID) {
	sent, known := w.strays[run]
	if known && now-sent < stopRetry {
		return
	}
	w.strays[run] = now
	o := e.ordersFor(w)
	o.Stops = append(o.Stops, run)
	e.actions = append(e.actions, Decision{Job: run.Task.Job, Kind: "stop", Detail: "not placed by this planner", Run: run, Worker: w.info.ID})
}

// absent: a stop was confirmed and a later look did not show the run.
func (e *Engine) absent(now time.Duration, w *worker, run workload.RunID) {
	delete(w.strays, run)
	p := w.places[run.Task]
	if p == nil || p.run != run.Number || !p.stopping {
		return
	}
	e.handleLostRun(now, p, CauseStartUnanswered, "stopped before it was there")
}

// miss counts the looks that do not show a running task, and stops it after some: the
// worker then says whether it is there.
func (e *Engine) miss(now time.Duration, w *worker, there map[workload.RunID]bool) {
	for _, p := range w.sortedPlaces() {
		if p.state != placeRunning || p.stopping || there[p.id()] {
			continue
		}
		p.missing++
		if p.missing >= missingLooks {
			e.markRetry(p.unit)
			e.stopUnit(now, p.unit, CauseNotListed)
		}
	}
	for run := range w.strays {
		if !there[run] {
			delete(w.strays, run)
		}
	}
}

// settleAdopted ends the placements of a predecessor that the worker, asked under the
// new epoch, does not know: their orders are refused there from now on.
func (e *Engine) settleAdopted(now time.Duration, w *worker) {
	for _, p := range w.sortedPlaces() {
		if p.state == placeAdopted {
			e.handleLostRun(now, p, CauseTakeover, "not there under the new epoch")
		}
	}
	for _, p := range w.sortedPlaces() {
		if p.stopping {
			e.sendStop(now, p)
		}
	}
}

// gone ends a worker for good, and with it all that it held.
func (e *Engine) gone(now time.Duration, id WorkerID, how Departure, t witness) {
	w := e.workers[id]
	if w == nil {
		return
	}
	places := w.sortedPlaces()
	e.actions = append(e.actions, WorkerGone{Worker: w.info, Departure: how, Runs: len(places)})
	if how == DepartureCrashed {
		defer e.countCrash(now, w, slices.Concat(w.lapsedWith, places), t)
	}
	for _, p := range places {
		e.handleLostRun(now, p, CauseWorkerLost, fmt.Sprintf("its worker %s; %s", how, p.observedRunTime()))
	}
	e.forget(w)
}

func (e *Engine) forget(w *worker) {
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
