package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/api"
	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/planner"
	"github.com/eelgrasshub/eelgrasshub/scheduler"
)

// Explanations of the wait reasons that the scheduler does not produce.
const (
	sentenceStarting         = "it is placed, and waits for its workers' reservations or for its start to be on record"
	sentenceStoreUnavailable = "the platform's store does not answer, and it has no permit to start without a record of its start"
	sentenceUnresolvedPermit = "a planner before this one may have started it while the store was out; the workers are searched for it"
	sentenceRebuilding       = "the planner has just taken over and is still reading the records of jobs"
	sentenceEnding           = "it has ended or does not start any more; its end is being put on record"
)

// explainLocal returns what this entry's planner knows about one job.
func (e *Entry) explainLocal(ctx context.Context, service, id string) (*api.JobReport, *api.Problem) {
	p := e.elections.planner(service)
	if p == nil {
		return nil, noPlanner(service, "entry "+e.cfg.ID+" has lost the duty")
	}
	wait, known, answered := p.Explain(ctx, id)
	if !answered {
		return nil, noPlanner(service, "the planner of entry "+e.cfg.ID+" has ended or is too busy")
	}
	out := &api.JobReport{ID: id, Service: service, Planner: e.plannerInfo(service), AnsweredAt: time.Now()}
	if !known || wait.Stage == planner.StageLoadingRecords {
		return e.explainRecord(ctx, out)
	}
	out.State = plannerStatus(wait.Status).State
	out.Wait = jobWait(&wait)
	if wait.Stage == planner.StageQueued {
		out.DecidedAt = wait.Explanation.At
	}
	return out, nil
}

// jobWait returns why a job that the planner knows waits, or nil if it does not wait.
func jobWait(wait *planner.WaitStatus) *api.JobWait {
	spec := wait.Record.Spec
	switch wait.Stage {
	case planner.StageQueued:
		return schedulerJobWait(&wait.Explanation)
	case planner.StageStarting:
		return jobWaitWithoutPlacement(spec, api.WaitStarting, sentenceStarting)
	case planner.StageStoreUnavailable:
		return jobWaitWithoutPlacement(spec, api.WaitStoreUnavailable, sentenceStoreUnavailable)
	case planner.StageUnresolvedPermit:
		return jobWaitWithoutPlacement(spec, api.WaitPredecessorInDoubt, sentenceUnresolvedPermit)
	case planner.StageEnding:
		return jobWaitWithoutPlacement(spec, api.WaitEnding, sentenceEnding)
	}
	return nil
}

// explainRecord answers from the stored record of a job that the planner does not know:
// the job ended long ago, or the planner has not loaded its record yet.
func (e *Entry) explainRecord(ctx context.Context, out *api.JobReport) (*api.JobReport, *api.Problem) {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	rec, err := e.jobs.Get(ctx, out.Service, out.ID)
	switch {
	case eris.Is(err, jobs.ErrNotFound):
		return nil, &api.Problem{Reason: api.ReasonUnknownJob, Field: "job", Detail: "no record of a job " + out.ID + " in the service " + out.Service}
	case err != nil:
		return nil, &api.Problem{
			Reason: api.ReasonJobStateUnavailable, Field: "job", RetryAfter: defaultRetryAfter,
			Detail: "the planner does not know the job, and the platform's store can't be asked: " + err.Error(),
		}
	}
	out.State = api.JobState(rec.State)
	if rec.State == jobs.Queued {
		out.Wait = jobWaitWithoutPlacement(rec.Spec, api.WaitRebuilding, sentenceRebuilding)
	}
	return out, nil
}

// jobWaitWithoutPlacement returns a wait reason without details on placement.
func jobWaitWithoutPlacement(spec jobs.Spec, reason api.WaitReason, sentence string) *api.JobWait {
	return &api.JobWait{
		Reason:       reason,
		Explanation:  sentence,
		Accelerators: spec.Accelerators,
		Adjacency:    api.Adjacency(spec.Adjacency),
	}
}

func schedulerJobWait(e *scheduler.Explanation) *api.JobWait {
	if e.Reason == scheduler.WaitNone {
		return nil
	}
	out := &api.JobWait{
		Reason:         api.WaitReason(e.Reason.String()),
		Explanation:    e.Sentence(),
		Until:          e.Until,
		FirstJob:       string(e.First),
		JobsAhead:      e.Ahead,
		AheadTruncated: e.AheadTruncated,
		Accelerators:   e.Accelerators,
		Adjacency:      api.Adjacency(e.Span.String()),
		Free:           e.Free,
		LargestFree:    e.Largest,
		FreeUnits:      apiFreeUnits(e.Units),
	}
	if e.Reason == scheduler.WaitBehind {
		out.FirstJobReason = api.WaitReason(e.FirstReason.String())
	}
	return out
}
