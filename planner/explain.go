package planner

import (
	"context"

	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// WaitStatus tells how far a job is from its start.
type WaitStatus struct {
	Status
	// Stage determines which of the other fields apply.
	Stage Stage
	// Explanation is the scheduler's reason for the wait, for StageQueued.
	Explanation scheduler.Explanation
}

// Stage is how far a job has come on its way to its start.
type Stage uint8

const (
	// StagePastStart means that the job has ended or that its attempt is
	// recorded.
	StagePastStart Stage = iota
	// StageQueued means that the job waits in the scheduler's queue.
	StageQueued
	// StageStarting means that the job is placed and its start not recorded
	// yet.
	StageStarting
	// StageEnding means that the job will not start and its end is being
	// recorded.
	StageEnding
	// StageLoadingRecords means that the records are still being read and this
	// one is not known yet.
	StageLoadingRecords
	// StageStoreUnavailable means that the store is unavailable and the job
	// has no permit to start without a record.
	StageStoreUnavailable
	// StageUnresolvedPermit means that an earlier planner may have started the
	// job on a permit, and that the agents' reports have not shown yet whether
	// it did.
	StageUnresolvedPermit
)

// Explain reports why a job waits. Known is false if there is no record of the
// job. Answered is false if the context or the term ended first. Explain is
// safe for concurrent use and traverses the workers at most once a second for
// each queue of jobs, however often it is called.
func (p *Planner) Explain(ctx context.Context, id string) (wait WaitStatus, known, answered bool) {
	type answer struct {
		wait  WaitStatus
		known bool
	}
	a, answered := callOnLoop(ctx, p, func() answer {
		w, ok := p.explain(id)
		return answer{w, ok}
	})
	return a.wait, a.known, answered
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
		w.Stage = StageEnding // withdrawn from the scheduler permanently
	}
	return w, true
}

// stageOf returns the stage of a live job, or of an ended one if j is nil.
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
