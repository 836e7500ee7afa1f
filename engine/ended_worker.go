package engine

import (
	"fmt"
	"slices"
	"time"
)

// endIncarnation ends a worker whose incarnation is over, with its placements. It is removed unless a
// call to start one of their runs may still be carried out by the next incarnation.
func (e *Engine) endIncarnation(now time.Duration, id WorkerID, departure Departure, evidence crashEvidence) {
	w := e.workers[id]
	if w == nil {
		return
	}
	if w.ended {
		e.keepEnded(now, w)
		return
	}
	placements := w.sortedPlacements()
	present := slices.DeleteFunc(slices.Clone(placements), func(p *placement) bool { return p.state == placementAbsent })
	e.actions = append(e.actions, WorkerGone{Worker: w.info, Departure: departure, Runs: len(present), Report: e.handling})
	detail := func(p *placement) string {
		return fmt.Sprintf("the worker is gone (%s); %s", departure, p.observedRunTime())
	}
	var mayStart []*placement
	for _, p := range present {
		if e.awaitsCall(now, p) {
			mayStart = append(mayStart, p)
		} else {
			e.handleLostRun(now, p, CauseWorkerLost, detail(p))
		}
	}
	if departure == DepartureCrashed {
		e.countCrash(now, w, slices.Concat(w.placementsAtExpiry, placements), evidence)
	}
	for _, p := range mayStart {
		e.handleAbsentRun(now, p, CauseWorkerLost, detail(p))
	}
	e.keepEnded(now, w)
}

func (e *Engine) removeWorker(w *worker) {
	delete(e.workers, w.info.ID)
	e.forgetSpeed(w)
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

// keepEnded keeps a worker whose incarnation is over for its absent placements, which the next one takes
// over, and removes it if there are none.
func (e *Engine) keepEnded(now time.Duration, w *worker) {
	for _, p := range slices.Clone(w.sortedPlacements()) {
		e.releaseAbsent(now, p)
	}
	if len(w.placements) == 0 {
		e.removeWorker(w)
		return
	}
	w.ended, w.attached = true, false
	if w.supersession == nil {
		e.supersede(w, DepartureLeft, crashEvidence{})
	}
	e.dropWorkerClaims(w)
	e.planNeeded = true
}

// moveAbsent moves the absent placements of an ended incarnation to the next one, which refuses their
// calls once it is fenced. If it is followed by another one before they are over, that one does not.
func (e *Engine) moveAbsent(ended, next *worker) {
	for _, p := range slices.Clone(ended.sortedPlacements()) {
		ended.removePlacement(p)
		p.worker = next
		next.addPlacement(p)
		e.markChanged(p.unit.job)
	}
}
