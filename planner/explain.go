package planner

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// Wait says where a job stands on its way to its start.
type Wait struct {
	Status
	// Stage decides which of the other fields count.
	Stage Stage
	// Why is the scheduler's word, for StageQueued.
	Why scheduler.Explanation
}

// Stage is how far a job has come.
type Stage uint8

const (
	// StageOver: it has ended, or an attempt of it is on record.
	StageOver Stage = iota
	// StageQueued: the scheduler says why it waits.
	StageQueued
	// StageStarting: it is placed, and its start is not on record yet.
	StageStarting
	// StageEnding: it will not start; its end is being put on record.
	StageEnding
	// StageRebuilding: the records are still being read, and this one is not known.
	StageRebuilding
	// StageStoreOut: the store does not answer, and the job has no permit to start
	// without a record of it.
	StageStoreOut
	// StageHeld: an earlier planner may have started it on a permit, and the agents
	// have not yet shown whether it did.
	StageHeld
)

// Explain says why a job waits. Known is false where no record of it was seen.
// The context's or the term's end is an answer of neither: asked is false then. It
// is safe for concurrent use. The workers are walked over once a second at most for
// each queue of jobs that need more cores or memory than comes with an accelerator,
// and never for others, however many ask.
func (p *Planner) Explain(ctx context.Context, id string) (wait Wait, known, asked bool) {
	type answer struct {
		wait  Wait
		known bool
	}
	a, asked := ask(ctx, p, func() answer {
		w, ok := p.explain(id)
		return answer{w, ok}
	})
	return a.wait, a.known, asked
}

func (p *Planner) explain(id string) (Wait, bool) {
	s, ok := p.status(id)
	if !ok {
		return Wait{Stage: StageRebuilding}, !p.rebuilt
	}
	w := Wait{Status: s, Stage: p.stageOf(p.jobs[id])}
	if w.Stage != StageQueued {
		return w, true
	}
	if w.Why, ok = p.explainer().Explain(scheduler.JobID(id)); !ok {
		w.Stage = StageEnding // withdrawn for good
	}
	return w, true
}

// stageOf is the stage of a live job, or of one that has ended, which is nil.
func (p *Planner) stageOf(j *job) Stage {
	switch {
	case j == nil:
		return StageOver
	case j.ending != nil:
		return StageEnding
	case j.held:
		return StageHeld
	case j.withheld:
		return StageStoreOut
	case j.phase == Queued:
		return StageQueued
	case j.phase != Starting || j.stored.Attempt == uint64(j.attempt):
		return StageOver
	case p.storeOut && !p.usable(j):
		return StageStoreOut
	}
	return StageStarting
}

func (p *Planner) explainer() *scheduler.Explainer {
	if p.reports.explainer == nil {
		p.reports.explainer = scheduler.NewExplainer(p.sched)
	}
	return p.reports.explainer
}
