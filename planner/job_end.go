package planner

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrasshub/eelgrasshub/jobs"
	"github.com/eelgrasshub/eelgrasshub/metrics"
	"github.com/eelgrasshub/eelgrasshub/store"
)

// endJob writes the final record of a job. The job stays live until the store
// has the record, so that the end is reported once and a successor finds it.
func (p *Planner) endJob(j *job, s jobs.State, reason string) {
	if j.finalRecord != nil {
		return
	}
	final := j.stored
	final.State = s
	final.Reason = reason
	final.Ended = time.Now()
	if s == jobs.Done || s == jobs.Failed {
		final.Result = j.result()
	}
	if j.stored.IsPermit() {
		p.finalizePermit(j, &final)
	}
	j.finalRecord = &final
	p.writeFinalRecord(j, final)
}

// endCancelled ends a job that was cancelled and has no attempt.
func (p *Planner) endCancelled(j *job) {
	p.endJob(j, jobs.Cancelled, "cancelled by the caller")
}

// result returns what the members returned, as a JSON list.
func (j *job) result() json.RawMessage {
	parts := make([]json.RawMessage, 0, len(j.lastEnded.Members))
	for _, m := range j.lastEnded.Members {
		parts = append(parts, toJSON(m.Detail))
	}
	data, err := json.Marshal(parts)
	if err != nil {
		return nil
	}
	return data
}

// writeFinalRecord tries to write the final record. handleFinalWritten retries
// it until the store has the record.
func (p *Planner) writeFinalRecord(j *job, final jobs.Stored) {
	p.tomb.Go(func() error {
		ctx, cancel := p.context(requestTimeout)
		defer cancel()
		lease, err := p.cfg.Retention.Current(ctx)
		var got jobs.Stored
		if err == nil {
			got, err = p.cfg.Jobs.End(ctx, final, lease)
		}
		if eris.Is(err, store.ErrLeaseNotFound) {
			p.cfg.Retention.Invalidate(lease)
		}
		p.post(func() { p.handleFinalWritten(j, got, err) })
		return nil
	})
}

func (p *Planner) handleFinalWritten(j *job, got jobs.Stored, err error) {
	p.handleStoreError(err)
	switch {
	case err == nil:
		p.forgetJob(j, got)
	case eris.Is(err, jobs.ErrConflict):
		p.handleFinalConflict(j, got)
	case eris.Is(err, jobs.ErrNotFound):
		p.forgetJob(j, *j.finalRecord)
	default:
		p.postAfter(storeRetryInterval, func() { p.writeFinalRecord(j, *j.finalRecord) })
	}
}

// handleFinalConflict handles a record that changed meanwhile: by an earlier
// try of the same write, by a cancellation or by another planner.
func (p *Planner) handleFinalConflict(j *job, got jobs.Stored) {
	switch {
	case got.State.Ended():
		p.forgetJob(j, got)
	case p.endIfOutranked(got):
	default:
		if p.recordStartedByOther(got) {
			clearNotRunClaim(j.finalRecord, got)
		}
		j.finalRecord.Rev = got.Rev
		j.finalRecord.CancelRequested = got.CancelRequested
		p.writeFinalRecord(j, *j.finalRecord)
	}
}

// clearNotRunClaim removes the claim that the job did not run from a final
// record, because an earlier planner has recorded a start or a permit
// meanwhile.
func clearNotRunClaim(final *jobs.Stored, got jobs.Stored) {
	final.Attempt = max(final.Attempt, got.Attempt)
	if final.State == jobs.Rejected {
		final.State = jobs.Failed
	}
}

// forgetJob removes a job whose end is recorded.
func (p *Planner) forgetJob(j *job, final jobs.Stored) {
	if p.jobs[final.ID] != j {
		return
	}
	delete(p.jobs, final.ID)
	p.recentlyEnded.Add(final.ID, final)
	spec := final.Spec
	p.cfg.Metrics.Observe(spec.Account, spec.Class, endTiming(final.State), final.Ended.Sub(final.Submitted))
	if j.coord != nil {
		p.detachCoordinator(j)
	}
	p.postFromLoop(func() { p.withdrawJob(final.ID) })
}

func endTiming(s jobs.State) metrics.Timing {
	switch s {
	case jobs.Done:
		return metrics.JobDone
	case jobs.Cancelled:
		return metrics.JobCancelled
	case jobs.Rejected:
		return metrics.JobRejected
	case jobs.Unknown:
		return metrics.JobUnknown
	default:
		return metrics.JobFailed
	}
}

// postAfter runs f on the loop's goroutine after d.
func (p *Planner) postAfter(d time.Duration, f func()) {
	time.AfterFunc(d, func() { p.post(f) })
}
