package planner

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// WaitStatus says where a job stands on its way to its start.
type WaitStatus struct {
	Status
	// Stage decides which of the other fields count.
	Stage Stage
	// Explanation is the scheduler's word, for StageQueued.
	Explanation scheduler.Explanation
}

// Stage is how far a job has come.
type Stage uint8

const (
	// StagePastStart: it has ended, or an attempt of it is on record.
	StagePastStart Stage = iota
	// StageQueued: the scheduler says why it waits.
	StageQueued
	// StageStarting: it is placed, and its start is not on record yet.
	StageStarting
	// StageEnding: it will not start; its end is being put on record.
	StageEnding
	// StageLoadingRecords: the records are still being read, and this one is not known.
	StageLoadingRecords
	// StageStoreUnavailable: the store does not answer, and the job has no permit to start
	// without a record of it.
	StageStoreUnavailable
	// StageUnresolvedPermit: an earlier planner may have started it on a permit, and the agents
	// have not yet shown whether it did.
	StageUnresolvedPermit
)

// Explain says why a job waits. Known is false where no record of it was seen.
// The context's or the term's end is an answer of neither: asked is false then. It
// is safe for concurrent use. The workers are walked over once a second at most for
// each queue of jobs that need more cores or memory than comes with an accelerator,
// and never for others, however many ask.
func (p *Planner) Explain(ctx context.Context, id string) (wait WaitStatus, known, asked bool) {
	type answer struct {
		wait  WaitStatus
		known bool
	}
	a, asked := callOnLoop(ctx, p, func() answer {
		w, ok := p.explain(id)
		return answer{w, ok}
	})
	return a.wait, a.known, asked
}

func (p *Planner) explain(id string) (WaitStatus, bool) {
	s, ok := p.status(id)
	if !ok {
		return WaitStatus{Stage: StageLoadingRecords}, !p.recordsLoaded
	}
	w := WaitStatus{Status: s, Stage: p.stageOf(p.jobs[id])}
	if w.Stage != StageQueued {
		return w, true
	}
	if w.Explanation, ok = p.explainer().Explain(scheduler.JobID(id)); !ok {
		w.Stage = StageEnding // withdrawn for good
	}
	return w, true
}

// stageOf is the stage of a live job, or of one that has ended, which is nil.
func (p *Planner) stageOf(j *job) Stage {
	switch {
	case j == nil:
		return StagePastStart
	case j.finalRecord != nil:
		return StageEnding
	case j.unresolved:
		return StageUnresolvedPermit
	case j.withheld:
		return StageStoreUnavailable
	case j.phase == Queued:
		return StageQueued
	case j.phase != Starting || j.stored.Attempt == uint64(j.attempt):
		return StagePastStart
	case p.storeUnavailable && !p.permitUsable(j):
		return StageStoreUnavailable
	}
	return StageStarting
}

func (p *Planner) explainer() *scheduler.Explainer {
	if p.reportCache.explainer == nil {
		p.reportCache.explainer = scheduler.NewExplainer(p.sched)
	}
	return p.reportCache.explainer
}
