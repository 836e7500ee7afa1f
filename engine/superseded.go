package engine

import (
	"slices"
	"time"
)

// supersession records how an incarnation ended that is followed by another one under the same
// name. Calls carry only the name, so an unanswered start meant for the previous incarnation may
// still take effect on the next one, and its task could run twice if it were restarted elsewhere.
// The placements are therefore kept until the next incarnation has answered under a fence that no
// earlier order carries, as it refuses those orders from then on. Those whose calls may reach a further
// one move to it.
type supersession struct {
	departure Departure
	evidence  crashEvidence
}

// handleTerminated processes an agent's report that an incarnation is over.
func (e *Engine) handleTerminated(now time.Duration, r Report) {
	if w := e.workers[r.Worker.ID]; w != nil && r.Superseded {
		e.supersede(w, r.departure(), r.crashEvidence(now))
		return
	}
	e.endIncarnation(now, r.Worker.ID, r.departure(), r.crashEvidence(now))
}

// supersedeReplaced ends the previous incarnation when its agent reports another one.
func (e *Engine) supersedeReplaced(now time.Duration, previous WorkerID, info WorkerInfo) {
	w := e.workers[previous]
	if w != nil && w.info.SharesName(info) {
		e.supersede(w, e.departureOfReplaced(previous), crashEvidence{crashedBy: now})
		return
	}
	if w != nil {
		w.settleAllStarts() // calls carry the previous name, which the worker now refuses
	}
	e.endIncarnation(now, previous, e.departureOfReplaced(previous), crashEvidence{crashedBy: now})
}

// supersede records that another incarnation follows w under the same name. Later evidence of
// how w ended replaces earlier evidence only until the agent has provided some.
func (e *Engine) supersede(w *worker, departure Departure, evidence crashEvidence) {
	w.attached = false
	if w.supersession == nil {
		e.superseded[w.info.Agent] = append(e.superseded[w.info.Agent], w)
		e.keepSpeed(w)
	}
	if w.supersession == nil || !w.supersession.evidence.known {
		w.supersession = &supersession{departure: departure, evidence: evidence}
	}
}

// assignGeneration makes w the current incarnation of its name. Its reports count only once it
// has answered under a fence that no order to another incarnation carries.
func (e *Engine) assignGeneration(w *worker) {
	if w.info.Name == "" {
		return
	}
	e.lastGeneration += GenerationStep
	w.generation = e.lastGeneration
	w.attached = false
	e.dropSuperseded(w)
}

// recordGeneration records a generation that the agent has raised itself, so that a restarted
// agent and later incarnations get no lower one.
func (e *Engine) recordGeneration(w *worker, generation uint64) {
	w.generation = max(w.generation, generation)
	e.lastGeneration = max(e.lastGeneration, generation)
}

// settleSuperseded ends the incarnations that w follows, at the first poll under its own fence that omits
// no ends. Runs that polls list until then were started by orders to one of them; their placements move to w.
func (e *Engine) settleSuperseded(now time.Duration, w *worker, r Report) {
	earlier := e.superseded[w.info.Agent]
	if len(earlier) == 0 {
		return
	}
	listed := ListedRuns(r.Running, r.Ended)
	for _, old := range slices.Clone(earlier) {
		if old == w {
			continue // reported late, after its end; the next incarnation settles it
		}
		for _, p := range slices.Clone(old.sortedPlacements()) {
			r.limitCalls(now, p)
			if listed[p.runID()] && w.placements[p.taskID()] == nil {
				e.carryOver(now, p, w)
			}
		}
		if r.EndsOmitted {
			continue
		}
		e.endIncarnation(now, old.info.ID, old.supersession.departure, old.supersession.evidence)
		if len(old.placements) > 0 {
			e.moveAbsent(old, w)
			e.removeWorker(old)
		}
	}
}

// carryOver moves a placement to w, the next incarnation of its worker.
func (e *Engine) carryOver(now time.Duration, p *placement, w *worker) {
	p.worker.removePlacement(p)
	p.worker = w
	if p.state == placementAbsent {
		p.state = placementOrdered
	}
	w.addPlacement(p)
	p.missedPolls = 0
	p.progressedAt = now
	e.logDecision(p, "carried over", "ordered from an earlier incarnation of this worker")
	e.markChanged(p.unit.job)
}

func (e *Engine) dropSuperseded(w *worker) {
	if w.supersession == nil {
		return
	}
	w.supersession = nil
	agent := w.info.Agent
	e.superseded[agent] = slices.DeleteFunc(e.superseded[agent], func(o *worker) bool { return o == w })
	if len(e.superseded[agent]) == 0 {
		delete(e.superseded, agent)
	}
}
