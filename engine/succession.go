package engine

import (
	"slices"
	"time"
)

// succession is how a life ended in whose place another one answers under the same name.
//
// Calls name the worker and not its life, so a start that was meant for the life that is over,
// and had no answer, may still be carried out by the next one. What the earlier life held is
// therefore not over with it: were it started elsewhere at once, it could run twice. It is
// settled when the next life has answered under a fence that no earlier order carries: what it
// does not show then, it refuses from then on.
type succession struct {
	how     Departure
	witness witness
}

// departed handles an agent's word that a life is over.
func (e *Engine) departed(now time.Duration, r Report) {
	if w := e.workers[r.Worker.ID]; w != nil && r.Superseded {
		e.supersede(w, r.departure(), r.witness())
		return
	}
	e.gone(now, r.Worker.ID, r.departure(), r.witness())
}

// replace ends the life that an agent reported before, as it now reports another one.
func (e *Engine) replace(now time.Duration, before WorkerID, info WorkerInfo) {
	w := e.workers[before]
	if w != nil && w.info.SharesName(info) {
		e.supersede(w, e.departureOfReplaced(before), witness{})
		return
	}
	e.gone(now, before, e.departureOfReplaced(before), witness{})
}

// supersede notes that a life is over, as far as anybody has said, and that another one of
// its name follows. The first word on how it ended stands, unless it was not the agent's.
func (e *Engine) supersede(w *worker, how Departure, t witness) {
	w.attached = false
	if w.succession == nil {
		e.superseded[w.info.Agent] = append(e.superseded[w.info.Agent], w)
	}
	if w.succession == nil || !w.succession.witness.known {
		w.succession = &succession{how: how, witness: t}
	}
}

// takeTurn makes w the present life beside its agent. Nothing that it says counts until it has
// answered under a fence that no order to another life of its name carries.
func (e *Engine) takeTurn(w *worker) {
	if w.info.Name == "" {
		return
	}
	e.lastGeneration += GenerationStep
	w.turn = e.lastGeneration
	w.attached = false
	e.dropSuperseded(w)
}

// noteTurn notes a turn that the agent has raised by itself, for an agent that is started again
// beside the worker, and for the lives to come.
func (e *Engine) noteTurn(w *worker, turn uint64) {
	w.turn = max(w.turn, turn)
	e.lastGeneration = max(e.lastGeneration, turn)
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
		for _, p := range slices.Clone(old.sortedPlaces()) {
			if listed[p.id()] && w.places[p.task()] == nil {
				e.carryOver(now, p, w)
			}
		}
		e.gone(now, old.info.ID, old.succession.how, old.succession.witness)
	}
}

func (e *Engine) carryOver(now time.Duration, p *placement, w *worker) {
	p.worker.drop(p)
	p.worker = w
	w.hold(p)
	p.missing = 0
	p.movedAt = now
	e.logDecision(p, "carried over", "ordered of an earlier life of this worker")
	e.markChanged(p.unit.job)
}

func (e *Engine) dropSuperseded(w *worker) {
	if w.succession == nil {
		return
	}
	w.succession = nil
	agent := w.info.Agent
	e.superseded[agent] = slices.DeleteFunc(e.superseded[agent], func(o *worker) bool { return o == w })
	if len(e.superseded[agent]) == 0 {
		delete(e.superseded, agent)
	}
}
