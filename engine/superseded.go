package engine

import (
	"slices"
	"time"
)

// supersession is how a life ended in whose place another one answers under the same name.
//
// Calls name the worker and not its life, so a start that was meant for the life that is over,
// and had no answer, may still be carried out by the next one. What the earlier life held is
// therefore not over with it: were it started elsewhere at once, it could run twice. It is
// settled when the next life has answered under a fence that no earlier order carries: what it
// does not show then, it refuses from then on.
type supersession struct {
	how      Departure
	evidence crashEvidence
}

// handleTerminated handles an agent's word that a life is over.
func (e *Engine) handleTerminated(now time.Duration, r Report) {
	if w := e.workers[r.Worker.ID]; w != nil && r.Superseded {
		e.supersede(w, r.departure(), r.crashEvidence())
		return
	}
	e.endIncarnation(now, r.Worker.ID, r.departure(), r.crashEvidence())
}

// supersedeReplaced ends the life that an agent reported before, as it now reports another one.
func (e *Engine) supersedeReplaced(now time.Duration, previous WorkerID, info WorkerInfo) {
	w := e.workers[previous]
	if w != nil && w.info.SharesName(info) {
		e.supersede(w, e.departureOfReplaced(previous), crashEvidence{})
		return
	}
	e.endIncarnation(now, previous, e.departureOfReplaced(previous), crashEvidence{})
}

// supersede notes that a life is over, as far as anybody has said, and that another one of
// its name follows. The first word on how it ended stands, unless it was not the agent's.
func (e *Engine) supersede(w *worker, how Departure, evidence crashEvidence) {
	w.attached = false
	if w.supersession == nil {
		e.superseded[w.info.Agent] = append(e.superseded[w.info.Agent], w)
	}
	if w.supersession == nil || !w.supersession.evidence.known {
		w.supersession = &supersession{how: how, evidence: evidence}
	}
}

// assignGeneration makes w the present life beside its agent. Nothing that it says counts until it has
// answered under a fence that no order to another life of its name carries.
func (e *Engine) assignGeneration(w *worker) {
	if w.info.Name == "" {
		return
	}
	e.lastGeneration += GenerationStep
	w.generation = e.lastGeneration
	w.attached = false
	e.dropSuperseded(w)
}

// noteGeneration notes a turn that the agent has raised by itself, for an agent that is started again
// beside the worker, and for the lives to come.
func (e *Engine) noteGeneration(w *worker, generation uint64) {
	w.generation = max(w.generation, generation)
	e.lastGeneration = max(e.lastGeneration, generation)
}

// settleSuperseded settles the lives that w follows, with its first look under its own fence.
// Runs that this look lists were started by orders to one of them; they go on as runs on w.
func (e *Engine) settleSuperseded(now time.Duration, w *worker, r Report) {
	earlier := e.superseded[w.info.Agent]
	if len(earlier) == 0 {
		return
	}
	listed := ListedRuns(r.Running, r.Ended)
	for _, old := range slices.Clone(earlier) {
		for _, p := range slices.Clone(old.sortedPlacements()) {
			if listed[p.runID()] && w.placements[p.taskID()] == nil {
				e.carryOver(now, p, w)
			}
		}
		e.endIncarnation(now, old.info.ID, old.supersession.how, old.supersession.evidence)
	}
}

func (e *Engine) carryOver(now time.Duration, p *placement, w *worker) {
	p.worker.removePlacement(p)
	p.worker = w
	w.addPlacement(p)
	p.missedPolls = 0
	p.progressedAt = now
	e.logDecision(p, "carried over", "ordered of an earlier life of this worker")
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
